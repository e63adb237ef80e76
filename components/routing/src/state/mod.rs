//! State of the services and backend servers as known to one gateway.

pub mod inventory;
pub mod load;
pub mod worker;

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::{
    HashMap,
    arena::{Arena, Key},
};
use filbertsail_config::inventory::{Class, Kind, Service as ServiceConfig};

pub use worker::{Departure, Report, Worker};

use crate::{
    breaker::State,
    pace::{Cause, Change, Terms},
    retry::Budget,
};

/// Index of a zone in [`Fleet::zones`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneKey(pub(crate) usize);

/// Availability zone as seen from this gateway.
#[derive(Clone, Debug)]
pub struct Zone {
    pub name: String,
    /// Network round-trip time.
    pub round_trip: Duration,
    /// Cost of traffic to this zone, relative to traffic inside a zone.
    pub cost: f64,
}

/// Placement rules for one class of work at a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Priority; higher values are served first.
    pub priority: u32,
    /// Allowed zones; all if absent.
    pub zones: Option<Vec<ZoneKey>>,
    /// Maximum lag behind the newest known weight version.
    pub max_version_lag: Option<u64>,
}

/// Service and its workers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Configuration from the inventory.
    pub config: ServiceConfig,
    /// Workers in this gateway's subset.
    pub workers: Vec<Key<Worker>>,
    /// Placement of customers' requests.
    pub customer: Placement,
    /// Placement of rollout samples.
    pub rollout: Placement,
    /// Newest weight version reported by any worker.
    pub newest_version: u64,
    /// Retry budget.
    pub budget: Budget,
    /// Moving average of the durations of successes; zero before the first.
    pub average_duration_ms: f64,
}

impl Service {
    /// Placement rules for `class`.
    #[must_use]
    pub fn placement(&self, class: Class) -> &Placement {
        match class {
            Class::Customer => &self.customer,
            Class::Rollout => &self.rollout,
        }
    }
}

/// Request to route.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    pub service: Key<Service>,
    pub class: Class,
    /// Minimum weight version.
    pub min_version: Option<u64>,
    /// Names of the prefixes of the prompt, longest first.
    pub prefixes: &'a [String],
    /// Workers that must not be chosen.
    pub excluded: &'a [Key<Worker>],
}

/// Services and workers known to one gateway.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(crate) zones: Vec<Zone>,
    pub(crate) services: Arena<Service>,
    pub(crate) workers: Arena<Worker>,
    // Only names from the inventory are inserted, so a fast hasher is safe here.
    pub(crate) service_names: HashMap<String, Key<Service>>,
    pub(crate) worker_names: HashMap<String, Key<Worker>>,
    ramp_changes: Vec<(Key<Worker>, Change)>,
}

/// Outcome of a request with respect to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response.
    Success {
        /// Time from dispatch to the complete response.
        duration: Duration,
    },
    /// Rejected by the worker because it is overloaded.
    Overload,
    /// No response before a deadline shorter than the service's timeout.
    DeadlineExceeded {
        /// Time from dispatch to the deadline.
        duration: Duration,
    },
    /// Timeout, connection failure or error response.
    Failure,
    /// Cancelled by the caller, or failed for a reason unrelated to the worker.
    Inconclusive,
}

impl Fleet {
    #[must_use]
    pub fn service_key(&self, name: &str) -> Option<Key<Service>> {
        self.service_names.get(name).copied()
    }

    #[must_use]
    pub fn worker_key(&self, name: &str) -> Option<Key<Worker>> {
        self.worker_names.get(name).copied()
    }

    /// Service with this key.
    #[must_use]
    pub fn service(&self, key: Key<Service>) -> Option<&Service> {
        self.services.get(key)
    }

    /// Mutable service with this key.
    pub fn service_mut(&mut self, key: Key<Service>) -> Option<&mut Service> {
        self.services.get_mut(key)
    }

    /// Worker with this key.
    #[must_use]
    pub fn worker(&self, key: Key<Worker>) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Mutable worker with this key.
    pub fn worker_mut(&mut self, key: Key<Worker>) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// All workers with their keys.
    pub fn workers(&self) -> impl Iterator<Item = (Key<Worker>, &Worker)> {
        self.workers.iter()
    }

    /// All services with their keys.
    pub fn services(&self) -> impl Iterator<Item = (Key<Service>, &Service)> {
        self.services.iter()
    }

    /// Zone with this key.
    #[must_use]
    pub fn zone(&self, key: ZoneKey) -> &Zone {
        &self.zones[key.0]
    }

    /// Records a request dispatched to the worker `key`.
    pub fn record_dispatch(&mut self, key: Key<Worker>, now: Instant) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.load.record_dispatch(now);
            worker.breaker.record_dispatch(now);
        }
    }

    /// Records that the worker `key` has begun to produce the output of a request sent at `sent_at`.
    pub fn record_progress(&mut self, key: Key<Worker>, sent_at: Instant, now: Instant) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let was_closed = worker.breaker.state() == State::Closed;
        worker.breaker.record_progress(sent_at);
        if !was_closed && worker.breaker.state() == State::Closed {
            let change = worker.pace.record_circuit_closed(terms(0.0), now);
            self.ramp_changes.extend(change.map(|change| (key, change)));
        }
    }

    /// Begins and ends of ramps since the last call.
    pub fn take_ramp_changes(&mut self) -> Vec<(Key<Worker>, Change)> {
        std::mem::take(&mut self.ramp_changes)
    }

    /// Number of workers whose limit rises.
    #[must_use]
    pub fn ramps(&self, now: Instant) -> usize {
        self.workers.iter().filter(|(_, worker)| worker.pace.ramp(now).is_some()).count()
    }

    /// Ends the ramps of workers that have had too few requests to raise their limit.
    pub fn expire_ramps(&mut self, now: Instant) {
        for (key, worker) in self.workers.iter_mut() {
            self.ramp_changes.extend(worker.pace.expire(now).map(|change| (key, change)));
        }
    }

    /// Records the outcome of a request to the worker `key`; `jitter`, from 0 to 1, extends the
    /// open time of its circuit breaker.
    pub fn record_completion(
        &mut self,
        key: Key<Worker>,
        outcome: Outcome,
        now: Instant,
        jitter: f64,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let in_flight = worker.load.in_flight();
        let was_closed = worker.breaker.state() == State::Closed;
        let terms = terms(jitter);
        worker.load.record_completion(now);
        let change = match outcome {
            Outcome::Success { duration } => {
                worker.breaker.record_success();
                let typical_ms = self
                    .services
                    .get(worker.service)
                    // Durations of model requests depend on their lengths.
                    .filter(|service| service.config.kind == Kind::Application)
                    .map_or(0.0, |service| service.average_duration_ms);
                let typical = Duration::from_secs_f64(typical_ms / 1_000.0);
                let change = worker.pace.record_success(duration, typical, in_flight, now);
                if let Some(service) = self.services.get_mut(worker.service) {
                    service.record_duration(duration);
                }
                change
            }
            Outcome::Overload => {
                worker.breaker.record_failure(now, jitter);
                worker.pace.record_refusal(terms, now)
            }
            Outcome::DeadlineExceeded { duration } => {
                worker.breaker.record_inconclusive(now);
                worker.pace.record_deadline_exceeded(duration);
                None
            }
            Outcome::Failure => {
                worker.breaker.record_failure(now, jitter);
                worker.pace.record_failure(terms, now)
            }
            Outcome::Inconclusive => {
                worker.breaker.record_inconclusive(now);
                None
            }
        };
        let has_closed = !was_closed && worker.breaker.state() == State::Closed;
        let closed = if has_closed { worker.pace.record_circuit_closed(terms, now) } else { None };
        let changes = change.into_iter().chain(closed);
        self.ramp_changes.extend(changes.map(|change| (key, change)));
    }

    /// Applies a load report of the worker `key`.
    pub fn record_report(&mut self, key: Key<Worker>, report: Report) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.failed_contacts = 0;
        if let (Some(service), Some(version)) =
            (self.services.get_mut(worker.service), report.weight_version)
        {
            service.newest_version = service.newest_version.max(version);
        }
        if worker.load.is_outdated(&report) {
            return;
        }
        if worker.load.incarnation().is_some_and(|last| last != report.incarnation) {
            worker.prefixes.reset();
            worker.is_new = false;
            let change = worker.pace.begin(Cause::Restarted, terms(0.0), report.measured_at);
            self.ramp_changes.extend(change.map(|change| (key, change)));
        } else if std::mem::take(&mut worker.is_new) {
            let change = worker.pace.begin(Cause::Added, terms(0.0), report.measured_at);
            self.ramp_changes.extend(change.map(|change| (key, change)));
        }
        worker.departure.report = report.leaving;
        worker.load.record_report(report);
    }
}

/// Terms of a ramp in a gateway, which neither knows the number of gateways nor the warm-up time.
/// Its limit is its own, as that of a mature worker.
fn terms(random: f64) -> Terms {
    Terms { vms: 1, seed: random.to_bits(), warmup: Duration::ZERO }
}

impl Service {
    /// Weight of the newest duration in the moving average.
    const DURATION_SMOOTHING: f64 = 0.05;

    fn record_duration(&mut self, duration: Duration) {
        let duration_ms = duration.as_secs_f64() * 1_000.0;
        if self.average_duration_ms == 0.0 {
            self.average_duration_ms = duration_ms;
        }
        self.average_duration_ms +=
            Self::DURATION_SMOOTHING * (duration_ms - self.average_duration_ms);
    }
}
