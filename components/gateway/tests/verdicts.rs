//! Verdicts of failed requests, each case provoked on a real socket.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Gateway, Scripted, healthy, verdict, whole};
use http::Method;
use tokio::net::TcpSocket;

/// Address on which nothing listens. The port stays bound for the rest of the process, so that no
/// server of another test gets it.
fn dead_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("binds");
    let address = socket.local_addr().expect("address");
    std::mem::forget(socket);
    address
}

/// Guards against a refused connection that counts as a possible run.
#[tokio::test]
async fn can_prove_that_a_connect_failure_did_not_run() {
    let gateway = Gateway::application(&[dead_address()]).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!(response.status(), 502);
    assert_eq!(verdict(&response), "not_run");
}

/// Guards against giving up on a request that provably did not run while another worker is up.
#[tokio::test]
async fn can_retry_a_non_idempotent_request_that_did_not_run() {
    let up = healthy("done").await;
    let gateway = Gateway::application(&[dead_address(), up.address]).await;
    for _ in 0..20 {
        let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"done"[..]));
    }
    assert_eq!(up.served(), 20);
}

/// Guards against a second soap order after a reset that hides whether the first one ran.
#[tokio::test]
async fn can_leave_a_reset_request_alone() {
    let resetting = || {
        Scripted::start(|_, mut conn| async move {
            let _ = conn.request().await;
            // An abortive close in place of an orderly one.
            let _ = conn.stream.set_zero_linger();
        })
    };
    let (first, second) = (resetting().await, resetting().await);
    let gateway = Gateway::application(&[first.address, second.address]).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!(response.status(), 502);
    assert_eq!(verdict(&response), "may_have_run");
    assert_eq!(first.served() + second.served(), 1);
}

/// Guards against an idempotent request that fails although another worker is up.
#[tokio::test]
async fn can_retry_an_idempotent_request_after_a_reset() {
    let broken = Scripted::start(|_, mut conn| async move {
        let _ = conn.request().await;
    })
    .await;
    let up = healthy("done").await;
    let gateway = Gateway::application(&[broken.address, up.address]).await;
    for _ in 0..10 {
        let response = gateway.call(Method::GET, "/s/svc/drops?next=1", "").await;
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"done"[..]));
    }
}

/// Guards against a kept connection that the server closes: an order must never be lost on it.
#[tokio::test]
async fn can_survive_reuse_of_a_closing_connection() {
    let server = Scripted::start(|_, mut conn| async move {
        if let Some(request) = conn.request().await {
            conn.answer(&request.id, "done").await;
        }
    })
    .await;
    let gateway = Gateway::application(&[server.address]).await;
    for turn in 0..30 {
        let method = if turn % 2 == 0 { Method::GET } else { Method::POST };
        let response = gateway.call(method, "/s/svc/orders", "").await;
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"done"[..]));
    }
    assert_eq!(server.served(), 30);
}

/// Guards against a part of an answer that passes for the whole.
#[tokio::test]
async fn can_refuse_half_an_answer() {
    for part in ["HTTP/1.1 200 OK\r\ncontent-len", "", "chunked"] {
        let server = Scripted::start(move |_, mut conn| async move {
            let Some(request) = conn.request().await else { return };
            let text = match part {
                "chunked" => format!(
                    "HTTP/1.1 200 OK\r\nfilbertsail-request-id: {}\r\n\
                     transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                    request.id
                ),
                "" => {
                    let text = whole(&request.id, "half an answer");
                    text[..text.len() - 3].to_owned()
                }
                head => head.to_owned(),
            };
            conn.write(&text).await;
        })
        .await;
        let gateway = Gateway::application(&[server.address]).await;
        let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
        assert_eq!(response.status(), 502, "{part}");
        assert_eq!(verdict(&response), "may_have_run", "{part}");
        assert_eq!(server.served(), 1, "{part}");
    }
}

/// Guards against an answer whose end cannot be told from a broken connection.
#[tokio::test]
async fn can_refuse_an_answer_without_length() {
    let server = Scripted::start(|_, mut conn| async move {
        let Some(request) = conn.request().await else { return };
        let id = request.id;
        conn.write(&format!("HTTP/1.1 200 OK\r\nfilbertsail-request-id: {id}\r\n\r\nbody")).await;
    })
    .await;
    let gateway = Gateway::application(&[server.address]).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (502, "may_have_run"));
}

/// Guards against bytes behind an answer that become the answer of the next request.
#[tokio::test]
async fn can_keep_an_overlong_answer_from_the_next_request() {
    let server = Scripted::start(|number, mut conn| async move {
        while let Some(request) = conn.request().await {
            let stray = whole("stray", "not yours");
            let text = whole(&request.id, &format!("conn {number}"));
            conn.write(&format!("{text}{stray}")).await;
        }
    })
    .await;
    let gateway = Gateway::application(&[server.address]).await;
    for turn in 0..10 {
        let response = gateway.call(Method::GET, "/s/svc/drops", "").await;
        assert_eq!(response.status(), 200, "{turn}");
        assert_eq!(response.body(), &format!("conn {turn}"));
    }
}

/// Guards against an answer that belongs to another request.
#[tokio::test]
async fn can_refuse_a_swapped_answer() {
    let server = Scripted::start(|_, mut conn| async move {
        while conn.request().await.is_some() {
            conn.answer("someone-else", "not yours").await;
        }
    })
    .await;
    let gateway = Gateway::application(&[server.address]).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (502, "may_have_run"));
    assert_eq!(server.served(), 1);
}

/// Guards against a late answer that reaches the next request on the same connection.
#[tokio::test]
async fn can_drop_an_answer_that_comes_too_late() {
    let server = Scripted::start(|number, mut conn| async move {
        while let Some(request) = conn.request().await {
            if number == 0 {
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
            conn.answer(&request.id, &format!("conn {number}")).await;
        }
    })
    .await;
    let gateway = Gateway::application(&[server.address]).await;
    let deadline = [("filbertsail-deadline-ms", "100")];
    let late = gateway.call_with(Method::POST, "/s/svc/orders", "soap", &deadline).await;
    assert_eq!((late.status().as_u16(), &*verdict(&late)), (504, "may_have_run"));
    let next = gateway.call(Method::GET, "/s/svc/drops", "").await;
    assert_eq!(next.body(), "conn 1");
}

/// Guards against a caller that takes a large answer for whole after its end was lost.
#[tokio::test]
async fn can_abort_a_large_answer_that_breaks_off() {
    let server = Scripted::start(|_, mut conn| async move {
        let Some(request) = conn.request().await else { return };
        let text = whole(&request.id, &"x".repeat(3 * 1024 * 1024));
        let cut = if request.head.starts_with("GET /cut") { 2 * 1024 * 1024 } else { text.len() };
        conn.write(&text[..cut]).await;
    })
    .await;
    let gateway = Gateway::application(&[server.address]).await;
    let response = gateway.call(Method::GET, "/s/svc/all", "").await;
    assert_eq!(response.body().len(), 3 * 1024 * 1024);
    let uri = format!("http://{}/s/svc/cut", gateway.handle.callers);
    let request = http::Request::get(uri).body(filbertsail_http::Body::empty()).expect("request");
    let result = filbertsail_http::client::Client::default().send(request, common::PATIENCE).await;
    assert!(result.is_err(), "{result:?}");
}

/// Guards against an unbounded body that uses up the gateway's memory.
#[tokio::test]
async fn can_refuse_a_body_above_the_bound() {
    let server = healthy("done").await;
    let gateway = Gateway::application(&[server.address]).await;
    let body = "x".repeat(8 * 1024 * 1024 + 1);
    let response = gateway.call(Method::POST, "/s/svc/orders", &body).await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (413, "not_run"));
    assert_eq!(server.served(), 0);
}

/// Guards against a request that was never sent and still counts as a possible run.
#[tokio::test]
async fn can_prove_that_a_request_without_time_left_did_not_run() {
    let server = healthy("done").await;
    let gateway = Gateway::application(&[server.address]).await;
    let deadline = [("filbertsail-deadline-ms", "0")];
    let late = gateway.call_with(Method::POST, "/s/svc/orders", "soap", &deadline).await;
    assert_eq!((late.status().as_u16(), &*verdict(&late)), (504, "not_run"));
    assert_eq!(server.served(), 0);
    // A listener whose backlog is full drops further connections without an answer.
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    socket.bind("127.0.0.1:0".parse().expect("address")).expect("binds");
    let address = socket.local_addr().expect("address");
    let _listener = socket.listen(1).expect("listens");
    let mut held = Vec::new();
    let connect = || {
        let stream = tokio::net::TcpStream::connect(address);
        tokio::time::timeout(Duration::from_millis(200), stream)
    };
    while let Ok(stream) = connect().await {
        held.push(stream);
    }
    let gateway = Gateway::application(&[address]).await;
    let deadline = [("filbertsail-deadline-ms", "300")];
    let late = gateway.call_with(Method::POST, "/s/svc/orders", "soap", &deadline).await;
    assert_eq!(verdict(&late), "not_run", "{late:?}");
}
