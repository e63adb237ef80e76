//! Weight orders: one holder for all models of a service, a bounded number of concurrent loads, and
//! no second order while the first may still be executed.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_entry::{
    duty::Throttle,
    fleet::{Entry, Fleet, Report},
    relay::ranks_within,
    weights::{Action, Exchange, Planner, Reply, Target, View},
};

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..count {
        fleet.apply_entry(Entry {
            id: format!("w{index}"),
            service: "lm".to_owned(),
            address: ([10, 0, 0, 1], 8_000 + u16::try_from(index).expect("small")).into(),
            zone: "a".to_owned(),
            slots: 16,
            draining: false,
            started_ms: None,
            sequence: None,
            models: vec![("m".to_owned(), 1), ("n".to_owned(), 1)],
            warmup_left: Duration::ZERO,
            is_spot: false,
            leaves_in: None,
        });
    }
    fleet
}

fn views(fleet: &Fleet) -> Vec<View> {
    let view = |(key, worker): (_, &filbertsail_entry::fleet::Worker)| View {
        key,
        id: worker.entry.id.clone(),
        versions: worker.entry.models.clone(),
        is_usable: true,
        load: 0,
    };
    fleet.workers_of("lm").map(view).collect()
}

fn target(model: &str, version: u64, lag: u64) -> Target {
    Target { model: model.to_owned(), version, lag: Some(lag), work: None }
}

fn targets(m: u64, n: u64) -> Vec<Target> {
    vec![target("m", m, 0), target("n", n, 0)]
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn report(accepted_orders: u64, busy: bool) -> Reply {
    Reply::Report(Report { models: Vec::new(), busy, accepted_orders, started_ms: None })
}

/// Answers every call and accepts every order; returns the orders.
fn round(planner: &mut Planner, views: &[View], targets: &[Target], ms: u64) -> Vec<Action> {
    let actions = planner.plan(views, targets, at(ms));
    let mut orders = Vec::new();
    for action in actions {
        let reply = match &action {
            Action::Query(_) => report(0, false),
            Action::Order { .. } => {
                orders.push(action.clone());
                Reply::Accepted
            }
        };
        planner.record_reply(&Exchange { action, reply }, at(ms));
    }
    orders
}

/// Guards against orders for two models that reach one worker at once, and against so many
/// concurrent loads that they slow each other down.
#[test]
fn can_order_a_fifth_of_the_workers_at_once() {
    let fleet = fleet(9);
    let views = views(&fleet);
    let mut planner = Planner::default();
    assert_eq!(
        round(&mut planner, &views, &targets(2, 2), 0).len(),
        0,
        "order counts are queried first"
    );
    let orders = round(&mut planner, &views, &targets(2, 2), 100);
    assert_eq!(orders.len(), 2);
    let workers: Vec<_> = orders
        .iter()
        .map(|order| match order {
            Action::Order { worker, .. } => *worker,
            Action::Query(worker) => *worker,
        })
        .collect();
    assert_ne!(workers[0], workers[1]);
    assert_eq!(round(&mut planner, &views, &targets(2, 2), 200).len(), 0, "both loads still run");
}

/// Guards against a second order while an unanswered one may still be executed seconds later: the
/// next order states the count that the worker has reported since.
#[test]
fn can_repeat_an_order_with_the_reported_count() {
    let fleet = fleet(1);
    let views = views(&fleet);
    let mut planner = Planner::default();
    round(&mut planner, &views, &targets(2, 1), 0);
    let actions = planner.plan(&views, &targets(2, 1), at(100));
    let [Action::Order { expected_orders: 0, .. }] = actions.as_slice() else {
        panic!("one order expected: {actions:?}");
    };
    planner.record_reply(
        &Exchange { action: actions[0].clone(), reply: Reply::NoResponse },
        at(1_100),
    );
    assert_eq!(planner.plan(&views, &targets(2, 1), at(1_200)), []);
    let queries = planner.plan(&views, &targets(2, 1), at(1_900));
    assert_eq!(queries, [Action::Query(views[0].key)]);
    planner
        .record_reply(&Exchange { action: queries[0].clone(), reply: report(1, false) }, at(1_950));
    let repeated = planner.plan(&views, &targets(2, 1), at(2_300));
    assert!(
        matches!(repeated.as_slice(), [Action::Order { expected_orders: 1, .. }]),
        "{repeated:?}"
    );
}

/// Guards against waiting for an order that a worker accepted before its restart.
#[test]
fn can_notice_a_restart() {
    let fleet = fleet(1);
    let views = views(&fleet);
    let mut planner = Planner::default();
    round(&mut planner, &views, &targets(2, 1), 0);
    round(&mut planner, &views, &targets(2, 1), 100);
    let queries = planner.plan(&views, &targets(2, 1), at(1_100));
    let reply = Reply::Report(Report {
        models: Vec::new(),
        busy: false,
        accepted_orders: 0,
        started_ms: Some(7),
    });
    planner.record_reply(&Exchange { action: queries[0].clone(), reply }, at(1_110));
    let repeated = planner.plan(&views, &targets(2, 1), at(1_200));
    assert!(
        matches!(repeated.as_slice(), [Action::Order { expected_orders: 0, .. }]),
        "{repeated:?}"
    );
}

/// Executes every order at once; returns the sorted versions of the model `m` on all workers.
fn settle(planner: &mut Planner, fleet: &mut Fleet, targets: &[Target], start: u64) -> Vec<u64> {
    for step in 0..40 {
        let now = start + step * 1_000;
        for order in round(planner, &views(fleet), targets, now) {
            let Action::Order { worker, model, version, .. } = order else { continue };
            fleet.record_version(worker, &model, version);
        }
    }
    let mut versions: Vec<u64> =
        fleet.workers_of("lm").filter_map(|(_, worker)| worker.version("m")).collect();
    versions.sort_unstable();
    versions
}

/// Guards against loading a version on all workers although steps may use the previous one: the
/// loads would keep workers from taking items of the step that has just begun.
#[test]
fn can_alternate_versions_where_steps_may_lag() {
    let mut fleet = fleet(8);
    let mut planner = Planner::default();
    let mut publish =
        |version| settle(&mut planner, &mut fleet, &[target("m", version, 1)], version * 100_000);
    assert_eq!(publish(2), [1, 1, 1, 1, 2, 2, 2, 2]);
    assert_eq!(publish(3), [2, 2, 2, 2, 3, 3, 3, 3]);
    assert_eq!(publish(4), [3, 3, 3, 3, 4, 4, 4, 4]);
}

/// Guards against steps that may not lag and find no worker with the newest version.
#[test]
fn can_load_all_workers_where_steps_may_not_lag() {
    let mut fleet = fleet(8);
    let mut planner = Planner::default();
    let versions = settle(&mut planner, &mut fleet, &[target("m", 2, 0)], 0);
    assert_eq!(versions, [2; 8]);
}

/// Guards against an expected count that is one too high: a report taken during a load already
/// counts the running order.
#[test]
fn can_count_an_order_once() {
    let mut fleet = fleet(1);
    let mut planner = Planner::default();
    round(&mut planner, &views(&fleet), &targets(2, 1), 0);
    round(&mut planner, &views(&fleet), &targets(2, 1), 100);
    let queries = planner.plan(&views(&fleet), &targets(2, 1), at(1_100));
    planner
        .record_reply(&Exchange { action: queries[0].clone(), reply: report(1, true) }, at(1_150));
    let worker = views(&fleet)[0].key;
    fleet.record_version(worker, "m", 2);
    let next = planner.plan(&views(&fleet), &targets(2, 2), at(1_500));
    assert!(matches!(next.as_slice(), [Action::Order { expected_orders: 1, .. }]), "{next:?}");
}

/// Guards against lease reads that grow with the number of VMs, and against a lease that no VM
/// reads. Load: hundreds of VMs, each of which knows all others but the most recently started.
#[test]
fn can_choose_a_few_candidates_for_a_lease() {
    let names: Vec<String> = (0..420).map(|vm| format!("vm-{vm}")).collect();
    let candidates = |known: usize| {
        let names = names.iter().take(known);
        let ranks_within = |vm: &&String| {
            let others = names.clone().filter(|other| other != vm).map(String::as_str);
            ranks_within("weights/lm", vm, others, 12)
        };
        names.clone().filter(ranks_within).cloned().collect::<Vec<_>>()
    };
    assert_eq!(candidates(9).len(), 9, "all VMs of a small deployment");
    assert_eq!(candidates(420).len(), 12);
    let stay = candidates(400).iter().filter(|vm| candidates(420).contains(vm)).count();
    assert!(stay >= 8, "{stay} of 12 stay when 20 VMs are added");
}

/// Guards against claiming a lease on the basis of an old read, and against a VM that never reads
/// it because it is not a candidate.
#[test]
fn can_limit_lease_reads_of_standby_vms() {
    let at = Instant::from_millis;
    let mut throttle = Throttle::default();
    assert!(!throttle.may_skip_read(false, at(0)), "the first read");
    assert!(throttle.must_reread(false, at(0)));
    throttle.record_read(at(100));
    assert!(throttle.may_skip_read(false, at(3_000)));
    assert!(!throttle.may_skip_read(false, at(3_100)));
    assert!(!throttle.may_skip_read(true, at(200)), "a candidate");
    assert!(!throttle.must_reread(false, at(700)));
    assert!(throttle.must_reread(false, at(800)));
    assert!(!throttle.must_reread(true, at(9_000)));
}

/// Guards against a panic, which ends all orders of the service, on the largest numbers that a
/// worker or another writer of its entry can state.
#[test]
fn can_bear_the_largest_numbers() {
    let fleet = fleet(3);
    let mut views = views(&fleet);
    views[0].versions = vec![("m".to_owned(), u64::MAX), ("n".to_owned(), 1)];
    views[0].load = u32::MAX;
    let mut planner = Planner::default();
    for ms in (0..5_000).step_by(100) {
        for action in planner.plan(&views, &targets(2, 2), at(ms)) {
            let reply = match &action {
                Action::Query(_) => report(u64::MAX, false),
                Action::Order { .. } => Reply::Accepted,
            };
            planner.record_reply(&Exchange { action, reply }, at(ms));
        }
    }
}
