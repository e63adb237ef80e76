//! Choice of an engine for one rollout item.
//!
//! An item goes to a worker with a free slot and free memory. Workers differ in pace, and a step
//! waits for its slowest items, so the pace decides first; items of a group go together, since
//! they share their prompt.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;

use super::{Fleet, Worker};

/// Share of the memory that items are planned for; lengths are estimates.
const MEMORY_SHARE: f64 = 0.95;
/// Weight of the load beside the pace. A full engine produces tokens about a tenth slower than an
/// empty one, and long items should share an engine with few others.
const LOAD_WEIGHT: f64 = 0.3;
/// Weight of the memory that is taken: it stands for the long items of a worker, which each
/// further item slows down.
const MEMORY_WEIGHT: f64 = 0.5;
/// Weight of the pace for items that end long before the step does.
const EASY_PACE_WEIGHT: f64 = 0.3;
/// Pace relative to the usual one up to which workers count as equally fast. The correction for the
/// load is rough, and a finer comparison would send all long items to one worker.
const EVEN_PACE: f64 = 1.1;
/// Advantage of the worker that has read the prompt of the group.
const GROUP_BONUS: f64 = 0.12;
/// Share of the pace that a way to another zone is worth; it costs transfer and no time that counts.
const ZONE_PENALTY: f64 = 0.05;
/// Pace relative to the usual one from which a worker is left to items that find no other.
const SLOW: f64 = 2.0;

/// What an item needs.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service.
    pub service: &'a str,
    /// Own availability zone.
    pub zone: &'a str,
    /// Model.
    pub model: &'a str,
    /// Oldest weight version allowed.
    pub min_version: u64,
    /// Tokens that it is expected to hold in memory at the end.
    pub tokens: u64,
    /// Worker that has read the prompt of its group.
    pub group: Option<Key<Worker>>,
    /// Worker that it just failed on.
    pub avoid: Option<Key<Worker>>,
    /// Whether a slow worker will do.
    pub allow_slow: bool,
    /// Whether the step waits for this item longer than for most others.
    pub is_critical: bool,
}

impl Fleet {
    /// Worker with room for an item.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn place(&self, need: &Need<'_>, kv_tokens: u64, now: Instant) -> Option<Key<Worker>> {
        let usual = self.usual_pace(need.service);
        let mut best: Option<(f64, Key<Worker>)> = None;
        for (key, worker) in self.of(need.service) {
            if !has_room(worker, need, kv_tokens, now) || Some(key) == need.avoid {
                continue;
            }
            let pace = relative_pace(worker, usual);
            if pace > SLOW && !need.allow_slow {
                continue;
            }
            let load = f64::from(worker.load(now)) / f64::from(worker.entry.slots.max(1));
            let memory = worker.tokens as f64 / kv_tokens.max(1) as f64;
            let mut cost = if need.is_critical {
                pace * (1.0 + LOAD_WEIGHT * load) + memory * MEMORY_WEIGHT
            } else {
                pace * EASY_PACE_WEIGHT + load + memory * MEMORY_WEIGHT
            };
            if worker.entry.zone != need.zone {
                cost += ZONE_PENALTY;
            }
            if need.group == Some(key) {
                cost -= GROUP_BONUS;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }
}

/// Pace relative to the usual one; 1 for workers that are about as fast, or not known yet.
fn relative_pace(worker: &Worker, usual: f64) -> f64 {
    let known = worker.pace_ms > 0.0 && usual > 0.0;
    let ratio = if known { worker.pace_ms / usual } else { 1.0 };
    if ratio <= EVEN_PACE { 1.0 } else { ratio }
}

#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn has_room(worker: &Worker, need: &Need<'_>, kv_tokens: u64, now: Instant) -> bool {
    let memory = (kv_tokens as f64 * MEMORY_SHARE) as u64;
    worker.is_usable(now)
        && worker.version(need.model).is_some_and(|version| version >= need.min_version)
        && worker.load(now) < worker.entry.slots
        && (worker.in_flight == 0 || worker.tokens + need.tokens <= memory)
}
