//! What one gateway knows of services and backend servers.

pub mod inventory;
pub mod load;
pub mod worker;

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::{
    HashMap,
    arena::{Arena, Key},
};
use filbertsail_config::inventory::{Class, Service as Entry};

pub use worker::{Marks, Report, Worker};

use crate::budget::Budget;

/// Position of a zone in [`Fleet::zones`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneKey(pub(crate) usize);

/// Availability zone as seen from this gateway.
#[derive(Clone, Debug)]
pub struct Zone {
    /// Zone name.
    pub name: String,
    /// Delay there and back.
    pub round_trip: Duration,
    /// Cost of the path relative to one inside a zone.
    pub cost: f64,
}

/// Rules in force for a class of work at a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Higher goes first.
    pub priority: u32,
    /// Zones allowed; all if absent.
    pub zones: Option<Vec<ZoneKey>>,
    /// Largest difference to the newest weight version known.
    pub max_version_lag: Option<u64>,
}

/// Service with its workers.
#[derive(Clone, Debug)]
pub struct Service {
    /// Entry in the inventory.
    pub entry: Entry,
    /// Workers that this gateway uses.
    pub workers: Vec<Key<Worker>>,
    /// Rules for customers' requests.
    pub customer: Placement,
    /// Rules for rollout samples.
    pub rollout: Placement,
    /// Newest weight version that any worker has reported.
    pub newest_version: u64,
    /// Retry budget.
    pub budget: Budget,
    /// Average duration of a success in milliseconds, zero before the first.
    pub duration_ms: f64,
}

impl Service {
    /// Rules for `class`.
    #[must_use]
    pub fn placement(&self, class: Class) -> &Placement {
        match class {
            Class::Customer => &self.customer,
            Class::Rollout => &self.rollout,
        }
    }
}

/// Request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service that it names.
    pub service: Key<Service>,
    /// Class of work.
    pub class: Class,
    /// Oldest weight version allowed.
    pub min_version: Option<u64>,
    /// Names of the prompt's prefixes, longest first.
    pub prefixes: &'a [String],
    /// Workers to leave out.
    pub avoid: &'a [Key<Worker>],
}

/// All services and workers that a gateway knows.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(crate) zones: Vec<Zone>,
    pub(crate) services: Arena<Service>,
    pub(crate) workers: Arena<Worker>,
    // Keyed by names of the inventory only; callers' names are looked up and never inserted.
    pub(crate) service_names: HashMap<String, Key<Service>>,
    pub(crate) worker_names: HashMap<String, Key<Worker>>,
}

/// How a request ended, as far as the worker is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Whole answer.
    Success {
        /// Time from dispatch to the whole answer.
        took: Duration,
    },
    /// The worker refused for want of room.
    Overload,
    /// No answer before a deadline that was shorter than the service's time limit.
    Late {
        /// Time from dispatch to the deadline.
        took: Duration,
    },
    /// No answer in time, no connection, a broken one, or an error answer.
    Failure,
    /// The caller left or the worker was not to blame.
    Abandoned,
}

impl Fleet {
    /// Service named `name`.
    #[must_use]
    pub fn service_key(&self, name: &str) -> Option<Key<Service>> {
        self.service_names.get(name).copied()
    }

    /// Worker named `name`.
    #[must_use]
    pub fn worker_key(&self, name: &str) -> Option<Key<Worker>> {
        self.worker_names.get(name).copied()
    }

    /// Service of `key`.
    #[must_use]
    pub fn service(&self, key: Key<Service>) -> Option<&Service> {
        self.services.get(key)
    }

    /// Service of `key`, for change.
    pub fn service_mut(&mut self, key: Key<Service>) -> Option<&mut Service> {
        self.services.get_mut(key)
    }

    /// Worker of `key`.
    #[must_use]
    pub fn worker(&self, key: Key<Worker>) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Worker of `key`, for change.
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

    /// Zone of `key`.
    #[must_use]
    pub fn zone(&self, key: ZoneKey) -> &Zone {
        &self.zones[key.0]
    }

    /// Notes a request sent to `key`.
    pub fn sent(&mut self, key: Key<Worker>, now: Instant) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.load.sent(now);
            worker.breaker.sent(now);
        }
    }

    /// Notes the end of a request sent to `key`; `jitter` from 0 to 1 spreads later probes.
    pub fn finished(&mut self, key: Key<Worker>, outcome: Outcome, now: Instant, jitter: f64) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let in_flight = worker.load.in_flight();
        worker.load.finished(now);
        match outcome {
            Outcome::Success { took } => {
                worker.breaker.succeeded();
                worker.limit.succeeded(now, took, in_flight);
                if let Some(service) = self.services.get_mut(worker.service) {
                    service.note_duration(took);
                }
            }
            Outcome::Overload => {
                worker.limit.overloaded(now);
                worker.breaker.failed(now, jitter);
            }
            Outcome::Late { took } => {
                worker.breaker.abandoned(now);
                worker.limit.late(took);
            }
            Outcome::Failure => worker.breaker.failed(now, jitter),
            Outcome::Abandoned => worker.breaker.abandoned(now),
        }
    }

    /// Takes a load report of `key`.
    pub fn reported(&mut self, key: Key<Worker>, report: Report) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.load.incarnation().is_some_and(|old| old != report.incarnation) {
            worker.prefixes.reset();
        }
        worker.marks.report = report.leaving;
        worker.unreachable = 0;
        if let (Some(service), Some(version)) =
            (self.services.get_mut(worker.service), report.weight_version)
        {
            service.newest_version = service.newest_version.max(version);
        }
        worker.load.reported(report);
    }
}

impl Service {
    /// Weight of the newest duration in the service's average.
    const DURATION_WEIGHT: f64 = 0.05;

    fn note_duration(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        if self.duration_ms == 0.0 {
            self.duration_ms = took;
        }
        self.duration_ms += Self::DURATION_WEIGHT * (took - self.duration_ms);
    }
}
