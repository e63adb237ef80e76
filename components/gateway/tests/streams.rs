//! Completions over real sockets: buffered, streamed, truncated, resumed, and for controllers.

mod common;

use std::sync::{Arc, Mutex};

use common::{CLUSTER_KEY, Gateway, Scripted, inventory, verdict};
use filbertsail_api::engine::{Completion, Event, Finish, Label};
use filbertsail_wire::{
    Frame,
    frame::{Dispatch, Hello, Order, Survey},
    link::{auth::Key, client::Client},
};
use http::Method;

const OPTIONS: &str = "reports_load = false\nresumes_streams = true";
const NO_RESUME: &str = "reports_load = false";
const REQUEST: &str = r#"{"model":"svc","prompt":"When is my next drop?","max_tokens":6}"#;
const STREAM_REQUEST: &str =
    r#"{"model":"svc","prompt":"When is my next drop?","max_tokens":6,"stream":true}"#;

/// Behaviour of an engine.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Complete,
    /// Closes the connection after this many tokens.
    Truncate(u32),
    /// The same, but only for the first stream among all engines of the test.
    TruncateFirst(u32),
    /// Sends token 1 twice.
    Repeat,
    /// Sends a token of another request.
    Foreign,
    /// States one token more than it sends.
    Overstate,
    /// Refuses with 503.
    Refuse,
}

type Seen = Arc<Mutex<Vec<Completion>>>;

async fn start_engine(behaviour: Behaviour) -> (Scripted, Seen) {
    let seen = Seen::default();
    (start_engine_with(behaviour, seen.clone()).await, seen)
}

/// Load report of an idle engine.
const IDLE_LOAD: &str = r#"{"worker":"w","incarnation":1,"running":0,"queued":0,"capacity":8,
    "kv_used_permille":0,"weight_version":7,"leaving":false,"age_ms":0}"#;

/// Engine that records its completion requests in `seen`, which other engines may share.
async fn start_engine_with(behaviour: Behaviour, seen: Seen) -> Scripted {
    let log = seen;
    Scripted::start(move |_, mut conn| {
        let log = log.clone();
        async move {
            while let Some(request) = conn.request().await {
                if request.head.starts_with("GET ") {
                    conn.respond(&request.id, IDLE_LOAD).await;
                    continue;
                }
                if request.head.starts_with("POST /v1/orders") {
                    conn.respond(&request.id, r#"{"accepted":true,"weight_version":9,"epoch":4}"#)
                        .await;
                    continue;
                }
                let completion: Completion =
                    serde_json::from_slice(&request.body).expect("completion");
                let first = {
                    let mut log = log.lock().expect("lock");
                    log.push(completion.clone());
                    log.len() == 1
                };
                let behaviour = match behaviour {
                    Behaviour::TruncateFirst(limit) if first => Behaviour::Truncate(limit),
                    Behaviour::TruncateFirst(_) => Behaviour::Complete,
                    behaviour => behaviour,
                };
                if let Behaviour::Refuse = behaviour {
                    conn.write("HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n").await;
                    continue;
                }
                conn.write(&encode_stream(behaviour, &completion)).await;
                if let Behaviour::Truncate(_) = behaviour {
                    return;
                }
            }
        }
    })
    .await
}

fn encode_stream(behaviour: Behaviour, completion: &Completion) -> String {
    let id = completion.request_id.clone();
    let from = completion.resume_from.as_ref().map_or(0, |resume| resume.tokens);
    let mut text = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n"
        .to_owned();
    let token = |index: u32, id: &str| {
        let event = Event {
            request_id: id.to_owned(),
            index,
            text: format!("t{index} "),
            weight_version: 7,
        };
        chunk(&serde_json::to_string(&event).expect("JSON"))
    };
    for index in from..completion.max_tokens {
        match behaviour {
            Behaviour::Truncate(limit) if index >= limit => return text,
            Behaviour::Foreign if index == 2 => text.push_str(&token(index, "other")),
            Behaviour::Repeat if index == 2 => text.push_str(&token(1, &id)),
            _ => text.push_str(&token(index, &id)),
        }
    }
    let tokens = completion.max_tokens + u32::from(matches!(behaviour, Behaviour::Overstate));
    let labels = vec![Label { version: 7, from: 0, to: completion.max_tokens }];
    let reason = "length".to_owned();
    let finish = Finish { request_id: id, done: true, tokens, labels, text: None, reason };
    text.push_str(&chunk(&serde_json::to_string(&finish).expect("JSON")));
    text + "0\r\n\r\n"
}

fn chunk(json: &str) -> String {
    let event = format!("data: {json}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

async fn start_gateway(options: &str, engines: &[&Scripted]) -> Gateway {
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address).collect();
    Gateway::start(inventory("model", options, &addresses)).await
}

/// Text of a streamed completion and its last data line.
fn parse_stream(body: &[u8]) -> (String, String) {
    let body = String::from_utf8(body.to_vec()).expect("text");
    let mut data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let text = data
        .clone()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter_map(|it| it["choices"][0]["text"].as_str().map(str::to_owned))
        .collect();
    (text, data.next_back().unwrap_or_default().to_owned())
}

const FULL_TEXT: &str = "t0 t1 t2 t3 t4 t5 ";

#[tokio::test]
async fn can_complete_buffered_and_streamed() {
    let (up, _) = start_engine(Behaviour::Complete).await;
    let gateway = start_gateway(OPTIONS, &[&up]).await;
    let response = gateway.call(Method::POST, "/v1/completions", REQUEST).await;
    let body: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON");
    assert_eq!(body["choices"][0]["text"], FULL_TEXT, "{body}");
    assert_eq!(body["usage"]["completion_tokens"], 6);
    let response = gateway.call(Method::POST, "/v1/completions", STREAM_REQUEST).await;
    assert_eq!(parse_stream(response.body()), (FULL_TEXT.to_owned(), "[DONE]".to_owned()));
    // Guards against a usage that depends on whether the completion is streamed.
    let streamed = String::from_utf8_lossy(response.body()).into_owned();
    let usage = format!("\"usage\":{}", body["usage"]);
    assert!(streamed.contains(&usage), "{streamed}");
    let chat = r#"{"model":"svc","messages":[{"role":"user","content":"Hi"}],"max_tokens":6}"#;
    let response = gateway.call(Method::POST, "/v1/chat/completions", chat).await;
    let body: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON");
    assert_eq!(body["choices"][0]["message"]["content"], FULL_TEXT, "{body}");
    // Connections of completed streams are reused.
    assert_eq!(up.connections.load(std::sync::atomic::Ordering::SeqCst), 1);
}

/// Guards against lost or repeated tokens when a broken stream resumes at another worker.
#[tokio::test]
async fn can_resume_a_broken_stream_from_its_last_token() {
    let seen = Seen::default();
    let one = start_engine_with(Behaviour::TruncateFirst(3), seen.clone()).await;
    let two = start_engine_with(Behaviour::TruncateFirst(3), seen.clone()).await;
    let gateway = start_gateway(OPTIONS, &[&one, &two]).await;
    let response = gateway.call(Method::POST, "/v1/completions", STREAM_REQUEST).await;
    assert_eq!(parse_stream(response.body()), (FULL_TEXT.to_owned(), "[DONE]".to_owned()));
    let seen = seen.lock().expect("lock");
    assert_eq!((seen.len(), one.served(), two.served()), (2, 1, 1));
    let resume = seen[1].resume_from.as_ref().expect("resumed");
    assert_eq!((resume.tokens, &*resume.text), (3, "t0 t1 t2 "));
    assert_eq!(resume.labels, [Label { version: 7, from: 0, to: 3 }]);
}

/// Guards against reporting a truncated stream as success if the service cannot resume.
#[tokio::test]
async fn can_end_a_broken_stream_with_an_error_event() {
    let (broken, _) = start_engine(Behaviour::Truncate(3)).await;
    let gateway = start_gateway(NO_RESUME, &[&broken]).await;
    let response = gateway.call(Method::POST, "/v1/completions", STREAM_REQUEST).await;
    let (text, last) = parse_stream(response.body());
    assert_eq!(text, "t0 t1 t2 ");
    let fault: serde_json::Value = serde_json::from_str(&last).expect("JSON");
    assert_eq!(fault["error"]["verdict"], "may_have_run", "{fault}");
    assert!(String::from_utf8_lossy(response.body()).contains("event: error\n"));
}

/// Guards against failing a buffered completion that could restart, as the caller has seen none of
/// it.
#[tokio::test]
async fn can_restart_a_buffered_completion() {
    let seen = Seen::default();
    let one = start_engine_with(Behaviour::TruncateFirst(3), seen.clone()).await;
    let two = start_engine_with(Behaviour::TruncateFirst(3), seen.clone()).await;
    let gateway = start_gateway(NO_RESUME, &[&one, &two]).await;
    let response = gateway.call(Method::POST, "/v1/completions", REQUEST).await;
    let body: serde_json::Value = serde_json::from_slice(response.body()).expect("JSON");
    assert_eq!(body["choices"][0]["text"], FULL_TEXT, "{body}");
    assert_eq!((one.served(), two.served()), (1, 1));
    assert_eq!(seen.lock().expect("lock")[1].resume_from, None);
}

/// Guards against accepting streams with repeated, foreign or miscounted tokens.
#[tokio::test]
async fn can_reject_inconsistent_streams() {
    for behaviour in [Behaviour::Repeat, Behaviour::Foreign, Behaviour::Overstate] {
        let (engine, _) = start_engine(behaviour).await;
        let gateway = start_gateway(NO_RESUME, &[&engine]).await;
        let response = gateway.call(Method::POST, "/v1/completions", REQUEST).await;
        assert_eq!(response.status(), 502, "{behaviour:?}");
        assert_eq!(verdict(&response), "may_have_run", "{behaviour:?}");
    }
}

/// Guards against reporting a run for a refused completion, and against endless retries.
#[tokio::test]
async fn can_prove_that_a_refused_completion_did_not_run() {
    let (busy, seen) = start_engine(Behaviour::Refuse).await;
    let gateway = start_gateway(OPTIONS, &[&busy]).await;
    let response = gateway.call(Method::POST, "/v1/completions", REQUEST).await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (503, "not_run"));
    assert!(response.headers().contains_key("retry-after"));
    let attempts = seen.lock().expect("lock").len();
    assert!((1..=4).contains(&attempts), "{attempts}");
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

/// Guards against samples without the weight versions of their tokens, and against lost orders.
#[tokio::test]
async fn can_serve_controllers() {
    let (up, seen) = start_engine(Behaviour::Complete).await;
    let gateway = start_gateway(OPTIONS, &[&up]).await;
    let link = connect(&gateway);
    let mut replies = link.call(&dispatch("sample-1", Vec::new())).await.expect("call");
    let mut tokens = 0;
    let finish = loop {
        match replies.next().await.expect("reply") {
            Some(Frame::Token(token)) => {
                assert_eq!((token.index, token.weight_version), (tokens, 7));
                tokens += 1;
            }
            Some(Frame::Finish(finish)) => break finish,
            other => panic!("{other:?}"),
        }
    };
    assert_eq!((tokens, finish.tokens, &*finish.text), (6, 6, FULL_TEXT));
    assert_eq!((&*finish.worker, finish.labels.len()), ("w0", 1));
    // Samples run behind customers.
    assert!(seen.lock().expect("lock")[0].priority < 100);
    let order = Order {
        worker: "w0".to_owned(),
        id: "o".to_owned(),
        load_version: 9,
        scope: "weights/svc".to_owned(),
        epoch: 4,
        life_ms: 5_000,
    };
    let Ok(Frame::Outcome(outcome)) = link.call_unary(&order.into()).await else {
        panic!("no outcome")
    };
    assert_eq!((outcome.accepted, outcome.weight_version, outcome.epoch), (true, Some(9), 4));
    let survey = Survey { service: "svc".to_owned() };
    let Ok(Frame::Workers(workers)) = link.call_unary(&survey.into()).await else {
        panic!("no workers")
    };
    assert_eq!(workers.workers.len(), 1);
    assert!(workers.workers[0].live && !workers.workers[0].leaving);
}

/// Guards against a stream that hangs at a paused engine, which keeps its sockets open but does not
/// respond.
#[tokio::test]
async fn can_abandon_an_unresponsive_engine() {
    let (started, mut has_started) = tokio::sync::watch::channel(false);
    let paused = Scripted::start(move |_, mut conn| {
        let started = started.clone();
        async move {
            while let Some(request) = conn.request().await {
                if request.head.starts_with("GET ") {
                    continue;
                }
                let completion = serde_json::from_slice(&request.body).expect("completion");
                conn.write(&encode_stream(Behaviour::Truncate(3), &completion)).await;
                started.send_replace(true);
            }
        }
    })
    .await;
    let (up, seen) = start_engine(Behaviour::Complete).await;
    let gateway = start_gateway("resumes_streams = true", &[&paused]).await;
    let callers = gateway.handle.callers;
    let call = tokio::spawn(async move {
        let request = http::Request::post(format!("http://{callers}/v1/completions"));
        let request = request.body(filbertsail_http::Body::full(STREAM_REQUEST)).expect("request");
        filbertsail_http::client::Client::default().send(request, common::TEST_TIMEOUT).await
    });
    // The paused engine must get the request, so the other one is added only now.
    has_started.wait_for(|started| *started).await.expect("open");
    let both = inventory("model", "resumes_streams = true", &[paused.address, up.address]);
    gateway.platform.configure(&both).await;
    let response = call.await.expect("task").expect("complete stream");
    assert_eq!(parse_stream(response.body()), (FULL_TEXT.to_owned(), "[DONE]".to_owned()));
    let seen = seen.lock().expect("lock");
    let resume = seen[0].resume_from.as_ref().expect("resumed");
    assert_eq!((seen.len(), resume.tokens), (1, 3));
}

/// Guards against a hedge that goes to the same slow worker as the first dispatch.
#[tokio::test]
async fn can_hedge_a_sample_at_another_worker() {
    let slow = || {
        Scripted::start(|_, mut conn| async move {
            let _ = conn.request().await;
            // Never responds.
            let _ = conn.request().await;
        })
    };
    let (one, two) = (slow().await, slow().await);
    let gateway = start_gateway(OPTIONS, &[&one, &two]).await;
    let link = connect(&gateway);
    for turn in 0..4 {
        let before = (one.served(), two.served());
        let first = dispatch(&format!("first-{turn}"), Vec::new());
        let _first = tokio::spawn({
            let link = link.clone();
            async move { link.call(&first).await?.next().await }
        });
        wait_served(&one, &two, 2 * turn + 1).await;
        let second = dispatch(&format!("second-{turn}"), vec![format!("first-{turn}")]);
        let _second = tokio::spawn({
            let link = link.clone();
            async move { link.call(&second).await?.next().await }
        });
        wait_served(&one, &two, 2 * turn + 2).await;
        assert_eq!((one.served(), two.served()), (before.0 + 1, before.1 + 1));
    }
}

async fn wait_served(one: &Scripted, two: &Scripted, count: usize) {
    let until = tokio::time::Instant::now() + common::TEST_TIMEOUT;
    while one.served() + two.served() < count {
        assert!(tokio::time::Instant::now() < until, "a sample does not reach an engine");
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
}

fn dispatch(request_id: &str, avoid: Vec<String>) -> Frame {
    Dispatch {
        request_id: request_id.to_owned(),
        service: "svc".to_owned(),
        team: "agronomy".to_owned(),
        trainer: "t".to_owned(),
        prompt: "p".to_owned(),
        max_tokens: 6,
        priority: 3,
        deadline_ms: 20_000,
        min_version: None,
        avoid,
    }
    .into()
}
