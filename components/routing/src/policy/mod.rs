//! Choice of a backend server for a request.

pub mod baseline;
pub mod production;

use std::fmt;

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use rand::Rng;

use crate::state::{Fleet, Request, Worker, worker::Exclusion};

pub use baseline::{LeastReported, Random, RoundRobin};
pub use production::Production;

/// Reason for a choice.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// The only candidate.
    #[display("only_candidate")]
    Only,
    /// Shortest expected wait among the workers compared.
    #[display("shortest_wait")]
    Wait,
    /// Shortest expected wait because of a cached prefix.
    #[display("cached_prefix")]
    Prefix,
    /// Random choice.
    #[display("random")]
    Random,
    /// Next worker in turn.
    #[display("round_robin")]
    Turn,
    /// Lowest reported load.
    #[display("least_reported")]
    Reported,
}

/// Worker chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    pub worker: Key<Worker>,
    pub reason: Reason,
    pub candidates: usize,
}

/// Load balancing policy.
pub trait Policy: fmt::Debug {
    /// Chooses a worker for `request`, or `None` if none is available.
    fn choose<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice>;
}

/// Workers that may serve `request`, in the service's order.
#[must_use]
pub fn eligible(fleet: &Fleet, request: &Request<'_>, now: Instant) -> Vec<Key<Worker>> {
    let Some(service) = fleet.service(request.service) else { return Vec::new() };
    let is_eligible = |key: &Key<Worker>| fleet.exclusion(*key, request, now).is_none();
    service.workers.iter().copied().filter(is_eligible).collect()
}

/// Eligibility of one worker for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Eligibility {
    /// Worker that was checked.
    pub worker: Key<Worker>,
    /// Reason why it is not eligible, if any.
    pub exclusion: Option<Exclusion>,
    /// Expected time to the complete response, without zone cost.
    pub expected_wait_ms: f64,
}

/// Eligibility of each worker of the service for `request`.
#[must_use]
pub fn explain(fleet: &Fleet, request: &Request<'_>, now: Instant) -> Vec<Eligibility> {
    let Some(service) = fleet.service(request.service) else { return Vec::new() };
    service
        .workers
        .iter()
        .filter_map(|&key| {
            let worker = fleet.worker(key)?;
            let backlog = (!production::has_capacity(worker, now)).then_some(Exclusion::Backlog);
            Some(Eligibility {
                worker: key,
                exclusion: fleet.exclusion(key, request, now).or(backlog),
                expected_wait_ms: production::expected_wait_ms(service, worker),
            })
        })
        .collect()
}
