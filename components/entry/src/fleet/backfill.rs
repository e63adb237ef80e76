//! Room on engines beside items that wait for memory.
//!
//! Load pattern: an engine is lost while the others hold long items, and further long items wait
//! for memory of which short ones need little. As in EASY backfilling (Lifka, 1995), the first item
//! that finds no engine reserves the one that is expected to have room for it first. Items behind
//! it go to other engines, and to the reserved one if they are expected to end before.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;

use super::{Fleet, Requirements, Worker, item};

/// Engine that is kept for an item until it has room for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    pub worker: Key<Worker>,
    /// When the engine is expected to have room.
    pub due: Instant,
}

/// Running item, as far as its engine is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    pub worker: Key<Worker>,
    /// Expected tokens of prompt and output in the engine's memory.
    pub tokens: u64,
    /// When it is expected to end.
    pub ends_at: Instant,
}

/// Bounds on the items that find an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Largest size in tokens that an engine without a reservation takes.
    tokens: u64,
    /// Largest size in tokens that a reserved engine takes.
    reserved_tokens: u64,
    /// Largest number of events that a reserved engine generates before its reservation is due.
    reserved_events: f64,
}

impl Room {
    /// Whether an item of `tokens` tokens that generates `events` further events may find an
    /// engine. It finds none if this is false.
    #[must_use]
    pub fn may_fit(&self, tokens: u64, events: f64) -> bool {
        tokens <= self.tokens || (tokens <= self.reserved_tokens && events <= self.reserved_events)
    }
}

impl Fleet {
    /// Bounds on the items with the model and oldest allowed version of `requirements` that find an
    /// engine beside its reservations.
    #[must_use]
    pub fn room(&self, requirements: &Requirements<'_>, kv_tokens: u64, now: Instant) -> Room {
        let mut room = Room::default();
        for (key, worker) in self.workers_of(requirements.service) {
            if !self.has_slot(key, worker, requirements, now) {
                continue;
            }
            let free = item::free_tokens(worker, kv_tokens);
            match requirements.reservations.iter().find(|it| it.worker == key) {
                None => room.tokens = room.tokens.max(free),
                Some(reservation) => {
                    let events = self.events_before(key, reservation.due, now);
                    room.reserved_tokens = room.reserved_tokens.max(free);
                    room.reserved_events = room.reserved_events.max(events);
                }
            }
        }
        room
    }

    /// Engine that is expected to have room for an item first, after some of the items in `runs`
    /// have ended; none if no engine ever has, as for an item larger than the memory.
    #[must_use]
    pub fn reserve(
        &self,
        requirements: &Requirements<'_>,
        kv_tokens: u64,
        runs: &[Run],
        now: Instant,
    ) -> Option<Reservation> {
        if requirements.tokens > kv_tokens {
            return None;
        }
        let candidates = self.workers_of(requirements.service).filter(|(key, worker)| {
            !worker.entry.draining
                && worker.breaker.allows_request(now)
                && self.has_version(*key, worker, requirements, now)
                && requirements.reservations.iter().all(|it| it.worker != *key)
        });
        let due = |(key, worker): (Key<Worker>, &Worker)| {
            let due = room_at(key, worker, requirements.tokens, kv_tokens, runs, now)?;
            Some(Reservation { worker: key, due: due.max(worker.paused_until) })
        };
        candidates.filter_map(due).min_by_key(|reservation| reservation.due)
    }

    /// Whether a reservation keeps an item from the engine `key`.
    pub(super) fn is_kept_from(
        &self,
        key: Key<Worker>,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> bool {
        let reserved = requirements.reservations.iter().find(|it| it.worker == key);
        reserved.is_some_and(|it| requirements.events > self.events_before(key, it.due, now))
    }

    /// Events that a further item on the engine `key` generates before `due`; zero if the event
    /// interval of no engine is known.
    fn events_before(&self, key: Key<Worker>, due: Instant, now: Instant) -> f64 {
        let interval_ms = self.expected_interval_ms(key, 1, now);
        if interval_ms > 0.0 { due.since(now).as_secs_f64() * 1_000.0 / interval_ms } else { 0.0 }
    }
}

/// When an engine is expected to have a slot and memory for an item of `tokens` tokens.
fn room_at(
    key: Key<Worker>,
    worker: &Worker,
    tokens: u64,
    kv_tokens: u64,
    runs: &[Run],
    now: Instant,
) -> Option<Instant> {
    let mut runs: Vec<&Run> = runs.iter().filter(|run| run.worker == key).collect();
    runs.sort_unstable_by_key(|run| run.ends_at);
    let (mut reserved, mut in_flight) = (worker.reserved_tokens, worker.in_flight);
    let mut load = worker.load(now);
    let mut ends = runs.into_iter();
    let mut at = now;
    loop {
        let fits = reserved.saturating_add(tokens) <= item::planned_tokens(kv_tokens);
        if load < worker.slots(now) && (in_flight == 0 || fits) {
            return Some(at);
        }
        let run = ends.next()?;
        at = run.ends_at.max(now);
        reserved = reserved.saturating_sub(run.tokens);
        (in_flight, load) = (in_flight.saturating_sub(1), load.saturating_sub(1));
    }
}
