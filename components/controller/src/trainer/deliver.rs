//! Fetches that wait and the table calls that they need.

use std::{sync::Arc, time::Duration};

use filbertsail_api::trainer::{Batch, Group};
use filbertsail_clock::{Instant, Source};
use filbertsail_ports::{
    object::Store,
    table::{Error, Table},
};
use filbertsail_rollout::ledger::{self, Decision, Entry, Manifest, Record, Table as Reach};
use filbertsail_rounds::{cursor::Cursor, manifest, row};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::{Frame, frame};
use tokio::sync::oneshot;

use super::{Command, Event, Ports, ops, term::Term};
use crate::{
    gateways::Gateways,
    refusal::{fault, not_holder},
};

/// Time between two writes of the list of stored groups.
const NOTE_PERIOD: Duration = Duration::from_secs(1);
/// Time that a fetch waits for a table call beyond the wait that it states.
const CALL_GRACE: Duration = Duration::from_secs(2);
/// Batches kept in memory for repeated fetches.
const KEPT_BATCHES: usize = 4;

/// Fetch that has no answer yet.
pub struct Pending {
    /// What the trainer asks for.
    pub fetch: ledger::Fetch,
    /// The rows of the step were read after the fetch came.
    pub checked: bool,
    until: Instant,
    reply: Option<oneshot::Sender<Frame>>,
}

impl Pending {
    /// Fetch as it came from a gateway; given back if its cursor is not valid.
    pub fn new<T, S, G, C: Source>(
        ports: &Ports<T, S, G, C>,
        fetch: frame::Fetch,
        reply: oneshot::Sender<Frame>,
    ) -> Result<Self, Command> {
        let cursor = match &fetch.cursor {
            None => None,
            Some(text) => match Cursor::open(&ports.key, &fetch.trainer, text) {
                Some(cursor) => Some(cursor.into()),
                None => return Err(Command::Fetch { fetch, reply }),
            },
        };
        let until = ports.clock.now().after(Duration::from_millis(fetch.wait_ms));
        let fetch = ledger::Fetch { step: fetch.step, version: fetch.version, cursor };
        Ok(Self { fetch, checked: false, until, reply: Some(reply) })
    }

    fn answer(&mut self, frame: Frame) {
        if let Some(reply) = self.reply.take() {
            // Fails only if the caller is gone.
            let _ = reply.send(frame);
        }
    }

    fn is_open(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| !reply.is_closed())
    }
}

impl<T: Table, S: Store, G: Gateways, C: Source> Term<T, S, G, C> {
    /// Answers the fetches that can be answered and starts the table calls that others need.
    pub(super) fn deliver(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let mut pending = std::mem::take(&mut self.pending);
        for fetch in &mut pending {
            self.decide(fetch);
        }
        pending.retain(Pending::is_open);
        self.pending = pending;
    }

    fn decide(&mut self, pending: &mut Pending) {
        if !(self.is_held() || self.is_detached()) {
            return pending.answer(not_holder());
        }
        let stalled = self.reach == Reach::Down && !self.ports.policy.delivers_without_table();
        if !self.loaded || stalled {
            return self.wait(pending);
        }
        let step = pending.fetch.step;
        if !self.ledger.is_settled(step)
            && let Some(work) = self.works.get_mut(&step)
        {
            work.drop_stale(pending.fetch.version);
        }
        let candidate = self.works.get(&step).and_then(|work| work.candidate().cloned());
        match self.ledger.decide(&pending.fetch, candidate, self.reach) {
            Decision::Record(record) => {
                self.record(record);
                self.wait_until(pending, pending.until.after(CALL_GRACE));
            }
            Decision::Commit(taken) => {
                self.commit(taken);
                self.wait_until(pending, pending.until.after(CALL_GRACE));
            }
            Decision::Deliver { manifest, cursor } => self.send(pending, manifest, cursor),
            Decision::Stale => pending.answer(fault("stale", "the batch is too old")),
            Decision::Superseded => pending.answer(fault("superseded", "a newer holder delivers")),
            Decision::Wait => self.wait(pending),
        }
    }

    fn wait(&self, pending: &mut Pending) {
        let step = pending.fetch.step;
        let work = self.works.get(&step);
        let unknown = work.is_none() && pending.checked && !self.loading.contains(&step);
        if unknown && self.reach == Reach::Up && !self.ledger.is_settled(step) {
            let code = if self.closed.contains(&step) { "cancelled" } else { "unknown_round" };
            return pending.answer(fault(code, "the step has no open round"));
        }
        self.wait_until(pending, pending.until);
    }

    /// Keeps the fetch until `until`, then answers with the progress so far.
    fn wait_until(&self, pending: &mut Pending, until: Instant) {
        if self.ports.clock.now() >= until {
            let work = self.works.get(&pending.fetch.step);
            let (ready, wanted) = work
                .map_or((0, 0), |work| (work.round.ready_samples(), work.round.required_samples()));
            pending.answer(frame::Progress { ready, wanted }.into());
        }
    }

    fn send(&mut self, pending: &mut Pending, manifest: Manifest, taken: Vec<Entry>) {
        let step = pending.fetch.step;
        let Some(reply) = pending.reply.take() else { return };
        let cursor = (!taken.is_empty()).then(|| {
            let (trainer, epoch) = (self.trainer.clone(), self.epoch);
            Cursor { trainer, epoch, taken }.seal(&self.ports.key)
        });
        self.demand.record_delivery(step, self.ports.clock.now());
        let way = if cursor.is_some() { "cursor" } else { "committed" };
        self.ports.metrics.batch(&self.trainer, way);
        Line::new("batch_delivered")
            .with("trainer", &self.trainer)
            .with("step", step)
            .with("epoch", self.epoch)
            .with("digest", &manifest.digest)
            .with("reason", way)
            .info();
        let groups = self.groups(step, &manifest);
        let (store, trainer, epoch) = (self.ports.store.clone(), self.trainer.clone(), self.epoch);
        self.tasks.spawn(async move {
            let groups = match groups {
                Some(groups) => Ok(groups.to_vec()),
                None => manifest::read(&store, &trainer, step, epoch, &manifest)
                    .await
                    .map(|batch| batch.groups),
            };
            let frame = match groups {
                Ok(groups) => {
                    let digest = manifest.digest;
                    let batch = Batch { cursor, digest, epoch, groups, step, trainer };
                    let body = serde_json::to_vec(&batch).expect("a batch has a JSON form");
                    frame::Batch { body }.into()
                }
                Err(error) => fault("object_store_unavailable", &error.to_string()),
            };
            // Fails only if the caller is gone.
            let _ = reply.send(frame);
        });
    }

    fn groups(&mut self, step: u64, manifest: &Manifest) -> Option<Arc<Vec<Group>>> {
        if let Some(groups) = self.batches.get(&manifest.digest) {
            return Some(groups.clone());
        }
        let work = self.works.get(&step)?;
        if work.candidate()?.digest != manifest.digest {
            return None;
        }
        let groups = Arc::new(work.batch());
        self.batches.insert(manifest.digest.clone(), groups.clone());
        while self.batches.len() > KEPT_BATCHES {
            self.batches.pop_first();
        }
        Some(groups)
    }

    fn commit(&mut self, taken: Entry) {
        // The commit needs the round's row.
        if self.busy || self.offers.contains_key(&taken.step) {
            return;
        }
        self.busy = true;
        let (table, trainer, epoch) = (self.ports.table.clone(), self.trainer.clone(), self.epoch);
        self.spawn(async move {
            let result = ops::commit(table, &trainer, epoch, &taken).await;
            Event::Table(ops::Outcome::Commit(taken, result))
        });
    }

    /// Records batches that were delivered by cursor.
    pub(super) fn record(&mut self, record: Record) {
        if self.busy || record.is_empty() {
            return;
        }
        self.busy = true;
        let (table, trainer, epoch) = (self.ports.table.clone(), self.trainer.clone(), self.epoch);
        self.spawn(async move {
            let result = ops::record(table, &trainer, epoch, &record).await;
            Event::Table(ops::Outcome::Record(result))
        });
    }

    /// Asks the table whether it answers and who holds the lease.
    pub(super) fn probe(&mut self) {
        self.busy = true;
        let (table, trainer) = (self.ports.table.clone(), self.trainer.clone());
        self.spawn(
            async move { Event::Table(ops::Outcome::Probe(ops::probe(table, &trainer).await)) },
        );
    }

    /// Reads rounds and manifests.
    pub(super) fn refresh(&mut self) {
        self.busy = true;
        let (table, trainer) = (self.ports.table.clone(), self.trainer.clone());
        let open = self.works.keys().next().copied();
        let below = self.closed.iter().rev().find(|step| open.is_none_or(|open| **step < open));
        let floor = below.copied().filter(|_| self.loaded);
        let named: Vec<u64> = self.named.iter().copied().collect();
        self.spawn(async move {
            let result = ops::refresh(table, &trainer, floor, &named).await;
            Event::Table(ops::Outcome::Refresh(named, result))
        });
    }

    /// Writes the list of stored groups of one step, if it has changed.
    pub(super) fn note_progress(&mut self, now: Instant) {
        let due = self.works.iter_mut().find(|(step, work)| {
            work.unnoted
                && (self.draining || now.since(work.noted_at) >= NOTE_PERIOD)
                && !self.ledger.is_settled(**step)
        });
        let Some((step, work)) = due else { return };
        (work.unnoted, work.noted_at) = (false, now);
        let (step, progress): (u64, row::Progress) = (*step, work.progress());
        self.busy = true;
        let (table, trainer, epoch) = (self.ports.table.clone(), self.trainer.clone(), self.epoch);
        self.spawn(async move {
            let result = ops::progress(table, &trainer, epoch, step, &progress).await;
            Event::Table(ops::Outcome::Progress(step, result))
        });
    }

    /// Takes note of the result of a table call.
    pub(super) fn table_answered(&mut self, outcome: ops::Outcome) {
        match outcome {
            ops::Outcome::Commit(taken, commit) => self.committed(taken, commit),
            ops::Outcome::Record(result) => match self.reached(result) {
                Some(Some(rows)) => rows.into_iter().for_each(|taken| self.settle(taken)),
                Some(None) => self.lost = true,
                None => {}
            },
            ops::Outcome::Progress(step, result) => {
                if !self.answered(result)
                    && let Some(work) = self.works.get_mut(&step)
                {
                    work.unnoted = true;
                }
            }
            ops::Outcome::Probe(result) => {
                if let Some(epoch) = self.reached(result) {
                    self.lost |= epoch != Some(self.epoch);
                }
            }
            ops::Outcome::Refresh(named, result) => {
                if let Some(rows) = self.reached(result) {
                    self.rounds_read(rows);
                    self.named.retain(|step| !named.contains(step));
                    for pending in &mut self.pending {
                        pending.checked |= named.contains(&pending.fetch.step);
                    }
                }
            }
        }
    }

    fn committed(&mut self, taken: Entry, commit: ops::Commit) {
        let step = taken.step;
        match commit {
            ops::Commit::Done => {
                self.reach = Reach::Up;
                Line::new("manifest_committed")
                    .with("trainer", &self.trainer)
                    .with("step", step)
                    .with("epoch", self.epoch)
                    .with("digest", &taken.manifest.digest)
                    .info();
                self.settle(taken);
            }
            ops::Commit::Other(manifest) => self.settle(Entry { step, manifest }),
            ops::Commit::Closed => {
                self.named.insert(step);
            }
            ops::Commit::Lost => self.lost = true,
            ops::Commit::Failed(error) => {
                if matches!(error, Error::Unknown(_)) {
                    self.ledger.record_uncertain_commit(taken);
                }
                self.answered(Err(error));
            }
        }
    }

    /// Whether a fenced write took effect; notes a lost lease and an outage.
    fn answered(&mut self, result: Result<bool, Error>) -> bool {
        match self.reached(result) {
            Some(true) => true,
            Some(false) => {
                self.lost = true;
                false
            }
            None => false,
        }
    }

    /// Result of a call that reached the table; notes an outage.
    fn reached<R>(&mut self, result: Result<R, Error>) -> Option<R> {
        let before = self.reach;
        let value = match result {
            Ok(value) => {
                self.reach = Reach::Up;
                Some(value)
            }
            Err(Error::Conflict(_)) => {
                self.reach = Reach::Up;
                None
            }
            Err(Error::Limited) => None,
            Err(Error::Unavailable(_) | Error::Unknown(_)) => {
                self.reach = Reach::Down;
                None
            }
        };
        if before != self.reach {
            let state = if self.reach == Reach::Up { "up" } else { "down" };
            Line::new("table").with("trainer", &self.trainer).with("state", state).warn();
        }
        value
    }

    /// Ends the work on a step whose batch is recorded.
    fn settle(&mut self, taken: Entry) {
        let step = taken.step;
        // The groups stay in memory for the fetch that waits.
        self.groups(step, &taken.manifest);
        self.ledger.mark_recorded(taken);
        self.end_work(step);
    }
}
