//! Limits of a port over real sockets. The tests wait for events, not for fixed times.

use std::{net::SocketAddr, time::Duration};

use filbertsail_http::{
    Body,
    body::read::read,
    server::{Handler, Limits, serve},
};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::{body::Incoming, client::conn::http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

/// Time after which a test fails if the expected event has not occurred.
const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
const SHORT_TIMEOUT: Duration = Duration::from_millis(80);
/// Larger than the socket buffers of both ends.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
const CHUNK_BYTES: usize = 1024 * 1024;

#[derive(Clone)]
struct Paths(Limits);

impl Handler for Paths {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match request.uri().path() {
            "/large" => Response::new(Body::full(vec![0; LARGE_BYTES])),
            "/stream" => {
                let (sender, body) = Body::channel(1);
                tokio::spawn(async move {
                    for _ in 0..LARGE_BYTES / CHUNK_BYTES {
                        if sender.send(Ok(vec![0; CHUNK_BYTES].into())).await.is_err() {
                            return;
                        }
                    }
                });
                Response::new(body)
            }
            _ => match read(request.into_body(), &self.0).await {
                Ok(bytes) => Response::new(Body::full(format!("{} bytes", bytes.len()))),
                Err(error) => {
                    let mut response = Response::new(Body::full(error.code()));
                    *response.status_mut() = error.status();
                    response
                }
            },
        }
    }
}

struct Server {
    address: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

async fn start(limits: Limits) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let stop = CancellationToken::new();
    let task = tokio::spawn(serve(listener, limits, Paths(limits), stop.clone()));
    Server { address, stop, task }
}

/// Sends `text` and returns everything until the server closes the connection.
async fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connects");
    stream.write_all(text.as_bytes()).await.expect("writes");
    let mut response = Vec::new();
    // A reset counts as a close.
    let _ = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut response)).await.expect("server closes");
    String::from_utf8_lossy(&response).into_owned()
}

/// Guards against connections that callers open and leave idle.
#[tokio::test]
async fn can_close_idle_connections() {
    // Long enough for the request to arrive in time on a loaded machine.
    let idle_timeout = Duration::from_millis(800);
    let server = start(Limits { idle_timeout, ..Limits::default() }).await;
    assert_eq!(exchange(server.address, "").await, "");
    let response = exchange(server.address, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200") && response.ends_with("0 bytes"), "{response}");
}

/// Guards against callers that hold a connection by sending a partial request head.
#[tokio::test]
async fn can_disconnect_on_a_slow_head() {
    let server = start(Limits { header_timeout: SHORT_TIMEOUT, ..Limits::default() }).await;
    assert_eq!(exchange(server.address, "GET / HTTP/1.1\r\nhost:").await, "");
}

/// Guards against callers that hold a request open by sending a partial body.
#[tokio::test]
async fn can_time_out_a_slow_body() {
    let server = start(Limits { stall_timeout: SHORT_TIMEOUT, ..Limits::default() }).await;
    let text = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 100\r\n\r\nhalf";
    let response = exchange(server.address, text).await;
    assert!(
        response.starts_with("HTTP/1.1 408") && response.ends_with("body_too_slow"),
        "{response}"
    );
}

/// Guards against bodies that exhaust the memory of an entry VM, with or without a content length.
#[tokio::test]
async fn can_reject_large_bodies() {
    let server = start(Limits { max_body_bytes: 10, ..Limits::default() }).await;
    let fits =
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 10\r\n\r\n0123456789";
    assert!(exchange(server.address, fits).await.ends_with("10 bytes"));
    let announced =
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 11\r\n\r\n0123456789a";
    let response = exchange(server.address, announced).await;
    assert!(response.starts_with("HTTP/1.1 413") && response.contains("not_run"), "{response}");
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
                   6\r\n012345\r\n6\r\n6789ab\r\n0\r\n\r\n";
    let response = exchange(server.address, chunked).await;
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

/// Guards against callers that request a large response, never read it and so block a shutdown.
#[tokio::test]
async fn can_disconnect_callers_that_do_not_read() {
    for path in ["/large", "/stream"] {
        let server = start(Limits { stall_timeout: SHORT_TIMEOUT, ..Limits::default() }).await;
        let mut stream = TcpStream::connect(server.address).await.expect("connects");
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("writes");
        stream.readable().await.expect("response starts");
        server.stop.cancel();
        timeout(EVENT_TIMEOUT, server.task).await.expect("server ends").expect("no panic");
        let mut response = Vec::new();
        let _ = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut response)).await.expect("closed");
        assert!(response.len() < LARGE_BYTES, "{path}: {} bytes", response.len());
    }
}

/// Guards against HTTP/2 callers that stop reading by flow control, which does not block the
/// socket.
#[tokio::test]
async fn can_disconnect_http2_callers_that_do_not_read() {
    let server = start(Limits { stall_timeout: SHORT_TIMEOUT, ..Limits::default() }).await;
    let stream = TcpStream::connect(server.address).await.expect("connects");
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("HTTP/2");
    tokio::spawn(connection);
    let request = Request::get("http://a/stream").body(Body::empty()).expect("request");
    let response = sender.send_request(request).await.expect("response starts");
    server.stop.cancel();
    timeout(EVENT_TIMEOUT, server.task).await.expect("server ends").expect("no panic");
    assert!(
        response.into_body().collect().await.is_err(),
        "received a complete response of {LARGE_BYTES} bytes"
    );
}

/// Guards against callers that use up all connections of a VM.
#[tokio::test]
async fn can_limit_connections() {
    let server = start(Limits { max_connections: 1, ..Limits::default() }).await;
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut first = TcpStream::connect(server.address).await.expect("connects");
    first.write_all(request).await.expect("writes");
    let mut start = [0; 12];
    first.read_exact(&mut start).await.expect("response");
    assert_eq!(&start, b"HTTP/1.1 200");
    assert_eq!(exchange(server.address, "").await, "", "second connection is closed");
    drop(first);
    let freed = async {
        loop {
            let mut next = TcpStream::connect(server.address).await.expect("connects");
            let sent = next.write_all(request).await;
            if sent.is_ok() && next.read_exact(&mut start).await.is_ok() {
                return start;
            }
        }
    };
    assert_eq!(&timeout(EVENT_TIMEOUT, freed).await.expect("slot is freed"), b"HTTP/1.1 200");
}
