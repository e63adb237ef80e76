//! Delivery ledger of one trainer: which batch a step has, and what must be recorded before the
//! next delivery.
//!
//! A step has one batch. While the table answers, its manifest is committed before delivery. While
//! it does not, the batch is delivered with a cursor that the trainer sends back; whoever holds the
//! lease then records it before anything else. A trainer takes one batch at a time and refuses an
//! epoch lower than the highest it has seen, so what its cursor states overrides a manifest that
//! was committed and never taken.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::staleness;

/// Steps whose manifests stay in memory; older ones are answered from the table.
const KEPT_STEPS: usize = 64;
/// Batches that may be delivered and not recorded; the cursor must fit a query parameter. It covers
/// a table outage of a minute at steps of 2 s.
pub const MAX_TAKEN: usize = 32;

/// The one batch of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// Fencing number of the holder that made it.
    pub epoch: u64,
    /// Digest of the batch.
    pub digest: String,
    /// Key of the list of group bodies in the object store.
    pub object: String,
    /// Oldest weight version in the batch.
    pub oldest: u64,
    /// Staleness bound of the round.
    pub bound: u64,
}

impl Manifest {
    /// Whether the batch is too old for a trainer at `version`.
    #[must_use]
    pub fn is_stale(&self, version: u64) -> bool {
        staleness::of(version, self.oldest) > self.bound
    }
}

/// Batch of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taken {
    /// Step number.
    pub step: u64,
    /// Its batch.
    pub manifest: Manifest,
}

/// What a trainer's cursor states.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Echo {
    /// Fencing number of the delivery.
    pub epoch: u64,
    /// Batches taken and not recorded at that time.
    pub taken: Vec<Taken>,
}

/// Fetch of a trainer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// Step number.
    pub step: u64,
    /// Weight version of the trainer.
    pub version: u64,
    /// Cursor, if it sent one.
    pub echo: Option<Echo>,
}

/// Whether the table service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// It answers.
    Up,
    /// It does not answer, or its last answer was lost.
    Down,
}

/// Batches to record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Record {
    /// The trainer states that it took these; they replace any other batch of their steps.
    pub stated: Vec<Taken>,
    /// These were delivered, but nothing shows that they arrived; a recorded batch stays.
    pub offered: Vec<Taken>,
}

impl Record {
    /// Whether there is nothing to record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.stated.is_empty() && self.offered.is_empty()
    }
}

/// What to do about a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Record these batches, report what the table then holds, then decide again.
    Record(Record),
    /// Commit this batch if the step has none, report the result, then decide again.
    Commit(Taken),
    /// Deliver. The batches under `cursor` are not known to be recorded.
    Deliver {
        /// Batch to deliver.
        manifest: Manifest,
        /// Content of the cursor; empty if everything is recorded.
        cursor: Vec<Taken>,
    },
    /// The step has a batch that is too old for the trainer's version.
    Stale,
    /// The trainer has seen a newer holder.
    Superseded,
    /// There is nothing to deliver yet.
    Wait,
}

/// Ledger of one trainer during one term of the lease.
#[derive(Clone, Debug)]
pub struct Ledger {
    epoch: u64,
    recorded: BTreeMap<u64, Manifest>,
    taken: BTreeMap<u64, Manifest>,
    /// What the trainer's latest cursor states and the table does not record so.
    echoed: BTreeMap<u64, Manifest>,
}

impl Ledger {
    /// Ledger of the holder with fencing number `epoch` that read `recorded` from the table.
    #[must_use]
    pub fn new(epoch: u64, recorded: impl IntoIterator<Item = Taken>) -> Self {
        let recorded = recorded.into_iter().map(|taken| (taken.step, taken.manifest)).collect();
        Self { epoch, recorded, taken: BTreeMap::new(), echoed: BTreeMap::new() }
    }

    /// Whether the batch of `step` is settled, so that its samples cannot change any more.
    #[must_use]
    pub fn is_settled(&self, step: u64) -> bool {
        let settled = [&self.recorded, &self.taken, &self.echoed];
        settled.iter().any(|map| map.contains_key(&step))
    }

    /// What to record when the table answers.
    #[must_use]
    pub fn unwritten(&self) -> Record {
        let offered = self.taken.iter().filter(|(step, _)| !self.echoed.contains_key(step));
        Record { stated: list(&self.echoed), offered: list(offered) }
    }

    /// Batches that the trainer or this holder knows of and the table may not.
    #[must_use]
    pub fn unrecorded(&self) -> Vec<Taken> {
        let mut all = self.taken.clone();
        all.extend(self.echoed.clone());
        list(&all)
    }

    /// Takes over what the trainer's latest cursor states, in place of what an earlier one stated:
    /// a trainer that went back to a checkpoint has not taken the batches after it.
    pub fn echo(&mut self, echo: &Echo) {
        self.echoed.clear();
        for Taken { step, manifest } in &echo.taken {
            let known = self.recorded.get(step);
            if known.is_none_or(|known| known.digest != manifest.digest) {
                self.echoed.insert(*step, manifest.clone());
            }
        }
    }

    /// Decides on a fetch. `candidate` is the complete batch of the step, if there is one.
    pub fn decide(&mut self, fetch: &Fetch, candidate: Option<Manifest>, table: Table) -> Decision {
        let echo = fetch.echo.clone().unwrap_or_default();
        if echo.epoch > self.epoch {
            return Decision::Superseded;
        }
        self.echo(&echo);
        let unwritten = self.unwritten();
        if table == Table::Up && !unwritten.is_empty() {
            return Decision::Record(unwritten);
        }
        let step = fetch.step;
        let known = [&self.echoed, &self.recorded, &self.taken];
        if let Some(known) = known.iter().find_map(|map| map.get(&step)) {
            return self.deliver(known.clone(), fetch, table);
        }
        let Some(manifest) = candidate.filter(|it| !it.is_stale(fetch.version)) else {
            return Decision::Wait;
        };
        if table == Table::Up {
            return Decision::Commit(Taken { step, manifest });
        }
        if self.echoed.len() >= MAX_TAKEN {
            return Decision::Wait;
        }
        self.taken.insert(step, manifest.clone());
        self.deliver(manifest, fetch, table)
    }

    fn deliver(&self, manifest: Manifest, fetch: &Fetch, table: Table) -> Decision {
        if manifest.is_stale(fetch.version) {
            return Decision::Stale;
        }
        // The cursor states what the trainer has taken, never what was only offered to it.
        let mut cursor = self.echoed.clone();
        if table == Table::Down {
            // Even a recorded batch: a newer holder may have replaced its row.
            cursor.insert(fetch.step, manifest.clone());
        }
        Decision::Deliver { manifest, cursor: list(&cursor) }
    }

    /// Takes note that the answer to a commit was lost: the step keeps this batch.
    pub fn uncertain(&mut self, taken: Taken) {
        self.taken.insert(taken.step, taken.manifest);
    }

    /// Takes note that the table records `taken`.
    pub fn recorded(&mut self, taken: Taken) {
        self.taken.remove(&taken.step);
        self.echoed.remove(&taken.step);
        self.recorded.insert(taken.step, taken.manifest);
        while self.recorded.len() > KEPT_STEPS {
            self.recorded.pop_first();
        }
    }
}

fn list<'a>(steps: impl IntoIterator<Item = (&'a u64, &'a Manifest)>) -> Vec<Taken> {
    let steps = steps.into_iter();
    steps.map(|(step, manifest)| Taken { step: *step, manifest: manifest.clone() }).collect()
}
