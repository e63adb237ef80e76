//! Pending fetches, their answers and the table calls that they need.

use std::{sync::Arc, time::Duration};

use filbertsail_api::trainer::{Batch, Group};
use filbertsail_clock::{Instant, Source};
use filbertsail_ports::{
    object::Store,
    table::{Error, Table},
};
use filbertsail_rollout::ledger::{self, Decision, Entry, Manifest, Record, Table as TableState};
use filbertsail_rounds::{cursor::Cursor, manifest, row};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::{Frame, frame};
use tokio::sync::oneshot;

use super::{Command, Context, Event, table, term::Term};
use crate::{
    gateways::Gateways,
    refusal::{fault, not_holder},
};

/// Shortest time between two writes of the progress row of a step.
const PROGRESS_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a fetch may wait for a table call beyond the wait that it requests.
const TABLE_CALL_GRACE: Duration = Duration::from_secs(2);
/// Largest number of batches kept in memory for repeated fetches.
const MAX_CACHED_BATCHES: usize = 4;

/// Fetch that is not answered yet.
pub struct Pending {
    /// Request of the trainer.
    pub fetch: ledger::Fetch,
    /// Whether the rows of the step were read after the fetch arrived.
    pub rows_read: bool,
    deadline: Instant,
    reply: Option<oneshot::Sender<Frame>>,
}

impl Pending {
    /// Pending fetch for a request of a gateway.
    ///
    /// # Errors
    /// Returns the request as a command if its cursor is not valid.
    pub fn new<T, S, G, C: Source>(
        context: &Context<T, S, G, C>,
        fetch: frame::Fetch,
        reply: oneshot::Sender<Frame>,
    ) -> Result<Self, Command> {
        let cursor = match &fetch.cursor {
            None => None,
            Some(text) => match Cursor::verify(&context.key, &fetch.trainer, text) {
                Some(cursor) => Some(cursor.into()),
                None => return Err(Command::Fetch { fetch, reply }),
            },
        };
        let deadline = context.clock.now().after(Duration::from_millis(fetch.wait_ms));
        let fetch = ledger::Fetch { step: fetch.step, version: fetch.version, cursor };
        Ok(Self { fetch, rows_read: false, deadline, reply: Some(reply) })
    }

    fn answer(&mut self, frame: Frame) {
        if let Some(reply) = self.reply.take() {
            // Fails only if the caller no longer waits.
            let _ = reply.send(frame);
        }
    }

    fn is_waiting(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| !reply.is_closed())
    }
}

impl<T: Table, S: Store, G: Gateways, C: Source> Term<T, S, G, C> {
    /// Answers all fetches that can be answered now and starts the table call that others need.
    pub(super) fn answer_fetches(&mut self) {
        if self.pending_fetches.is_empty() {
            return;
        }
        let mut pending = std::mem::take(&mut self.pending_fetches);
        for fetch in &mut pending {
            self.answer_fetch(fetch);
        }
        pending.retain(Pending::is_waiting);
        self.pending_fetches = pending;
    }

    fn answer_fetch(&mut self, pending: &mut Pending) {
        if !(self.is_held() || self.may_act_without_table()) {
            return pending.answer(not_holder());
        }
        let must_wait_for_table =
            self.table_state == TableState::Down && !self.context.policy.delivers_without_table();
        if !self.rows_loaded || must_wait_for_table {
            return self.keep_waiting(pending);
        }
        let step = pending.fetch.step;
        if !self.ledger.is_settled(step)
            && let Some(active) = self.active_rounds.get_mut(&step)
        {
            active.drop_stale(pending.fetch.version);
        }
        let stored_manifest =
            self.active_rounds.get(&step).and_then(|active| active.stored_manifest().cloned());
        match self.ledger.decide(&pending.fetch, stored_manifest, self.table_state) {
            Decision::Record(record) => {
                self.record_deliveries(record);
                self.answer_if_expired(pending, pending.deadline.after(TABLE_CALL_GRACE));
            }
            Decision::Commit(entry) => {
                self.commit_batch(entry);
                self.answer_if_expired(pending, pending.deadline.after(TABLE_CALL_GRACE));
            }
            Decision::Deliver { manifest, cursor } => self.send_batch(pending, manifest, cursor),
            Decision::Stale => pending.answer(fault("stale", "the batch is too old")),
            Decision::Superseded => pending.answer(fault("superseded", "a newer holder delivers")),
            Decision::Wait => self.keep_waiting(pending),
        }
    }

    fn keep_waiting(&self, pending: &mut Pending) {
        let step = pending.fetch.step;
        let active = self.active_rounds.get(&step);
        let unknown = active.is_none() && pending.rows_read && !self.loading_steps.contains(&step);
        if unknown && self.table_state == TableState::Up && !self.ledger.is_settled(step) {
            let code =
                if self.closed_steps.contains(&step) { "cancelled" } else { "unknown_round" };
            return pending.answer(fault(code, "the step has no open round"));
        }
        self.answer_if_expired(pending, pending.deadline);
    }

    /// Answers with the progress so far if `deadline` has passed.
    fn answer_if_expired(&self, pending: &mut Pending, deadline: Instant) {
        if self.context.clock.now() >= deadline {
            let active = self.active_rounds.get(&pending.fetch.step);
            let (ready, wanted) = active.map_or((0, 0), |active| {
                (active.round.ready_samples(), active.round.required_samples())
            });
            pending.answer(frame::Progress { ready, wanted }.into());
        }
    }

    fn send_batch(&mut self, pending: &mut Pending, manifest: Manifest, entries: Vec<Entry>) {
        let step = pending.fetch.step;
        let Some(reply) = pending.reply.take() else { return };
        let cursor = (!entries.is_empty()).then(|| {
            let (trainer, epoch) = (self.trainer.clone(), self.epoch);
            Cursor { trainer, epoch, taken: entries }.sign(&self.context.key)
        });
        self.demand.record_delivery(step, self.context.clock.now());
        let method = if cursor.is_some() { "cursor" } else { "committed" };
        self.context.metrics.count_batch(&self.trainer, method);
        Line::new("batch_delivered")
            .with("trainer", &self.trainer)
            .with("step", step)
            .with("epoch", self.epoch)
            .with("digest", &manifest.digest)
            .with("reason", method)
            .info();
        let groups = self.batch_groups(step, &manifest);
        let (store, trainer, epoch) =
            (self.context.store.clone(), self.trainer.clone(), self.epoch);
        self.tasks.spawn(async move {
            let groups = match groups {
                Some(groups) => Ok(groups.to_vec()),
                None => manifest::read_batch(&store, &trainer, step, epoch, &manifest)
                    .await
                    .map(|batch| batch.groups),
            };
            let frame = match groups {
                Ok(groups) => {
                    let digest = manifest.digest;
                    let batch = Batch { cursor, digest, epoch, groups, step, trainer };
                    let body = serde_json::to_vec(&batch).expect("a batch serializes to JSON");
                    frame::Batch { body }.into()
                }
                Err(error) => fault("object_store_unavailable", &error.to_string()),
            };
            // Fails only if the caller no longer waits.
            let _ = reply.send(frame);
        });
    }

    fn batch_groups(&mut self, step: u64, manifest: &Manifest) -> Option<Arc<Vec<Group>>> {
        if let Some(groups) = self.batch_cache.get(&manifest.digest) {
            return Some(groups.clone());
        }
        let active = self.active_rounds.get(&step)?;
        if active.stored_manifest()?.digest != manifest.digest {
            return None;
        }
        let groups = Arc::new(active.batch());
        self.batch_cache.insert(manifest.digest.clone(), groups.clone());
        while self.batch_cache.len() > MAX_CACHED_BATCHES {
            self.batch_cache.pop_first();
        }
        Some(groups)
    }

    fn commit_batch(&mut self, entry: Entry) {
        // The commit requires the row of the round.
        if self.table_call_running || self.unrecorded_offers.contains_key(&entry.step) {
            return;
        }
        self.table_call_running = true;
        let (table, trainer, epoch) =
            (self.context.table.clone(), self.trainer.clone(), self.epoch);
        self.spawn(async move {
            let result = table::commit(table, &trainer, epoch, &entry).await;
            Event::Table(table::Outcome::Commit(entry, result))
        });
    }

    /// Starts to record batches that were delivered by cursor.
    pub(super) fn record_deliveries(&mut self, record: Record) {
        if self.table_call_running || record.is_empty() {
            return;
        }
        self.table_call_running = true;
        let (table, trainer, epoch) =
            (self.context.table.clone(), self.trainer.clone(), self.epoch);
        self.spawn(async move {
            let result = table::record(table, &trainer, epoch, &record).await;
            Event::Table(table::Outcome::Record(result))
        });
    }

    /// Starts to read the lease row, to learn whether the table answers and who holds the lease.
    pub(super) fn probe_table(&mut self) {
        self.table_call_running = true;
        let (table, trainer) = (self.context.table.clone(), self.trainer.clone());
        self.spawn(async move {
            Event::Table(table::Outcome::Probe(table::probe(table, &trainer).await))
        });
    }

    /// Starts to read rounds and manifests.
    pub(super) fn refresh_rows(&mut self) {
        self.table_call_running = true;
        let (table, trainer) = (self.context.table.clone(), self.trainer.clone());
        let first_active = self.active_rounds.keys().next().copied();
        let last_closed = self
            .closed_steps
            .iter()
            .rev()
            .find(|step| first_active.is_none_or(|active| **step < active));
        let after_step = last_closed.copied().filter(|_| self.rows_loaded);
        let steps: Vec<u64> = self.steps_to_read.iter().copied().collect();
        self.spawn(async move {
            let result = table::refresh(table, &trainer, after_step, &steps).await;
            Event::Table(table::Outcome::Refresh(steps, result))
        });
    }

    /// Starts to write the progress row of one step whose stored groups have changed.
    pub(super) fn write_progress(&mut self, now: Instant) {
        let due = self.active_rounds.iter_mut().find(|(step, active)| {
            active.progress_changed
                && (self.draining
                    || now.since(active.progress_written_at) >= PROGRESS_WRITE_INTERVAL)
                && !self.ledger.is_settled(**step)
        });
        let Some((step, active)) = due else { return };
        (active.progress_changed, active.progress_written_at) = (false, now);
        let (step, progress): (u64, row::Progress) = (*step, active.progress());
        self.table_call_running = true;
        let (table, trainer, epoch) =
            (self.context.table.clone(), self.trainer.clone(), self.epoch);
        self.spawn(async move {
            let result = table::progress(table, &trainer, epoch, step, &progress).await;
            Event::Table(table::Outcome::Progress(step, result))
        });
    }

    /// Handles the result of a table call.
    pub(super) fn table_call_ended(&mut self, outcome: table::Outcome) {
        match outcome {
            table::Outcome::Commit(entry, commit) => self.commit_ended(entry, commit),
            table::Outcome::Record(result) => match self.track_table_state(result) {
                Some(Some(rows)) => rows.into_iter().for_each(|entry| self.settle_step(entry)),
                Some(None) => self.lease_lost = true,
                None => {}
            },
            table::Outcome::Progress(step, result) => {
                if !self.fenced_write_succeeded(result)
                    && let Some(active) = self.active_rounds.get_mut(&step)
                {
                    active.progress_changed = true;
                }
            }
            table::Outcome::Probe(result) => {
                if let Some(epoch) = self.track_table_state(result) {
                    self.lease_lost |= epoch != Some(self.epoch);
                }
            }
            table::Outcome::Refresh(steps, result) => {
                if let Some(rows) = self.track_table_state(result) {
                    self.rows_read(rows);
                    self.steps_to_read.retain(|step| !steps.contains(step));
                    for pending in &mut self.pending_fetches {
                        pending.rows_read |= steps.contains(&pending.fetch.step);
                    }
                }
            }
        }
    }

    fn commit_ended(&mut self, entry: Entry, commit: table::Commit) {
        let step = entry.step;
        match commit {
            table::Commit::Committed => {
                self.table_state = TableState::Up;
                Line::new("manifest_committed")
                    .with("trainer", &self.trainer)
                    .with("step", step)
                    .with("epoch", self.epoch)
                    .with("digest", &entry.manifest.digest)
                    .info();
                self.settle_step(entry);
            }
            table::Commit::Existing(manifest) => self.settle_step(Entry { step, manifest }),
            table::Commit::Closed => {
                self.steps_to_read.insert(step);
            }
            table::Commit::LeaseLost => self.lease_lost = true,
            table::Commit::Failed(error) => {
                if matches!(error, Error::Unknown(_)) {
                    self.ledger.record_uncertain_commit(entry);
                }
                self.fenced_write_succeeded(Err(error));
            }
        }
    }

    /// Whether a fenced write took effect; also tracks the lease and the state of the table.
    fn fenced_write_succeeded(&mut self, result: Result<bool, Error>) -> bool {
        match self.track_table_state(result) {
            Some(true) => true,
            Some(false) => {
                self.lease_lost = true;
                false
            }
            None => false,
        }
    }

    /// Value of a successful table call; updates and logs whether the table answers.
    fn track_table_state<R>(&mut self, result: Result<R, Error>) -> Option<R> {
        let previous = self.table_state;
        let value = match result {
            Ok(value) => {
                self.table_state = TableState::Up;
                Some(value)
            }
            Err(Error::Conflict(_)) => {
                self.table_state = TableState::Up;
                None
            }
            Err(Error::Limited) => None,
            Err(Error::Unavailable(_) | Error::Unknown(_)) => {
                self.table_state = TableState::Down;
                None
            }
        };
        if previous != self.table_state {
            let state = if self.table_state == TableState::Up { "up" } else { "down" };
            Line::new("table").with("trainer", &self.trainer).with("state", state).warn();
        }
        value
    }

    /// Marks the batch of a step as recorded and drops the active round.
    fn settle_step(&mut self, entry: Entry) {
        let step = entry.step;
        // Caches the groups for the pending fetch.
        self.batch_groups(step, &entry.manifest);
        self.ledger.mark_recorded(entry);
        self.drop_round(step);
    }
}
