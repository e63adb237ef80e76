//! Task that acquires, renews and releases the leases of a daemon.

use std::{future::Future, sync::Arc, time::Duration};

use filbertsail_api::table::{Commit, Query, Row, Transaction};
use filbertsail_clock::{Instant, Source};
use filbertsail_collections::HashMap;
use filbertsail_ports::table::{Error, Table};
use filbertsail_telemetry::event::Line;
use tokio::{
    sync::{mpsc, watch},
    task::{JoinError, JoinSet},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    Grant, Timing,
    elector::{Action, Elector},
    key,
};
use crate::{metrics::Metrics, subset, token::Tokens};

/// Delay per rank of preference before an available lease is acquired.
const RANK_DELAY: Duration = Duration::from_millis(200);
/// Upper bound of the delay by preference.
const MAX_RANK_DELAY: Duration = Duration::from_secs(1);
/// Shortest and longest pause between two steps of the task.
const PAUSE_BOUNDS: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(500));
/// Timeout for releasing all leases at shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Command to the task.
pub(crate) enum Command {
    /// Contend for the lease of a scope.
    Contend { scope: String, id: u64, sender: watch::Sender<Option<Grant>> },
    /// Release the lease of a scope, unless a later guard contends for it.
    Release { scope: String, id: u64 },
}

struct Entry {
    /// Id of the guard that contends.
    id: u64,
    elector: Elector,
    sender: watch::Sender<Option<Grant>>,
    /// A table call for this scope is in flight.
    busy: bool,
    /// To be released as soon as no call is in flight.
    releasing: bool,
}

/// Result of a table call.
enum Outcome {
    Written(String, Result<Commit, Error>),
    Read(Vec<String>, Result<Vec<Row>, Error>),
    Released(String, u64, bool),
}

/// Names of the live daemons that can hold leases, from which the rank of preference follows.
pub(crate) type Candidates = watch::Receiver<Arc<[String]>>;

pub(crate) struct Task<T, C> {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) timing: Timing,
    pub(crate) table: T,
    pub(crate) clock: C,
    pub(crate) tokens: Arc<Tokens>,
    pub(crate) candidates: Candidates,
    pub(crate) metrics: Metrics,
    pub(crate) work: Work,
}

/// Leases and the table calls in flight.
#[derive(Default)]
pub(crate) struct Work {
    entries: HashMap<String, Entry>,
    calls: JoinSet<Outcome>,
}

impl<T: Table, C: Source> Task<T, C> {
    pub(crate) async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        stop: CancellationToken,
    ) {
        loop {
            let pause = self.start_due_actions();
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(pause) => {}
                Some(outcome) = self.work.calls.join_next() => self.on_outcome(outcome),
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
            }
        }
        // Leases that are not released by then expire after their TTL.
        let _ = timeout(RELEASE_TIMEOUT, self.release_all()).await;
    }

    async fn release_all(&mut self) {
        for entry in self.work.entries.values_mut() {
            entry.releasing = true;
            entry.sender.send_replace(None);
        }
        self.start_due_actions();
        while let Some(outcome) = self.work.calls.join_next().await {
            self.on_outcome(outcome);
            self.start_due_actions();
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Contend { scope, id, sender } => self.contend(scope, id, sender),
            Command::Release { scope, id } => {
                let entry = self.work.entries.get_mut(&scope);
                if let Some(entry) = entry.filter(|entry| entry.id == id) {
                    entry.releasing = true;
                    entry.sender.send_replace(None);
                }
            }
        }
    }

    fn contend(&mut self, scope: String, id: u64, sender: watch::Sender<Option<Grant>>) {
        if let Some(entry) = self.work.entries.get_mut(&scope) {
            (entry.id, entry.sender, entry.releasing) = (id, sender, false);
            return;
        }
        let elector = self.new_elector(&scope);
        self.work
            .entries
            .insert(scope, Entry { id, elector, sender, busy: false, releasing: false });
    }

    fn new_elector(&self, scope: &str) -> Elector {
        Elector::new(scope, &self.name, self.incarnation, self.timing)
    }

    /// Starts every action that is due; returns the time until the next one.
    fn start_due_actions(&mut self) -> Duration {
        let now = self.clock.now();
        let mut due_reads = Vec::new();
        let mut next = now.after(PAUSE_BOUNDS.1);
        let idle = self.work.entries.iter().filter(|(_, entry)| !entry.busy);
        let scopes: Vec<_> = idle.map(|(scope, _)| scope.clone()).collect();
        for scope in scopes {
            match self.next_action(&scope, now) {
                Some(Action::Read) => due_reads.push(scope),
                Some(Action::Write(transaction)) => self.write(scope, transaction),
                Some(Action::Wait(until)) => next = next.min(until),
                None => {}
            }
        }
        if !due_reads.is_empty() {
            self.add_standby_reads(&mut due_reads);
            self.read_rows(due_reads);
        }
        self.publish();
        next.since(self.clock.now()).clamp(PAUSE_BOUNDS.0, PAUSE_BOUNDS.1)
    }

    /// Adds the scopes held by other daemons to a read that is due, so that one read serves all.
    fn add_standby_reads(&self, due_reads: &mut Vec<String>) {
        for (scope, entry) in &self.work.entries {
            let idle = !entry.busy && !entry.releasing;
            if idle && entry.elector.is_standby() && !due_reads.contains(scope) {
                due_reads.push(scope.clone());
            }
        }
    }

    fn next_action(&mut self, scope: &str, now: Instant) -> Option<Action> {
        let token = self.tokens.next();
        if self.work.entries.get(scope)?.releasing {
            self.release(scope, token);
            return None;
        }
        let candidates = self.candidates.borrow().clone();
        let others = candidates.iter().map(String::as_str).filter(|name| *name != self.name);
        let rank = u32::try_from(subset::rank(scope, &self.name, others)).unwrap_or(u32::MAX);
        let delay = RANK_DELAY.saturating_mul(rank).min(MAX_RANK_DELAY);
        Some(self.work.entries.get_mut(scope)?.elector.next_action(now, delay, token))
    }

    fn spawn_call(&mut self, call: impl Future<Output = Outcome> + Send + 'static) {
        self.work.calls.spawn(call);
    }

    fn write(&mut self, scope: String, transaction: Transaction) {
        self.set_busy(&scope, true);
        let table = self.table.clone();
        self.spawn_call(async move {
            let result = table.transact(transaction).await;
            Outcome::Written(scope, result)
        });
    }

    fn read_rows(&mut self, scopes: Vec<String>) {
        for scope in &scopes {
            self.set_busy(scope, true);
        }
        let table = self.table.clone();
        self.spawn_call(async move {
            let keys = scopes.iter().map(|scope| key(scope)).collect();
            let rows = table.read(Query { keys }).await;
            Outcome::Read(scopes, rows)
        });
    }

    fn release(&mut self, scope: &str, token: String) {
        let Some(entry) = self.work.entries.get_mut(scope) else { return };
        let Some((epoch, transaction)) = entry.elector.release(token) else {
            self.work.entries.remove(scope);
            return;
        };
        entry.busy = true;
        let (table, scope) = (self.table.clone(), scope.to_owned());
        self.spawn_call(async move {
            // If the release is lost, the next holder waits for the TTL.
            let confirmed = table.transact(transaction).await.is_ok();
            Outcome::Released(scope, epoch, confirmed)
        });
    }

    fn set_busy(&mut self, scope: &str, busy: bool) {
        if let Some(entry) = self.work.entries.get_mut(scope) {
            entry.busy = busy;
        }
    }

    fn on_outcome(&mut self, outcome: Result<Outcome, JoinError>) {
        let now = self.clock.now();
        match outcome {
            Ok(Outcome::Written(scope, result)) => self.on_written(&scope, result, now),
            Ok(Outcome::Read(scopes, rows)) => {
                for scope in &scopes {
                    self.on_read(scope, rows.as_deref(), now);
                }
            }
            Ok(Outcome::Released(scope, epoch, confirmed)) => {
                self.on_released(&scope);
                self.metrics.count_lease_event("released");
                Line::new("lease_released")
                    .with("scope", scope)
                    .with("epoch", epoch)
                    .with("confirmed", confirmed)
                    .info();
            }
            Err(error) => Line::new("lease_call_failed").with("error", error).error(),
        }
    }

    /// Removes a released lease, or starts over if a later guard contends for it.
    fn on_released(&mut self, scope: &str) {
        let elector = self.new_elector(scope);
        let Some(entry) = self.work.entries.get_mut(scope) else { return };
        (entry.elector, entry.busy) = (elector, false);
        if entry.releasing {
            self.work.entries.remove(scope);
        }
    }

    fn on_written(&mut self, scope: &str, result: Result<Commit, Error>, now: Instant) {
        let Some(entry) = self.work.entries.get_mut(scope) else { return };
        entry.busy = false;
        match result {
            Ok(commit) => entry.elector.on_committed(now, commit.revision),
            Err(Error::Conflict(_)) => entry.elector.on_conflict(now),
            Err(error) => {
                Line::new("lease_write_failed").with("scope", scope).with("error", error).debug();
                entry.elector.on_unknown_outcome(now);
            }
        }
    }

    fn on_read(&mut self, scope: &str, rows: Result<&[Row], &Error>, now: Instant) {
        let Some(entry) = self.work.entries.get_mut(scope) else { return };
        entry.busy = false;
        let key = key(scope);
        match rows {
            Ok(rows) => entry.elector.on_read(now, rows.iter().find(|row| row.key == key)),
            Err(_) => entry.elector.on_read_failed(now),
        }
    }

    /// Sends changes to the guards and logs them.
    fn publish(&self) {
        let now = self.clock.now();
        for (scope, entry) in self.work.entries.iter().filter(|(_, entry)| !entry.releasing) {
            let grant = entry.elector.grant(now);
            let before = *entry.sender.borrow();
            if before == grant {
                continue;
            }
            entry.sender.send_replace(grant);
            log_lease_change(&self.metrics, scope, before, grant, now);
        }
    }
}

fn log_lease_change(
    metrics: &Metrics,
    scope: &str,
    before: Option<Grant>,
    after: Option<Grant>,
    now: Instant,
) {
    match (before, after) {
        (Some(old), Some(new)) if old.epoch == new.epoch => {}
        (_, Some(new)) => {
            metrics.count_lease_event("acquired");
            let wait = new.orders_allowed_from.since(now).as_millis();
            Line::new("lease_acquired")
                .with("scope", scope)
                .with("epoch", new.epoch)
                .with("orders_after_ms", wait)
                .info();
        }
        (Some(old), None) => {
            metrics.count_lease_event("lost");
            Line::new("lease_lost").with("scope", scope).with("epoch", old.epoch).warn();
        }
        (None, None) => {}
    }
}
