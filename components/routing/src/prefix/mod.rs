//! View of one engine's prefix cache, from events that arrive late and with gaps.

use std::collections::{HashSet, VecDeque};

/// Most prefixes remembered per engine.
const MAX_PREFIXES: usize = 4_096;

/// Change of a prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The prefix is cached.
    Stored,
    /// The prefix is no longer cached.
    Evicted,
}

/// View of one engine's prefix cache.
///
/// Prefix names come from prompts, so the map's hasher must resist chosen keys.
#[derive(Clone, Debug, Default)]
pub struct View {
    last: u64,
    prefixes: HashSet<Box<str>>,
    order: VecDeque<Box<str>>,
}

impl View {
    /// Sequence number of the last event.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Applies one event; a gap before it discards the view.
    pub fn apply(&mut self, seq: u64, change: Change, prefix: &str) {
        if seq <= self.last {
            return;
        }
        if seq > self.last + 1 {
            self.clear();
        }
        self.last = seq;
        match change {
            Change::Stored => self.store(prefix),
            Change::Evicted => {
                self.prefixes.remove(prefix);
            }
        }
    }

    /// Notes that `last` is the engine's last event; lost or taken back events discard the view.
    pub fn advance(&mut self, last: u64) {
        if last != self.last {
            self.clear();
            self.last = last;
        }
    }

    /// Starts again, as after a restart of the engine.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    fn clear(&mut self) {
        self.prefixes.clear();
        self.order.clear();
    }

    /// Whether the engine is believed to cache `prefix`.
    #[must_use]
    pub fn contains(&self, prefix: &str) -> bool {
        self.prefixes.contains(prefix)
    }

    fn store(&mut self, prefix: &str) {
        if !self.prefixes.insert(prefix.into()) {
            return;
        }
        self.order.push_back(prefix.into());
        while self.order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.order.pop_front() {
                self.prefixes.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{Change, View};

    /// Guards against affinity to a prefix whose eviction was among the lost events.
    #[test]
    fn can_discard_the_view_at_a_gap() {
        let mut view = View::default();
        view.apply(1, Change::Stored, "a");
        view.apply(2, Change::Stored, "b");
        view.apply(1, Change::Evicted, "b");
        assert!(view.contains("a") && view.contains("b"));
        view.apply(4, Change::Stored, "c");
        assert!(!view.contains("a") && view.contains("c"));
        view.advance(9);
        assert!(!view.contains("c"));
        assert_eq!(view.last(), 9);
    }
}
