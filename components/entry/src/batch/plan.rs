//! Assignment of waiting items to workers.
//!
//! Load pattern: a step submits more items than there are slots, lengths differ by a factor of 20,
//! and the trainer continues when nine groups in ten are complete. The longest items determine the
//! duration of the step, and which groups finish first is only an estimate, so long items go first
//! whatever their group. Items of the wanted groups come next, and items of other groups fill the
//! remaining slots.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;

use super::execution::{Execution, Phase};
use crate::{
    config::{Engine, Route},
    fleet::{Fleet, Requirements, Reservation, Worker},
};

/// Priority at the worker of items that the trainer waits for; the worker's default is 5.
const WANTED_ITEM_PRIORITY: u8 = 4;
/// Priority at the worker of all other items.
const OTHER_ITEM_PRIORITY: u8 = 6;
/// Least gain of moving a running item: the target processes the prompt and output again, and
/// estimated event intervals are off by a few percent.
const MIN_MOVE_GAIN_MS: f64 = 250.0;
/// Share of the longest item's expected tokens from which an item is critical for the step.
const CRITICAL_SHARE: f64 = 0.4;

/// Worker chosen for an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Index of the item in its submission.
    pub item: usize,
    pub worker: Key<Worker>,
    /// Expected tokens of prompt and output in the worker's memory.
    pub tokens: u64,
    pub priority: u8,
}

/// Engines among which a worker is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    pub service: &'a str,
    /// Availability zone of this VM.
    pub zone: &'a str,
    pub engine: &'a Engine,
    /// Engines that are kept for other items.
    pub reservations: &'a [Reservation],
}

/// Waiting items as pairs of execution index and item index, most urgent first.
#[must_use]
pub fn dispatch_order(executions: &[&Execution], now: Instant) -> Vec<(usize, usize)> {
    let mut waiting: Vec<(Urgency, u64, usize, usize)> = Vec::new();
    for (index, execution) in executions.iter().enumerate() {
        for (item, state) in execution.states.iter().enumerate() {
            let Phase::Waiting(not_before) = state.phase else { continue };
            if not_before > now {
                continue;
            }
            let remaining = remaining_tokens(execution, item);
            waiting.push((urgency(execution, item), u64::MAX - remaining, index, item));
        }
    }
    waiting.sort_unstable();
    waiting.into_iter().map(|(_, _, execution, item)| (execution, item)).collect()
}

/// Urgency of an item, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Determines the duration of the step.
    Critical,
    /// The trainer is expected to wait for its group.
    Wanted,
    /// The step is expected to end without its group.
    Other,
}

/// Urgency of an item that has not ended.
#[must_use]
pub fn urgency(execution: &Execution, item: usize) -> Urgency {
    let wanted = execution.wanted_groups[execution.submission.items[item].group as usize];
    match (is_critical(execution, item), wanted) {
        (true, _) => Urgency::Critical,
        (false, true) => Urgency::Wanted,
        (false, false) => Urgency::Other,
    }
}

/// Whether the remaining output of an item is among the longest of its batch.
#[expect(clippy::cast_precision_loss)]
fn is_critical(execution: &Execution, item: usize) -> bool {
    remaining_tokens(execution, item) as f64
        >= execution.longest_item_tokens() as f64 * CRITICAL_SHARE
}

/// Expected remaining output tokens. An item past its estimate is expected to produce half as much
/// again.
#[must_use]
pub fn remaining_tokens(execution: &Execution, item: usize) -> u64 {
    let submitted = &execution.submission.items[item];
    let events = u64::from(execution.states[item].output.lock().partial.events);
    if events == 0 {
        return submitted.expected_tokens;
    }
    let produced = events * execution.tokens_per_event;
    let remaining = submitted.expected_tokens.saturating_sub(produced).max(produced / 2);
    remaining.min(submitted.max_tokens.saturating_sub(produced).max(1))
}

/// Expected remaining events.
#[must_use]
#[expect(clippy::cast_precision_loss)]
pub fn remaining_events(execution: &Execution, item: usize) -> f64 {
    remaining_tokens(execution, item) as f64 / execution.tokens_per_event.max(1) as f64
}

/// Expected tokens of prompt and output in the worker's memory.
#[must_use]
pub fn expected_size(execution: &Execution, item: usize) -> u64 {
    let submitted = &execution.submission.items[item];
    submitted.prompt_tokens + submitted.expected_tokens.min(submitted.max_tokens)
}

/// Requirements and preferences of an item.
#[must_use]
pub fn requirements<'a>(
    execution: &'a Execution,
    item: usize,
    scope: &Scope<'a>,
) -> Requirements<'a> {
    let group = execution.submission.items[item].group as usize;
    let is_critical = is_critical(execution, item);
    Requirements {
        service: scope.service,
        zone: scope.zone,
        model: &execution.submission.model,
        min_version: execution.submission.min_version,
        tokens: expected_size(execution, item),
        group: execution.prompt_workers[group],
        avoid: execution.states[item].avoid,
        allow_slow: !is_critical,
        is_critical,
        events: remaining_events(execution, item),
        reservations: scope.reservations,
    }
}

/// Chooses a worker for an item; none if all are full.
#[must_use]
pub fn place_item(
    execution: &Execution,
    item: usize,
    scope: &Scope<'_>,
    fleet: &Fleet,
    now: Instant,
) -> Option<Placement> {
    let requirements = requirements(execution, item, scope);
    let kv_tokens = scope.engine.kv_tokens;
    let worker = fleet.place(&requirements, kv_tokens, now).or_else(|| {
        // A slow worker, or the one that failed last, is better than none.
        let requirements = Requirements { allow_slow: true, avoid: None, ..requirements };
        fleet.place(&requirements, kv_tokens, now)
    })?;
    let group = execution.submission.items[item].group as usize;
    let is_first = execution.wanted_groups[group] || requirements.is_critical;
    let priority = if is_first { WANTED_ITEM_PRIORITY } else { OTHER_ITEM_PRIORITY };
    Some(Placement { item, worker, tokens: requirements.tokens, priority })
}

/// Placement that finishes a running item of `route` sooner, and the gain in milliseconds; none if
/// the item should stay. It also stays if the route has left the service of its worker: it may run
/// on there, but must not start there anew.
///
/// Load pattern: a worker becomes slow, or workers that loaded weights at the start of a step
/// become free a second later.
#[must_use]
pub fn better_placement(
    execution: &Execution,
    item: usize,
    from: Key<Worker>,
    route: &Route,
    scope: &Scope<'_>,
    fleet: &Fleet,
    now: Instant,
) -> Option<(Placement, f64)> {
    if !route.targets.iter().any(|target| target.service == scope.service) {
        return None;
    }
    let remaining_events = remaining_events(execution, item);
    let current_interval_ms = fleet.expected_interval_ms(from, 0, now);
    // No target is faster than an idle worker.
    if remaining_events * (current_interval_ms - fleet.typical_interval_ms(scope.service))
        < MIN_MOVE_GAIN_MS
    {
        return None;
    }
    let placement = place_item(execution, item, scope, fleet, now)?;
    let gain_ms = remaining_events
        * (current_interval_ms - fleet.expected_interval_ms(placement.worker, 1, now));
    (placement.worker != from && gain_ms >= MIN_MOVE_GAIN_MS).then_some((placement, gain_ms))
}
