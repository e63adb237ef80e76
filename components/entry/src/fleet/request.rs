//! Choice of a worker for a forwarded request.
//!
//! The worker with the lowest expected wait is chosen. A worker in another zone must save more than
//! the traffic between zones costs.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use rand::{Rng, RngExt};

use super::{Fleet, Worker};

/// Cost of another zone, as a share of a worker's slots.
const ZONE_PENALTY: f64 = 0.35;
/// Cost of a failure rate of 1, in the same unit.
const FAILURE_PENALTY: f64 = 2.0;
/// Range of the random cost that keeps many VMs from choosing the same worker.
const RANDOM_COST_RANGE: f64 = 0.05;

/// Criteria for the worker of a request.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    pub service: &'a str,
    /// Availability zone of this VM.
    pub zone: &'a str,
    /// Workers already tried, which are excluded.
    pub tried: &'a [Key<Worker>],
}

impl Fleet {
    /// Chooses a worker for a request; an unusable one only if there is no other.
    pub fn choose<R: Rng>(
        &self,
        criteria: Criteria<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<Key<Worker>> {
        let is_untried = |key: &Key<Worker>| !criteria.tried.contains(key);
        let mut best: Option<(f64, Key<Worker>)> = None;
        for (key, worker) in self.workers_of(criteria.service).filter(|(key, _)| is_untried(key)) {
            if worker.entry.draining {
                continue;
            }
            let mut cost = f64::from(worker.load(now)) / f64::from(worker.entry.slots.max(1));
            cost += FAILURE_PENALTY * worker.breaker.failure_rate();
            cost += RANDOM_COST_RANGE * rng.random::<f64>();
            if worker.entry.zone != criteria.zone {
                cost += ZONE_PENALTY;
            }
            if !worker.is_usable(now) {
                cost += 1_000.0;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }
}
