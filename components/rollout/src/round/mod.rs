//! State of one round: groups of slots, each filled by one complete response.

mod slot;

use filbertsail_clock::Instant;

pub use slot::{Attempt, Key, Sample, Slot};

use crate::staleness;

/// Specification of a round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
    pub step: u64,
    pub groups: u32,
    /// Samples per group.
    pub group_size: u32,
    /// Maximum number of tokens per sample.
    pub max_tokens: u32,
    /// Maximum staleness at delivery, in weight versions.
    pub max_staleness: u64,
    /// Time at which the trainer needs the batch.
    pub due_at: Instant,
    /// Whether samples need a score.
    pub needs_scores: bool,
}

/// Result of a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The response fills the slot; the other attempts must be cancelled.
    Accepted {
        /// Identifiers of the other attempts.
        losers: Vec<u64>,
    },
    /// The slot is already filled, or the attempt is unknown.
    Discarded,
}

/// Open round.
#[derive(Clone, Debug)]
pub struct Round {
    spec: Spec,
    slots: Vec<Slot>,
}

impl Round {
    /// Round without samples.
    #[must_use]
    pub fn new(spec: Spec) -> Self {
        let count = spec.groups as usize * spec.group_size as usize;
        Self { spec, slots: vec![Slot::default(); count] }
    }

    /// Specification of the round.
    #[must_use]
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Slot at `key`.
    ///
    /// # Panics
    /// Panics if `key` is outside the round.
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

    /// Slots with neither a sample nor a running attempt.
    pub fn open_slots(&self) -> impl Iterator<Item = Key> {
        self.slots().filter(|(_, slot)| slot.is_open()).map(|(key, _)| key)
    }

    #[must_use]
    pub fn ready_samples(&self) -> u64 {
        self.slots.iter().filter(|slot| slot.is_ready(self.spec.needs_scores)).count() as u64
    }

    #[must_use]
    pub fn required_samples(&self) -> u64 {
        self.slots.len() as u64
    }

    /// Whether every slot is ready.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.slots.iter().all(|slot| slot.is_ready(self.spec.needs_scores))
    }

    /// Whether every slot of `group` is ready.
    #[must_use]
    pub fn is_group_complete(&self, group: u32) -> bool {
        self.group(group).iter().all(|slot| slot.is_ready(self.spec.needs_scores))
    }

    #[must_use]
    pub fn running_attempts(&self) -> usize {
        self.slots.iter().map(|slot| slot.attempts.len()).sum()
    }

    /// Oldest weight version over all samples.
    #[must_use]
    pub fn oldest_version(&self) -> Option<u64> {
        self.slots.iter().filter_map(|slot| slot.sample.as_ref()?.oldest_version()).min()
    }

    /// Adds a running attempt.
    pub fn start_attempt(&mut self, key: Key, attempt: Attempt) {
        let index = self.index(key);
        self.slots[index].attempts.push(attempt);
    }

    /// Sets the number of tokens received by a running attempt.
    pub fn set_tokens(&mut self, key: Key, attempt: u64, tokens: u32) {
        let index = self.index(key);
        let running = &mut self.slots[index].attempts;
        if let Some(attempt) = running.iter_mut().find(|running| running.id == attempt) {
            attempt.tokens = tokens;
        }
    }

    /// Ends an attempt with a complete response; the first one fills the slot.
    pub fn complete_attempt(&mut self, key: Key, attempt: u64, sample: Sample) -> Finish {
        let index = self.index(key);
        let slot = &mut self.slots[index];
        let known = slot.attempts.iter().any(|running| running.id == attempt);
        if slot.sample.is_some() || !known {
            slot.attempts.retain(|running| running.id != attempt);
            return Finish::Discarded;
        }
        let losers = slot.attempts.iter().map(|running| running.id);
        let losers = losers.filter(|id| *id != attempt).collect();
        slot.attempts.clear();
        slot.sample = Some(sample);
        Finish::Accepted { losers }
    }

    /// Removes a failed attempt.
    pub fn fail_attempt(&mut self, key: Key, attempt: u64) {
        let index = self.index(key);
        self.slots[index].attempts.retain(|running| running.id != attempt);
    }

    /// Restores a sample stored by an earlier lease holder.
    pub fn restore_sample(&mut self, key: Key, sample: Sample) {
        let index = self.index(key);
        self.slots[index].sample = Some(sample);
    }

    /// Sets the score of the sample with this text; returns false if it was replaced meanwhile.
    pub fn set_score(&mut self, key: Key, text: &str, score: f64) -> bool {
        let index = self.index(key);
        let Some(sample) = &mut self.slots[index].sample else { return false };
        if sample.text != text {
            return false;
        }
        sample.score = Some(score);
        true
    }

    /// Removes samples that are too old for a trainer at `version` and returns their slots.
    pub fn drop_stale(&mut self, version: u64) -> Vec<Key> {
        let max_staleness = self.spec.max_staleness;
        let stale = self.slots().filter(|(_, slot)| {
            let oldest = slot.sample.as_ref().and_then(Sample::oldest_version);
            oldest.is_some_and(|oldest| staleness::of(version, oldest) > max_staleness)
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
