//! Orders to engines: one holder for all models of a service, no more loads at once than useful,
//! and no second order while the first may still be carried out.

use filbertsail_clock::Instant;
use filbertsail_entry::{
    fleet::{Entry, Fleet, Report},
    weights::{Action, Asked, Director, Reply, View},
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
    };
    fleet.of("lm").map(view).collect()
}

fn targets(m: u64, n: u64) -> Vec<(String, u64)> {
    vec![("m".to_owned(), m), ("n".to_owned(), n)]
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn report(orders: u64, busy: bool) -> Reply {
    Reply::Report(Report { models: Vec::new(), busy, orders, born: None })
}

/// Answers every call so that orders are accepted; returns the orders.
fn round(director: &mut Director, views: &[View], targets: &[(String, u64)], ms: u64) -> Vec<Action> {
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
    let reply =
        Reply::Report(Report { models: Vec::new(), busy: false, orders: 0, born: Some(7) });
    director.note(&Asked { action: looks[0].clone(), reply }, at(1_110));
    let again = director.plan(&views, &targets(2, 1), at(1_200));
    assert!(matches!(again.as_slice(), [Action::Order { expected: 0, .. }]), "{again:?}");
}
