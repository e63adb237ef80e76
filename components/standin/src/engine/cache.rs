//! Prefix cache of limited size. Its events are published with a delay and some are lost.

use std::{collections::VecDeque, time::Duration};

use filbertsail_api::engine::{CacheEvent, CacheEvents, Change};
use filbertsail_clock::Instant;
use sha2::{Digest, Sha256};

/// Length of a prompt's prefix in bytes.
const PREFIX_BYTES: usize = 64;
/// Events retained for readers.
const MAX_EVENTS: usize = 1024;

/// Hash of a prompt's prefix, as used in cache events.
#[must_use]
pub fn prefix_hash(prompt: &str) -> String {
    let bytes = prompt.as_bytes();
    let hash = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    hash.iter().take(8).map(|byte| format!("{byte:02x}")).collect()
}

#[derive(Debug)]
pub(super) struct Cache {
    /// Prefix hashes, least recently used first.
    entries: VecDeque<String>,
    capacity: usize,
    /// One of this many events is lost; 0 for none.
    loss_interval: u64,
    next_seq: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    pub fn new(capacity: usize, loss_interval: u64) -> Self {
        Self {
            entries: VecDeque::new(),
            capacity,
            loss_interval,
            next_seq: 0,
            events: VecDeque::new(),
        }
    }

    /// Marks a prefix as most recently used, storing it if needed; returns whether it was cached.
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

    /// Whether a prefix is cached.
    pub fn contains(&self, prefix: &str) -> bool {
        self.entries.iter().any(|entry| entry == prefix)
    }

    /// Cache usage in thousandths of its capacity.
    pub fn used_permille(&self) -> u32 {
        u32::try_from(self.entries.len() * 1_000 / self.capacity.max(1)).unwrap_or(1_000)
    }

    fn publish(&mut self, change: Change, prefix: String, now: Instant) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if self.loss_interval > 0 && self.next_seq.is_multiple_of(self.loss_interval) {
            return;
        }
        self.events.push_back((now, CacheEvent { seq, change, prefix }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Events from sequence number `after` on that are at least `delay` old, and the number to
    /// request next.
    pub fn events(&self, after: u64, now: Instant, delay: Duration) -> CacheEvents {
        let limit = now.before(delay);
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
