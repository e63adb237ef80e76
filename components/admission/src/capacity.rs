//! What the workers of a service state about their capacity, as one VM knows it.

use std::time::Duration;

use derive_more::Display;
use filbertsail_clock::Instant;

/// Age up to which a stated load counts for the room at a worker. Requests of plain services last
/// a few hundred milliseconds at most, and a full worker must be tried again once they have ended.
pub const MAX_ROOM_AGE: Duration = Duration::from_millis(500);
/// Age up to which a worker that stated that it had no room gets one request at a time. Without
/// this limit, 90 VMs whose statements have aged fill the queues with all that they have.
const PROBE_WINDOW: Duration = Duration::from_secs(4);
/// Places in a worker's queue for each of its slots.
const QUEUE_PER_SLOT: u32 = 4;

/// Requests at a worker, running or queued, from which on it has no room: its slots and half of its
/// queue are taken.
#[must_use]
pub const fn room_limit(slots: u32) -> u32 {
    slots.saturating_mul(1 + QUEUE_PER_SLOT / 2)
}

/// Requests that a worker takes at most.
const fn full_limit(slots: u32) -> u32 {
    slots.saturating_mul(1 + QUEUE_PER_SLOT)
}

/// What a VM knows of a usable worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Worker {
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests of this VM there.
    pub in_flight: u32,
    /// Requests of other VMs there according to its last statement, and when it made it.
    pub others: Option<(u32, Instant)>,
}

/// Capacity of a service.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
pub enum Capacity {
    /// A worker has room, or nothing is known of it.
    #[display("room")]
    Room,
    /// A worker stated that it had no room, but not recently. One request may find out.
    #[display("probe")]
    Probe,
    /// Every worker states that more than half of its queue is taken, but not all of one queue.
    #[display("reserve")]
    Reserve {
        /// Requests at the least loaded worker for each of its slots.
        load_per_slot: f64,
    },
    /// Every worker states that its queue is full.
    #[display("full")]
    Full,
    /// No worker is known or usable.
    #[display("unusable")]
    Unusable,
}

/// Capacity of a service, with the age of what it follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Assessment {
    pub capacity: Capacity,
    /// Age of the oldest statement that counts; absent if there is none.
    pub age: Option<Duration>,
    /// When a statement loses its effect.
    pub changes_at: Option<Instant>,
}

impl Assessment {
    /// Assesses the capacity from the usable `workers`.
    pub fn new(workers: impl IntoIterator<Item = Worker>, now: Instant) -> Self {
        let mut assessment = Self { capacity: Capacity::Unusable, age: None, changes_at: None };
        for worker in workers {
            let capacity = worker.capacity(now);
            if rank(capacity) > rank(assessment.capacity) {
                assessment.capacity = capacity;
            }
            if let Some((_, at)) = worker.others.filter(|(_, at)| now.since(*at) < PROBE_WINDOW) {
                assessment.age = assessment.age.max(Some(now.since(at)));
                assessment.add_change(at.after(MAX_ROOM_AGE), now);
            }
        }
        assessment
    }

    /// Adds a time at which the capacity may change.
    pub fn add_change(&mut self, at: Instant, now: Instant) {
        if at > now {
            self.changes_at = Some(self.changes_at.map_or(at, |earlier| earlier.min(at)));
        }
    }
}

/// Order of capacities; more room ranks higher.
fn rank(capacity: Capacity) -> f64 {
    match capacity {
        Capacity::Unusable => -3.0,
        Capacity::Full => -2.0,
        // From -2 to -1, since less load is more room.
        Capacity::Reserve { load_per_slot } => -1.0 - load_per_slot / (load_per_slot + 1.0),
        Capacity::Probe => 0.0,
        Capacity::Room => 1.0,
    }
}

impl Worker {
    fn capacity(&self, now: Instant) -> Capacity {
        let stated =
            self.others.map(|(others, at)| (self.in_flight.saturating_add(others), now.since(at)));
        let limit = room_limit(self.slots);
        let (load, age) = match stated {
            Some((load, age)) if age < MAX_ROOM_AGE => (load, age),
            Some((load, age)) if load >= limit && age < PROBE_WINDOW => (load, age),
            _ => (self.in_flight, Duration::ZERO),
        };
        if load < limit {
            return Capacity::Room;
        }
        if age >= MAX_ROOM_AGE && self.in_flight == 0 {
            return Capacity::Probe;
        }
        if load < full_limit(self.slots) {
            let load_per_slot = f64::from(load) / f64::from(self.slots.max(1));
            return Capacity::Reserve { load_per_slot };
        }
        Capacity::Full
    }
}
