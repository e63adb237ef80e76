//! Backend servers that leave get no new work within 3 s, whoever says so.

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

/// Target of the design page.
const TARGET: Duration = Duration::from_secs(3);

fn start(name: &str) -> Service {
    let options = service::Options {
        name: name.to_owned(),
        capacity: 8,
        request_duration: Duration::from_millis(1),
        max_queued: 64,
    };
    let address: SocketAddr = "127.0.0.1:0".parse().expect("address");
    service::start(address, options, Location::default(), CancellationToken::new()).expect("starts")
}

/// Sends requests for 1.5 s from the target on and returns how many of them `worker` ran.
async fn runs_after_target(gateway: &Gateway, worker: &Service, marked: Instant) -> usize {
    while marked.elapsed() < TARGET {
        assert_eq!(gateway.call(Method::GET, "/s/svc/drops", "").await.status(), 200);
        sleep(Duration::from_millis(10)).await;
    }
    let before = worker.runs().len();
    while marked.elapsed() < TARGET + Duration::from_millis(1_500) {
        assert_eq!(gateway.call(Method::GET, "/s/svc/drops", "").await.status(), 200);
    }
    worker.runs().len() - before
}

async fn gateway(workers: &[&Service]) -> Gateway {
    let addresses: Vec<_> = workers.iter().map(|worker| worker.address).collect();
    let gateway = Gateway::start(inventory("application", "", &addresses)).await;
    while workers.iter().any(|worker| worker.runs().is_empty()) {
        assert_eq!(gateway.call(Method::GET, "/s/svc/drops", "").await.status(), 200);
    }
    gateway
}

/// Guards against new work for a server that says in its load report that it is leaving.
#[tokio::test]
async fn can_stop_new_work_by_the_servers_own_report() {
    let (leaving, staying) = (start("w0"), start("w1"));
    let gateway = gateway(&[&leaving, &staying]).await;
    leaving.set_leaving(true);
    assert_eq!(runs_after_target(&gateway, &leaving, Instant::now()).await, 0);
}

/// Guards against new work for a server whose VM the platform is about to stop.
#[tokio::test]
async fn can_stop_new_work_by_the_vm_list() {
    let (leaving, staying) = (start("w0"), start("w1"));
    let gateway = gateway(&[&leaving, &staying]).await;
    let vm = |name: &str, address: SocketAddr| Entry {
        name: name.to_owned(),
        address: address.to_string(),
        zone: "perth-a".to_owned(),
        state: State::Live,
    };
    // The list names VMs in its own way, so that the address has to tell.
    gateway.platform.vms.add(vm("vm-0001", leaving.address));
    gateway.platform.vms.add(vm("vm-0002", staying.address));
    gateway.platform.vms.set_state("vm-0001", State::Leaving);
    assert_eq!(runs_after_target(&gateway, &leaving, Instant::now()).await, 0);
}

/// Guards against an operator's mark that only the gateway that took it follows.
#[tokio::test]
async fn can_stop_new_work_by_an_operators_mark_at_another_gateway() {
    let (leaving, staying) = (start("w0"), start("w1"));
    let first = gateway(&[&leaving, &staying]).await;
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
