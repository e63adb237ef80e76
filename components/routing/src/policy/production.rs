//! Power of two choices by expected wait, with prefix cache affinity and zone cost.
//!
//! Compares two random eligible workers and selects the cheaper one. This keeps the gateways from
//! all selecting the same least loaded worker between two load reports. The worker that caches the
//! longest prefix of the prompt is compared as a third candidate.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use rand::{Rng, RngExt};

use super::{Choice, Policy, Reason, eligible};
use crate::state::{Fleet, Request, Service, Worker};

/// Request duration assumed until the first success.
const DEFAULT_REQUEST_DURATION_MS: f64 = 50.0;
/// Fraction of the request duration saved by a fully cached prompt.
const CACHED_PROMPT_SAVING: f64 = 0.5;
/// Relative increase of the expected wait at a worker whose requests all fail.
const FAILURE_RATE_PENALTY: f64 = 8.0;

/// Requests at a worker, as a multiple of its capacity, from which new ones wait in the gateway's
/// queue instead. That queue honours priorities and deadlines, and the worker's latency stays
/// bounded.
const MAX_LOAD_FACTOR: u32 = 2;

/// Power of two choices by expected wait.
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
        candidates.retain(|key| fleet.worker(*key).is_some_and(|worker| has_capacity(worker, now)));
        let service = fleet.service(request.service)?;
        let (worker, reason) = match *candidates.as_slice() {
            [] => return None,
            [only] => (only, Reason::Only),
            _ => choose_cheapest(fleet, service, request, &candidates, rng),
        };
        Some(Choice { worker, reason, candidates: candidates.len() })
    }
}

/// Whether `worker` is below its load limit; true without a recent report.
pub(super) fn has_capacity(worker: &Worker, now: Instant) -> bool {
    worker.recent_report(now).is_none_or(|report| {
        report.capacity == 0
            || worker.load.estimated_requests() < report.capacity.saturating_mul(MAX_LOAD_FACTOR)
    })
}

fn choose_cheapest<R: Rng>(
    fleet: &Fleet,
    service: &Service,
    request: &Request<'_>,
    candidates: &[Key<Worker>],
    rng: &mut R,
) -> (Key<Worker>, Reason) {
    let first = rng.random_range(0..candidates.len());
    let second = (first + rng.random_range(1..candidates.len())) % candidates.len();
    let cost = |key| cost_ms(fleet, service, request, key);
    let mut best = (candidates[first], cost(candidates[first]), Reason::Wait);
    let second_cost = cost(candidates[second]);
    if second_cost < best.1 {
        best = (candidates[second], second_cost, Reason::Wait);
    }
    if let Some(holder) = prefix_holder(fleet, request, candidates) {
        let holder_cost = cost(holder);
        if holder_cost <= best.1 {
            best = (holder, holder_cost, Reason::Prefix);
        }
    }
    (best.0, best.2)
}

/// Candidate with the longest cached prefix of the prompt, the least loaded one on a tie.
fn prefix_holder(
    fleet: &Fleet,
    request: &Request<'_>,
    candidates: &[Key<Worker>],
) -> Option<Key<Worker>> {
    let caches = |key: &&Key<Worker>, prefix: &str| {
        fleet.worker(**key).is_some_and(|worker| worker.prefixes.contains(prefix))
    };
    request.prefixes.iter().find_map(|prefix| {
        candidates
            .iter()
            .filter(|key| caches(key, prefix))
            .min_by_key(|key| {
                fleet.worker(**key).map_or(u32::MAX, |worker| worker.load.estimated_requests())
            })
            .copied()
    })
}

/// Average request duration at `worker`, or at its service until the first success there.
fn request_duration_ms(service: &Service, worker: &Worker) -> f64 {
    [worker.pace.average_duration_ms(), service.average_duration_ms]
        .into_iter()
        .find(|&duration| duration > 0.0)
        .unwrap_or(DEFAULT_REQUEST_DURATION_MS)
}

/// Expected time from dispatch to the complete response of `worker`, without zone cost.
#[must_use]
pub fn expected_wait_ms(service: &Service, worker: &Worker) -> f64 {
    let capacity =
        worker.load.report().map_or(service.config.max_concurrency, |report| report.capacity);
    let load = f64::from(worker.load.estimated_requests() + 1) / f64::from(capacity.max(1));
    let penalty = 1.0 + FAILURE_RATE_PENALTY * worker.breaker.failure_rate();
    request_duration_ms(service, worker) * load * penalty
}

/// Fraction of the prompt covered by the longest cached prefix, from 0 to 1.
#[expect(clippy::cast_precision_loss)]
fn cached_fraction(request: &Request<'_>, worker: &Worker) -> f64 {
    let count = request.prefixes.len();
    let hit = request.prefixes.iter().position(|prefix| worker.prefixes.contains(prefix));
    hit.map_or(0.0, |index| (count - index) as f64 / count as f64)
}

fn cost_ms(fleet: &Fleet, service: &Service, request: &Request<'_>, key: Key<Worker>) -> f64 {
    let Some(worker) = fleet.worker(key) else { return f64::INFINITY };
    let zone = fleet.zone(worker.zone);
    let saving = CACHED_PROMPT_SAVING
        * cached_fraction(request, worker)
        * request_duration_ms(service, worker);
    expected_wait_ms(service, worker) - saving + zone.round_trip.as_secs_f64() * 1_000.0 * zone.cost
}
