//! Simulation of weight rollouts in virtual time.

use std::{collections::HashMap, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_rollout::wave::{Limits, Pace, TARGET_DURATION, Wave, Worker};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// Number of past states that a lagging report can show.
const MAX_PAST_STATES: usize = 8;
const TICK: Duration = Duration::from_millis(200);

/// Simulated workers; the weight store serves `rate` downloads per second.
struct Engines {
    workers: Vec<Worker>,
    swapping: HashMap<String, Instant>,
    swap_time: Duration,
    rate: f64,
    tokens: f64,
    waiting: Vec<String>,
}

impl Engines {
    fn new(count: usize, swap_time: Duration, rate: f64) -> Self {
        let worker = |index: usize| Worker {
            name: format!("worker-{index:04}"),
            zone: format!("zone-{}", index % 13),
            usable: true,
            version: Some(1),
            reported_at: Instant::default(),
        };
        let workers = (0..count).map(worker).collect();
        let (swapping, waiting) = Default::default();
        Self { workers, swapping, swap_time, rate, tokens: rate, waiting }
    }

    fn order(&mut self, name: String) {
        self.waiting.push(name);
    }

    fn tick(&mut self, now: Instant, target: u64) {
        self.tokens = (self.tokens + self.rate * TICK.as_secs_f64()).min(self.rate.max(1.0));
        while self.tokens >= 1.0 && !self.waiting.is_empty() {
            self.tokens -= 1.0;
            let name = self.waiting.remove(0);
            self.swapping.insert(name, now.after(self.swap_time));
        }
        for worker in &mut self.workers {
            worker.reported_at = now;
            if self.swapping.get(&worker.name).is_some_and(|end| *end <= now) {
                self.swapping.remove(&worker.name);
                worker.version = Some(target);
            }
        }
    }

    fn unavailable(&self) -> usize {
        self.swapping.len() + self.waiting.len()
    }
}

/// Duration until all workers have version 2, and the maximum number of unavailable workers.
fn roll_out(engines: &mut Engines, limits: &Limits) -> (Duration, usize) {
    let mut wave = Wave::new(2, Pace::default());
    let mut now = Instant::from_millis(1_000);
    let (start, mut max_unavailable) = (now, 0);
    while !wave.is_complete(&engines.workers) {
        for order in wave.plan(&engines.workers, limits, now) {
            engines.order(order.worker);
        }
        max_unavailable = max_unavailable.max(engines.unavailable());
        now = now.after(TICK);
        engines.tick(now, 2);
        assert!(now.since(start) < Duration::from_secs(600), "rollout does not complete");
    }
    (now.since(start), max_unavailable)
}

/// Guards against a rollout that misses the growth target although the store is fast enough.
#[test]
fn can_reach_the_growth_target() {
    for staleness_share in [0.0, 0.5, 1.0] {
        let mut engines = Engines::new(1_000, Duration::from_secs(5), 1_000.0);
        let limits = Limits { min_serving: 0.5, staleness_share };
        let (duration, max_unavailable) = roll_out(&mut engines, &limits);
        assert!(duration <= TARGET_DURATION, "staleness_share {staleness_share}: {duration:?}");
        assert!(
            max_unavailable <= 500,
            "staleness_share {staleness_share}: {max_unavailable} unavailable"
        );
    }
}

/// Guards against a slow store that leaves fewer workers serving than required.
#[test]
fn can_keep_the_minimum_share_serving() {
    let mut engines = Engines::new(9, Duration::from_secs(2), 0.5);
    let (_, max_unavailable) =
        roll_out(&mut engines, &Limits { min_serving: 0.7, staleness_share: 1.0 });
    assert!(max_unavailable <= 2, "{max_unavailable} unavailable");
}

/// Guards against a worker that stays without weights after a failed swap.
#[test]
fn can_order_again_after_a_failed_swap() {
    let mut engines = Engines::new(3, Duration::from_secs(1), 10.0);
    let limits = Limits { min_serving: 0.5, staleness_share: 1.0 };
    let mut wave = Wave::new(2, Pace::default());
    let start = Instant::from_millis(1_000);
    let first = wave.plan(&engines.workers, &limits, start);
    assert_eq!(first.len(), 1);
    let failed = first[0].worker.clone();
    let failed_worker = engines
        .workers
        .iter_mut()
        .find(|worker| worker.name == failed)
        .expect("worker of the plan");
    failed_worker.version = None;
    // A report from before the order does not show its result.
    failed_worker.reported_at = start.before(TICK);
    let later = start.after(Duration::from_secs(12));
    assert!(wave.plan(&engines.workers, &limits, later).is_empty());
    engines.tick(later, 2);
    let again = wave.plan(&engines.workers, &limits, later);
    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].worker, again[0].attempt), (&failed, 2));
}

/// Guards against a new lease holder that swaps more workers on top of those already swapping.
#[test]
fn can_resume_with_the_same_workers() {
    let engines = Engines::new(12, Duration::from_secs(1), 10.0);
    let limits = Limits { min_serving: 0.75, staleness_share: 1.0 };
    let now = Instant::from_millis(1_000);
    let before = Wave::new(2, Pace::default()).plan(&engines.workers, &limits, now);
    let after = Wave::new(2, Pace::default()).plan(&engines.workers, &limits, now.after(TICK));
    assert_eq!((before.len(), before), (3, after));
}

#[derive(Clone, Copy, Debug)]
enum Transition {
    /// The lease holder reads the reports and sends orders.
    Plan,
    /// The lease holder sends orders; the one at index `lost` does not arrive.
    Lose { lost: usize },
    /// Time passes; reports lag by `lag` ticks.
    Wait { ticks: u64, lag: u64 },
    /// The running swap of this worker fails.
    Fail { worker: usize },
    /// The worker leaves or returns.
    Leave { worker: usize },
    /// Newer weights are published.
    Publish,
    /// The lease holder crashes; the next one starts with current reports and no order in transit.
    TakeOver,
}

fn transition() -> impl Strategy<Value = Transition> {
    prop_oneof![
        6 => Just(Transition::Plan),
        1 => (0..3_usize).prop_map(|lost| Transition::Lose { lost }),
        6 => (1..20_u64, 0..4_u64).prop_map(|(ticks, lag)| Transition::Wait { ticks, lag }),
        1 => (0..12_usize).prop_map(|worker| Transition::Fail { worker }),
        1 => (0..12_usize).prop_map(|worker| Transition::Leave { worker }),
        1 => Just(Transition::Publish),
        1 => Just(Transition::TakeOver),
    ]
}

/// Actual state of a worker, unknown to the lease holder.
#[derive(Clone, Debug)]
struct Actual {
    version: Option<u64>,
    /// End and version of the running swap.
    swap: Option<(Instant, u64)>,
    /// Whether the last swap failed.
    failed: bool,
    usable: bool,
}

/// Workers, their lagging reports and the rollout.
struct Fleet {
    actual: Vec<Actual>,
    history: Vec<(Instant, Vec<Actual>)>,
    reports: Vec<Worker>,
    wave: Wave,
    newest: u64,
    now: Instant,
    limits: Limits,
}

impl Fleet {
    fn new(limits: Limits) -> Self {
        let idle = Actual { version: Some(1), swap: None, failed: false, usable: true };
        let now = Instant::from_millis(1_000);
        let actual = vec![idle; 12];
        let (history, reports) = Default::default();
        let wave = Wave::new(2, Pace::default());
        let mut fleet = Self { actual, history, reports, wave, newest: 2, now, limits };
        fleet.wait(1, 0);
        fleet
    }

    fn wait(&mut self, ticks: u64, lag: u64) {
        for _ in 0..ticks {
            self.now = self.now.after(TICK);
            for worker in &mut self.actual {
                if let Some((_, version)) = worker.swap.filter(|(end, _)| *end <= self.now) {
                    let ended = Actual { version: Some(version), swap: None, ..worker.clone() };
                    *worker = Actual { failed: false, ..ended };
                }
            }
            self.history.push((self.now, self.actual.clone()));
        }
        self.history.drain(..self.history.len().saturating_sub(MAX_PAST_STATES));
        let seen = self.history.len().saturating_sub(1 + usize::try_from(lag).expect("fits"));
        let (reported_at, actual) = &self.history[seen];
        if self.reports.first().is_some_and(|report| report.reported_at > *reported_at) {
            return;
        }
        let report = |(index, actual): (usize, &Actual)| Worker {
            name: format!("worker-{index:02}"),
            zone: format!("zone-{}", index % 3),
            usable: actual.usable,
            version: actual.version.filter(|_| actual.swap.is_none()),
            reported_at: *reported_at,
        };
        self.reports = actual.iter().enumerate().map(report).collect();
    }

    fn plan(&mut self, lost: Option<usize>) {
        let before = self.unavailable();
        let orders = self.wave.plan(&self.reports, &self.limits, self.now);
        for (index, order) in orders.into_iter().enumerate() {
            let worker: usize = order.worker["worker-".len()..].parse().expect("index");
            let actual = &mut self.actual[worker];
            let same = actual.swap.is_some_and(|(_, version)| version == order.version);
            let loaded = actual.version.is_some_and(|version| version >= order.version);
            if lost != Some(index) && !same && !loaded {
                actual.swap = Some((self.now.after(Duration::from_secs(3)), order.version));
                actual.version = None;
            }
        }
        // Leaving workers can lower the limit below the running swaps; the plan must then add none.
        let seen = self.reports.iter().filter(|report| report.usable).count();
        let limit = seen - usize::div_ceil(seen * 3, 4);
        assert!(
            self.unavailable() <= limit.max(before),
            "{} of {seen} swap at a time",
            self.unavailable()
        );
    }

    /// Usable workers that swap, except those that did not serve before because a swap had failed.
    fn unavailable(&self) -> usize {
        let is_unavailable = |(actual, report): &(&Actual, &Worker)| {
            report.usable && actual.swap.is_some() && !actual.failed
        };
        self.actual.iter().zip(&self.reports).filter(is_unavailable).count()
    }

    fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::Plan => self.plan(None),
            Transition::Lose { lost } => self.plan(Some(lost)),
            Transition::Wait { ticks, lag } => self.wait(ticks, lag),
            Transition::Fail { worker } => {
                let actual = &mut self.actual[worker];
                if actual.swap.take().is_some() {
                    actual.failed = true;
                }
            }
            Transition::Leave { worker } => {
                // Leaving during a swap is equivalent to a failed swap, so it is not simulated.
                let actual = &mut self.actual[worker];
                if actual.swap.is_none() {
                    actual.usable = !actual.usable;
                }
            }
            Transition::Publish => {
                self.newest += 1;
                self.wave.retarget(self.newest);
            }
            Transition::TakeOver => {
                self.wait(1, 0);
                self.wave = Wave::new(self.newest, Pace::default());
            }
        }
    }

    /// Runs without further faults until every usable worker has the newest weights.
    fn finish(&mut self) {
        for _ in 0..1_000 {
            self.wait(1, 1);
            if self.wave.is_complete(&self.reports) {
                return;
            }
            self.plan(None);
        }
        panic!("rollout does not complete: {:?}", self.reports);
    }
}

/// Guards against too many unavailable workers and against a rollout that never completes, under
/// lost orders, lagging reports, failed swaps, new versions and new lease holders.
#[test]
fn can_roll_out_through_faults() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let transitions = prop::collection::vec(transition(), 1..40);
    let result = runner.run(&transitions, |transitions| {
        let mut fleet = Fleet::new(Limits { min_serving: 0.75, staleness_share: 1.0 });
        for transition in transitions {
            fleet.apply(transition);
        }
        fleet.finish();
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
