//! Orders to load weights: leases, fencing numbers and the waiting rule.

mod support;

use std::time::Duration;

use filbertsail_api::weight::Latest;
use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_cluster::lease::Holding;
use filbertsail_controller::{
    gateways::{Gateway, Links},
    weights::{Ports, Rules, run, scope},
};
use filbertsail_ports::weight::{Error, Store};
use filbertsail_rollout::wave;
use filbertsail_wire::frame::Order;
use support::{Fleet, hello, key, metrics};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const SERVICE: &str = "kettle-models";
const LIMIT: Duration = Duration::from_secs(20);

/// Weight store that has published version 2.
#[derive(Clone)]
struct Weights;

impl Store for Weights {
    async fn latest(&self, service: &str) -> Result<Latest, Error> {
        Ok(Latest { service: service.to_owned(), version: 2, bytes: 1 })
    }
}

/// Starts the task under `holding` with a table that answers.
fn start(fleet: &Fleet, checks_fence: bool, holding: Holding) -> CancellationToken {
    start_with(fleet, checks_fence, holding, true)
}

fn start_with(
    fleet: &Fleet,
    checks_fence: bool,
    holding: Holding,
    table_answers: bool,
) -> CancellationToken {
    let gateway = Gateway { address: fleet.engine_address, zone: "lahti-c".to_owned() };
    let (_, known) = watch::channel([gateway].into());
    let ports = Ports {
        weights: Weights,
        gateways: Links::new(known, key(), hello("controller-1")),
        clock: Boot,
        order_life: Duration::from_secs(5),
        table: watch::channel(table_answers).1,
        metrics: metrics(),
    };
    let wave = wave::Limits { min_serving: 0.0, staleness_share: 1.0 };
    let rules = Rules { service: SERVICE.to_owned(), checks_fence, wave };
    let (_, rules) = watch::channel(rules);
    let (sender, holding) = watch::channel(Some(holding));
    let stop = fleet.stop.child_token();
    let task = stop.clone();
    tokio::spawn(async move {
        run(ports, rules, holding, task).await;
        drop(sender);
    });
    stop
}

fn holding(epoch: u64, orders_after: Duration) -> Holding {
    let now = Boot.now();
    Holding { epoch, deadline: now.after(LIMIT * 2), orders_from: now.after(orders_after) }
}

async fn first_order(fleet: &Fleet) -> (Instant, Order) {
    let poll = async {
        loop {
            if let Some(order) = fleet.engine.orders.lock().expect("lock").first().cloned() {
                return order;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, poll).await.expect("an order")
}

/// Guards against an order to an engine that ignores fencing numbers while one of the earlier
/// holder may still take effect.
#[tokio::test]
async fn can_wait_for_the_orders_of_an_earlier_holder() {
    let fleet = Fleet::start().await;
    let held = holding(2, Duration::from_millis(800));
    start(&fleet, false, held);
    let (at, order) = first_order(&fleet).await;
    assert!(at >= held.orders_from, "{at} before {}", held.orders_from);
    assert_eq!((&*order.worker, order.load_version, order.epoch), ("kettle-1", 2, 2));
    assert_eq!(order.scope, scope(SERVICE));
}

/// Guards against a wait that engines with a check of fencing numbers make needless.
#[tokio::test]
async fn can_order_at_once_where_fences_are_checked() {
    let fleet = Fleet::start().await;
    start(&fleet, true, holding(2, LIMIT * 2));
    assert_eq!(first_order(&fleet).await.1.epoch, 2);
}

/// Guards against a superseded holder that goes on giving orders.
#[tokio::test]
async fn can_stop_when_an_engine_has_seen_a_newer_holder() {
    let fleet = Fleet::start().await;
    fleet.engine.epoch.store(9, std::sync::atomic::Ordering::SeqCst);
    start(&fleet, true, holding(2, Duration::ZERO));
    first_order(&fleet).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.engine.orders.lock().expect("lock").len(), 1);
}

/// Guards against orders after the lease has expired unnoticed.
#[tokio::test]
async fn can_stop_at_the_lease_deadline() {
    let fleet = Fleet::start().await;
    let now = Boot.now();
    start(&fleet, true, Holding { epoch: 2, deadline: now, orders_from: now });
    sleep(Duration::from_secs(1)).await;
    assert!(fleet.engine.orders.lock().expect("lock").is_empty());
}

/// Guards against workers that keep old weights for as long as the table is down, although their
/// engines would refuse the orders of a superseded holder.
#[tokio::test]
async fn can_order_past_the_deadline_while_the_table_is_down() {
    let fleet = Fleet::start().await;
    let now = Boot.now();
    start_with(&fleet, true, Holding { epoch: 2, deadline: now, orders_from: now }, false);
    assert_eq!(first_order(&fleet).await.1.epoch, 2);
}

/// Guards against the same where engines ignore fencing numbers, so that nothing stops the orders of
/// a superseded holder.
#[tokio::test]
async fn can_stop_at_the_deadline_where_fences_are_ignored() {
    let fleet = Fleet::start().await;
    let now = Boot.now();
    start_with(&fleet, false, Holding { epoch: 2, deadline: now, orders_from: now }, false);
    sleep(Duration::from_secs(1)).await;
    assert!(fleet.engine.orders.lock().expect("lock").is_empty());
}
