//! One backend server.

use std::{net::SocketAddr, time::Duration};

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;

use super::{Fleet, Request, Service, ZoneKey, load::Load};
use crate::{breaker::Breaker, limit::Limit, prefix::View};

/// Failed contacts in a row after which a worker counts as not live.
const UNREACHABLE_CONTACTS: u32 = 3;
/// Age after which a report says nothing about load and version.
const REPORT_LIFE: Duration = Duration::from_secs(10);

/// Load report of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// When the state was as reported: arrival less the age that the worker states.
    pub taken_at: Instant,
    /// Rises with each start of the worker.
    pub incarnation: u64,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Requests that run at full speed together.
    pub capacity: u32,
    /// Weights loaded; absent during or after a failed swap.
    pub weight_version: Option<u64>,
    /// The worker says that it is leaving.
    pub leaving: bool,
}

/// Sources that say that a worker is leaving; any one is enough.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Marks {
    /// VM list.
    pub vm_list: bool,
    /// Operator.
    pub operator: bool,
    /// Its own report.
    pub report: bool,
}

impl Marks {
    /// Whether any source says so.
    #[must_use]
    pub fn any(self) -> bool {
        self.vm_list || self.operator || self.report
    }
}

/// Why a worker may not be chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Obstacle {
    /// Left out by the request, as after a failed attempt.
    #[display("avoided")]
    Avoided,
    /// Repeatedly not reached.
    #[display("unreachable")]
    Unreachable,
    /// Leaving.
    #[display("leaving")]
    Leaving,
    /// Circuit breaker open.
    #[display("circuit_open")]
    Circuit,
    /// Concurrency limit used up.
    #[display("at_limit")]
    Limit,
    /// More requests at the worker than it runs soon.
    #[display("backlog")]
    Backlog,
    /// Weight version too old, not known, or being swapped.
    #[display("version")]
    Version,
    /// Zone not allowed.
    #[display("zone")]
    Zone,
}

/// One backend server.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Worker name.
    pub name: String,
    /// Its service.
    pub service: Key<Service>,
    /// Its zone.
    pub zone: ZoneKey,
    /// IP address and port.
    pub address: SocketAddr,
    /// Load.
    pub load: Load,
    /// Concurrency limit.
    pub limit: Limit,
    /// Circuit breaker.
    pub breaker: Breaker,
    /// Prefix cache as far as known.
    pub prefixes: View,
    /// Who says that it is leaving.
    pub marks: Marks,
    /// Contacts that failed in a row.
    pub unreachable: u32,
}

impl Worker {
    /// Whether it answers.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.unreachable < UNREACHABLE_CONTACTS
    }

    /// Last report, if that is recent enough.
    #[must_use]
    pub fn recent_report(&self, now: Instant) -> Option<&Report> {
        self.load.report().filter(|report| now.since(report.taken_at) < REPORT_LIFE)
    }

    /// Weight version by its last report, if that is recent enough.
    #[must_use]
    pub fn weight_version(&self, now: Instant) -> Option<u64> {
        self.recent_report(now)?.weight_version
    }
}

impl Fleet {
    /// First reason why the worker of `key` may not take `request`.
    #[must_use]
    pub fn obstacle(
        &self,
        key: Key<Worker>,
        request: &Request<'_>,
        now: Instant,
    ) -> Option<Obstacle> {
        let Some(worker) = self.worker(key) else { return Some(Obstacle::Unreachable) };
        let Some(service) = self.service(worker.service) else {
            return Some(Obstacle::Unreachable);
        };
        let placement = service.placement(request.class);
        if !worker.is_live() {
            return Some(Obstacle::Unreachable);
        }
        if worker.marks.any() {
            return Some(Obstacle::Leaving);
        }
        if request.avoid.contains(&key) {
            return Some(Obstacle::Avoided);
        }
        if placement.zones.as_ref().is_some_and(|zones| !zones.contains(&worker.zone)) {
            return Some(Obstacle::Zone);
        }
        let lag = placement.max_version_lag.map(|lag| service.newest_version.saturating_sub(lag));
        if let Some(least) = lag.max(request.min_version)
            && worker.weight_version(now).is_none_or(|version| version < least)
        {
            return Some(Obstacle::Version);
        }
        if !worker.breaker.admits(now) {
            return Some(Obstacle::Circuit);
        }
        (worker.load.in_flight() >= worker.limit.get()).then_some(Obstacle::Limit)
    }
}
