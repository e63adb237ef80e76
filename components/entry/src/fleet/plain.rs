//! Choice of a worker for one forwarded request.
//!
//! The worker with the smallest expected wait is taken; a worker in another zone must save more
//! than the way there costs.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use rand::{Rng, RngExt};

use super::{Fleet, Worker};

/// Share of a worker's slots that a way to another zone is worth.
const ZONE_PENALTY: f64 = 0.35;
/// Penalty of a worker that failed in half of its last requests, in the same unit.
const FAILURE_PENALTY: f64 = 2.0;
/// Spread that keeps many VMs from choosing the same worker.
const SPREAD: f64 = 0.05;

/// What a request asks of its worker.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    /// Service.
    pub service: &'a str,
    /// Own availability zone.
    pub zone: &'a str,
    /// Workers that were tried before.
    pub tried: &'a [Key<Worker>],
}

impl Fleet {
    /// Worker for a request; one that does not look usable only if no other is left.
    pub fn choose<R: Rng>(&self, wish: Wish<'_>, now: Instant, rng: &mut R) -> Option<Key<Worker>> {
        let fresh = |key: &Key<Worker>| !wish.tried.contains(key);
        let mut best: Option<(f64, Key<Worker>)> = None;
        for (key, worker) in self.of(wish.service).filter(|(key, _)| fresh(key)) {
            if worker.entry.draining {
                continue;
            }
            let mut cost = f64::from(worker.load(now)) / f64::from(worker.entry.slots.max(1));
            cost += FAILURE_PENALTY * worker.breaker.failure_rate();
            cost += SPREAD * rng.random::<f64>();
            if worker.entry.zone != wish.zone {
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
