//! Weight rollout against workers in virtual time.

use std::{collections::HashMap, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_rollout::wave::{GOAL, Pace, Rules, Wave, Worker};

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
    assert!(wave.plan(&engines.workers, &rules, start.after(TICK)).is_empty());
    engines.tick(start.after(TICK), 2);
    let again = wave.plan(&engines.workers, &rules, start.after(Duration::from_secs(1)));
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
