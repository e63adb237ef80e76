//! Connections to workers that repeat responses late or go silent.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_entry::channel::{Matching, Pool, Terms, Trace};
use filbertsail_http::Body;
use http::Request;
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::{sleep, timeout},
};

/// Server that answers each request with its path, after a second copy of the response before it on
/// the connection.
async fn start() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut buffer, mut previous) = ([0; 1_024], String::new());
                while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                    let text = String::from_utf8_lossy(&buffer[..length]);
                    let path = text.split(' ').nth(1).expect("path");
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", path.len());
                    let response = head + path;
                    let repeated = std::mem::replace(&mut previous, response.clone());
                    if stream.write_all((repeated + &response).as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Sends a request for `path` and returns the body of the response.
async fn exchange(pool: &Pool, address: SocketAddr, path: &str, matching: Matching) -> String {
    let request = Request::get(path).body(Body::empty()).expect("request");
    let terms = Terms { idempotent: true, matching };
    let now = Instant::from_millis(1);
    let (response, channel) = pool.send(address, request, terms, now).await.expect("response");
    let body = response.into_body().collect().await.expect("body").to_bytes();
    pool.keep(channel, Some(Duration::from_secs(5)), now);
    String::from_utf8(body.to_vec()).expect("text")
}

/// Guards against a reply to an order that is a late copy of the one before on its connection, which
/// nothing in it tells.
#[tokio::test]
async fn can_tell_unlabelled_responses_from_late_copies() {
    let (pool, address) = (Pool::default(), start().await);
    for path in ["/first", "/second", "/third"] {
        assert_eq!(exchange(&pool, address, path, Matching::Order).await, path);
    }
    // The sender compares identifiers, so the connections stay in use for such requests.
    let copy = exchange(&pool, address, "/item", Matching::Identifier(1)).await;
    assert_ne!(copy, "/item", "no connection was reused");
}

/// Guards against a response to an earlier run of a request that is taken for that of its next run,
/// since both have the same identifier.
#[tokio::test]
async fn can_tell_responses_to_two_runs_of_a_request() {
    let (pool, address) = (Pool::default(), start().await);
    for path in ["/run-1", "/run-2", "/run-3"] {
        assert_eq!(exchange(&pool, address, path, Matching::Identifier(1)).await, path);
    }
    let copy = exchange(&pool, address, "/other", Matching::Identifier(2)).await;
    assert_ne!(copy, "/other", "no connection was reused");
}

/// Guards against a request that is sent under an expired lease, since the VM was suspended while
/// the connection was established.
#[tokio::test]
async fn can_drop_a_request_after_its_deadline() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let request = Request::get("/late").body(Body::empty()).expect("request");
    let terms = Terms { idempotent: false, matching: Matching::Order };
    let now = Boot.now();
    let sent = Pool::trusted().send_before(address, request, terms, now, Some(now)).await;
    assert!(sent.expect_err("not sent").verdict.may_retry());
    let (mut stream, _) = listener.accept().await.expect("connection");
    assert_eq!(stream.read(&mut [0; 16]).await.expect("closed"), 0, "bytes were sent");
}

/// Guards against a request that arrives after its time limit, since the kernel keeps its bytes. Load:
/// the server reads nothing while the call runs, as behind a partition, and goes on afterwards.
#[tokio::test]
async fn can_discard_the_bytes_of_a_request_that_was_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let pool = Pool::trusted().resetting();
    let length = 16 << 20;
    let request = Request::post("/order").body(Body::full(vec![0; length])).expect("request");
    let terms = Terms { idempotent: false, matching: Matching::Order };
    let sent = pool.send(address, request, terms, Boot.now());
    assert!(timeout(Duration::from_millis(200), sent).await.is_err(), "nothing answers");
    let (mut stream, _) = listener.accept().await.expect("connection");
    sleep(Duration::from_millis(100)).await;
    let (mut buffer, mut received) = (vec![0; 1 << 16], 0);
    let end = loop {
        match timeout(Duration::from_secs(5), stream.read(&mut buffer)).await.expect("end") {
            Ok(count @ 1..) => received += count,
            end => break end.map_err(|error| error.kind()),
        }
    };
    assert_eq!(end, Err(std::io::ErrorKind::ConnectionReset));
    assert!(received < length, "{received} bytes arrived");
}

/// Server that answers each request with its path on every connection that it accepted since the last
/// call of the returned function; the others stay open without a response.
async fn start_silenceable() -> (SocketAddr, impl Fn()) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let round = Arc::new(AtomicU64::new(0));
    let current = Arc::clone(&round);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let current = Arc::clone(&current);
            let opened_in = current.load(Ordering::SeqCst);
            tokio::spawn(async move {
                let mut buffer = [0; 1_024];
                while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                    if current.load(Ordering::SeqCst) > opened_in {
                        continue;
                    }
                    let text = String::from_utf8_lossy(&buffer[..length]);
                    let path = text.split(' ').nth(1).expect("path");
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", path.len());
                    if stream.write_all((head + path).as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, move || {
        round.fetch_add(1, Ordering::SeqCst);
    })
}

/// Guards against one silent connection after the other, each of which costs a request its time
/// limit although new ones work.
#[tokio::test]
async fn can_replace_all_silent_connections_at_once() {
    let (address, silence) = start_silenceable().await;
    let pool = Pool::default();
    let terms = Terms { idempotent: true, matching: Matching::Content };
    let get = |path: &str| Request::get(path).body(Body::full("body")).expect("request");
    let mut channels = Vec::new();
    for _ in 0..4 {
        let sent = pool.send(address, get("/first"), terms, Instant::from_millis(1)).await;
        let (response, channel) = sent.expect("response");
        response.into_body().collect().await.expect("body");
        channels.push(channel);
    }
    for channel in channels {
        pool.keep(channel, Some(Duration::from_secs(60)), Instant::from_millis(10));
    }
    silence();
    let now = Instant::from_millis(2_000);
    let sent = pool.send_with_fallback(address, get("/second"), terms, now);
    let (response, _) =
        timeout(Duration::from_secs(30), sent).await.expect("in time").expect("sent");
    let body = response.into_body().collect().await.expect("body").to_bytes();
    assert_eq!(body, "/second");
    // No other silent connection is left, so that this one needs a new one at once.
    let mut trace = Trace::default();
    let sent = pool.send_traced(address, get("/third"), terms, now, &mut trace);
    timeout(Duration::from_secs(30), sent).await.expect("in time").expect("sent");
    assert_eq!(trace.idle, None);
}
