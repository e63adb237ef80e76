//! Leaving backend servers get no new work after 3 s, whichever source reports them.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Gateway, inventory};
use filbertsail_api::vm::{Entry, State};
use filbertsail_standin::{
    server::Location,
    service::{self, Service},
};
use http::Method;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// Time within which a leaving server must stop getting new work.
const DRAIN_TARGET: Duration = Duration::from_secs(3);

fn start_service(name: &str) -> Service {
    let options = service::Options {
        name: name.to_owned(),
        capacity: 8,
        request_duration: Duration::from_millis(1),
        max_queued: 64,
    };
    let address: SocketAddr = "127.0.0.1:0".parse().expect("address");
    service::start(address, options, Location::default(), CancellationToken::new()).expect("starts")
}

/// Sends requests until 1.5 s after the target time; returns how many `worker` ran after it.
async fn runs_after_target(gateway: &Gateway, worker: &Service, marked: Instant) -> usize {
    while marked.elapsed() < DRAIN_TARGET {
        assert_eq!(gateway.call(Method::GET, "/s/svc/drops", "").await.status(), 200);
        sleep(Duration::from_millis(10)).await;
    }
    let before = worker.runs().len();
    while marked.elapsed() < DRAIN_TARGET + Duration::from_millis(1_500) {
        assert_eq!(gateway.call(Method::GET, "/s/svc/drops", "").await.status(), 200);
    }
    worker.runs().len() - before
}

async fn start_gateway(workers: &[&Service]) -> Gateway {
    let addresses: Vec<_> = workers.iter().map(|worker| worker.address).collect();
    let gateway = Gateway::start(inventory("application", "", &addresses)).await;
    while workers.iter().any(|worker| worker.runs().is_empty()) {
        assert_eq!(gateway.call(Method::GET, "/s/svc/drops", "").await.status(), 200);
    }
    gateway
}

/// Guards against new work for a server whose load report says that it is leaving.
#[tokio::test]
async fn can_stop_new_work_by_load_report() {
    let (leaving, staying) = (start_service("w0"), start_service("w1"));
    let gateway = start_gateway(&[&leaving, &staying]).await;
    leaving.set_leaving(true);
    assert_eq!(runs_after_target(&gateway, &leaving, Instant::now()).await, 0);
}

/// Guards against new work for a server whose VM the platform is about to stop.
#[tokio::test]
async fn can_stop_new_work_by_vm_list() {
    let (leaving, staying) = (start_service("w0"), start_service("w1"));
    let gateway = start_gateway(&[&leaving, &staying]).await;
    let vm = |name: &str, address: SocketAddr| Entry {
        name: name.to_owned(),
        address: address.to_string(),
        zone: "perth-a".to_owned(),
        state: State::Live,
    };
    // The VM names differ from the worker names, so only the address matches.
    gateway.platform.vms.add(vm("vm-0001", leaving.address));
    gateway.platform.vms.add(vm("vm-0002", staying.address));
    gateway.platform.vms.set_state("vm-0001", State::Leaving);
    assert_eq!(runs_after_target(&gateway, &leaving, Instant::now()).await, 0);
}

/// Guards against a drain mark that only takes effect at the gateway that received it.
#[tokio::test]
async fn can_stop_new_work_by_drain_mark_at_another_gateway() {
    let (leaving, staying) = (start_service("w0"), start_service("w1"));
    let first = start_gateway(&[&leaving, &staying]).await;
    let second = Gateway::join(first.platform.clone(), "gateway-2").await;
    let mark = r#"{"name":"w0","draining":true}"#;
    let response = second.admin(Method::POST, "/admin/v1/drain", mark).await;
    assert_eq!(response.status(), 200, "{response:?}");
    assert_eq!(runs_after_target(&first, &leaving, Instant::now()).await, 0);
    let question = r#"{"service":"svc"}"#;
    let response = first.admin(Method::POST, "/admin/v1/explain", question).await;
    let answer: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON");
    assert_eq!(answer["chosen"], "w1", "{answer}");
    let reason =
        answer["candidates"].as_array().expect("list").iter().find(|it| it["name"] == "w0");
    assert_eq!(reason.expect("w0")["reason"], "leaving", "{answer}");
}
