//! Choice of a backend server.

pub mod baseline;
pub mod production;

use std::fmt;

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use rand::Rng;

use crate::state::{Fleet, Request, Worker, worker::Obstacle};

pub use baseline::{LeastReported, Random, RoundRobin};
pub use production::Production;

/// Why a worker was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// Only eligible worker.
    #[display("only_candidate")]
    Only,
    /// Shortest expected wait of those compared.
    #[display("shortest_wait")]
    Wait,
    /// Shortest expected wait thanks to a cached prompt prefix.
    #[display("cached_prefix")]
    Prefix,
    /// Drawn at random.
    #[display("random")]
    Random,
    /// Next in turn.
    #[display("round_robin")]
    Turn,
    /// Least reported load.
    #[display("least_reported")]
    Reported,
}

/// Worker chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Worker.
    pub worker: Key<Worker>,
    /// Why.
    pub reason: Reason,
    /// Number of eligible workers.
    pub candidates: usize,
}

/// Way to choose a backend server.
pub trait Policy: fmt::Debug {
    /// Chooses a worker for `request`, `None` if none is eligible.
    fn choose<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice>;
}

/// Workers that may take `request`, in the service's order.
#[must_use]
pub fn eligible(fleet: &Fleet, request: &Request<'_>, now: Instant) -> Vec<Key<Worker>> {
    let Some(service) = fleet.service(request.service) else { return Vec::new() };
    let may_take = |key: &Key<Worker>| fleet.obstacle(*key, request, now).is_none();
    service.workers.iter().copied().filter(may_take).collect()
}

/// How one worker stands towards a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Worker.
    pub worker: Key<Worker>,
    /// Why it may not be chosen.
    pub obstacle: Option<Obstacle>,
    /// Expected wait in milliseconds, without zone cost.
    pub wait_ms: f64,
}

/// How each worker of the service stands towards `request`.
#[must_use]
pub fn explain(fleet: &Fleet, request: &Request<'_>, now: Instant) -> Vec<Standing> {
    let Some(service) = fleet.service(request.service) else { return Vec::new() };
    service
        .workers
        .iter()
        .filter_map(|&key| {
            let worker = fleet.worker(key)?;
            let backlog = (!production::has_room(worker, now)).then_some(Obstacle::Backlog);
            Some(Standing {
                worker: key,
                obstacle: fleet.obstacle(key, request, now).or(backlog),
                wait_ms: production::wait_ms(service, worker),
            })
        })
        .collect()
}
