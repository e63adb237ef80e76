//! Results and unfinished outputs on their way to the store.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key as Handle;
use filbertsail_ports::store::{
    Commit, Fault, Key, MAX_ENTRIES, MAX_VALUE_BYTES, Row, Store, Transaction,
};
use filbertsail_telemetry::event::Line;
use tokio::time::sleep;

use super::{Command, MAX_RESULTS, STORE_RETRY, Task};
use crate::{
    batch::{
        Meta, Partial, rows,
        run::{Phase, Run, Storing},
    },
    dialect::Dialect,
};

/// Most bytes of results in one transaction.
pub(super) const MAX_RESULT_BYTES: usize = 600 * 1024;
/// Events after which the output of an unfinished item is stored again: about a second of work.
const SAVE_EVENTS: u32 = 25;

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn store_all(&mut self, now: Instant) {
        let keys: Vec<Handle<Run>> = self.runs.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.store_results(key, now);
        }
    }

    pub(super) fn store_results(&mut self, key: Handle<Run>, now: Instant) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if run.storing.is_some() || !run.must_list(now) {
            return;
        }
        run.storing = Some(next_results(run));
        self.send_results(key, Duration::ZERO);
    }

    /// Sends the results being stored, after a pause.
    pub(super) fn send_results(&mut self, key: Handle<Run>, pause: Duration) {
        let Some((batch, run)) = self.named(key) else { return };
        let Some(transaction) = transaction(&batch, run) else { return };
        let (store, commands) = (self.store.clone(), self.commands.clone());
        tokio::spawn(async move {
            sleep(pause).await;
            let result = store.transact(transaction).await;
            // The task lives as long as the process.
            let _ = commands.send(Command::Stored { run: key, result });
        });
    }

    pub(super) fn stored(&mut self, key: Handle<Run>, result: Result<Commit, Fault>) {
        let Some((batch, run)) = self.named(key) else { return };
        let Some(storing) = run.storing.clone() else { return };
        match result {
            Ok(commit) => self.listed(key, &batch, storing, Some(commit.version)),
            Err(Fault::Conflict(present)) => self.conflict(key, &batch, storing, &present),
            Err(fault) => {
                Line::new("results_delayed")
                    .with("batch", &batch)
                    .with("first", storing.first)
                    .with("reason", fault)
                    .warn();
                self.send_results(key, STORE_RETRY);
            }
        }
    }

    pub(super) fn conflict(
        &mut self,
        key: Handle<Run>,
        batch: &str,
        storing: Storing,
        present: &[Row],
    ) {
        let row = present.iter().find(|row| row.key == batch);
        let meta = row.and_then(|row| rows::decode::<Meta>(row.value.as_deref()?).ok());
        let (Some(row), Some(meta)) = (row, meta) else {
            Line::new("batch_lost").with("batch", batch).with("reason", "row deleted").warn();
            return self.drop_run(batch);
        };
        let now = self.shared.now();
        self.register.note(batch, meta.clone(), row.version, now);
        self.boards.set_meta(batch, Some(meta.clone()));
        // An earlier transaction with the same results was committed, and its answer was lost.
        let position = rows::result(batch, storing.first, 0).key;
        let committed = present.iter().any(|row| row.key == position && row.version > 0);
        let mine = meta.owner.as_ref() == Some(&self.me);
        if let Some(run) = self.runs.get_mut(key).filter(|_| mine) {
            (run.meta, run.version) = (meta.clone(), row.version);
        }
        if mine && committed {
            self.listed(key, batch, storing, None);
        } else if mine && !meta.ended {
            return self.send_results(key, Duration::ZERO);
        }
        self.owned_row(batch, key, meta, row.version);
    }

    /// Results lie in the store, so readers may see them.
    pub(super) fn listed(
        &mut self,
        key: Handle<Run>,
        batch: &str,
        storing: Storing,
        commit: Option<u64>,
    ) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.storing = None;
        run.stored += storing.results.len();
        run.board.push(storing.results);
        if !run.is_listed() {
            return self.store_results(key, self.shared.now());
        }
        run.meta.complete = true;
        let meta = run.meta.clone();
        if let Some(version) = commit {
            run.version = version;
            self.register.note(batch, meta.clone(), version, self.shared.now());
        }
        self.boards.set_meta(batch, Some(meta));
        self.shared.metrics.batch("complete");
        Line::new("batch_complete").with("batch", batch).with("listed", storing.first).info();
        // The board stays until the caller ends the batch, so that reads need no call to the store.
    }

    /// Stores the outputs of long items now and then, so that another owner goes on from there.
    pub(super) fn save_outputs(&mut self) {
        if self.shared.link.borrow().lost.is_some() {
            return;
        }
        let keys: Vec<Handle<Run>> = self.runs.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some((batch, run)) = self.named(key) else { continue };
            if run.saving {
                continue;
            }
            let (items, transaction) = unsaved(&batch, run);
            if items.is_empty() {
                continue;
            }
            if let Some(run) = self.runs.get_mut(key) {
                run.saving = true;
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
                // The task lives as long as the process.
                let _ = commands.send(Command::Saved { run: key, items });
            });
        }
    }

    pub(super) fn saved(&mut self, key: Handle<Run>, items: &[(usize, u32)]) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.saving = false;
        for &(item, events) in items {
            run.slots[item].saved = events;
        }
    }
}

/// Outputs that have grown enough to be stored, as many as fit into one transaction.
fn unsaved(batch: &str, run: &Run) -> (Vec<(usize, u32)>, Transaction) {
    let (mut items, mut writes, mut bytes) = (Vec::new(), Vec::new(), 0);
    for (item, slot) in run.slots.iter().enumerate() {
        if matches!(slot.phase, Phase::Ended) {
            continue;
        }
        let progress = slot.output.lock();
        let partial = &progress.partial;
        let full = writes.len() >= MAX_RESULTS || bytes > MAX_RESULT_BYTES;
        if full || partial.events < slot.saved + SAVE_EVENTS {
            continue;
        }
        let id = run.submission.items[item].id.clone();
        let value = rows::encode(&Partial { id, ..partial.clone() });
        // A longer text does not fit into a row; its last shorter state stays.
        if value.len() <= MAX_VALUE_BYTES {
            bytes += value.len();
            items.push((item, partial.events));
            writes.push((rows::partial(batch, item), value));
        }
    }
    let checks = vec![(rows::meta(batch), run.version)];
    (items, Transaction { checks, writes, deletes: Vec::new() })
}

/// Takes the next results that fit into one transaction.
pub(super) fn next_results(run: &mut Run) -> Storing {
    let mut storing = Storing { first: run.stored, results: Vec::new() };
    let mut bytes = 0;
    while let Some(listed) = run.finished.front() {
        bytes += listed.text.len() + 128;
        let full = storing.results.len() >= MAX_RESULTS || bytes > MAX_RESULT_BYTES;
        if full && !storing.results.is_empty() {
            break;
        }
        storing.results.extend(run.finished.pop_front());
    }
    storing
}

/// Transaction that lists the results being stored, under the owner's row.
pub(super) fn transaction(batch: &str, run: &Run) -> Option<Transaction> {
    let storing = run.storing.as_ref()?;
    let mut writes: Vec<(Key, Bytes)> = Vec::new();
    for (offset, listed) in storing.results.iter().enumerate() {
        writes.extend(rows::encode_result(batch, storing.first + offset, listed));
    }
    if storing.first + storing.results.len() == run.slots.len() {
        let meta = Meta { complete: true, ..run.meta.clone() };
        writes.push((rows::meta(batch), rows::encode(&meta)));
    }
    let checks = vec![(rows::meta(batch), run.version), (rows::result(batch, storing.first, 0), 0)];
    // A listed item needs its saved output no more.
    let saved = storing.results.iter().filter_map(|listed| run.index(&listed.id));
    let saved = saved.filter(|item| run.slots[*item].saved > 0);
    let room = MAX_ENTRIES.saturating_sub(checks.len() + writes.len());
    let deletes = saved.take(room).map(|item| rows::partial(batch, item)).collect();
    Some(Transaction { checks, writes, deletes })
}
