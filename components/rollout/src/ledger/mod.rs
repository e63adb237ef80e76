//! Delivery ledger of one trainer: which batch a step has, and what must be recorded before the
//! next delivery.
//!
//! A step has one batch. While the table answers, its manifest is committed before delivery. While
//! it does not, the batch is delivered with a cursor that the trainer sends back; whoever holds the
//! lease then records it before anything else. A trainer takes one batch at a time and refuses an
//! epoch lower than the highest it has seen, so what its cursor states overrides a manifest that
//! was committed and never taken.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::staleness;

/// Steps whose manifests stay in memory; older ones are answered from the table.
const KEPT_STEPS: usize = 64;
/// Batches that may be delivered and not recorded; the cursor must fit a query parameter.
pub const MAX_TAKEN: usize = 16;

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

/// What to do about a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Record these batches, report them, then decide again.
    Record(Vec<Taken>),
    /// Commit this batch if the step has none, report the result, then decide again.
    Commit(Taken),
    /// Deliver. The batches under `cursor` are not recorded yet.
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
    pinned: BTreeMap<u64, Manifest>,
    uncertain: BTreeSet<u64>,
}

impl Ledger {
    /// Ledger of the holder with fencing number `epoch` that read `recorded` from the table.
    #[must_use]
    pub fn new(epoch: u64, recorded: impl IntoIterator<Item = Taken>) -> Self {
        let recorded = recorded.into_iter().map(|taken| (taken.step, taken.manifest)).collect();
        let (taken, pinned) = (BTreeMap::new(), BTreeMap::new());
        Self { epoch, recorded, taken, pinned, uncertain: BTreeSet::new() }
    }

    /// Whether the batch of `step` is settled, so that its samples cannot change any more.
    #[must_use]
    pub fn is_settled(&self, step: u64) -> bool {
        [&self.recorded, &self.taken, &self.pinned].iter().any(|map| map.contains_key(&step))
    }

    /// Batches delivered and not recorded.
    #[must_use]
    pub fn unrecorded(&self) -> Vec<Taken> {
        let taken = self.taken.iter();
        taken.map(|(step, manifest)| Taken { step: *step, manifest: manifest.clone() }).collect()
    }

    /// Takes over what a cursor states.
    pub fn echo(&mut self, echo: &Echo) {
        for Taken { step, manifest } in &echo.taken {
            let known = self.recorded.get(step);
            if known.is_some_and(|known| known.digest == manifest.digest) {
                continue;
            }
            self.pinned.remove(step);
            self.recorded.remove(step);
            self.taken.insert(*step, manifest.clone());
        }
    }

    /// Decides on a fetch. `candidate` is the complete batch of the step, if there is one.
    pub fn decide(&mut self, fetch: &Fetch, candidate: Option<Manifest>, table: Table) -> Decision {
        if let Some(echo) = &fetch.echo {
            if echo.epoch > self.epoch {
                return Decision::Superseded;
            }
            self.echo(echo);
        }
        if table == Table::Up && !self.taken.is_empty() {
            return Decision::Record(self.unrecorded());
        }
        let step = fetch.step;
        if let Some(known) = self.recorded.get(&step).or_else(|| self.taken.get(&step)) {
            return self.deliver(known.clone(), fetch.version);
        }
        let pinned = self.pinned.get(&step).cloned();
        let Some(manifest) = pinned.or(candidate.filter(|it| !it.is_stale(fetch.version))) else {
            return Decision::Wait;
        };
        if table == Table::Up {
            self.pinned.insert(step, manifest.clone());
            return Decision::Commit(Taken { step, manifest });
        }
        if manifest.is_stale(fetch.version) {
            return Decision::Stale;
        }
        if self.taken.len() >= MAX_TAKEN {
            return Decision::Wait;
        }
        self.pinned.remove(&step);
        self.taken.insert(step, manifest.clone());
        self.deliver(manifest, fetch.version)
    }

    fn deliver(&self, manifest: Manifest, version: u64) -> Decision {
        if manifest.is_stale(version) {
            return Decision::Stale;
        }
        Decision::Deliver { manifest, cursor: self.unrecorded() }
    }

    /// Takes note that the table records `taken`.
    pub fn recorded(&mut self, taken: Taken) {
        self.pinned.remove(&taken.step);
        self.taken.remove(&taken.step);
        self.recorded.insert(taken.step, taken.manifest);
        while self.recorded.len() > KEPT_STEPS {
            self.recorded.pop_first();
        }
    }

    /// Takes note that the answer to a commit was lost: the step keeps this batch.
    pub fn uncertain(&mut self, step: u64) {
        self.uncertain.insert(step);
    }

    /// Takes note that a commit was not written. Another batch may be chosen, unless an earlier
    /// commit of the same batch may have been written.
    pub fn unwritten(&mut self, step: u64) {
        if !self.uncertain.contains(&step) {
            self.pinned.remove(&step);
        }
    }

    /// Takes note that the round was closed before its batch was committed.
    pub fn closed(&mut self, step: u64) {
        self.pinned.remove(&step);
    }
}
