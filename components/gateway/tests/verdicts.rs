//! Verdicts of failed requests, each failure caused on a real socket.

mod common;

use std::{net::SocketAddr, time::Duration};

use common::{Gateway, Scripted, encode_response, start_healthy, verdict};
use http::Method;
use tokio::{io::AsyncWriteExt, net::TcpSocket};

/// Address without a listener. The port stays bound until the process exits, so that no server of
/// another test gets it.
fn dead_address() -> SocketAddr {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("binds");
    let address = socket.local_addr().expect("address");
    std::mem::forget(socket);
    address
}

/// Guards against reporting a possible run after a refused connection.
#[tokio::test]
async fn can_prove_that_a_connect_failure_did_not_run() {
    let gateway = Gateway::start_application(&[dead_address()]).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!(response.status(), 502);
    assert_eq!(verdict(&response), "not_run");
}

/// Guards against failing a request that provably did not run while another worker is available.
#[tokio::test]
async fn can_retry_a_non_idempotent_request_that_did_not_run() {
    let up = start_healthy("done").await;
    let gateway = Gateway::start_application(&[dead_address(), up.address]).await;
    for _ in 0..20 {
        let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"done"[..]));
    }
    assert_eq!(up.served(), 20);
}

/// Guards against a second run after a reset that leaves unknown whether the first one happened.
#[tokio::test]
async fn can_refrain_from_retrying_a_reset_request() {
    let resetting = || {
        Scripted::start(|_, mut conn| async move {
            let _ = conn.request().await;
            // Close with a reset instead of an orderly shutdown.
            let _ = conn.stream.set_zero_linger();
        })
    };
    let (first, second) = (resetting().await, resetting().await);
    let gateway = Gateway::start_application(&[first.address, second.address]).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!(response.status(), 502);
    assert_eq!(verdict(&response), "may_have_run");
    assert_eq!(first.served() + second.served(), 1);
}

/// Guards against failing an idempotent request while another worker is available.
#[tokio::test]
async fn can_retry_an_idempotent_request_after_a_reset() {
    let broken = Scripted::start(|_, mut conn| async move {
        let _ = conn.request().await;
    })
    .await;
    let up = start_healthy("done").await;
    let gateway = Gateway::start_application(&[broken.address, up.address]).await;
    for _ in 0..10 {
        let response = gateway.call(Method::GET, "/s/svc/drops?next=1", "").await;
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"done"[..]));
    }
}

/// Guards against losing a request on an idle connection that the server is closing.
#[tokio::test]
async fn can_survive_closing_idle_connections() {
    let server = Scripted::start(|_, mut conn| async move {
        if let Some(request) = conn.request().await {
            conn.respond(&request.id, "done").await;
        }
    })
    .await;
    let gateway = Gateway::start_application(&[server.address]).await;
    for turn in 0..30 {
        let method = if turn % 2 == 0 { Method::GET } else { Method::POST };
        let response = gateway.call(method, "/s/svc/orders", "").await;
        assert_eq!((response.status().as_u16(), &response.body()[..]), (200, &b"done"[..]));
    }
    assert_eq!(server.served(), 30);
}

/// Guards against forwarding a response whose status HTTP does not allow as a final answer to the
/// request.
#[tokio::test]
async fn can_reject_a_status_that_is_not_final() {
    for status in ["000", "099", "101", "206", "304", "416", "600", "999"] {
        let server = Scripted::start(move |_, mut conn| async move {
            let Some(request) = conn.request().await else { return };
            let text = encode_response(&request.id, "body").replacen("200", status, 1);
            // The gateway may have closed the connection.
            let _ = conn.stream.write_all(text.as_bytes()).await;
        })
        .await;
        let gateway = Gateway::start_application(&[server.address]).await;
        let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
        assert_eq!(response.status(), 502, "{status}");
        assert_eq!(verdict(&response), "may_have_run", "{status}");
    }
}

/// Guards against forwarding a truncated response as a complete one.
#[tokio::test]
async fn can_reject_a_truncated_response() {
    for truncation in ["HTTP/1.1 200 OK\r\ncontent-len", "", "chunked"] {
        let server = Scripted::start(move |_, mut conn| async move {
            let Some(request) = conn.request().await else { return };
            let text = match truncation {
                "chunked" => format!(
                    "HTTP/1.1 200 OK\r\nfilbertsail-request-id: {}\r\n\
                     transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                    request.id
                ),
                "" => {
                    let text = encode_response(&request.id, "truncated response");
                    text[..text.len() - 3].to_owned()
                }
                head => head.to_owned(),
            };
            conn.write(&text).await;
        })
        .await;
        let gateway = Gateway::start_application(&[server.address]).await;
        let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
        assert_eq!(response.status(), 502, "{truncation}");
        assert_eq!(verdict(&response), "may_have_run", "{truncation}");
        assert_eq!(server.served(), 1, "{truncation}");
    }
}

/// Guards against accepting a response whose end looks the same as a broken connection.
#[tokio::test]
async fn can_reject_a_response_without_length() {
    let server = Scripted::start(|_, mut conn| async move {
        let Some(request) = conn.request().await else { return };
        let id = request.id;
        conn.write(&format!("HTTP/1.1 200 OK\r\nfilbertsail-request-id: {id}\r\n\r\nbody")).await;
    })
    .await;
    let gateway = Gateway::start_application(&[server.address]).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (502, "may_have_run"));
}

/// Guards against using extra bytes after a response as the response to the next request.
#[tokio::test]
async fn can_discard_bytes_after_a_response() {
    let server = Scripted::start(|number, mut conn| async move {
        while let Some(request) = conn.request().await {
            let extra = encode_response("stray", "not yours");
            let text = encode_response(&request.id, &format!("conn {number}"));
            conn.write(&format!("{text}{extra}")).await;
        }
    })
    .await;
    let gateway = Gateway::start_application(&[server.address]).await;
    for turn in 0..10 {
        let response = gateway.call(Method::GET, "/s/svc/drops", "").await;
        assert_eq!(response.status(), 200, "{turn}");
        assert_eq!(response.body(), &format!("conn {turn}"));
    }
}

/// Guards against forwarding a response that belongs to another request.
#[tokio::test]
async fn can_reject_a_response_to_another_request() {
    let server = Scripted::start(|_, mut conn| async move {
        while conn.request().await.is_some() {
            conn.respond("someone-else", "not yours").await;
        }
    })
    .await;
    let gateway = Gateway::start_application(&[server.address]).await;
    let response = gateway.call(Method::POST, "/s/svc/orders", "soap").await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (502, "may_have_run"));
    assert_eq!(server.served(), 1);
}

/// Guards against using a late response for the next request on the same connection.
#[tokio::test]
async fn can_discard_a_late_response() {
    let server = Scripted::start(|number, mut conn| async move {
        while let Some(request) = conn.request().await {
            if number == 0 {
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
            conn.respond(&request.id, &format!("conn {number}")).await;
        }
    })
    .await;
    let gateway = Gateway::start_application(&[server.address]).await;
    let deadline = [("filbertsail-deadline-ms", "100")];
    let late = gateway.call_with(Method::POST, "/s/svc/orders", "soap", &deadline).await;
    assert_eq!((late.status().as_u16(), &*verdict(&late)), (504, "may_have_run"));
    let next = gateway.call(Method::GET, "/s/svc/drops", "").await;
    assert_eq!(next.body(), "conn 1");
}

/// Guards against a truncated large response that looks complete to the caller.
#[tokio::test]
async fn can_abort_a_truncated_large_response() {
    let server = Scripted::start(|_, mut conn| async move {
        let Some(request) = conn.request().await else { return };
        let text = encode_response(&request.id, &"x".repeat(3 * 1024 * 1024));
        let cut = if request.head.starts_with("GET /cut") { 2 * 1024 * 1024 } else { text.len() };
        conn.write(&text[..cut]).await;
    })
    .await;
    let gateway = Gateway::start_application(&[server.address]).await;
    let response = gateway.call(Method::GET, "/s/svc/all", "").await;
    assert_eq!(response.body().len(), 3 * 1024 * 1024);
    let uri = format!("http://{}/s/svc/cut", gateway.handle.callers);
    let request = http::Request::get(uri).body(filbertsail_http::Body::empty()).expect("request");
    let result =
        filbertsail_http::client::Client::default().send(request, common::TEST_TIMEOUT).await;
    assert!(result.is_err(), "{result:?}");
}

/// Guards against exhausting the gateway's memory with an unbounded request body.
#[tokio::test]
async fn can_reject_a_body_above_the_limit() {
    let server = start_healthy("done").await;
    let gateway = Gateway::start_application(&[server.address]).await;
    let body = "x".repeat(8 * 1024 * 1024 + 1);
    let response = gateway.call(Method::POST, "/s/svc/orders", &body).await;
    assert_eq!((response.status().as_u16(), &*verdict(&response)), (413, "not_run"));
    assert_eq!(server.served(), 0);
}

/// Guards against reporting a possible run for a request that was never sent.
#[tokio::test]
async fn can_prove_that_a_request_without_time_left_did_not_run() {
    let server = start_healthy("done").await;
    let gateway = Gateway::start_application(&[server.address]).await;
    let deadline = [("filbertsail-deadline-ms", "0")];
    let late = gateway.call_with(Method::POST, "/s/svc/orders", "soap", &deadline).await;
    assert_eq!((late.status().as_u16(), &*verdict(&late)), (504, "not_run"));
    assert_eq!(server.served(), 0);
    // A listener whose backlog is full drops further connection attempts without a response.
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
    let gateway = Gateway::start_application(&[address]).await;
    let deadline = [("filbertsail-deadline-ms", "300")];
    let late = gateway.call_with(Method::POST, "/s/svc/orders", "soap", &deadline).await;
    assert_eq!(verdict(&late), "not_run", "{late:?}");
}
