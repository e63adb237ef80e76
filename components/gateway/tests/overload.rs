//! Admission under more load than the backend servers can take.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{CLUSTER_KEY, Gateway, Scripted, inventory, verdict};
use filbertsail_api::engine::{Completion, Event, Finish, Label};
use filbertsail_wire::{
    Frame,
    frame::{Dispatch, Hello},
    link::{auth::Key, client::Client},
};
use http::Method;
use tokio::sync::Semaphore;

/// Engine that completes one request per permit and records the prompts in order of arrival.
async fn start_engine(permits: Arc<Semaphore>, arrivals: Arc<Mutex<Vec<String>>>) -> Scripted {
    Scripted::start(move |_, mut conn| {
        let (permits, arrivals) = (permits.clone(), arrivals.clone());
        async move {
            while let Some(request) = conn.request().await {
                let body: Completion = serde_json::from_slice(&request.body).expect("completion");
                arrivals.lock().expect("lock").push(body.prompt);
                permits.acquire().await.expect("open").forget();
                conn.write(&encode_response(body.request_id)).await;
            }
        }
    })
    .await
}

fn encode_response(request_id: String) -> String {
    let (index, weight_version) = (0, 1);
    let text = "t".to_owned();
    let event = Event { request_id: request_id.clone(), index, text, weight_version };
    let labels = vec![Label { version: 1, from: 0, to: 1 }];
    let reason = "stop".to_owned();
    let finish = Finish { request_id, done: true, tokens: 1, labels, text: None, reason };
    let body = format!(
        "data: {}\n\ndata: {}\n\n",
        serde_json::to_string(&event).expect("JSON"),
        serde_json::to_string(&finish).expect("JSON")
    );
    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}

fn connect(gateway: &Gateway) -> Client {
    let hello = Hello {
        protocol: 1,
        name: "controller-1".to_owned(),
        incarnation: 1,
        zone: "perth-a".to_owned(),
        address: "127.0.0.1:1".parse().expect("address"),
        sent_at_ms: 0,
        nonce: [0; 16],
    };
    Client::new(gateway.handle.peers, &Key::new(CLUSTER_KEY.to_vec()), &hello).expect("client")
}

fn dispatch(team: &str, prompt: String) -> Frame {
    Dispatch {
        request_id: prompt.clone(),
        service: "svc".to_owned(),
        team: team.to_owned(),
        trainer: team.to_owned(),
        prompt,
        max_tokens: 64,
        priority: 500,
        deadline_ms: 20_000,
        min_version: None,
        avoid: Vec::new(),
    }
    .into()
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let until = tokio::time::Instant::now() + common::TEST_TIMEOUT;
    while !condition() {
        assert!(tokio::time::Instant::now() < until, "the condition is not reached in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until the gateway's metrics show `count` waiting requests.
async fn wait_for_queue_length(gateway: &Gateway, count: usize) {
    let until = tokio::time::Instant::now() + common::TEST_TIMEOUT;
    loop {
        let response = gateway.admin(Method::GET, "/metrics", "").await;
        let text = String::from_utf8(response.body().to_vec()).expect("text");
        let mut lines = text.lines().filter(|line| line.starts_with("filbertsail_waiting{"));
        if lines.any(|line| line.ends_with(&format!(" {count}"))) {
            return;
        }
        assert!(tokio::time::Instant::now() < until, "{text}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against customers waiting behind samples, and against a trainer whose many samples starve
/// those of another.
#[tokio::test]
async fn can_serve_customers_first_and_teams_fairly() {
    let permits = Arc::new(Semaphore::new(0));
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let engine = start_engine(permits.clone(), arrivals.clone()).await;
    let options = "reports_load = false\nmax_concurrency = 1";
    let gateway = Arc::new(Gateway::start(inventory("model", options, &[engine.address])).await);
    let mut calls = Vec::new();
    let link = connect(&gateway);
    let send = |team: &'static str, prompt: String| {
        let link = link.clone();
        tokio::spawn(async move {
            let mut replies = link.call(&dispatch(team, prompt)).await.expect("call");
            while let Some(frame) = replies.next().await.expect("reply") {
                assert!(!matches!(frame, Frame::Fault(_)), "{frame:?}");
            }
        })
    };
    calls.push(send("first", "running".to_owned()));
    wait_until(|| arrivals.lock().expect("lock").len() == 1).await;
    for number in 0..12 {
        calls.push(send("many", format!("many-{number}")));
    }
    wait_for_queue_length(&gateway, 12).await;
    for number in 0..4 {
        calls.push(send("few", format!("few-{number}")));
    }
    wait_for_queue_length(&gateway, 16).await;
    let customer = gateway.clone();
    calls.push(tokio::spawn(async move {
        let body = r#"{"model":"svc","prompt":"customer","max_tokens":1}"#;
        let response = customer.call(Method::POST, "/v1/completions", body).await;
        assert_eq!(response.status(), 200);
    }));
    wait_for_queue_length(&gateway, 17).await;
    permits.add_permits(64);
    for call in calls {
        call.await.expect("complete response");
    }
    let arrivals = arrivals.lock().expect("lock").clone();
    assert_eq!(arrivals[1], "customer", "{arrivals:?}");
    let last_few = arrivals.iter().rposition(|prompt| prompt.starts_with("few")).expect("ran");
    // Fair sharing alternates between teams every 256 tokens, which are four samples.
    assert!(last_few <= 2 + 4 + 4, "{arrivals:?}");
}

/// Guards against requests that wait beyond their deadline, and against a verdict that such a
/// request may have run.
#[tokio::test]
async fn can_reject_a_request_that_waits_too_long() {
    let permits = Arc::new(Semaphore::new(0));
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let engine = start_engine(permits.clone(), arrivals.clone()).await;
    let options = "reports_load = false\nmax_concurrency = 1";
    let gateway = Arc::new(Gateway::start(inventory("model", options, &[engine.address])).await);
    let first = gateway.clone();
    let body = r#"{"model":"svc","prompt":"p","max_tokens":1}"#;
    let first =
        tokio::spawn(async move { first.call(Method::POST, "/v1/completions", body).await });
    wait_until(|| arrivals.lock().expect("lock").len() == 1).await;
    let headers = [("filbertsail-deadline-ms", "300")];
    let second = gateway.call_with(Method::POST, "/v1/completions", body, &headers).await;
    assert_eq!((second.status().as_u16(), &*verdict(&second)), (503, "not_run"));
    permits.add_permits(1);
    assert_eq!(first.await.expect("task").status(), 200);
    assert_eq!(arrivals.lock().expect("lock").len(), 1);
}

/// Guards against a persistent queue under overload, which delays every customer without completing
/// more requests.
#[tokio::test]
async fn can_shed_customers_waiting_in_a_persistent_queue() {
    let permits = Arc::new(Semaphore::new(1));
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let engine = start_engine(permits.clone(), arrivals.clone()).await;
    let options = "reports_load = false\nmax_concurrency = 1";
    let gateway = Arc::new(Gateway::start(inventory("model", options, &[engine.address])).await);
    let body = r#"{"model":"svc","prompt":"p","max_tokens":1}"#;
    assert_eq!(gateway.call(Method::POST, "/v1/completions", body).await.status(), 200);
    let busy = {
        let gateway = gateway.clone();
        tokio::spawn(async move { gateway.call(Method::POST, "/v1/completions", body).await })
    };
    wait_until(|| arrivals.lock().expect("lock").len() == 2).await;
    let shed = gateway.call(Method::POST, "/v1/completions", body).await;
    assert_eq!((shed.status().as_u16(), &*verdict(&shed)), (429, "not_run"));
    assert_eq!(arrivals.lock().expect("lock").len(), 2, "the rejected request must not be sent");
    permits.add_permits(1);
    assert_eq!(busy.await.expect("task").status(), 200);
}
