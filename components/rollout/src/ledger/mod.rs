//! Delivery ledger of one trainer: the batch of each step, and what must be recorded in the table
//! before the next delivery.
//!
//! Each step has exactly one batch. While the table is available, its manifest is committed before
//! the delivery. During an outage the batch is delivered with a cursor, which the trainer returns
//! with its next fetch; the lease holder then records its content before anything else. A trainer
//! accepts one batch at a time and rejects an epoch lower than the highest it has seen. Its cursor
//! therefore overrides a manifest that was committed but never accepted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::staleness;

/// Number of steps whose manifests are kept in memory; older ones are read from the table.
const MAX_CACHED_STEPS: usize = 64;
/// Maximum number of batches delivered but not recorded, since the cursor must fit into a query
/// parameter. Covers a table outage of one minute at 2 s per step.
pub const MAX_UNRECORDED_BATCHES: usize = 32;

/// Manifest of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Fencing token of the lease holder that created it.
    pub epoch: u64,
    /// Digest of the batch content.
    pub digest: String,
    /// Object store key of the list of group bodies.
    pub object: String,
    /// Oldest weight version in the batch.
    pub oldest: u64,
    /// Staleness bound of the round, in weight versions.
    pub bound: u64,
}

impl Manifest {
    /// Whether the batch exceeds the staleness bound for a trainer at `version`.
    #[must_use]
    pub fn is_stale(&self, version: u64) -> bool {
        staleness::of(version, self.oldest) > self.bound
    }
}

/// Step and its batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub step: u64,
    /// Manifest of its batch.
    pub manifest: Manifest,
}

/// Content of the cursor returned by a trainer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cursor {
    /// Fencing token of the delivery.
    pub epoch: u64,
    /// Batches accepted by the trainer but not recorded at that time.
    pub entries: Vec<Entry>,
}

/// Fetch request of a trainer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    pub step: u64,
    /// Weight version of the trainer.
    pub version: u64,
    /// Cursor of the last delivery, if it had one.
    pub cursor: Option<Cursor>,
}

/// Availability of the table service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// The service responds.
    Up,
    /// The service does not respond, or its last response was lost.
    Down,
}

/// Batches to record in the table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// Accepted by the trainer according to its cursor; replace any other batch of their steps.
    pub accepted: Vec<Entry>,
    /// Delivered, but not known to be accepted; never replace a recorded batch.
    pub unconfirmed: Vec<Entry>,
}

impl Record {
    /// Whether there is no batch to record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accepted.is_empty() && self.unconfirmed.is_empty()
    }
}

/// Next action for a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Record these batches, pass what the table then holds to the ledger, then decide again.
    Record(Record),
    /// Commit this batch if the step has none, pass the result to the ledger, then decide again.
    Commit(Entry),
    /// Deliver the batch with this cursor.
    Deliver {
        /// Batch to deliver.
        manifest: Manifest,
        /// Batches that are not known to be recorded; empty for a delivery without cursor.
        cursor: Vec<Entry>,
    },
    /// Reject: the batch of the step is too old for the trainer's version.
    Stale,
    /// Reject: the trainer has seen a newer lease holder.
    Superseded,
    /// Wait: there is no batch to deliver yet.
    Wait,
}

/// Delivery ledger of one trainer for one lease term.
#[derive(Clone, Debug)]
pub struct Ledger {
    epoch: u64,
    recorded: BTreeMap<u64, Manifest>,
    /// Batches that may have been delivered or committed, but are not known to be.
    unconfirmed: BTreeMap<u64, Manifest>,
    /// Batches in the trainer's last cursor that the table does not record.
    accepted: BTreeMap<u64, Manifest>,
}

impl Ledger {
    /// Ledger of the lease holder with the fencing token `epoch`; `recorded` is the content of the
    /// table.
    #[must_use]
    pub fn new(epoch: u64, recorded: impl IntoIterator<Item = Entry>) -> Self {
        let recorded = recorded.into_iter().map(|entry| (entry.step, entry.manifest)).collect();
        Self { epoch, recorded, unconfirmed: BTreeMap::new(), accepted: BTreeMap::new() }
    }

    /// Whether the batch of `step` is final, so that its samples must not change.
    #[must_use]
    pub fn is_settled(&self, step: u64) -> bool {
        let batches = [&self.recorded, &self.unconfirmed, &self.accepted];
        batches.iter().any(|map| map.contains_key(&step))
    }

    /// Batches to record once the table is available.
    #[must_use]
    pub fn pending_record(&self) -> Record {
        let unconfirmed =
            self.unconfirmed.iter().filter(|(step, _)| !self.accepted.contains_key(step));
        Record { accepted: to_entries(&self.accepted), unconfirmed: to_entries(unconfirmed) }
    }

    /// Batches that are not known to be recorded.
    #[must_use]
    pub fn unrecorded_entries(&self) -> Vec<Entry> {
        let mut all = self.unconfirmed.clone();
        all.extend(self.accepted.clone());
        to_entries(&all)
    }

    /// Replaces the content of the trainer's previous cursor with that of its last one. A trainer
    /// that restarted from a checkpoint has not accepted the batches after it.
    pub fn apply_cursor(&mut self, cursor: &Cursor) {
        self.accepted.clear();
        for Entry { step, manifest } in &cursor.entries {
            let recorded = self.recorded.get(step);
            if recorded.is_none_or(|recorded| recorded.digest != manifest.digest) {
                self.accepted.insert(*step, manifest.clone());
            }
        }
    }

    /// Determines the next action for a fetch; `candidate` is the batch of the step, if complete.
    pub fn decide(&mut self, fetch: &Fetch, candidate: Option<Manifest>, table: Table) -> Decision {
        let cursor = fetch.cursor.clone().unwrap_or_default();
        if cursor.epoch > self.epoch {
            return Decision::Superseded;
        }
        self.apply_cursor(&cursor);
        let pending_record = self.pending_record();
        if table == Table::Up && !pending_record.is_empty() {
            return Decision::Record(pending_record);
        }
        let step = fetch.step;
        let batches = [&self.accepted, &self.recorded, &self.unconfirmed];
        if let Some(manifest) = batches.iter().find_map(|map| map.get(&step)) {
            return self.deliver(manifest.clone(), fetch, table);
        }
        let Some(manifest) = candidate.filter(|manifest| !manifest.is_stale(fetch.version)) else {
            return Decision::Wait;
        };
        if table == Table::Up {
            return Decision::Commit(Entry { step, manifest });
        }
        if self.accepted.len() >= MAX_UNRECORDED_BATCHES {
            return Decision::Wait;
        }
        self.unconfirmed.insert(step, manifest.clone());
        self.deliver(manifest, fetch, table)
    }

    fn deliver(&self, manifest: Manifest, fetch: &Fetch, table: Table) -> Decision {
        if manifest.is_stale(fetch.version) {
            return Decision::Stale;
        }
        // The cursor contains what the trainer has accepted, not what was only offered to it.
        let mut cursor = self.accepted.clone();
        if table == Table::Down {
            // Even if it is recorded, since a newer lease holder may have replaced the row.
            cursor.insert(fetch.step, manifest.clone());
        }
        Decision::Deliver { manifest, cursor: to_entries(&cursor) }
    }

    /// Records a commit with a lost response; the step keeps this batch.
    pub fn record_uncertain_commit(&mut self, entry: Entry) {
        self.unconfirmed.insert(entry.step, entry.manifest);
    }

    /// Marks a batch as recorded in the table.
    pub fn mark_recorded(&mut self, entry: Entry) {
        self.unconfirmed.remove(&entry.step);
        self.accepted.remove(&entry.step);
        self.recorded.insert(entry.step, entry.manifest);
        while self.recorded.len() > MAX_CACHED_STEPS {
            self.recorded.pop_first();
        }
    }
}

fn to_entries<'a>(steps: impl IntoIterator<Item = (&'a u64, &'a Manifest)>) -> Vec<Entry> {
    let steps = steps.into_iter();
    steps.map(|(step, manifest)| Entry { step: *step, manifest: manifest.clone() }).collect()
}
