//! Local index of an engine's prefix cache, built from events that may be late or missing.

use std::collections::{HashSet, VecDeque};

/// Maximum number of prefixes indexed per engine; the oldest are removed first.
const MAX_PREFIXES: usize = 4_096;

/// Kind of a prefix cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The prefix is cached.
    Stored,
    /// The prefix is no longer cached.
    Evicted,
}

/// Index of the prefixes that one engine caches.
///
/// Prefix names derive from prompts, so the set uses a hasher that resists hash flooding.
#[derive(Clone, Debug, Default)]
pub struct Index {
    last_seq: u64,
    prefixes: HashSet<Box<str>>,
    insertion_order: VecDeque<Box<str>>,
}

impl Index {
    /// Sequence number of the last event applied.
    #[must_use]
    pub fn last_seq(&self) -> u64 {
        self.last_seq
    }

    /// Applies one event; clears the index first if events before it are missing. Ignores events
    /// that were already applied.
    pub fn apply(&mut self, seq: u64, change: Change, prefix: &str) {
        if seq <= self.last_seq {
            return;
        }
        if seq > self.last_seq + 1 {
            self.clear();
        }
        self.last_seq = seq;
        match change {
            Change::Stored => self.store(prefix),
            Change::Evicted => {
                self.prefixes.remove(prefix);
            }
        }
    }

    /// Sets the sequence number of the engine's last event; clears the index if it differs from the
    /// last one applied.
    pub fn sync(&mut self, last_seq: u64) {
        if last_seq != self.last_seq {
            self.clear();
            self.last_seq = last_seq;
        }
    }

    /// Forgets all events, as after a restart of the engine.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn clear(&mut self) {
        self.prefixes.clear();
        self.insertion_order.clear();
    }

    /// Whether the engine caches `prefix`, according to its events.
    #[must_use]
    pub fn contains(&self, prefix: &str) -> bool {
        self.prefixes.contains(prefix)
    }

    fn store(&mut self, prefix: &str) {
        if !self.prefixes.insert(prefix.into()) {
            return;
        }
        self.insertion_order.push_back(prefix.into());
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Change, Index};

    /// Guards against affinity to a prefix whose eviction event was lost.
    #[test]
    fn can_clear_the_index_at_a_gap() {
        let mut index = Index::default();
        index.apply(1, Change::Stored, "a");
        index.apply(2, Change::Stored, "b");
        index.apply(1, Change::Evicted, "b");
        assert!(index.contains("a") && index.contains("b"));
        index.apply(4, Change::Stored, "c");
        assert!(!index.contains("a") && index.contains("c"));
        index.sync(9);
        assert!(!index.contains("c"));
        assert_eq!(index.last_seq(), 9);
    }
}
