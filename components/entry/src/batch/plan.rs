//! Which waiting item goes to which worker.
//!
//! Load pattern: a step submits more items than there are slots, lengths differ by a factor of
//! twenty, and the trainer goes on when nine groups in ten are whole. The longest items bound the
//! step, and which groups will be whole first is only an estimate, so long items go first whatever
//! their group. Then come the items of the wanted groups; items of others fill what is left.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;

use super::run::{Phase, Run};
use crate::{
    config::Engine,
    fleet::{Fleet, Need, Worker},
};

/// Priority at the worker of items that the trainer waits for; 5 is the worker's own default.
const WANTED_PRIORITY: u8 = 4;
/// Priority of the others.
const OTHER_PRIORITY: u8 = 6;
/// Time that moving a running item must save, in milliseconds: it reads its prompt and output
/// again, and the estimates of the pace are off by a few percent.
const MOVE_GAIN_MS: f64 = 250.0;
/// Part of the longest item's expected tokens from which an item bounds the step.
const CRITICAL_PART: f64 = 0.4;

/// Item to dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the item.
    pub item: usize,
    /// Worker.
    pub worker: Key<Worker>,
    /// Tokens that it is expected to hold in memory.
    pub tokens: u64,
    /// Priority at the worker.
    pub priority: u8,
}

/// Waiting items of all runs, most urgent first.
#[must_use]
pub fn order(runs: &[&Run], now: Instant) -> Vec<(usize, usize)> {
    let mut waiting: Vec<(Class, u64, usize, usize)> = Vec::new();
    for (index, run) in runs.iter().enumerate() {
        for (item, slot) in run.slots.iter().enumerate() {
            let Phase::Waiting(from) = slot.phase else { continue };
            if from > now {
                continue;
            }
            let left = remaining(run, item);
            let wanted = run.wanted[run.submission.items[item].group as usize];
            let class = match (is_critical(run, item), wanted) {
                (true, _) => Class::Critical,
                (false, true) => Class::Wanted,
                (false, false) => Class::Other,
            };
            waiting.push((class, u64::MAX - left, index, item));
        }
    }
    waiting.sort_unstable();
    waiting.into_iter().map(|(_, _, run, item)| (run, item)).collect()
}

/// Urgency of a waiting item, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    /// It bounds the step.
    Critical,
    /// The trainer is expected to wait for its group.
    Wanted,
    /// The step is expected to end without its group.
    Other,
}

/// Whether an item is among the longest of its batch.
#[expect(clippy::cast_precision_loss)]
fn is_critical(run: &Run, item: usize) -> bool {
    remaining(run, item) as f64 >= run.longest() as f64 * CRITICAL_PART
}

/// Tokens that an item is still expected to produce. An item that has passed its estimate is
/// expected to go on for half as long again.
#[must_use]
pub fn remaining(run: &Run, item: usize) -> u64 {
    let entry = &run.submission.items[item];
    let events = u64::from(run.slots[item].output.lock().partial.events);
    if events == 0 {
        return entry.expected_tokens;
    }
    let done = events * run.stride;
    let left = entry.expected_tokens.saturating_sub(done).max(done / 2);
    left.min(entry.max_tokens.saturating_sub(done).max(1))
}

/// Worker for one item.
#[must_use]
pub fn place(
    run: &Run,
    item: usize,
    service: &str,
    zone: &str,
    engine: &Engine,
    fleet: &Fleet,
    now: Instant,
) -> Option<Placement> {
    let entry = &run.submission.items[item];
    let group = entry.group as usize;
    let tokens = entry.prompt_tokens + entry.expected_tokens.min(entry.max_tokens);
    let wanted = run.wanted[group];
    let is_critical = is_critical(run, item);
    let need = Need {
        service,
        zone,
        model: &run.submission.model,
        min_version: run.submission.min_version,
        tokens,
        group: run.prompts[group],
        avoid: run.slots[item].avoid,
        allow_slow: !is_critical,
        is_critical,
    };
    let worker = fleet.place(&need, engine.kv_tokens, now).or_else(|| {
        // Better a slow worker, or the one that failed, than none.
        fleet.place(&Need { allow_slow: true, avoid: None, ..need }, engine.kv_tokens, now)
    })?;
    let priority = if wanted || is_critical { WANTED_PRIORITY } else { OTHER_PRIORITY };
    Some(Placement { item, worker, tokens, priority })
}

/// Worker to which a running item should move, and the milliseconds that this saves; nothing if it
/// should stay.
///
/// Load pattern: a worker turns slow, or workers that could not take the items of a step at its
/// start, because they loaded weights, come free a second later.
#[must_use]
#[expect(clippy::cast_precision_loss)]
pub fn relocate(
    run: &Run,
    item: usize,
    from: Key<Worker>,
    zone: &str,
    engine: &Engine,
    fleet: &Fleet,
    now: Instant,
) -> Option<(Placement, f64)> {
    let worker = fleet.get(from)?;
    let events = remaining(run, item) as f64 / run.stride.max(1) as f64;
    let stays_ms = fleet.expected_pace(from, 0, now);
    // No target is faster than one that has nothing else to do.
    if events * (stays_ms - fleet.usual_pace(&worker.entry.service)) < MOVE_GAIN_MS {
        return None;
    }
    let to = place(run, item, &worker.entry.service, zone, engine, fleet, now)?;
    let gain_ms = events * (stays_ms - fleet.expected_pace(to.worker, 1, now));
    (to.worker != from && gain_ms >= MOVE_GAIN_MS).then_some((to, gain_ms))
}
