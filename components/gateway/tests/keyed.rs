//! Requests with idempotency keys through several gateways over real sockets.

mod common;

use std::time::Duration;

use common::{Gateway, Platform, Scripted, inventory, start_healthy, verdict};
use http::Method;
use tokio::time::sleep;

const KEY: [(&str, &str); 1] = [("idempotency-key", "skip-17")];
const PATH: &str = "/s/svc/skips";
const OPTIONS: &str = "reports_load = false";

async fn start_two_gateways(server: &Scripted) -> [Gateway; 2] {
    let platform = std::sync::Arc::new(Platform::start());
    platform.configure(&inventory("application", OPTIONS, &[server.address])).await;
    let first = Gateway::join(platform.clone(), "gateway-1").await;
    [first, Gateway::join(platform, "gateway-2").await]
}

/// Guards against a second run if a request is repeated at another gateway, during or after the
/// first run.
#[tokio::test]
async fn can_run_a_repeated_request_once() {
    let server = Scripted::start(|_, mut conn| async move {
        while let Some(request) = conn.request().await {
            sleep(Duration::from_millis(200)).await;
            conn.respond(&request.id, "skipped").await;
        }
    })
    .await;
    let [first, second] = start_two_gateways(&server).await;
    let (first_response, second_response) = tokio::join!(
        first.call_with(Method::POST, PATH, "{}", &KEY),
        second.call_with(Method::POST, PATH, "{}", &KEY)
    );
    let repeat = second.call_with(Method::POST, PATH, "{}", &KEY).await;
    for response in [first_response, second_response, repeat] {
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"skipped"[..]));
    }
    assert_eq!(server.served(), 1);
    let other = second.call_with(Method::POST, PATH, "{\"other\":1}", &KEY).await;
    assert_eq!((other.status().as_u16(), &*verdict(&other)), (422, "not_run"));
}

/// Guards against a second run after a lost response, and against a key that stays blocked although
/// the request provably did not run.
#[tokio::test]
async fn can_keep_or_release_a_claim_by_verdict() {
    let server = Scripted::start(|_, mut conn| async move {
        let _ = conn.request().await;
    })
    .await;
    let [first, second] = start_two_gateways(&server).await;
    for gateway in [&first, &second] {
        let response = gateway.call_with(Method::POST, PATH, "{}", &KEY).await;
        assert_eq!((response.status().as_u16(), &*verdict(&response)), (502, "may_have_run"));
    }
    assert_eq!(server.served(), 1);
    let port = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let dead = port.local_addr().expect("address");
    drop(port);
    let platform = std::sync::Arc::new(Platform::start());
    platform.configure(&inventory("application", OPTIONS, &[dead])).await;
    let gateway = Gateway::join(platform.clone(), "gateway-1").await;
    let response = gateway.call_with(Method::POST, PATH, "{}", &KEY).await;
    assert_eq!(verdict(&response), "not_run");
    let up = start_healthy("skipped").await;
    platform.configure(&inventory("application", OPTIONS, &[up.address])).await;
    let until = tokio::time::Instant::now() + common::TEST_TIMEOUT;
    loop {
        let response = gateway.call_with(Method::POST, PATH, "{}", &KEY).await;
        if response.status() == 200 {
            break;
        }
        assert_eq!(verdict(&response), "not_run");
        assert!(tokio::time::Instant::now() < until, "the idempotency key stays blocked");
        sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(up.served(), 1);
}

/// Guards against sending a keyed request without a claim, and against rejecting requests without a
/// key during a table outage.
#[tokio::test]
async fn can_reject_only_keyed_requests_while_the_table_is_down() {
    let server = start_healthy("done").await;
    let [first, _second] = start_two_gateways(&server).await;
    first.platform.table.faults.set_down(true);
    let keyed = first.call_with(Method::POST, PATH, "{}", &KEY).await;
    assert_eq!((keyed.status().as_u16(), &*verdict(&keyed)), (503, "not_run"));
    // The verdict covers this attempt only; the message must say so.
    let body = String::from_utf8_lossy(keyed.body());
    assert!(body.contains("an earlier attempt with the same key may have run"), "{body}");
    assert!(keyed.headers().contains_key("retry-after"));
    assert_eq!(server.served(), 0);
    let plain = first.call(Method::POST, PATH, "{}").await;
    assert_eq!(plain.status(), 200);
}
