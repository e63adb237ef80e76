//! Task that owns all leases of a daemon.

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
    Holding, Times, key,
    machine::{Action, Machine},
};
use crate::{metrics::Metrics, subset, token::Tokens};

/// Delay per rank of preference before a free lease is taken.
const RANK_DELAY: Duration = Duration::from_millis(200);
/// Largest delay by preference.
const MAX_RANK_DELAY: Duration = Duration::from_secs(1);
/// Shortest and longest pause of the task.
const PAUSES: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(500));
/// Time limit for releasing all leases at a planned stop.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);

/// Request to the task.
pub(crate) enum Command {
    /// Contend for a scope.
    Want { scope: String, id: u64, sender: watch::Sender<Option<Holding>> },
    /// Release a scope, unless a later guard contends for it.
    GiveUp { scope: String, id: u64 },
}

struct Entry {
    /// Guard that it serves.
    id: u64,
    machine: Machine,
    sender: watch::Sender<Option<Holding>>,
    /// A call for this scope is under way.
    busy: bool,
    /// To be released as soon as no call is under way.
    leaving: bool,
}

/// Result of a call to the table.
enum Outcome {
    Written(String, Result<Commit, Error>),
    Read(Vec<String>, Result<Vec<Row>, Error>),
    Released(String, u64, bool),
}

/// Names of the live controllers, for the preference.
pub(crate) type Candidates = watch::Receiver<Arc<[String]>>;

pub(crate) struct Task<T, C> {
    pub(crate) name: String,
    pub(crate) incarnation: u64,
    pub(crate) times: Times,
    pub(crate) table: T,
    pub(crate) clock: C,
    pub(crate) tokens: Arc<Tokens>,
    pub(crate) candidates: Candidates,
    pub(crate) metrics: Metrics,
    pub(crate) work: Work,
}

/// Leases and calls under way.
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
            let pause = self.step();
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(pause) => {}
                Some(outcome) = self.work.calls.join_next() => self.finish(outcome),
                command = commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => break,
                },
            }
        }
        // What is not released by then expires by its TTL.
        let _ = timeout(RELEASE_TIMEOUT, self.release_all()).await;
    }

    async fn release_all(&mut self) {
        for entry in self.work.entries.values_mut() {
            entry.leaving = true;
            entry.sender.send_replace(None);
        }
        self.step();
        while let Some(outcome) = self.work.calls.join_next().await {
            self.finish(outcome);
            self.step();
        }
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Want { scope, id, sender } => self.want(scope, id, sender),
            Command::GiveUp { scope, id } => {
                let entry = self.work.entries.get_mut(&scope);
                if let Some(entry) = entry.filter(|entry| entry.id == id) {
                    entry.leaving = true;
                    entry.sender.send_replace(None);
                }
            }
        }
    }

    fn want(&mut self, scope: String, id: u64, sender: watch::Sender<Option<Holding>>) {
        if let Some(entry) = self.work.entries.get_mut(&scope) {
            (entry.id, entry.sender, entry.leaving) = (id, sender, false);
            return;
        }
        let machine = self.machine(&scope);
        self.work.entries.insert(scope, Entry { id, machine, sender, busy: false, leaving: false });
    }

    fn machine(&self, scope: &str) -> Machine {
        Machine::new(scope, &self.name, self.incarnation, self.times)
    }

    /// Starts what is due for every scope; returns the time until more is due.
    fn step(&mut self) -> Duration {
        let now = self.clock.now();
        let mut looks = Vec::new();
        let mut next = now.after(PAUSES.1);
        let idle = self.work.entries.iter().filter(|(_, entry)| !entry.busy);
        let scopes: Vec<_> = idle.map(|(scope, _)| scope.clone()).collect();
        for scope in scopes {
            match self.action(&scope, now) {
                Some(Action::Look) => looks.push(scope),
                Some(Action::Write(transaction)) => self.write(scope, transaction),
                Some(Action::Wait(until)) => next = next.min(until),
                None => {}
            }
        }
        if !looks.is_empty() {
            self.add_contended(&mut looks);
            self.look(looks);
        }
        self.publish();
        next.since(self.clock.now()).clamp(PAUSES.0, PAUSES.1)
    }

    /// Adds the scopes that are looked at from time to time, so that one read serves them all.
    fn add_contended(&self, looks: &mut Vec<String>) {
        for (scope, entry) in &self.work.entries {
            let idle = !entry.busy && !entry.leaving;
            if idle && entry.machine.contends() && !looks.contains(scope) {
                looks.push(scope.clone());
            }
        }
    }

    fn action(&mut self, scope: &str, now: Instant) -> Option<Action> {
        let token = self.tokens.next();
        if self.work.entries.get(scope)?.leaving {
            self.release(scope, token);
            return None;
        }
        let candidates = self.candidates.borrow().clone();
        let others = candidates.iter().map(String::as_str).filter(|name| *name != self.name);
        let rank = u32::try_from(subset::rank(scope, &self.name, others)).unwrap_or(u32::MAX);
        let delay = RANK_DELAY.saturating_mul(rank).min(MAX_RANK_DELAY);
        Some(self.work.entries.get_mut(scope)?.machine.next(now, delay, token))
    }

    fn call(&mut self, call: impl Future<Output = Outcome> + Send + 'static) {
        self.work.calls.spawn(call);
    }

    fn write(&mut self, scope: String, transaction: Transaction) {
        self.set_busy(&scope, true);
        let table = self.table.clone();
        self.call(async move {
            let result = table.transact(transaction).await;
            Outcome::Written(scope, result)
        });
    }

    fn look(&mut self, scopes: Vec<String>) {
        for scope in &scopes {
            self.set_busy(scope, true);
        }
        let table = self.table.clone();
        self.call(async move {
            let keys = scopes.iter().map(|scope| key(scope)).collect();
            let rows = table.read(Query { keys }).await;
            Outcome::Read(scopes, rows)
        });
    }

    fn release(&mut self, scope: &str, token: String) {
        let Some(entry) = self.work.entries.get_mut(scope) else { return };
        let Some((epoch, transaction)) = entry.machine.release(token) else {
            self.work.entries.remove(scope);
            return;
        };
        entry.busy = true;
        let (table, scope) = (self.table.clone(), scope.to_owned());
        self.call(async move {
            // A lost release costs the next holder one TTL.
            let confirmed = table.transact(transaction).await.is_ok();
            Outcome::Released(scope, epoch, confirmed)
        });
    }

    fn set_busy(&mut self, scope: &str, busy: bool) {
        if let Some(entry) = self.work.entries.get_mut(scope) {
            entry.busy = busy;
        }
    }

    fn finish(&mut self, outcome: Result<Outcome, JoinError>) {
        let now = self.clock.now();
        match outcome {
            Ok(Outcome::Written(scope, result)) => self.written(&scope, result, now),
            Ok(Outcome::Read(scopes, rows)) => {
                for scope in &scopes {
                    self.read(scope, rows.as_deref(), now);
                }
            }
            Ok(Outcome::Released(scope, epoch, confirmed)) => {
                self.released(&scope);
                self.metrics.lease("released");
                Line::new("lease_released")
                    .with("scope", scope)
                    .with("epoch", epoch)
                    .with("confirmed", confirmed)
                    .info();
            }
            Err(error) => Line::new("lease_call_failed").with("error", error).error(),
        }
    }

    /// Drops the lease, or starts over if a later guard contends for it.
    fn released(&mut self, scope: &str) {
        let machine = self.machine(scope);
        let Some(entry) = self.work.entries.get_mut(scope) else { return };
        (entry.machine, entry.busy) = (machine, false);
        if entry.leaving {
            self.work.entries.remove(scope);
        }
    }

    fn written(&mut self, scope: &str, result: Result<Commit, Error>, now: Instant) {
        let Some(entry) = self.work.entries.get_mut(scope) else { return };
        entry.busy = false;
        match result {
            Ok(commit) => entry.machine.written(now, commit.revision),
            Err(Error::Conflict(_)) => entry.machine.conflict(now),
            Err(error) => {
                Line::new("lease_write_failed").with("scope", scope).with("error", error).debug();
                entry.machine.unknown(now);
            }
        }
    }

    fn read(&mut self, scope: &str, rows: Result<&[Row], &Error>, now: Instant) {
        let Some(entry) = self.work.entries.get_mut(scope) else { return };
        entry.busy = false;
        let key = key(scope);
        match rows {
            Ok(rows) => entry.machine.read(now, rows.iter().find(|row| row.key == key)),
            Err(_) => entry.machine.unread(now),
        }
    }

    /// Makes changes known and logs them.
    fn publish(&self) {
        let now = self.clock.now();
        for (scope, entry) in self.work.entries.iter().filter(|(_, entry)| !entry.leaving) {
            let holding = entry.machine.holding(now);
            let before = *entry.sender.borrow();
            if before == holding {
                continue;
            }
            entry.sender.send_replace(holding);
            log_change(&self.metrics, scope, before, holding, now);
        }
    }
}

fn log_change(
    metrics: &Metrics,
    scope: &str,
    before: Option<Holding>,
    after: Option<Holding>,
    now: Instant,
) {
    match (before, after) {
        (Some(old), Some(new)) if old.epoch == new.epoch => {}
        (_, Some(new)) => {
            metrics.lease("acquired");
            let wait = new.orders_from.since(now).as_millis();
            Line::new("lease_acquired")
                .with("scope", scope)
                .with("epoch", new.epoch)
                .with("orders_after_ms", wait)
                .info();
        }
        (Some(old), None) => {
            metrics.lease("lost");
            Line::new("lease_lost").with("scope", scope).with("epoch", old.epoch).warn();
        }
        (None, None) => {}
    }
}
