//! Prefix cache in limited memory, with events that arrive late and with gaps.

use std::{collections::VecDeque, time::Duration};

use filbertsail_api::engine::{CacheEvent, CacheEvents, Change};
use filbertsail_clock::Instant;
use sha2::{Digest, Sha256};

/// Bytes of the prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;
/// Events kept for readers.
const MAX_EVENTS: usize = 1024;

/// Hash of a prompt's prefix, as in cache events.
#[must_use]
pub fn prefix(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let hash = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hash.iter().take(8).map(|byte| format!("{byte:02x}")).collect()
}

#[derive(Debug)]
pub(super) struct Cache {
    // Least recently used first.
    entries: VecDeque<String>,
    capacity: usize,
    gap: u64,
    seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    pub fn new(capacity: usize, gap: u64) -> Self {
        Self { entries: VecDeque::new(), capacity, gap, seq: 0, events: VecDeque::new() }
    }

    /// Looks a prefix up and stores it; returns whether it was there.
    pub fn touch(&mut self, prefix: &str, now: Instant) -> bool {
        let found = self.entries.iter().position(|entry| entry == prefix);
        if let Some(index) = found {
            self.entries.remove(index);
        } else {
            self.publish(Change::Stored, prefix.to_owned(), now);
        }
        self.entries.push_back(prefix.to_owned());
        while self.entries.len() > self.capacity {
            if let Some(evicted) = self.entries.pop_front() {
                self.publish(Change::Evicted, evicted, now);
            }
        }
        found.is_some()
    }

    /// Whether a prefix is stored.
    pub fn contains(&self, prefix: &str) -> bool {
        self.entries.iter().any(|entry| entry == prefix)
    }

    /// Share of the cache in use, in thousandths.
    pub fn used_permille(&self) -> u32 {
        u32::try_from(self.entries.len() * 1_000 / self.capacity.max(1)).unwrap_or(1_000)
    }

    fn publish(&mut self, change: Change, prefix: String, now: Instant) {
        let seq = self.seq;
        self.seq += 1;
        if self.gap > 0 && self.seq.is_multiple_of(self.gap) {
            return;
        }
        self.events.push_back((now, CacheEvent { seq, change, prefix }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events from number `after` that are at least `lag` old; `next` is the number to ask for next.
    pub fn events(&self, after: u64, now: Instant, lag: Duration) -> CacheEvents {
        let limit = now.before(lag);
        let events: Vec<_> = self
            .events
            .iter()
            .filter(|(at, event)| *at <= limit && event.seq >= after)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(after, |event| event.seq + 1);
        CacheEvents { events, next }
    }
}
