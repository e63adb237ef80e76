//! The policy against a plain version that recomputes everything from the whole history.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use filbertsail_config::inventory::{Class, Inventory};
use filbertsail_routing::{
    policy::{Policy, Production, eligible},
    state::{Fleet, Outcome, Report, Request, Worker, inventory::Viewpoint},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand::RngExt;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};

const WORKERS: usize = 5;
const ZONES: [&str; 3] = ["a", "b", "c"];
const DELAYS_MS: [f64; 3] = [0.0, 4.0, 9.0];
const MAX_CONCURRENCY: u32 = 6;
const CASES: u32 = 1_024;

fn inventory() -> Inventory {
    let mut text = "[deployment]\nname = \"d\"\nstaleness_weight = 1.0\nidle_weight = 1.0\n\
         [[service]]\nname = \"s\"\nkind = \"model\"\nmax_concurrency = 6\n\
         [[rule]]\nname = \"near\"\nservice = \"s\"\nclass = \"rollout\"\nzones = [\"a\", \"b\"]\n\
         [[rule]]\nname = \"fresh\"\nservice = \"s\"\nclass = \"customer\"\nmax_version_lag = 1\n"
        .to_owned();
    for zone in ZONES {
        text.push_str(&format!("[[zone]]\nname = \"{zone}\"\nregion = \"r\"\n"));
    }
    for (zone, delay) in ZONES.iter().zip(DELAYS_MS).skip(1) {
        text.push_str(&format!(
            "[[link]]\nbetween = [\"a\", \"{zone}\"]\ndelay_ms = {delay:?}\ncost = 2.0\n"
        ));
    }
    for index in 0..WORKERS {
        let zone = ZONES[index % ZONES.len()];
        text.push_str(&format!(
            "[[worker]]\nname = \"w{index}\"\nservice = \"s\"\nzone = \"{zone}\"\n\
             address = \"127.0.0.1:{}\"\n",
            1_000 + index
        ));
    }
    Inventory::parse(&text).expect("inventory")
}

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Send(usize),
    Finish { worker: usize, ok: bool, took_ms: u64 },
    Report { worker: usize, running: u32, queued: u32, age_ms: u64, version: Option<u64> },
    Leave { worker: usize, vm: bool, operator: bool },
    Unreachable(usize),
    Choose { seed: u64, rollout: bool, min_version: Option<u64>, avoid: Option<usize> },
}

fn step() -> impl Strategy<Value = Step> {
    let worker = 0..WORKERS;
    let version = prop::option::of(1u64..5);
    prop_oneof![
        2 => (0u64..3_000).prop_map(Step::Pass),
        4 => worker.clone().prop_map(Step::Send),
        // Durations within a factor of 2 leave the concurrency limit, which has tests of its own, alone.
        4 => (worker.clone(), prop::bool::weighted(0.7), 100u64..200)
            .prop_map(|(worker, ok, took_ms)| Step::Finish { worker, ok, took_ms }),
        3 => (worker.clone(), 0u32..9, 0u32..5, 0u64..2_000, version.clone()).prop_map(
            |(worker, running, queued, age_ms, version)| Step::Report {
                worker, running, queued, age_ms, version
            }
        ),
        1 => (worker.clone(), any::<bool>(), any::<bool>())
            .prop_map(|(worker, vm, operator)| Step::Leave { worker, vm, operator }),
        1 => worker.clone().prop_map(Step::Unreachable),
        4 => (any::<u64>(), any::<bool>(), version, prop::option::of(worker)).prop_map(
            |(seed, rollout, min_version, avoid)| Step::Choose {
                seed, rollout, min_version, avoid
            }
        ),
    ]
}

#[derive(Clone, Debug)]
enum Event {
    Sent,
    Ended { ok: bool, took_ms: f64 },
    Report(Report),
    Marks { vm: bool, operator: bool },
    Unreachable,
}

/// All that ever happened, and nothing derived from it.
#[derive(Default)]
struct Plain(Vec<(Instant, usize, Event)>);

#[derive(Clone, Copy, Default)]
struct Circuit {
    row: u32,
    outcomes: u32,
    share: f64,
    openings: u32,
    open_until: Option<Instant>,
    probing: Option<Instant>,
}

impl Plain {
    fn of(&self, worker: usize) -> impl Iterator<Item = (Instant, &Event)> {
        let own = self.0.iter().filter(move |(_, index, _)| *index == worker);
        own.map(|(at, _, event)| (*at, event))
    }

    fn in_flight(&self, worker: usize) -> i64 {
        self.of(worker).fold(0, |sum, (_, event)| match event {
            Event::Sent => sum + 1,
            Event::Ended { .. } => sum - 1,
            _ => sum,
        })
    }

    /// Report with the latest state, by the time that it describes.
    fn report(&self, worker: usize) -> Option<&Report> {
        let mut newest: Option<&Report> = None;
        for (_, event) in self.of(worker) {
            if let Event::Report(report) = event
                && newest.is_none_or(|old| old.taken_at <= report.taken_at)
            {
                newest = Some(report);
            }
        }
        newest
    }

    fn expected(&self, worker: usize) -> i64 {
        let own = self.in_flight(worker);
        let Some(report) = self.report(worker) else { return own };
        let since: i64 = self
            .of(worker)
            .filter(|(at, _)| *at > report.taken_at)
            .map(|(_, event)| match event {
                Event::Sent => 1,
                Event::Ended { .. } => -1,
                _ => 0,
            })
            .sum();
        (i64::from(report.running) + i64::from(report.queued) + since).max(own)
    }

    fn circuit(&self, worker: usize) -> Circuit {
        let mut it = Circuit::default();
        for (at, event) in self.of(worker) {
            match event {
                Event::Sent if it.open_until.is_some_and(|until| at >= until) => {
                    (it.open_until, it.probing) = (None, Some(at));
                }
                Event::Sent if it.probing.is_some_and(|sent| at.since(sent).as_secs() >= 60) => {
                    it.probing = Some(at);
                }
                Event::Ended { ok: true, .. } => {
                    if it.probing.is_some() {
                        it = Circuit::default();
                        continue;
                    }
                    it.row = 0;
                    it.outcomes += 1;
                    it.share -= it.share / 10.0;
                }
                Event::Ended { ok: false, .. } => {
                    it.row += 1;
                    it.outcomes += 1;
                    it.share += (1.0 - it.share) / 10.0;
                    let bad = it.row >= 5 || (it.outcomes >= 10 && it.share >= 0.5);
                    if it.probing.is_some() || (it.open_until.is_none() && bad) {
                        let pause = 1_000 * (1u64 << it.openings.min(5));
                        let pause = Duration::from_millis(pause.min(30_000));
                        it.openings += 1;
                        (it.open_until, it.probing) = (Some(at.after(pause)), None);
                    }
                }
                _ => {}
            }
        }
        it
    }

    /// Weighted average of durations that pass `which`, newest last.
    fn average(&self, weight: f64, which: impl Fn(usize) -> bool) -> f64 {
        let mut average = 0.0;
        for (_, worker, event) in &self.0 {
            if let Event::Ended { ok: true, took_ms } = event
                && which(*worker)
            {
                average = if average == 0.0 { *took_ms } else { average };
                average += weight * (took_ms - average);
            }
        }
        average
    }

    fn is_eligible(&self, worker: usize, ask: &Ask, now: Instant) -> bool {
        let unreachable = self.of(worker).fold(0, |count, (_, event)| match event {
            Event::Unreachable => count + 1,
            Event::Report(_) => 0,
            _ => count,
        });
        let marked = self.of(worker).fold(false, |marked, (_, event)| match event {
            Event::Marks { vm, operator } => *vm || *operator,
            _ => marked,
        });
        let reports = self.0.iter().filter_map(|(_, _, event)| match event {
            Event::Report(report) => report.weight_version,
            _ => None,
        });
        let newest = reports.max().unwrap_or(0);
        let lag = (!ask.rollout).then(|| newest.saturating_sub(1));
        let known = self.report(worker).filter(|it| now.since(it.taken_at).as_secs() < 10);
        let fresh = match lag.max(ask.min_version) {
            None => true,
            Some(least) => known.and_then(|it| it.weight_version).is_some_and(|it| it >= least),
        };
        let circuit = self.circuit(worker);
        let closed = match (circuit.open_until, circuit.probing) {
            (Some(until), _) => now >= until,
            (None, Some(sent)) => now.since(sent).as_secs() >= 60,
            (None, None) => true,
        };
        unreachable < 3
            && !marked
            && ask.avoid != Some(worker)
            && !(ask.rollout && ZONES[worker % ZONES.len()] == "c")
            && fresh
            && closed
            && self.in_flight(worker) < i64::from(MAX_CONCURRENCY)
    }

    /// Whether the production policy may add to the backlog of `worker`.
    fn has_room(&self, worker: usize, now: Instant) -> bool {
        let known = self.report(worker).filter(|it| now.since(it.taken_at).as_secs() < 10);
        known.is_none_or(|report| {
            report.capacity == 0 || self.expected(worker) < 2 * i64::from(report.capacity)
        })
    }

    fn cost(&self, worker: usize) -> f64 {
        let own = self.average(0.2, |other| other == worker);
        let all = self.average(0.05, |_| true);
        let duration = [own, all, 50.0].into_iter().find(|it| *it > 0.0).expect("default");
        let capacity = self.report(worker).map_or(MAX_CONCURRENCY, |report| report.capacity);
        let share = (self.expected(worker) + 1) as f64 / f64::from(capacity.max(1));
        let wait = duration * share * (1.0 + 8.0 * self.circuit(worker).share);
        let zone = worker % ZONES.len();
        wait + DELAYS_MS[zone] * 2.0 * if zone == 0 { 1.0 } else { 2.0 }
    }
}

struct Ask {
    rollout: bool,
    min_version: Option<u64>,
    avoid: Option<usize>,
}

/// Notes which two workers the policy draws, by a generator that replays the same draws.
fn drawn(seed: u64, count: usize) -> (usize, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let first = rng.random_range(0..count);
    (first, (first + rng.random_range(1..count)) % count)
}

fn check(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::default();
    let view = Viewpoint { gateway: "g", zone: "a", subset: 64 };
    fleet.take_over(&inventory(), view);
    let keys: Vec<Key<Worker>> =
        (0..WORKERS).map(|index| fleet.worker_key(&format!("w{index}")).expect("worker")).collect();
    let mut plain = Plain::default();
    let mut now = Instant::from_millis(100_000);
    for step in steps {
        now = now.after(Duration::from_millis(1));
        match step {
            Step::Pass(ms) => now = now.after(Duration::from_millis(*ms)),
            Step::Choose { seed, rollout, min_version, avoid } => {
                let ask = Ask { rollout: *rollout, min_version: *min_version, avoid: *avoid };
                compare(&fleet, &plain, &keys, &ask, *seed, now)?;
            }
            other => apply(&mut fleet, &mut plain, &keys, other, now),
        }
    }
    Ok(())
}

fn apply(fleet: &mut Fleet, plain: &mut Plain, keys: &[Key<Worker>], step: &Step, now: Instant) {
    let mut note = |worker: usize, event| plain.0.push((now, worker, event));
    match *step {
        Step::Send(worker) => {
            fleet.sent(keys[worker], now);
            note(worker, Event::Sent);
        }
        Step::Finish { worker, ok, took_ms } => {
            let in_flight = fleet.worker(keys[worker]).expect("worker").load.in_flight();
            if in_flight == 0 {
                return;
            }
            let took = Duration::from_millis(took_ms);
            let outcome = if ok { Outcome::Success { took } } else { Outcome::Failure };
            fleet.finished(keys[worker], outcome, now, 0.0);
            note(worker, Event::Ended { ok, took_ms: took_ms as f64 });
        }
        Step::Report { worker, running, queued, age_ms, version } => {
            let report = Report {
                taken_at: now.before(Duration::from_millis(age_ms)),
                incarnation: 1,
                running,
                queued,
                capacity: 4,
                weight_version: version,
                leaving: false,
            };
            fleet.reported(keys[worker], report.clone());
            note(worker, Event::Report(report));
        }
        Step::Leave { worker, vm, operator } => {
            let marks = &mut fleet.worker_mut(keys[worker]).expect("worker").marks;
            (marks.vm_list, marks.operator) = (vm, operator);
            note(worker, Event::Marks { vm, operator });
        }
        Step::Unreachable(worker) => {
            fleet.worker_mut(keys[worker]).expect("worker").unreachable += 1;
            note(worker, Event::Unreachable);
        }
        Step::Pass(_) | Step::Choose { .. } => {}
    }
}

fn compare(
    fleet: &Fleet,
    plain: &Plain,
    keys: &[Key<Worker>],
    ask: &Ask,
    seed: u64,
    now: Instant,
) -> Result<(), TestCaseError> {
    let avoid: Vec<_> = ask.avoid.iter().map(|&index| keys[index]).collect();
    let request = Request {
        service: fleet.service_key("s").expect("service"),
        class: if ask.rollout { Class::Rollout } else { Class::Customer },
        min_version: ask.min_version,
        prefixes: &[],
        avoid: &avoid,
    };
    let expected: Vec<usize> =
        (0..WORKERS).filter(|&worker| plain.is_eligible(worker, ask, now)).collect();
    let expected_keys: Vec<_> = expected.iter().map(|&index| keys[index]).collect();
    prop_assert_eq!(eligible(fleet, &request, now), expected_keys);
    let expected: Vec<usize> =
        expected.into_iter().filter(|&worker| plain.has_room(worker, now)).collect();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let choice = Production.choose(fleet, &request, now, &mut rng);
    let best = match expected.as_slice() {
        [] => None,
        [only] => Some(*only),
        many => {
            let (first, second) = drawn(seed, many.len());
            let (first, second) = (many[first], many[second]);
            let (cost, other) = (plain.cost(first), plain.cost(second));
            // The order of additions may differ in the last bits.
            if (cost - other).abs() < 1e-9 * cost.abs().max(1.0) {
                return Ok(());
            }
            Some(if other < cost { second } else { first })
        }
    };
    prop_assert_eq!(choice.map(|it| it.worker), best.map(|index| keys[index]));
    prop_assert_eq!(choice.map_or(0, |it| it.candidates), expected.len());
    Ok(())
}

/// Guards against loads, circuits, marks and versions that drift from what really happened.
#[test]
fn can_agree_with_a_full_scan_of_the_history() {
    let config = Config { cases: CASES, failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&prop::collection::vec(step(), 1..120), |steps| check(&steps));
    if let Err(error) = result {
        panic!("{error}");
    }
}
