//! Orders to load weights: leases, fencing tokens and the wait for orders of an earlier holder.

mod support;

use std::time::Duration;

use filbertsail_api::weight::Latest;
use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_cluster::lease::Grant;
use filbertsail_controller::{
    gateways::{Gateway, Links},
    weights::{Config, Context, run, scope},
};
use filbertsail_ports::weight::{Error, Store};
use filbertsail_rollout::wave;
use filbertsail_wire::frame::Order;
use support::{Deployment, hello, key, metrics};
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

const SERVICE: &str = "kettle-models";
const TIMEOUT: Duration = Duration::from_secs(20);

/// Weight store that has published version 2.
#[derive(Clone)]
struct Weights;

impl Store for Weights {
    async fn latest(&self, service: &str) -> Result<Latest, Error> {
        Ok(Latest { service: service.to_owned(), version: 2, bytes: 1 })
    }
}

/// Starts the task under `grant` while the table answers.
fn start(deployment: &Deployment, checks_fence: bool, grant: Grant) -> CancellationToken {
    start_with(deployment, checks_fence, grant, true)
}

fn start_with(
    deployment: &Deployment,
    checks_fence: bool,
    grant: Grant,
    table_answers: bool,
) -> CancellationToken {
    let gateway = Gateway { address: deployment.engine_address, zone: "lahti-c".to_owned() };
    let (_, known) = watch::channel([gateway].into());
    let context = Context {
        weights: Weights,
        gateways: Links::new(known, key(), hello("controller-1")),
        clock: Boot,
        order_lifetime: Duration::from_secs(5),
        table: watch::channel(table_answers).1,
        metrics: metrics(),
    };
    let wave = wave::Limits { min_serving: 0.0, staleness_share: 1.0 };
    let config = Config { service: SERVICE.to_owned(), checks_fence, wave };
    let (_, config) = watch::channel(config);
    let (sender, grants) = watch::channel(Some(grant));
    let stop = deployment.stop.child_token();
    let task = stop.clone();
    tokio::spawn(async move {
        run(context, config, grants, task).await;
        drop(sender);
    });
    stop
}

fn grant(epoch: u64, orders_after: Duration) -> Grant {
    let now = Boot.now();
    Grant { epoch, deadline: now.after(TIMEOUT * 2), orders_allowed_from: now.after(orders_after) }
}

async fn first_order(deployment: &Deployment) -> (Instant, Order) {
    let poll = async {
        loop {
            if let Some(order) = deployment.engine.orders.lock().expect("lock").first().cloned() {
                return order;
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, poll).await.expect("an order")
}

/// Guards against an order to an engine that ignores fencing tokens while an order of the earlier
/// holder may still take effect.
#[tokio::test]
async fn can_wait_for_the_orders_of_an_earlier_holder() {
    let deployment = Deployment::start().await;
    let lease = grant(2, Duration::from_millis(800));
    start(&deployment, false, lease);
    let (at, order) = first_order(&deployment).await;
    assert!(at >= lease.orders_allowed_from, "{at} before {}", lease.orders_allowed_from);
    assert_eq!((&*order.worker, order.load_version, order.epoch), ("kettle-1", 2, 2));
    assert_eq!(order.scope, scope(SERVICE));
}

/// Guards against a needless wait where the engines check fencing tokens.
#[tokio::test]
async fn can_order_at_once_where_fences_are_checked() {
    let deployment = Deployment::start().await;
    start(&deployment, true, grant(2, TIMEOUT * 2));
    assert_eq!(first_order(&deployment).await.1.epoch, 2);
}

/// Guards against a superseded holder that keeps sending orders.
#[tokio::test]
async fn can_stop_when_an_engine_has_seen_a_newer_holder() {
    let deployment = Deployment::start().await;
    deployment.engine.epoch.store(9, std::sync::atomic::Ordering::SeqCst);
    start(&deployment, true, grant(2, Duration::ZERO));
    first_order(&deployment).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(deployment.engine.orders.lock().expect("lock").len(), 1);
}

/// Guards against orders after the lease deadline without notice of the loss.
#[tokio::test]
async fn can_stop_at_the_lease_deadline() {
    let deployment = Deployment::start().await;
    let now = Boot.now();
    start(&deployment, true, Grant { epoch: 2, deadline: now, orders_allowed_from: now });
    sleep(Duration::from_secs(1)).await;
    assert!(deployment.engine.orders.lock().expect("lock").is_empty());
}

/// Guards against workers that keep old weights during a table outage although their engines would
/// refuse the orders of a superseded holder.
#[tokio::test]
async fn can_order_past_the_deadline_while_the_table_is_down() {
    let deployment = Deployment::start().await;
    let now = Boot.now();
    start_with(
        &deployment,
        true,
        Grant { epoch: 2, deadline: now, orders_allowed_from: now },
        false,
    );
    assert_eq!(first_order(&deployment).await.1.epoch, 2);
}

/// Guards against orders past the deadline where engines ignore fencing tokens and would accept
/// those of a superseded holder.
#[tokio::test]
async fn can_stop_at_the_deadline_where_fences_are_ignored() {
    let deployment = Deployment::start().await;
    let now = Boot.now();
    start_with(
        &deployment,
        false,
        Grant { epoch: 2, deadline: now, orders_allowed_from: now },
        false,
    );
    sleep(Duration::from_secs(1)).await;
    assert!(deployment.engine.orders.lock().expect("lock").is_empty());
}
