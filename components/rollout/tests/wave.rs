//! Weight rollout against workers in virtual time.

use std::{collections::HashMap, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_rollout::wave::{GOAL, Pace, Rules, Wave, Worker};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

/// States of the past that a lagging report can show.
const KEPT_STATES: usize = 8;
const TICK: Duration = Duration::from_millis(200);

/// Workers that swap in virtual time; the store serves `rate` downloads per second.
struct Engines {
    workers: Vec<Worker>,
    swapping: HashMap<String, Instant>,
    swap: Duration,
    rate: f64,
    tokens: f64,
    waiting: Vec<String>,
}

impl Engines {
    fn new(count: usize, swap: Duration, rate: f64) -> Self {
        let worker = |index: usize| Worker {
            name: format!("worker-{index:04}"),
            zone: format!("zone-{}", index % 13),
            usable: true,
            version: Some(1),
            reported_at: Instant::default(),
        };
        let workers = (0..count).map(worker).collect();
        let (swapping, waiting) = Default::default();
        Self { workers, swapping, swap, rate, tokens: rate, waiting }
    }

    fn order(&mut self, name: String) {
        self.waiting.push(name);
    }

    fn tick(&mut self, now: Instant, target: u64) {
        self.tokens = (self.tokens + self.rate * TICK.as_secs_f64()).min(self.rate.max(1.0));
        while self.tokens >= 1.0 && !self.waiting.is_empty() {
            self.tokens -= 1.0;
            let name = self.waiting.remove(0);
            self.swapping.insert(name, now.after(self.swap));
        }
        for worker in &mut self.workers {
            worker.reported_at = now;
            if self.swapping.get(&worker.name).is_some_and(|end| *end <= now) {
                self.swapping.remove(&worker.name);
                worker.version = Some(target);
            }
        }
    }

    fn out(&self) -> usize {
        self.swapping.len() + self.waiting.len()
    }
}

/// Time until all workers have version 2, and the most workers out at a time.
fn roll_out(engines: &mut Engines, rules: &Rules) -> (Duration, usize) {
    let mut wave = Wave::new(2, Pace::default());
    let mut now = Instant::from_millis(1_000);
    let (start, mut most) = (now, 0);
    while !wave.is_complete(&engines.workers) {
        for order in wave.plan(&engines.workers, rules, now) {
            engines.order(order.worker);
        }
        most = most.max(engines.out());
        now = now.after(TICK);
        engines.tick(now, 2);
        assert!(now.since(start) < Duration::from_secs(600), "rollout does not end");
    }
    (now.since(start), most)
}

/// Guards against a plan that cannot meet the growth target although the store's rate allows it.
#[test]
fn can_reach_the_growth_target() {
    for haste in [0.0, 0.5, 1.0] {
        let mut engines = Engines::new(1_000, Duration::from_secs(5), 1_000.0);
        let rules = Rules { min_serving: 0.5, haste };
        let (took, most) = roll_out(&mut engines, &rules);
        assert!(took <= GOAL, "haste {haste}: {took:?}");
        assert!(most <= 500, "haste {haste}: {most} out");
    }
}

/// Guards against a slow store that takes more workers out than must serve.
#[test]
fn can_keep_the_least_share_serving() {
    let mut engines = Engines::new(9, Duration::from_secs(2), 0.5);
    let (_, most) = roll_out(&mut engines, &Rules { min_serving: 0.7, haste: 1.0 });
    assert!(most <= 2, "{most} out");
}

/// Guards against a worker that stays without weights after a failed swap.
#[test]
fn can_order_again_after_a_failed_swap() {
    let mut engines = Engines::new(3, Duration::from_secs(1), 10.0);
    let rules = Rules { min_serving: 0.5, haste: 1.0 };
    let mut wave = Wave::new(2, Pace::default());
    let start = Instant::from_millis(1_000);
    let first = wave.plan(&engines.workers, &rules, start);
    assert_eq!(first.len(), 1);
    let failed = first[0].worker.clone();
    let broken = engines.workers.iter_mut().find(|worker| worker.name == failed).expect("known");
    broken.version = None;
    // This report was made before the order and says nothing about it.
    broken.reported_at = start.before(TICK);
    let late = start.after(Duration::from_secs(12));
    assert!(wave.plan(&engines.workers, &rules, late).is_empty());
    engines.tick(late, 2);
    let again = wave.plan(&engines.workers, &rules, late);
    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].worker, again[0].attempt), (&failed, 2));
}

/// Guards against a new holder that takes further workers out on top of those mid-swap.
#[test]
fn can_resume_with_the_same_workers() {
    let engines = Engines::new(12, Duration::from_secs(1), 10.0);
    let rules = Rules { min_serving: 0.75, haste: 1.0 };
    let now = Instant::from_millis(1_000);
    let before = Wave::new(2, Pace::default()).plan(&engines.workers, &rules, now);
    let after = Wave::new(2, Pace::default()).plan(&engines.workers, &rules, now.after(TICK));
    assert_eq!((before.len(), before), (3, after));
}

#[derive(Clone, Copy, Debug)]
enum Transition {
    /// The holder looks at the reports and sends orders.
    Plan,
    /// The holder plans and its order number `lost` does not arrive.
    Lose { lost: usize },
    /// Time passes; reports are as old as `lag` ticks.
    Wait { ticks: u64, lag: u64 },
    /// The swap under way at this worker fails.
    Fail { worker: usize },
    /// The worker leaves, or comes back.
    Leave { worker: usize },
    /// Newer weights are published.
    Publish,
    /// The holder dies; the next one starts when no order is on its way and reports are new.
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

/// Worker as it is, whatever the holder believes.
#[derive(Clone, Debug)]
struct Truth {
    version: Option<u64>,
    /// End and version of the swap under way.
    swap: Option<(Instant, u64)>,
    /// A swap of this worker failed and no later one has ended.
    failed: bool,
    usable: bool,
}

/// Workers, their lagging reports, and the holder's plan.
struct Fleet {
    truth: Vec<Truth>,
    history: Vec<(Instant, Vec<Truth>)>,
    reports: Vec<Worker>,
    wave: Wave,
    newest: u64,
    now: Instant,
    rules: Rules,
}

impl Fleet {
    fn new(rules: Rules) -> Self {
        let idle = Truth { version: Some(1), swap: None, failed: false, usable: true };
        let now = Instant::from_millis(1_000);
        let truth = vec![idle; 12];
        let (history, reports) = Default::default();
        let wave = Wave::new(2, Pace::default());
        let mut fleet = Self { truth, history, reports, wave, newest: 2, now, rules };
        fleet.wait(1, 0);
        fleet
    }

    fn wait(&mut self, ticks: u64, lag: u64) {
        for _ in 0..ticks {
            self.now = self.now.after(TICK);
            for worker in &mut self.truth {
                if let Some((_, version)) = worker.swap.filter(|(end, _)| *end <= self.now) {
                    let ended = Truth { version: Some(version), swap: None, ..worker.clone() };
                    *worker = Truth { failed: false, ..ended };
                }
            }
            self.history.push((self.now, self.truth.clone()));
        }
        self.history.drain(..self.history.len().saturating_sub(KEPT_STATES));
        let seen = self.history.len().saturating_sub(1 + usize::try_from(lag).expect("small"));
        let (reported_at, truth) = &self.history[seen];
        if self.reports.first().is_some_and(|report| report.reported_at > *reported_at) {
            return;
        }
        let report = |(index, truth): (usize, &Truth)| Worker {
            name: format!("worker-{index:02}"),
            zone: format!("zone-{}", index % 3),
            usable: truth.usable,
            version: truth.version.filter(|_| truth.swap.is_none()),
            reported_at: *reported_at,
        };
        self.reports = truth.iter().enumerate().map(report).collect();
    }

    fn plan(&mut self, lost: Option<usize>) {
        let before = self.out();
        let orders = self.wave.plan(&self.reports, &self.rules, self.now);
        for (index, order) in orders.into_iter().enumerate() {
            let worker: usize = order.worker["worker-".len()..].parse().expect("index");
            let truth = &mut self.truth[worker];
            let same = truth.swap.is_some_and(|(_, version)| version == order.version);
            let loaded = truth.version.is_some_and(|version| version >= order.version);
            if lost != Some(index) && !same && !loaded {
                truth.swap = Some((self.now.after(Duration::from_secs(3)), order.version));
                truth.version = None;
            }
        }
        // Workers that leave lower the limit while others swap; a plan must then add none.
        let seen = self.reports.iter().filter(|report| report.usable).count();
        let limit = seen - usize::div_ceil(seen * 3, 4);
        assert!(self.out() <= limit.max(before), "{} of {seen} swap at a time", self.out());
    }

    /// Usable workers that swap; those whose last swap failed served nobody before.
    fn out(&self) -> usize {
        let out = |(truth, report): &(&Truth, &Worker)| {
            report.usable && truth.swap.is_some() && !truth.failed
        };
        self.truth.iter().zip(&self.reports).filter(out).count()
    }

    fn apply(&mut self, transition: Transition) {
        match transition {
            Transition::Plan => self.plan(None),
            Transition::Lose { lost } => self.plan(Some(lost)),
            Transition::Wait { ticks, lag } => self.wait(ticks, lag),
            Transition::Fail { worker } => {
                let truth = &mut self.truth[worker];
                if truth.swap.take().is_some() {
                    truth.failed = true;
                }
            }
            Transition::Leave { worker } => {
                // A worker that leaves mid-swap comes back as it was before a failed one.
                let truth = &mut self.truth[worker];
                if truth.swap.is_none() {
                    truth.usable = !truth.usable;
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

    /// Without further faults every usable worker gets the newest weights.
    fn finish(&mut self) {
        for _ in 0..1_000 {
            self.wait(1, 1);
            if self.wave.is_complete(&self.reports) {
                return;
            }
            self.plan(None);
        }
        panic!("rollout does not end: {:?}", self.reports);
    }
}

/// Guards against a plan that takes too many workers out or never ends under lost orders, lagging
/// reports, failed swaps, new versions and new holders.
#[test]
fn can_roll_out_through_faults() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 2_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let transitions = prop::collection::vec(transition(), 1..40);
    let result = runner.run(&transitions, |transitions| {
        let mut fleet = Fleet::new(Rules { min_serving: 0.75, haste: 1.0 });
        for transition in transitions {
            fleet.apply(transition);
        }
        fleet.finish();
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
