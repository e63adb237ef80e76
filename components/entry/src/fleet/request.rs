//! Choice of a worker for a forwarded request or a reward call.
//!
//! The worker with the lowest expected wait is chosen. A worker in another zone must save more than
//! the traffic between zones costs.

use filbertsail_admission::capacity::{Assessment, MAX_ROOM_AGE, Worker as Known};
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use rand::{Rng, RngExt};

use super::{Fleet, Worker};

/// Cost of another zone, as a share of a worker's slots.
const ZONE_PENALTY: f64 = 0.35;
/// Cost of a failure rate of 1, in the same unit.
const FAILURE_PENALTY: f64 = 2.0;
/// Cost of a worker that should get no further request while its limit rises: that of a worker whose
/// slots and half of its queue are taken, which has no room either.
const LIMITED_PENALTY: f64 = 3.0;
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
        self.cheapest(criteria, rng, |worker| {
            if worker.entry.draining {
                return None;
            }
            let penalty = match worker.is_usable(now) {
                true if worker.is_within_pace(now) => 0.0,
                true => LIMITED_PENALTY,
                false => 1_000.0,
            };
            Some(worker.relative_load(worker.load(now)) + penalty)
        })
    }

    /// Chooses a usable worker with fewer requests than `limit` returns for its slots; none if all
    /// are full. A worker whose limit rises and does not allow another request is full, unless this
    /// holds for all usable ones.
    pub fn choose_with_room<R: Rng>(
        &self,
        criteria: Criteria<'_>,
        limit: impl Fn(u32) -> u32,
        now: Instant,
        rng: &mut R,
    ) -> Option<Key<Worker>> {
        let mut workers = self.workers_of(criteria.service).map(|(_, worker)| worker);
        let any_allowed = workers.any(|worker| worker.is_usable(now) && worker.is_within_pace(now));
        self.cheapest(criteria, rng, |worker| {
            let load = worker.recent_load(MAX_ROOM_AGE, now);
            let has_room = worker.is_usable(now)
                && (worker.is_within_pace(now) || !any_allowed)
                && load < limit(worker.entry.slots);
            has_room.then(|| worker.relative_load(load))
        })
    }

    /// Capacity of a service according to the last statements of its usable workers.
    #[must_use]
    pub fn capacity(&self, service: &str, now: Instant) -> Assessment {
        let usable = self.workers_of(service).filter(|(_, worker)| worker.is_usable(now));
        let known = usable.map(|(_, worker)| Known {
            slots: worker.entry.slots,
            in_flight: worker.in_flight,
            others: worker.stated_by_worker,
        });
        let mut assessment = Assessment::new(known, now);
        for (_, worker) in self.workers_of(service) {
            assessment.add_change(worker.paused_until, now);
        }
        assessment
    }

    /// Untried worker of a service with the lowest cost; `load_cost` returns the share of it that
    /// follows from the load, or nothing if the worker must not be chosen.
    fn cheapest<R: Rng>(
        &self,
        criteria: Criteria<'_>,
        rng: &mut R,
        load_cost: impl Fn(&Worker) -> Option<f64>,
    ) -> Option<Key<Worker>> {
        let is_untried = |key: &Key<Worker>| !criteria.tried.contains(key);
        let mut best: Option<(f64, Key<Worker>)> = None;
        for (key, worker) in self.workers_of(criteria.service).filter(|(key, _)| is_untried(key)) {
            let Some(mut cost) = load_cost(worker) else { continue };
            cost += FAILURE_PENALTY * worker.breaker.failure_rate();
            cost += RANDOM_COST_RANGE * rng.random::<f64>();
            if worker.entry.zone != criteria.zone {
                cost += ZONE_PENALTY;
            }
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }
}

impl Worker {
    /// Requests relative to the slots.
    fn relative_load(&self, load: u32) -> f64 {
        f64::from(load) / f64::from(self.entry.slots.max(1))
    }
}
