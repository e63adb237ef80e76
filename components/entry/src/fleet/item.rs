//! Placement of rollout items on engines.
//!
//! An item goes to a worker with a free slot and enough free memory. Workers differ in speed, and a
//! step waits for its slowest items, so speed is the main criterion. Items of a group share a
//! prompt and preferably go to the same worker.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;

use super::{Fleet, Reservation, Worker};

/// Share of the memory that is planned for items; the rest is a reserve, since lengths are
/// estimates.
const PLANNED_MEMORY_SHARE: f64 = 0.95;
/// Weight of the load relative to the speed. A full engine produces tokens about a tenth slower
/// than an empty one, and long items should share an engine with few others.
const LOAD_WEIGHT: f64 = 0.3;
/// Weight of the reserved memory. It indicates the long items of a worker, which each further item
/// slows down.
const MEMORY_WEIGHT: f64 = 0.5;
/// Weight of the speed for items that end long before the step does.
const SHORT_ITEM_SPEED_WEIGHT: f64 = 0.3;
/// Event interval relative to the typical one up to which workers count as equally fast. The
/// correction for the load is rough, and a finer comparison would send all long items to one
/// worker.
const EQUAL_SPEED_RATIO: f64 = 1.1;
/// Bonus of the worker that has the prompt of the group in its KV cache.
const SHARED_PROMPT_BONUS: f64 = 0.12;
/// Penalty of a worker in another zone. Traffic between zones costs money; its delay is negligible.
const ZONE_PENALTY: f64 = 0.05;
/// Event interval relative to the typical one above which only items that accept slow workers go
/// there.
const SLOW_RATIO: f64 = 2.0;
/// Penalty of a worker in the section of another model, whose owner learns of the item up to 0.7 s
/// later. In a replay of four owners, 0 and 0.8 gave more refusals and longer waits than 0.3.
const FOREIGN_PENALTY: f64 = 0.3;

/// Requirements and preferences of an item.
#[derive(Clone, Copy, Debug)]
pub struct Requirements<'a> {
    pub service: &'a str,
    /// Availability zone of this VM.
    pub zone: &'a str,
    pub model: &'a str,
    /// Oldest allowed weight version.
    pub min_version: u64,
    /// Tokens that it is expected to occupy in the KV cache when it ends.
    pub tokens: u64,
    /// Worker that already ran an item of its group.
    pub group: Option<Key<Worker>>,
    /// Worker on which it has just failed.
    pub avoid: Option<Key<Worker>>,
    /// Whether a slow worker is acceptable.
    pub allow_slow: bool,
    /// Whether it is one of the longest items, which determine the duration of the step.
    pub is_critical: bool,
    /// Events that it is expected to generate.
    pub events: f64,
    /// Engines that are kept for other items.
    pub reservations: &'a [Reservation],
}

impl Fleet {
    /// Returns the best worker with room for an item; `kv_tokens` is the KV cache size of each.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn place(
        &self,
        requirements: &Requirements<'_>,
        kv_tokens: u64,
        now: Instant,
    ) -> Option<Key<Worker>> {
        let layout = self.services.get(requirements.service).map(|service| &service.layout);
        let typical = self.typical_interval_ms(requirements.service);
        let mut best: Option<(f64, Key<Worker>)> = None;
        for (key, worker) in self.workers_of(requirements.service) {
            if requirements.tokens > free_tokens(worker, kv_tokens)
                || !self.has_slot(key, worker, requirements, now)
                || Some(key) == requirements.avoid
                || self.is_kept_from(key, requirements, now)
            {
                continue;
            }
            let interval = relative_interval(worker, typical);
            if interval > SLOW_RATIO && !requirements.allow_slow {
                continue;
            }
            let load = f64::from(worker.load(now)) / f64::from(worker.entry.slots.max(1));
            let memory = worker.reserved_tokens as f64 / kv_tokens.max(1) as f64;
            let mut cost = if requirements.is_critical {
                interval * (1.0 + LOAD_WEIGHT * load) + memory * MEMORY_WEIGHT
            } else {
                interval * SHORT_ITEM_SPEED_WEIGHT + load + memory * MEMORY_WEIGHT
            };
            if worker.entry.zone != requirements.zone {
                cost += ZONE_PENALTY;
            }
            if layout.is_some_and(|it| it.is_foreign(requirements.model, key)) {
                cost += FOREIGN_PENALTY;
            }
            if requirements.group == Some(key) {
                cost -= SHARED_PROMPT_BONUS;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Whether a worker may get an item now, as far as its memory allows.
    pub(super) fn has_slot(
        &self,
        key: Key<Worker>,
        worker: &Worker,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> bool {
        worker.is_usable(now)
            && worker.load(now) < worker.slots(now)
            && self.has_version(key, worker, requirements, now)
    }

    /// Whether a worker has an allowed weight version and is not about to load a newer one.
    pub(super) fn has_version(
        &self,
        key: Key<Worker>,
        worker: &Worker,
        requirements: &Requirements<'_>,
        now: Instant,
    ) -> bool {
        let model = requirements.model;
        let version = worker.version(model);
        let layout = self.services.get(requirements.service).map(|service| &service.layout);
        version.is_some_and(|version| version >= requirements.min_version)
            && !layout.is_some_and(|it| it.awaits_load(model, key, version, now))
    }
}

/// Event interval relative to the typical one; 1 for workers that are about as fast or not
/// measured.
fn relative_interval(worker: &Worker, typical: f64) -> f64 {
    let known = worker.idle_interval_ms > 0.0 && typical > 0.0;
    let ratio = if known { worker.idle_interval_ms / typical } else { 1.0 };
    if ratio <= EQUAL_SPEED_RATIO { 1.0 } else { ratio }
}

/// Tokens of the memory that are planned for items.
#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn planned_tokens(kv_tokens: u64) -> u64 {
    (kv_tokens as f64 * PLANNED_MEMORY_SHARE) as u64
}

/// Size in tokens of the largest item that the memory of a worker has room for. An idle worker gets
/// an item of any size, since lengths are estimates.
pub(super) fn free_tokens(worker: &Worker, kv_tokens: u64) -> u64 {
    if worker.in_flight == 0 {
        return u64::MAX;
    }
    planned_tokens(kv_tokens).saturating_sub(worker.reserved_tokens)
}
