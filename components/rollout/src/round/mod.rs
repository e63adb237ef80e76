//! State of one round: groups of slots, each of which one whole answer fills.

mod slot;

use filbertsail_clock::Instant;

pub use slot::{Attempt, Key, Sample, Slot};

use crate::staleness;

/// What a round asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    /// Step number.
    pub step: u64,
    /// Number of groups.
    pub groups: u32,
    /// Samples per group.
    pub group_size: u32,
    /// Largest number of tokens per sample.
    pub max_tokens: u32,
    /// Largest staleness at delivery.
    pub bound: u64,
    /// Time at which the trainer needs the batch.
    pub due: Instant,
    /// Samples need a score.
    pub scored: bool,
}

/// Result of a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The answer fills the slot; the attempts named are to be cancelled.
    Won {
        /// Attempts that lost.
        losers: Vec<u64>,
    },
    /// Another attempt filled the slot first, or the attempt is unknown.
    Late,
}

/// Round under way.
#[derive(Clone, Debug)]
pub struct Round {
    spec: Spec,
    slots: Vec<Slot>,
}

impl Round {
    /// Round without any sample.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        let count = spec.groups as usize * spec.group_size as usize;
        Self { spec, slots: vec![Slot::default(); count] }
    }

    /// What the round asks for.
    #[must_use]
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Slot of `key`.
    ///
    /// # Panics
    /// Panics if the key lies outside the round.
    #[must_use]
    pub fn slot(&self, key: Key) -> &Slot {
        &self.slots[self.index(key)]
    }

    /// Slots with their keys, in group order.
    pub fn slots(&self) -> impl Iterator<Item = (Key, &Slot)> {
        let size = self.spec.group_size.max(1);
        (0_u32..)
            .zip(&self.slots)
            .map(move |(index, slot)| (Key { group: index / size, slot: index % size }, slot))
    }

    /// Slots of one group in order.
    #[must_use]
    pub fn group(&self, group: u32) -> &[Slot] {
        let size = self.spec.group_size as usize;
        &self.slots[group as usize * size..][..size]
    }

    /// Slots that neither hold a sample nor have an attempt under way.
    pub fn open(&self) -> impl Iterator<Item = Key> {
        self.slots().filter(|(_, slot)| slot.is_open()).map(|(key, _)| key)
    }

    /// Samples that count as ready.
    #[must_use]
    pub fn ready(&self) -> u64 {
        self.slots.iter().filter(|slot| slot.is_ready(self.spec.scored)).count() as u64
    }

    /// Samples wanted.
    #[must_use]
    pub fn wanted(&self) -> u64 {
        self.slots.len() as u64
    }

    /// Whether every slot holds a sample, with its score where one is needed.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.is_ready(self.spec.scored))
    }

    /// Whether every slot of `group` is ready.
    #[must_use]
    pub fn is_group_complete(&self, group: u32) -> bool {
        self.group(group).iter().all(|slot| slot.is_ready(self.spec.scored))
    }

    /// Attempts under way.
    #[must_use]
    pub fn running(&self) -> usize {
        self.slots.iter().map(|slot| slot.attempts.len()).sum()
    }

    /// Oldest version over all samples.
    #[must_use]
    pub fn oldest(&self) -> Option<u64> {
        self.slots.iter().filter_map(|slot| slot.sample.as_ref()?.oldest()).min()
    }

    /// Takes note of a new attempt.
    pub fn begin(&mut self, key: Key, attempt: Attempt) {
        let index = self.index(key);
        self.slots[index].attempts.push(attempt);
    }

    /// Takes note of the tokens and the worker of a running attempt.
    pub fn progress(&mut self, key: Key, attempt: u64, tokens: u32) {
        let index = self.index(key);
        let running = &mut self.slots[index].attempts;
        if let Some(attempt) = running.iter_mut().find(|running| running.id == attempt) {
            attempt.tokens = tokens;
        }
    }

    /// Decides on a whole answer: the first one fills the slot.
    pub fn finish(&mut self, key: Key, attempt: u64, sample: Sample) -> Finish {
        let index = self.index(key);
        let slot = &mut self.slots[index];
        let known = slot.attempts.iter().any(|running| running.id == attempt);
        if slot.sample.is_some() || !known {
            slot.attempts.retain(|running| running.id != attempt);
            return Finish::Late;
        }
        let losers = slot.attempts.iter().map(|running| running.id);
        let losers = losers.filter(|id| *id != attempt).collect();
        slot.attempts.clear();
        slot.sample = Some(sample);
        Finish::Won { losers }
    }

    /// Takes note of a failed attempt.
    pub fn fail(&mut self, key: Key, attempt: u64) {
        let index = self.index(key);
        self.slots[index].attempts.retain(|running| running.id != attempt);
    }

    /// Restores a sample that an earlier holder stored.
    pub fn restore(&mut self, key: Key, sample: Sample) {
        let index = self.index(key);
        self.slots[index].sample = Some(sample);
    }

    /// Stores a score, unless the sample has been replaced since it was sent to the scorer.
    pub fn score(&mut self, key: Key, text: &str, score: f64) -> bool {
        let index = self.index(key);
        let Some(sample) = &mut self.slots[index].sample else { return false };
        if sample.text != text {
            return false;
        }
        sample.score = Some(score);
        true
    }

    /// Drops samples that are too old for a trainer at `version` and returns their slots.
    pub fn drop_stale(&mut self, version: u64) -> Vec<Key> {
        let bound = self.spec.bound;
        let stale = self.slots().filter(|(_, slot)| {
            let oldest = slot.sample.as_ref().and_then(Sample::oldest);
            oldest.is_some_and(|oldest| staleness::of(version, oldest) > bound)
        });
        let stale: Vec<Key> = stale.map(|(key, _)| key).collect();
        for key in &stale {
            let index = self.index(*key);
            self.slots[index].sample = None;
        }
        stale
    }

    fn index(&self, key: Key) -> usize {
        key.group as usize * self.spec.group_size as usize + key.slot as usize
    }
}
