//! Waves of weight swaps over the workers of a service.
//!
//! The workers' own reports say which weights they have; an order that was sent proves nothing.
//! Workers are taken in an order that follows from their names alone, so that the next holder of
//! the lease orders the same workers again before any others. A worker may report no version while
//! it swaps, so only one that still reports none after the usual time counts as failed.

mod pace;

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;

pub use pace::{GOAL, Pace};

/// Time after which a worker that reports no change is ordered again.
const SWAP_TIMEOUT: Duration = Duration::from_secs(30);

/// Worker as last reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Worker name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Answers and is not leaving.
    pub usable: bool,
    /// Weights loaded; absent during or after a failed swap.
    pub version: Option<u64>,
    /// Time of the report.
    pub reported_at: Instant,
}

/// Order for a worker to load the target version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Worker name.
    pub worker: String,
    /// Weight version.
    pub version: u64,
    /// Number of the order at this worker for this version, from 1.
    pub attempt: u32,
}

/// Limits on a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Least share of workers that serve.
    pub min_serving: f64,
    /// Share of staleness in the deployment's weighting, 0 to 1: 1 swaps as many as may be out at
    /// a time, 0 as few as reach the goal.
    pub haste: f64,
}

#[derive(Clone, Copy, Debug)]
struct Ordered {
    at: Instant,
    attempt: u32,
    version: u64,
}

/// Rollout of one version.
#[derive(Clone, Debug)]
pub struct Wave {
    target: u64,
    ordered: HashMap<String, Ordered>,
    pace: Pace,
}

impl Wave {
    /// Rollout of `target` at a pace learnt from earlier ones.
    #[must_use]
    pub fn new(target: u64, pace: Pace) -> Self {
        Self { target, ordered: HashMap::default(), pace }
    }

    /// Turns to a newer version. Swaps to the older one go on and still count as under way.
    pub fn retarget(&mut self, target: u64) {
        self.target = self.target.max(target);
    }

    /// Version rolled out.
    #[must_use]
    pub fn target(&self) -> u64 {
        self.target
    }

    /// Pace learnt so far.
    #[must_use]
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Whether every usable worker reports the target or a newer version.
    #[must_use]
    pub fn is_complete(&self, workers: &[Worker]) -> bool {
        workers.iter().filter(|worker| worker.usable).all(|worker| self.has_target(worker))
    }

    /// Orders to send now.
    pub fn plan(&mut self, workers: &[Worker], rules: &Rules, now: Instant) -> Vec<Order> {
        self.observe(workers, now);
        let usable: Vec<&Worker> = workers.iter().filter(|worker| worker.usable).collect();
        let swapping = usable.iter().filter(|worker| self.is_swapping(worker, now)).count();
        let serving = usable.iter().filter(|worker| self.is_serving(worker, now)).count();
        let least = least_serving(usable.len(), rules.min_serving);
        let mut spare = serving.saturating_sub(least);
        let width = self.pace.width(usable.len(), rules.haste);
        let mut free = width.saturating_sub(swapping);
        let mut orders = Vec::new();
        for worker in in_order(&usable) {
            let wanted = !self.has_target(worker) && !self.is_swapping(worker, now);
            let serves = worker.version.is_some();
            if !wanted || free == 0 || (serves && spare == 0) {
                continue;
            }
            spare -= usize::from(serves);
            free -= 1;
            orders.push(self.order(&worker.name, now));
        }
        orders
    }

    /// Takes note that an order was not sent or was refused, so that the worker still serves.
    pub fn refused(&mut self, worker: &str) {
        self.ordered.remove(worker);
    }

    fn order(&mut self, worker: &str, now: Instant) -> Order {
        let version = self.target;
        let earlier = self.ordered.get(worker).filter(|ordered| ordered.version == version);
        let attempt = earlier.map_or(1, |ordered| ordered.attempt + 1);
        self.ordered.insert(worker.to_owned(), Ordered { at: now, attempt, version });
        Order { worker: worker.to_owned(), version, attempt }
    }

    /// Learns from swaps that have ended.
    fn observe(&mut self, workers: &[Worker], now: Instant) {
        let swapping = self.ordered.len();
        for worker in workers {
            let ordered = self.ordered.get(&worker.name);
            let Some(ordered) = ordered.filter(|ordered| has(worker, ordered.version)) else {
                continue;
            };
            self.pace.swapped(now.since(ordered.at), swapping);
            self.ordered.remove(&worker.name);
        }
    }

    fn has_target(&self, worker: &Worker) -> bool {
        has(worker, self.target)
    }

    fn is_swapping(&self, worker: &Worker, now: Instant) -> bool {
        let Some(ordered) = self.ordered.get(&worker.name) else { return false };
        // A report from before the order says nothing about its result.
        let failed = worker.version.is_none()
            && worker.reported_at.since(ordered.at) >= self.pace.patience();
        !has(worker, ordered.version) && !failed && now.since(ordered.at) < SWAP_TIMEOUT
    }

    fn is_serving(&self, worker: &Worker, now: Instant) -> bool {
        worker.version.is_some() && !self.is_swapping(worker, now)
    }
}

fn has(worker: &Worker, version: u64) -> bool {
    worker.version.is_some_and(|loaded| loaded >= version)
}

#[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn least_serving(workers: usize, share: f64) -> usize {
    (workers as f64 * share.clamp(0.0, 1.0)).ceil() as usize
}

/// Workers zone by zone in turn, so that a wave takes its share out of each zone.
fn in_order<'a>(workers: &[&'a Worker]) -> Vec<&'a Worker> {
    let mut sorted = workers.to_vec();
    sorted.sort_by(|a, b| (&a.zone, &a.name).cmp(&(&b.zone, &b.name)));
    let mut ranks: HashMap<&str, usize> = HashMap::default();
    let mut ranked: Vec<(usize, &Worker)> = sorted
        .into_iter()
        .map(|worker| {
            let rank = ranks.entry(&worker.zone).or_default();
            *rank += 1;
            (*rank, worker)
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, worker)| worker).collect()
}
