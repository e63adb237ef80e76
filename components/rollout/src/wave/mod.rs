//! Rolling weight update of the workers of a service.
//!
//! Only the reports of a worker show which weights it has loaded; an order that was sent may not
//! have arrived. The order of the workers depends only on their zones and names, so a new lease
//! holder first repeats the orders of the previous one. A worker may report no version during a
//! swap, so a swap has failed only if the version is still absent after the usual swap time.

mod pace;

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;

pub use pace::{Pace, TARGET_DURATION};

/// Time after which the order is repeated if the worker has not reported the version.
const SWAP_TIMEOUT: Duration = Duration::from_secs(30);

/// State of a worker in its last report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    pub name: String,
    pub zone: String,
    /// Whether it is reachable and not leaving.
    pub usable: bool,
    /// Loaded weight version; absent during a swap and after a failed one.
    pub version: Option<u64>,
    /// Time of the report.
    pub reported_at: Instant,
}

/// Order for a worker to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Worker name.
    pub worker: String,
    /// Weight version.
    pub version: u64,
    /// Number of this attempt at the worker and version, from 1.
    pub attempt: u32,
}

/// Limits of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Minimum fraction of usable workers that serve.
    pub min_serving: f64,
    /// Relative weight of staleness, from 0 to 1: with 1 as many workers as allowed swap
    /// concurrently, with 0 as few as the target duration requires.
    pub staleness_share: f64,
}

#[derive(Clone, Copy, Debug)]
struct Swap {
    ordered_at: Instant,
    attempt: u32,
    version: u64,
}

/// Rollout of one weight version.
#[derive(Clone, Debug)]
pub struct Wave {
    target: u64,
    swaps: HashMap<String, Swap>,
    pace: Pace,
}

impl Wave {
    /// Rollout of `target` with the pace measured in earlier rollouts.
    #[must_use]
    pub fn new(target: u64, pace: Pace) -> Self {
        Self { target, swaps: HashMap::default(), pace }
    }

    /// Changes the target to a newer version. Swaps to the previous one still count as running.
    pub fn retarget(&mut self, target: u64) {
        self.target = self.target.max(target);
    }

    #[must_use]
    pub fn target(&self) -> u64 {
        self.target
    }

    /// Pace measured so far.
    #[must_use]
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Whether every usable worker reports at least the target version.
    #[must_use]
    pub fn is_complete(&self, workers: &[Worker]) -> bool {
        workers.iter().filter(|worker| worker.usable).all(|worker| self.has_target(worker))
    }

    /// Orders to send now.
    pub fn plan(&mut self, workers: &[Worker], limits: &Limits, now: Instant) -> Vec<Order> {
        self.record_completed_swaps(workers, now);
        let usable: Vec<&Worker> = workers.iter().filter(|worker| worker.usable).collect();
        let swapping = usable.iter().filter(|worker| self.is_swapping(worker, now)).count();
        let serving = usable.iter().filter(|worker| self.is_serving(worker, now)).count();
        let min_serving = min_serving_count(usable.len(), limits.min_serving);
        let mut removable = serving.saturating_sub(min_serving);
        let concurrency = self.pace.concurrency(usable.len(), limits.staleness_share);
        let mut free = concurrency.saturating_sub(swapping);
        let mut orders = Vec::new();
        for worker in interleave_zones(&usable) {
            let needs_swap = !self.has_target(worker) && !self.is_swapping(worker, now);
            let serves = worker.version.is_some();
            if !needs_swap || free == 0 || (serves && removable == 0) {
                continue;
            }
            removable -= usize::from(serves);
            free -= 1;
            orders.push(self.order(&worker.name, now));
        }
        orders
    }

    /// Cancels an order that was not sent or was rejected; the worker still serves.
    pub fn cancel_order(&mut self, worker: &str) {
        self.swaps.remove(worker);
    }

    fn order(&mut self, worker: &str, now: Instant) -> Order {
        let version = self.target;
        let previous = self.swaps.get(worker).filter(|swap| swap.version == version);
        let attempt = previous.map_or(1, |swap| swap.attempt + 1);
        self.swaps.insert(worker.to_owned(), Swap { ordered_at: now, attempt, version });
        Order { worker: worker.to_owned(), version, attempt }
    }

    /// Updates the pace with completed swaps.
    fn record_completed_swaps(&mut self, workers: &[Worker], now: Instant) {
        let swapping = self.swaps.len();
        for worker in workers {
            let swap = self.swaps.get(&worker.name);
            let Some(swap) = swap.filter(|swap| has_version(worker, swap.version)) else {
                continue;
            };
            self.pace.record_swap(now.since(swap.ordered_at), swapping);
            self.swaps.remove(&worker.name);
        }
    }

    fn has_target(&self, worker: &Worker) -> bool {
        has_version(worker, self.target)
    }

    fn is_swapping(&self, worker: &Worker, now: Instant) -> bool {
        let Some(swap) = self.swaps.get(&worker.name) else { return false };
        // Reports from before the order do not show its result.
        let failed = worker.version.is_none()
            && worker.reported_at.since(swap.ordered_at) >= self.pace.failure_timeout();
        !has_version(worker, swap.version) && !failed && now.since(swap.ordered_at) < SWAP_TIMEOUT
    }

    fn is_serving(&self, worker: &Worker, now: Instant) -> bool {
        worker.version.is_some() && !self.is_swapping(worker, now)
    }
}

fn has_version(worker: &Worker, version: u64) -> bool {
    worker.version.is_some_and(|loaded| loaded >= version)
}

#[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn min_serving_count(workers: usize, share: f64) -> usize {
    (workers as f64 * share.clamp(0.0, 1.0)).ceil() as usize
}

/// Orders the workers round robin by zone, so that the swaps are spread over the zones.
fn interleave_zones<'a>(workers: &[&'a Worker]) -> Vec<&'a Worker> {
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
