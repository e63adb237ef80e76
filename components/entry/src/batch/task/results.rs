//! Storage of results and partial outputs.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key as Handle;
use filbertsail_ports::store::{
    Commit, Fault, Key, MAX_ENTRIES, MAX_VALUE_BYTES, Row, Store, Transaction,
};
use filbertsail_telemetry::event::Line;
use tokio::time::sleep;

use super::{Command, MAX_RESULTS_PER_TRANSACTION, STORE_RETRY_DELAY, Task};
use crate::{
    batch::{
        Meta, Partial,
        execution::{Append, Execution, Phase},
        rows,
    },
    dialect::Dialect,
};

/// Limit of result or output bytes in one transaction.
pub(super) const MAX_BYTES_PER_TRANSACTION: usize = 600 * 1024;
/// New events after which a partial output is saved again: about one second of output.
const SAVE_INTERVAL_EVENTS: u32 = 25;
/// Time that a complete output waits for its score before it is saved. Most scores arrive sooner,
/// and saving each output would store every text twice.
const UNSCORED_SAVE_DELAY: Duration = Duration::from_secs(1);

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn flush_all_results(&mut self, now: Instant) {
        let keys: Vec<Handle<Execution>> = self.executions.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.flush_results(key, now);
        }
    }

    /// Stores the last results of a step without waiting for the next round of flushes.
    pub(super) fn flush_complete_step(&mut self, key: Handle<Execution>, now: Instant) {
        if self.executions.get(key).is_some_and(Execution::has_wanted_groups) {
            self.flush_results(key, now);
        }
    }

    pub(super) fn flush_results(&mut self, key: Handle<Execution>, now: Instant) {
        let Some(execution) = self.executions.get_mut(key) else { return };
        if execution.pending_append.is_some() || !execution.must_flush(now) {
            return;
        }
        execution.pending_append = Some(take_next_results(execution));
        self.write_results(key, Duration::ZERO);
    }

    /// Writes the pending append after `delay`.
    pub(super) fn write_results(&mut self, key: Handle<Execution>, delay: Duration) {
        let Some((batch, execution)) = self.execution(key) else { return };
        let Some(transaction) = results_transaction(&batch, execution) else { return };
        let (store, commands) = (self.store.clone(), self.commands.clone());
        tokio::spawn(async move {
            sleep(delay).await;
            let result = store.transact(transaction).await;
            // The receiver lives as long as the process.
            let _ = commands.send(Command::ResultsStored { execution: key, result });
        });
    }

    pub(super) fn results_stored(&mut self, key: Handle<Execution>, result: Result<Commit, Fault>) {
        let Some((batch, execution)) = self.execution(key) else { return };
        let Some(append) = execution.pending_append.clone() else { return };
        match result {
            Ok(commit) => self.publish_results(key, &batch, append, Some(commit.version)),
            Err(Fault::Conflict(present)) => self.resolve_conflict(key, &batch, append, &present),
            Err(fault) => {
                Line::new("results_delayed")
                    .with("batch", &batch)
                    .with("first", append.first)
                    .with("reason", fault)
                    .warn();
                self.write_results(key, STORE_RETRY_DELAY);
            }
        }
    }

    pub(super) fn resolve_conflict(
        &mut self,
        key: Handle<Execution>,
        batch: &str,
        append: Append,
        present: &[Row],
    ) {
        let row = present.iter().find(|row| row.key == batch);
        let meta = row.and_then(|row| rows::decode_meta(row.value.as_deref()?).ok());
        let (Some(row), Some(meta)) = (row, meta) else {
            Line::new("batch_lost")
                .with("batch", batch)
                .with("reason", "owner's row was deleted")
                .warn();
            return self.drop_execution(batch);
        };
        let now = self.shared.now();
        self.registry.record_batch(batch, meta.clone(), row.version, now);
        self.directory.set_meta(batch, Some(meta.clone()));
        // An earlier attempt of this transaction was committed, and its reply was lost.
        let position = rows::result_key(batch, append.first, 0).key;
        let committed = present.iter().any(|row| row.key == position && row.version > 0);
        let is_local = meta.owner.as_ref() == Some(&self.local_owner);
        if let Some(execution) = self.executions.get_mut(key).filter(|_| is_local) {
            (execution.meta, execution.row_version) = (meta.clone(), row.version);
        }
        if is_local && committed {
            self.publish_results(key, batch, append, None);
        } else if is_local && !meta.ended {
            return self.write_results(key, Duration::ZERO);
        }
        self.owned_row_changed(batch, key, meta, row.version);
    }

    /// Makes stored results visible to readers.
    pub(super) fn publish_results(
        &mut self,
        key: Handle<Execution>,
        batch: &str,
        append: Append,
        commit: Option<u64>,
    ) {
        let Some(execution) = self.executions.get_mut(key) else { return };
        execution.pending_append = None;
        execution.stored_count += append.results.len();
        execution.listing.append(append.results);
        if !execution.is_fully_stored() {
            return self.flush_results(key, self.shared.now());
        }
        execution.meta.complete = true;
        let meta = execution.meta.clone();
        if let Some(row_version) = commit {
            execution.row_version = row_version;
            self.registry.record_batch(batch, meta.clone(), row_version, self.shared.now());
        }
        self.directory.set_meta(batch, Some(meta));
        self.shared.metrics.count_batch_event("complete");
        Line::new("batch_complete").with("batch", batch).with("listed", append.first).info();
        // The listing stays until the caller ends the batch, so that reads need no store call.
    }

    /// Periodically saves outputs of running items, so that another owner can resume them.
    pub(super) fn save_partials(&mut self, now: Instant) {
        if self.shared.link.borrow().lost.is_some() {
            return;
        }
        let keys: Vec<Handle<Execution>> = self.executions.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some((batch, execution)) = self.execution(key) else { continue };
            if execution.is_saving {
                continue;
            }
            let (items, transaction) = unsaved_partials(&batch, execution, now);
            if items.is_empty() {
                continue;
            }
            if let Some(execution) = self.executions.get_mut(key) {
                execution.is_saving = true;
            }
            let (store, commands) = (self.store.clone(), self.commands.clone());
            tokio::spawn(async move {
                let items = match store.transact(transaction).await {
                    Ok(_) => items,
                    Err(fault) => {
                        Line::new("outputs_not_saved")
                            .with("batch", &batch)
                            .with("reason", fault)
                            .info();
                        Vec::new()
                    }
                };
                // The receiver lives as long as the process.
                let _ = commands.send(Command::PartialsSaved { execution: key, items });
            });
        }
    }

    pub(super) fn partials_saved(&mut self, key: Handle<Execution>, items: &[Saved]) {
        let Some(execution) = self.executions.get_mut(key) else { return };
        execution.is_saving = false;
        for saved in items {
            let state = &mut execution.states[saved.item];
            (state.saved_events, state.saved_failures) = (saved.events, saved.failures);
        }
    }
}

/// Item whose output was saved.
#[derive(Clone, Copy, Debug)]
pub struct Saved {
    /// Index of the item.
    item: usize,
    events: u32,
    failures: u32,
}

/// Outputs with enough new events or a new failure, as many as fit into one transaction.
fn unsaved_partials(batch: &str, execution: &Execution, now: Instant) -> (Vec<Saved>, Transaction) {
    let (mut items, mut writes, mut bytes) = (Vec::new(), Vec::new(), 0);
    for (item, state) in execution.states.iter().enumerate() {
        if matches!(state.phase, Phase::Ended) {
            continue;
        }
        let progress = state.output.lock();
        let partial = &progress.partial;
        let is_full =
            writes.len() >= MAX_RESULTS_PER_TRANSACTION || bytes > MAX_BYTES_PER_TRANSACTION;
        let is_due = match &state.phase {
            Phase::Scoring(scoring) => {
                partial.saved_events() > state.saved_events
                    && now.since(scoring.since) >= UNSCORED_SAVE_DELAY
            }
            _ => partial.events >= state.saved_events + SAVE_INTERVAL_EVENTS,
        };
        let is_due = is_due || state.failures > state.saved_failures;
        if is_full || !is_due {
            continue;
        }
        let id = execution.submission.items[item].id.clone();
        let failures = state.failures;
        let value = rows::encode_partial(&Partial { id, failures, ..partial.clone() });
        // A longer output does not fit into a row; the last saved one stays.
        if value.len() <= MAX_VALUE_BYTES {
            bytes += value.len();
            items.push(Saved { item, events: partial.saved_events(), failures });
            writes.push((rows::partial_key(batch, item), value));
        }
    }
    let checks = vec![(rows::meta_key(batch), execution.row_version)];
    (items, Transaction { checks, writes, deletes: Vec::new() })
}

/// Takes the next results that fit into one transaction.
pub(super) fn take_next_results(execution: &mut Execution) -> Append {
    let mut append = Append { first: execution.stored_count, results: Vec::new() };
    let mut bytes = 0;
    while let Some(record) = execution.unstored.front() {
        bytes += record.text.len() + 128;
        let is_full = append.results.len() >= MAX_RESULTS_PER_TRANSACTION
            || bytes > MAX_BYTES_PER_TRANSACTION;
        if is_full && !append.results.is_empty() {
            break;
        }
        append.results.extend(execution.unstored.pop_front());
    }
    append
}

/// Transaction that appends the pending results if the owner's row is unchanged.
pub(super) fn results_transaction(batch: &str, execution: &Execution) -> Option<Transaction> {
    let append = execution.pending_append.as_ref()?;
    let mut writes: Vec<(Key, Bytes)> = Vec::new();
    for (offset, record) in append.results.iter().enumerate() {
        writes.extend(rows::encode_result(batch, append.first + offset, record));
    }
    if append.first + append.results.len() == execution.states.len() {
        let meta = Meta { complete: true, ..execution.meta.clone() };
        writes.push((rows::meta_key(batch), rows::encode_meta(&meta)));
    }
    let checks = vec![
        (rows::meta_key(batch), execution.row_version),
        (rows::result_key(batch, append.first, 0), 0),
    ];
    // The saved output of a finished item is no longer needed.
    let saved = append.results.iter().filter_map(|record| execution.index_of(&record.id));
    let saved = saved.filter(|item| {
        let state = &execution.states[*item];
        state.saved_events > 0 || state.saved_failures > 0
    });
    let room = MAX_ENTRIES.saturating_sub(checks.len() + writes.len());
    let deletes = saved.take(room).map(|item| rows::partial_key(batch, item)).collect();
    Some(Transaction { checks, writes, deletes })
}
