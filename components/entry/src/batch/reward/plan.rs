//! Order of the reward calls, and their limit at each worker.
//!
//! Load pattern: the last hundred outputs of a step are complete within a second, and each call
//! takes eight times as long as a request of a customer that needs the same workers. Calls of one
//! VM therefore leave a third of the slots of each worker free and wait here, where the most urgent
//! one goes first, and not at the worker, where customers would wait behind them.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use rand::Rng;

use crate::{
    batch::execution::{Execution, Phase},
    fleet::{Criteria, Fleet, Worker},
};

/// Share of the slots of a worker that reward calls leave free.
const FREE_SLOT_SHARE: f64 = 1.0 / 3.0;

/// Calls that are due, as pairs of execution index and item index, most urgent first.
/// `is_due` states whether another attempt of an item is due.
///
/// First attempts precede second ones, which would otherwise add load to a service that is slow
/// because it is full. Then come the groups that the trainer waits for, the older step first, and
/// of these the groups that lack the fewest results.
#[must_use]
pub fn call_order(
    executions: &[&Execution],
    is_due: impl Fn(&Execution, usize) -> bool,
) -> Vec<(usize, usize)> {
    let mut due = Vec::new();
    for (index, execution) in executions.iter().enumerate() {
        for (item, state) in execution.states.iter().enumerate() {
            let Phase::Scoring(scoring) = &state.phase else { continue };
            if !is_due(execution, item) {
                continue;
            }
            let group = execution.submission.items[item].group as usize;
            let urgency = (
                !scoring.attempts.is_empty(),
                !execution.wanted_groups[group],
                execution.accepted_at,
                execution.unfinished_in_group(group),
                scoring.since,
            );
            due.push((urgency, index, item));
        }
    }
    due.sort_unstable();
    due.into_iter().map(|(_, execution, item)| (execution, item)).collect()
}

/// Largest number of requests at a worker with `slots` slots beside which a call may start.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn call_limit(slots: u32) -> u32 {
    let free = (f64::from(slots) * FREE_SLOT_SHARE).ceil() as u32;
    slots.saturating_sub(free).max(1)
}

/// Chooses a worker with room for a call: one that has not been tried, or else one without an
/// attempt in progress.
#[must_use]
pub fn place_call<R: Rng>(
    criteria: Criteria<'_>,
    in_progress: &[Key<Worker>],
    fleet: &Fleet,
    now: Instant,
    rng: &mut R,
) -> Option<Key<Worker>> {
    let untried = fleet.choose_with_room(criteria, call_limit, now, rng);
    untried.or_else(|| {
        let criteria = Criteria { tried: in_progress, ..criteria };
        fleet.choose_with_room(criteria, call_limit, now, rng)
    })
}
