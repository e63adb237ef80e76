//! Protocols and faults of the stand-ins, over TCP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_api::{
    engine::{Finish, Order},
    table::{Check, Expect, Query, Transaction, Write},
    weight::Latest,
};
use filbertsail_http::{
    Body,
    client::{Client, Error},
};
use filbertsail_standin::{
    engine::{self, record},
    fault::Kind,
    server::Location,
    service, table, weight,
};
use http::{Request, Response, StatusCode};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

const FREE_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

async fn post<T: Serialize>(
    address: SocketAddr,
    path: &str,
    value: &T,
) -> Result<Response<Bytes>, Error> {
    let body = serde_json::to_vec(value).expect("serializes");
    let request = Request::post(format!("http://{address}{path}")).body(Body::full(body));
    Client::default().send(request.expect("request"), Duration::from_secs(10)).await
}

/// Waits until the engines of a record have produced at least `tokens` tokens.
async fn wait_for_tokens(log: &record::Record, tokens: u64) {
    while log.token_count() < tokens {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

fn create_transaction(key: &str, token: &str) -> Transaction {
    Transaction {
        token: token.to_owned(),
        checks: vec![Check { key: key.to_owned(), expect: Expect::Absent }],
        writes: vec![Write { key: key.to_owned(), value: Some(serde_json::json!({"epoch": 1})) }],
    }
}

/// Guards against a lost response that leaves no trace of the commit in the table.
#[tokio::test]
async fn lost_response_leaves_its_token_in_the_row() {
    let stop = CancellationToken::new();
    let table = table::start(FREE_PORT, table::Options::default(), Location::default(), stop)
        .expect("starts");
    table.faults.inject(Kind::LostAfter, 1.0);
    let lost = post(table.address, "/v1/transact", &create_transaction("a", "t1")).await;
    assert!(matches!(lost, Err(Error::Broken(_))), "{lost:?}");
    table.faults.clear();
    let again =
        post(table.address, "/v1/transact", &create_transaction("a", "t1")).await.expect("answers");
    assert_eq!(again.status(), StatusCode::CONFLICT);
    let page = post(table.address, "/v1/read", &Query { keys: vec!["a".into()] }).await;
    let page: filbertsail_api::table::Page =
        serde_json::from_slice(page.expect("answers").body()).expect("page");
    assert_eq!(page.rows[0].token, "t1");
    table.faults.set_down(true);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = post(table.address, "/v1/read", &Query { keys: vec![] }).await;
    assert!(matches!(refused, Err(Error::Connect(_))), "{refused:?}");
}

/// Guards against labels that hide a swap during a response, and against accepting an outdated
/// fencing token.
#[tokio::test]
async fn swap_during_a_response_shows_in_labels_and_record() {
    let stop = CancellationToken::new();
    let options = engine::Options {
        typical_tokens: 200,
        step_duration: Duration::from_millis(5),
        swap_duration: Duration::from_millis(50),
        ..engine::Options::new("e", "s")
    };
    let log = record::Record::default();
    let engine =
        engine::start(FREE_PORT, options, Location::default(), log.clone(), stop).expect("starts");
    let request = serde_json::json!({"request_id": "r", "prompt": "p", "max_tokens": 200,
        "priority": 1, "stream": false});
    let call = tokio::spawn(async move { post(engine.address, "/v1/completions", &request).await });
    let order =
        |epoch| Order { id: "o".into(), load_version: 2, scope: "w".into(), epoch, life_ms: 1_000 };
    wait_for_tokens(&log, 3).await;
    let accepted = post(engine.address, "/v1/orders", &order(5)).await.expect("answers");
    assert!(std::str::from_utf8(accepted.body()).expect("text").contains("\"accepted\":true"));
    let outdated = post(engine.address, "/v1/orders", &order(4)).await.expect("answers");
    assert!(std::str::from_utf8(outdated.body()).expect("text").contains("\"accepted\":false"));
    let answer = call.await.expect("task").expect("answers");
    let finish: Finish = serde_json::from_slice(answer.body()).expect("finish");
    assert_eq!(finish.labels.len(), 2, "{:?}", finish.labels);
    let tokens = record::parse_tokens(finish.text.as_deref().expect("text")).expect("whole");
    let runs = log.runs();
    for (run, index) in tokens {
        let version = runs[usize::try_from(run).expect("small")].version_at(index);
        let label = finish.labels.iter().find(|label| (label.from..label.to).contains(&index));
        assert_eq!(version, label.map(|label| label.version));
    }
}

/// Guards against a crashed engine that continues with its old weights or responses.
#[tokio::test]
async fn crash_aborts_responses_and_restart_loads_older_weights() {
    let stop = CancellationToken::new();
    let options = engine::Options {
        initial_version: 3,
        typical_tokens: 100,
        ..engine::Options::new("e", "s")
    };
    let log = record::Record::default();
    let engine =
        engine::start(FREE_PORT, options, Location::default(), log.clone(), stop).expect("starts");
    let request = serde_json::json!({"request_id": "r", "prompt": "p", "max_tokens": 100,
        "priority": 1, "stream": true});
    let address = engine.address;
    let call = tokio::spawn(async move { post(address, "/v1/completions", &request).await });
    wait_for_tokens(&log, 3).await;
    engine.crash();
    assert!(matches!(call.await.expect("task"), Err(Error::Broken(_))));
    engine.restart(2);
    assert_eq!(engine.version(), Some(2));
}

/// Guards against a record that misses a run whose response was lost.
#[tokio::test]
async fn service_records_runs_whose_responses_are_lost() {
    let stop = CancellationToken::new();
    let options = service::Options {
        name: "a".into(),
        capacity: 2,
        request_duration: Duration::from_millis(5),
        max_queued: 8,
    };
    let service = service::start(FREE_PORT, options, Location::default(), stop).expect("starts");
    let order = serde_json::json!({"id": "c-1"});
    for kind in [Kind::LostAfter, Kind::LostBefore, Kind::QuickError] {
        service.faults.inject(kind, 1.0);
        let _ = post(service.address, "/orders", &order).await;
    }
    service.faults.clear();
    let answer = post(service.address, "/orders", &order).await.expect("answers");
    assert!(std::str::from_utf8(answer.body()).expect("text").contains("c-1"));
    assert_eq!(service.runs().iter().filter(|run| run.id == "c-1").count(), 2);
}

/// Guards against a store that does not decode percent-encoded service names.
#[tokio::test]
async fn weight_store_decodes_service_names() {
    let stop = CancellationToken::new();
    let store = weight::start(FREE_PORT, 10.0, Location::default(), stop).expect("starts");
    store.publish("a-b", 7, 1);
    let uri = format!("http://{}/v1/latest?service=a%2Db", store.address);
    let request = Request::get(uri).body(Body::empty()).expect("request");
    let answer = Client::default().send(request, Duration::from_secs(5)).await.expect("answers");
    let latest: Latest = serde_json::from_slice(answer.body()).expect("latest");
    assert_eq!(latest.version, 7);
}
