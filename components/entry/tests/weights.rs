//! Orders to engines: one holder for all models of a service, no more loads at once than useful,
//! and no second order while the first may still be carried out.

use filbertsail_clock::Instant;
use filbertsail_entry::{
    fleet::{Entry, Fleet, Report},
    relay::is_among,
    weights::{Action, Asked, Director, Pace, Reply, Target, View},
};

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..count {
        fleet.put(Entry {
            id: format!("w{index}"),
            service: "lm".to_owned(),
            address: ([10, 0, 0, 1], 8_000 + u16::try_from(index).expect("small")).into(),
            zone: "a".to_owned(),
            slots: 16,
            draining: false,
            born: None,
            models: vec![("m".to_owned(), 1), ("n".to_owned(), 1)],
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
    fleet.of("lm").map(view).collect()
}

fn target(model: &str, version: u64, lag: u64) -> Target {
    Target { model: model.to_owned(), version, lag: Some(lag) }
}

fn targets(m: u64, n: u64) -> Vec<Target> {
    vec![target("m", m, 0), target("n", n, 0)]
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn report(orders: u64, busy: bool) -> Reply {
    Reply::Report(Report { models: Vec::new(), busy, orders, born: None })
}

/// Answers every call so that orders are accepted; returns the orders.
fn round(director: &mut Director, views: &[View], targets: &[Target], ms: u64) -> Vec<Action> {
    let actions = director.plan(views, targets, at(ms));
    let mut orders = Vec::new();
    for action in actions {
        let reply = match &action {
            Action::Report(_) => report(0, false),
            Action::Order { .. } => {
                orders.push(action.clone());
                Reply::Accepted
            }
        };
        director.note(&Asked { action, reply }, at(ms));
    }
    orders
}

/// Guards against orders for two models that reach one worker at a time, and against loads that
/// slow each other down.
#[test]
fn can_order_a_fifth_of_the_workers_at_once() {
    let fleet = fleet(9);
    let views = views(&fleet);
    let mut director = Director::default();
    assert_eq!(round(&mut director, &views, &targets(2, 2), 0).len(), 0, "counts are asked first");
    let orders = round(&mut director, &views, &targets(2, 2), 100);
    assert_eq!(orders.len(), 2);
    let workers: Vec<_> = orders
        .iter()
        .map(|order| match order {
            Action::Order { worker, .. } => *worker,
            Action::Report(worker) => *worker,
        })
        .collect();
    assert_ne!(workers[0], workers[1]);
    assert_eq!(round(&mut director, &views, &targets(2, 2), 200).len(), 0, "both still load");
}

/// Guards against a second order while one without an answer may be carried out seconds later: the
/// next one names the count that the worker has reported meanwhile.
#[test]
fn can_order_again_with_the_reported_count() {
    let fleet = fleet(1);
    let views = views(&fleet);
    let mut director = Director::default();
    round(&mut director, &views, &targets(2, 1), 0);
    let actions = director.plan(&views, &targets(2, 1), at(100));
    let [Action::Order { expected: 0, .. }] = actions.as_slice() else {
        panic!("one order expected: {actions:?}");
    };
    director.note(&Asked { action: actions[0].clone(), reply: Reply::Silent }, at(1_100));
    assert_eq!(director.plan(&views, &targets(2, 1), at(1_200)), []);
    let looks = director.plan(&views, &targets(2, 1), at(1_900));
    assert_eq!(looks, [Action::Report(views[0].key)]);
    director.note(&Asked { action: looks[0].clone(), reply: report(1, false) }, at(1_950));
    let again = director.plan(&views, &targets(2, 1), at(2_300));
    assert!(matches!(again.as_slice(), [Action::Order { expected: 1, .. }]), "{again:?}");
}

/// Guards against a restarted worker whose order from before its restart is waited for.
#[test]
fn can_notice_a_restart() {
    let fleet = fleet(1);
    let views = views(&fleet);
    let mut director = Director::default();
    round(&mut director, &views, &targets(2, 1), 0);
    round(&mut director, &views, &targets(2, 1), 100);
    let looks = director.plan(&views, &targets(2, 1), at(1_100));
    let reply = Reply::Report(Report { models: Vec::new(), busy: false, orders: 0, born: Some(7) });
    director.note(&Asked { action: looks[0].clone(), reply }, at(1_110));
    let again = director.plan(&views, &targets(2, 1), at(1_200));
    assert!(matches!(again.as_slice(), [Action::Order { expected: 0, .. }]), "{again:?}");
}

/// Loads what the director orders at once; returns the workers by their version of the model `m`.
fn settle(director: &mut Director, fleet: &mut Fleet, targets: &[Target], start: u64) -> Vec<u64> {
    for step in 0..40 {
        let now = start + step * 1_000;
        for order in round(director, &views(fleet), targets, now) {
            let Action::Order { worker, model, version, .. } = order else { continue };
            fleet.versioned(worker, &model, version);
        }
    }
    let mut versions: Vec<u64> =
        fleet.of("lm").filter_map(|(_, worker)| worker.version("m")).collect();
    versions.sort_unstable();
    versions
}

/// Guards against a version that all workers load though steps may use the one before: each load
/// then keeps workers from taking the items of the step that has just begun.
#[test]
fn can_load_versions_in_turn_where_steps_may_lag() {
    let mut fleet = fleet(8);
    let mut director = Director::default();
    let mut named =
        |version| settle(&mut director, &mut fleet, &[target("m", version, 1)], version * 100_000);
    assert_eq!(named(2), [1, 1, 1, 1, 2, 2, 2, 2]);
    assert_eq!(named(3), [2, 2, 2, 2, 3, 3, 3, 3]);
    assert_eq!(named(4), [3, 3, 3, 3, 4, 4, 4, 4]);
}

/// Guards against steps that find no worker where they may not lag behind.
#[test]
fn can_load_all_workers_where_steps_may_not_lag() {
    let mut fleet = fleet(8);
    let mut director = Director::default();
    let versions = settle(&mut director, &mut fleet, &[target("m", 2, 0)], 0);
    assert_eq!(versions, [2; 8]);
}

/// Guards against an order that names one order too many: a report taken during a load counts the
/// order that is being carried out.
#[test]
fn can_count_an_order_once() {
    let mut fleet = fleet(1);
    let mut director = Director::default();
    round(&mut director, &views(&fleet), &targets(2, 1), 0);
    round(&mut director, &views(&fleet), &targets(2, 1), 100);
    let looks = director.plan(&views(&fleet), &targets(2, 1), at(1_100));
    director.note(&Asked { action: looks[0].clone(), reply: report(1, true) }, at(1_150));
    let worker = views(&fleet)[0].key;
    fleet.versioned(worker, "m", 2);
    let next = director.plan(&views(&fleet), &targets(2, 2), at(1_500));
    assert!(matches!(next.as_slice(), [Action::Order { expected: 1, .. }]), "{next:?}");
}

/// Guards against looks at a lease that grow with the VMs, and against none that looks. Load: hundreds
/// of VMs, each of which knows all others but for those that came of late.
#[test]
fn can_choose_a_few_candidates_for_a_lease() {
    let names: Vec<String> = (0..420).map(|vm| format!("vm-{vm}")).collect();
    let candidates = |known: usize| {
        let names = names.iter().take(known);
        let is_among = |me: &&String| {
            let others = names.clone().filter(|vm| vm != me).map(String::as_str);
            is_among("weights/lm", me, others, 12)
        };
        names.clone().filter(is_among).cloned().collect::<Vec<_>>()
    };
    assert_eq!(candidates(9).len(), 9, "all VMs of a small deployment");
    assert_eq!(candidates(420).len(), 12);
    let stay = candidates(400).iter().filter(|vm| candidates(420).contains(vm)).count();
    assert!(stay >= 8, "{stay} of 12 stay when 20 VMs are added");
}

/// Guards against a lease that is taken because of an old look, and against a VM that never looks
/// because it is no candidate.
#[test]
fn can_look_at_a_lease_now_and_then() {
    let at = Instant::from_millis;
    let mut pace = Pace::default();
    assert!(!pace.may_skip(false, at(0)), "the first look");
    assert!(pace.must_look(false, at(0)));
    pace.looked(at(100));
    assert!(pace.may_skip(false, at(3_000)));
    assert!(!pace.may_skip(false, at(3_100)));
    assert!(!pace.may_skip(true, at(200)), "a candidate");
    assert!(!pace.must_look(false, at(700)));
    assert!(pace.must_look(false, at(800)));
    assert!(!pace.must_look(true, at(9_000)));
}
