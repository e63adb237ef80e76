//! State of one backend server.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;

use super::{Fleet, Request, Service, ZoneKey, load::Load};
use crate::{breaker::Breaker, pace::Pace, prefix::Index};

/// Consecutive failed contacts after which a worker is considered unreachable.
const MAX_FAILED_CONTACTS: u32 = 3;
/// Age up to which a report is used for the load and the weight version.
const MAX_REPORT_AGE: Duration = Duration::from_secs(10);

/// Load report of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Time of the measurement: time of arrival minus the age stated by the worker.
    pub measured_at: Instant,
    /// Increases with each start of the worker.
    pub incarnation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of requests that run concurrently at full speed.
    pub capacity: u32,
    /// Loaded weight version; absent during a swap and after a failed one.
    pub weight_version: Option<u64>,
    /// Whether the worker is leaving.
    pub leaving: bool,
}

/// Sources that can state that a worker is leaving; any one of them is sufficient.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Departure {
    /// Stated by the VM list.
    pub vm_list: bool,
    /// Stated by an operator.
    pub operator: bool,
    /// Stated by the last report of the worker.
    pub report: bool,
}

impl Departure {
    /// Whether any source states it.
    #[must_use]
    pub fn any(self) -> bool {
        self.vm_list || self.operator || self.report
    }
}

/// Reason why a worker is not eligible for a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Exclusion {
    /// Excluded by the request, for example after a failed attempt.
    #[display("avoided")]
    Avoided,
    /// Too many failed contacts.
    #[display("unreachable")]
    Unreachable,
    /// Worker is leaving.
    #[display("leaving")]
    Leaving,
    /// Circuit breaker is open.
    #[display("circuit_open")]
    Circuit,
    /// Concurrency limit reached.
    #[display("at_limit")]
    Limit,
    /// Too many requests at the worker for its capacity.
    #[display("backlog")]
    Backlog,
    /// Weight version too old, unknown or being swapped.
    #[display("version")]
    Version,
    /// Zone not allowed for the class of work.
    #[display("zone")]
    Zone,
}

/// Backend server.
#[derive(Clone, Debug)]
pub struct Worker {
    pub name: String,
    /// Service that it serves.
    pub service: Key<Service>,
    pub zone: ZoneKey,
    /// IP address and port.
    pub address: SocketAddr,
    /// Load estimate.
    pub load: Load,
    /// Concurrency limit.
    pub pace: Pace,
    /// Whether it was added while the gateway ran, and has not been heard of since.
    pub is_new: bool,
    pub breaker: Breaker,
    /// Index of its prefix cache.
    pub prefixes: Index,
    /// Sources that state that it is leaving.
    pub departure: Departure,
    /// Consecutive failed contacts.
    pub failed_contacts: u32,
}

impl Worker {
    /// Whether fewer contacts than the maximum have failed.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.failed_contacts < MAX_FAILED_CONTACTS
    }

    /// Last load report, unless it is too old.
    #[must_use]
    pub fn recent_report(&self, now: Instant) -> Option<&Report> {
        self.load.report().filter(|report| now.since(report.measured_at) < MAX_REPORT_AGE)
    }

    /// Weight version in the last report, unless that is too old.
    #[must_use]
    pub fn weight_version(&self, now: Instant) -> Option<u64> {
        self.recent_report(now)?.weight_version
    }
}

impl Fleet {
    /// First reason why the worker `key` is not eligible for `request`.
    #[must_use]
    pub fn exclusion(
        &self,
        key: Key<Worker>,
        request: &Request<'_>,
        now: Instant,
    ) -> Option<Exclusion> {
        let Some(worker) = self.worker(key) else { return Some(Exclusion::Unreachable) };
        let Some(service) = self.service(worker.service) else {
            return Some(Exclusion::Unreachable);
        };
        let placement = service.placement(request.class);
        if !worker.is_reachable() {
            return Some(Exclusion::Unreachable);
        }
        if worker.departure.any() {
            return Some(Exclusion::Leaving);
        }
        if request.excluded.contains(&key) {
            return Some(Exclusion::Avoided);
        }
        if placement.zones.as_ref().is_some_and(|zones| !zones.contains(&worker.zone)) {
            return Some(Exclusion::Zone);
        }
        let min_version =
            placement.max_version_lag.map(|lag| service.newest_version.saturating_sub(lag));
        if let Some(required) = min_version.max(request.min_version)
            && worker.weight_version(now).is_none_or(|version| version < required)
        {
            return Some(Exclusion::Version);
        }
        if !worker.breaker.allows_request(now) {
            return Some(Exclusion::Circuit);
        }
        (!worker.pace.allows(worker.load.in_flight(), now)).then_some(Exclusion::Limit)
    }
}
