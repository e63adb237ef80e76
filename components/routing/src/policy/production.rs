//! Power of two choices over expected wait, with prefix affinity and zone cost.
//!
//! Two eligible workers are drawn at random and the cheaper one wins, which avoids that all
//! gateways send to the same least loaded worker between two reports. A worker that holds the
//! longest cached prefix of the prompt is compared as a third.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use rand::{Rng, RngExt};

use super::{Choice, Policy, Reason, eligible};
use crate::state::{Fleet, Request, Service, Worker};

/// Duration assumed before the first success, in milliseconds.
const DEFAULT_DURATION_MS: f64 = 50.0;
/// Share of a request's duration that a fully cached prompt saves.
const PREFIX_SAVING: f64 = 0.5;
/// Factor on the wait at a server whose requests all fail, above one.
const FAILURE_PENALTY: f64 = 8.0;

/// Requests at a worker, as a multiple of what it runs at full speed, from which further ones wait in
/// the gateway. There priorities and deadlines still count, and the worker answers within its usual
/// time.
const MAX_BACKLOG: u32 = 2;

/// The production policy.
#[derive(Clone, Copy, Debug, Default)]
pub struct Production;

impl Policy for Production {
    fn choose<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice> {
        let mut candidates = eligible(fleet, request, now);
        candidates.retain(|key| fleet.worker(*key).is_some_and(|worker| has_room(worker, now)));
        let service = fleet.service(request.service)?;
        let (worker, reason) = match *candidates.as_slice() {
            [] => return None,
            [only] => (only, Reason::Only),
            _ => compare(fleet, service, request, &candidates, rng),
        };
        Some(Choice { worker, reason, candidates: candidates.len() })
    }
}

/// Whether the backlog of `worker` is bounded, as far as a recent report tells.
pub(super) fn has_room(worker: &Worker, now: Instant) -> bool {
    worker.recent_report(now).is_none_or(|report| {
        report.capacity == 0 || worker.load.expected() < report.capacity.saturating_mul(MAX_BACKLOG)
    })
}

fn compare<R: Rng>(
    fleet: &Fleet,
    service: &Service,
    request: &Request<'_>,
    candidates: &[Key<Worker>],
    rng: &mut R,
) -> (Key<Worker>, Reason) {
    let first = rng.random_range(0..candidates.len());
    let second = (first + rng.random_range(1..candidates.len())) % candidates.len();
    let price = |key| cost_ms(fleet, service, request, key);
    let mut best = (candidates[first], price(candidates[first]), Reason::Wait);
    let other = price(candidates[second]);
    if other < best.1 {
        best = (candidates[second], other, Reason::Wait);
    }
    if let Some(holder) = prefix_holder(fleet, request, candidates) {
        let cost = price(holder);
        if cost <= best.1 {
            best = (holder, cost, Reason::Prefix);
        }
    }
    (best.0, best.2)
}

/// Cheapest way to reuse work: the eligible worker with the longest cached prefix.
fn prefix_holder(
    fleet: &Fleet,
    request: &Request<'_>,
    candidates: &[Key<Worker>],
) -> Option<Key<Worker>> {
    let holds = |key: &&Key<Worker>, prefix: &str| {
        fleet.worker(**key).is_some_and(|worker| worker.prefixes.contains(prefix))
    };
    request.prefixes.iter().find_map(|prefix| {
        candidates
            .iter()
            .filter(|key| holds(key, prefix))
            .min_by_key(|key| fleet.worker(**key).map_or(u32::MAX, |worker| worker.load.expected()))
            .copied()
    })
}

/// Duration of a request at the service in milliseconds.
fn duration_ms(service: &Service, worker: &Worker) -> f64 {
    [worker.limit.duration_ms(), service.duration_ms]
        .into_iter()
        .find(|&duration| duration > 0.0)
        .unwrap_or(DEFAULT_DURATION_MS)
}

/// Expected time from dispatch to the whole answer at `worker` in milliseconds.
#[must_use]
pub fn wait_ms(service: &Service, worker: &Worker) -> f64 {
    let capacity = worker.load.report().map_or(service.entry.max_concurrency, |it| it.capacity);
    let share = f64::from(worker.load.expected() + 1) / f64::from(capacity.max(1));
    let failures = 1.0 + FAILURE_PENALTY * worker.breaker.failure_share();
    duration_ms(service, worker) * share * failures
}

/// Longest cached prefix as a share of the prompt, from 0 to 1.
#[expect(clippy::cast_precision_loss)]
fn cached_share(request: &Request<'_>, worker: &Worker) -> f64 {
    let count = request.prefixes.len();
    let hit = request.prefixes.iter().position(|prefix| worker.prefixes.contains(prefix));
    hit.map_or(0.0, |index| (count - index) as f64 / count as f64)
}

fn cost_ms(fleet: &Fleet, service: &Service, request: &Request<'_>, key: Key<Worker>) -> f64 {
    let Some(worker) = fleet.worker(key) else { return f64::INFINITY };
    let zone = fleet.zone(worker.zone);
    let saving = PREFIX_SAVING * cached_share(request, worker) * duration_ms(service, worker);
    wait_ms(service, worker) - saving + zone.round_trip.as_secs_f64() * 1_000.0 * zone.cost
}
