//! Orders of workers by the task that holds the lease, with a store and a platform in memory.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use filbertsail_cluster::lease::Grant;
use filbertsail_entry::{
    config::{Config, Limits, Scaling, Service},
    duty::{
        self, Context, Settings,
        scaling::{
            calls::Calls,
            rows::{decode_order, encode_order, order_key},
        },
    },
    fleet::Entry,
    relay::Peers,
    shared::{Identity, Link, Shared, Times},
};
use filbertsail_ports::{
    duty::{
        Fault, Order,
        fake::{Call, Fake as Platform},
    },
    store::fake::Fake as Store,
};
use filbertsail_scaling::{Kind, Outcome, Pool, Row, State};
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};

/// VM that runs the duties.
struct Vm {
    shared: Shared,
    task: JoinHandle<()>,
}

fn config(is_scaled: bool) -> Config {
    let scaling = Scaling {
        minimum: 1,
        maximum: 22,
        boot_time: Duration::from_secs(4),
        spot_price: None,
        zone_prices: Vec::new(),
    };
    let scaling = is_scaled.then_some(scaling);
    let service = Service { name: "lm".to_owned(), engine: None, scaling };
    Config {
        version: 1,
        routes: Vec::new(),
        index: Default::default(),
        services: [("lm".to_owned(), service)].into_iter().collect(),
        limits: Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: Duration::ZERO,
            idle_timeout: Duration::ZERO,
        },
        workspaces: None,
        directory: None,
    }
}

impl Vm {
    fn start(name: &str, store: &Store, platform: &Platform, kinds: &[duty::Kind]) -> Self {
        let identity = Identity { vm: name.to_owned(), incarnation: 1, zone: "a".to_owned() };
        let times = Times {
            stop_limit: Duration::from_secs(8),
            retention: Duration::from_secs(120),
            order_gap: Duration::from_millis(100),
            revocation: None,
            config_apply: Duration::from_secs(2),
        };
        let shared = Shared::new(identity, times).unwrap();
        shared.config.send_replace(Some(Arc::new(config(true))));
        for (zone, id) in [("a", 1), ("a", 2), ("b", 3), ("b", 4), ("b", 5)] {
            shared.fleet().apply_entry(Entry {
                id: format!("e-{id}"),
                service: "lm".to_owned(),
                address: ([127, 0, 0, 1], 9_000 + id).into(),
                zone: zone.to_owned(),
                slots: 8,
                draining: false,
                started_ms: Some(1),
                sequence: None,
                models: Vec::new(),
                warmup_left: Duration::ZERO,
                is_spot: false,
                leaves_in: None,
            });
        }
        shared.fleet_changed.send_replace(1);
        let context = Context {
            shared: shared.clone(),
            store: store.clone(),
            peers: Peers::new(name),
            platform: platform.clone(),
            settings: Settings {
                kinds: BTreeSet::from_iter(kinds.iter().copied()),
                calls_per_s: 50.0,
                pins: BTreeMap::new(),
                usage: None,
            },
        };
        let task = tokio::spawn(duty::run(context));
        Self { shared, task }
    }

    async fn stop(self) {
        self.shared.stopping.send_replace(true);
        timeout(Duration::from_secs(5), self.task).await.unwrap().unwrap();
    }
}

fn pool(zone: &str) -> Pool {
    Pool { zone: zone.to_owned(), kind: Kind::OnDemand }
}

/// Writes an order for `count` workers that an earlier holder planned but did not send.
fn put_open_order(store: &Store, zone: &str, count: u32) {
    let now = filbertsail_clock::Instant::from_millis(1_000);
    let row = Row::adopted(3).with_order(count, now);
    store.put(order_key("lm", &pool(zone)), encode_order(&row, 1, &Link::default(), now));
}

fn stored(store: &Store, zone: &str) -> Option<Row> {
    let value = store.value(&order_key("lm", &pool(zone)))?;
    Some(decode_order(&value, &Link::default(), Default::default()).unwrap())
}

async fn eventually(what: &str, check: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !check() {
        assert!(Instant::now() < deadline, "{what} did not happen");
        sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against an order that is lost, changed or sent without end after its holder died between
/// row and call and the first answers were lost, and against two holders with one epoch.
#[tokio::test]
async fn can_finish_the_order_of_an_earlier_holder() {
    let (store, platform) = (Store::default(), Platform::default());
    put_open_order(&store, "b", 7);
    platform.add_fault(Fault::Refused("busy".to_owned()));
    platform.add_fault(Fault::Unknown("lost".to_owned()));
    let first = Vm::start("vm-1", &store, &platform, &[duty::Kind::Scaling]);
    let is_accepted = || stored(&store, "b").is_some_and(|row| row.state == State::Accepted);
    eventually("acceptance of the order", is_accepted).await;
    let order = Order { service: "lm".to_owned(), zone: "b".to_owned(), count: 7, is_spot: false };
    let calls = platform.accepted();
    assert_eq!(calls.len(), 2, "{calls:?}");
    assert!(calls.iter().all(|(_, call)| *call == Call::Order(order.clone())), "{calls:?}");
    first.stop().await;
    put_open_order(&store, "a", 3);
    let second = Vm::start("vm-2", &store, &platform, &[duty::Kind::Scaling]);
    eventually("a call by the next holder", || platform.accepted().len() == 3).await;
    let calls = platform.accepted();
    let [(one, _), .., (other, _)] = calls.as_slice() else { panic!("{calls:?}") };
    assert!((one.vm.as_str(), other.vm.as_str()) == ("vm-1", "vm-2") && one.epoch < other.epoch);
    second.stop().await;
}

/// Guards against a count that stays in the row although the platform refused it, which would later
/// be taken for workers that were lost.
#[tokio::test]
async fn can_take_back_a_refused_order() {
    let (store, platform) = (Store::default(), Platform::default());
    put_open_order(&store, "b", 7);
    platform.add_fault(Fault::SoldOut);
    let vm = Vm::start("vm-1", &store, &platform, &[duty::Kind::Scaling]);
    let is_taken_back = || {
        stored(&store, "b").is_some_and(|row| {
            (row.state, row.count, row.refused_at.is_some()) == (State::Settled, 3, true)
        })
    };
    eventually("the count before the order", is_taken_back).await;
    // The workers found in the other zone are the floor, and nothing is ordered for them.
    eventually("a row of the other zone", || stored(&store, "a") == Some(Row::adopted(2))).await;
    assert_eq!(platform.accepted(), []);
    vm.stop().await;
}

/// Guards against calls and rows where the settings or the configuration name no such duty.
#[tokio::test]
async fn can_stay_idle_without_the_duty() {
    let (store, platform) = (Store::default(), Platform::default());
    let other_duty = Vm::start("vm-1", &store, &platform, &[duty::Kind::Usage]);
    let no_limits = Vm::start("vm-2", &store, &platform, &[duty::Kind::Scaling]);
    no_limits.shared.config.send_replace(Some(Arc::new(config(false))));
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!((store.transactions(), platform.accepted().len()), (0, 0));
    other_duty.stop().await;
    no_limits.stop().await;
}

/// Guards against zones that stay closed and orders that are never overdue after the store's clock
/// has restarted.
#[test]
fn can_read_times_of_an_earlier_run_of_the_store() {
    let now = filbertsail_clock::Instant::from_millis(500_000);
    let link = |ms| {
        let mut link = Link::default();
        link.clock.record(filbertsail_clock::remote::Reading {
            ms,
            sent_at: now,
            received_at: now,
        });
        link
    };
    let row = Row { refused_at: Some(now), ..Row::adopted(3).with_order(4, now) };
    let value = encode_order(&row, 1, &link(90_000), now);
    assert_eq!(decode_order(&value, &link(90_000), now).unwrap(), row);
    assert_eq!(decode_order(&value, &link(89_500), now).unwrap(), row, "slow reading");
    let row = decode_order(&value, &link(300), now).unwrap();
    assert!(!row.is_refused(Duration::from_secs(20), now), "{row:?}");
    assert!(row.ordered_at.is_some_and(|at| now.since(at) > Duration::from_secs(60)), "{row:?}");
}

/// Guards against an order that waits for seconds although the platform has not failed: the lease was
/// about to expire, or the failures were those of an earlier term.
#[tokio::test]
async fn can_send_an_order_at_once_in_a_new_term() {
    let (store, platform) = (Store::default(), Platform::default());
    let vm = Vm::start("vm-1", &store, &platform, &[]);
    let mut calls = Calls::new(vm.shared.clone(), platform.clone());
    let order = Order { service: "lm".to_owned(), zone: "b".to_owned(), count: 7, is_spot: false };
    let mut outcome = async |epoch, lease: u64| {
        let now = vm.shared.now();
        let deadline = now.after(Duration::from_millis(lease));
        let grant = Grant { epoch, deadline, orders_allowed_from: now };
        calls.start(&pool("b"), order.clone(), grant, (1e6, 1), now);
        let ended = timeout(Duration::from_secs(2), calls.next()).await.expect("end");
        ended.map(|ended| ended.outcome)
    };
    assert_eq!(outcome(1, 900).await, Some(None));
    sleep(Duration::from_millis(1)).await;
    platform.add_fault(Fault::Unknown("lost".to_owned()));
    assert_eq!(outcome(1, 2_000).await, Some(None), "sent at once");
    sleep(Duration::from_millis(600)).await;
    platform.add_fault(Fault::Refused("busy".to_owned()));
    assert_eq!(outcome(1, 2_000).await, Some(None));
    sleep(Duration::from_millis(600)).await;
    assert_eq!(outcome(1, 2_000).await, None, "the second pause is longer");
    assert_eq!(outcome(2, 2_000).await, Some(Some(Outcome::Accepted)));
    vm.stop().await;
}
