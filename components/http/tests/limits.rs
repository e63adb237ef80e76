//! Limits of a port over real sockets. Each test waits for an outcome, never for a set time.

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

/// Time after which an outcome counts as absent.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(30);
const SHORT: Duration = Duration::from_millis(80);
/// Larger than the socket buffers of both ends.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
const PART_BYTES: usize = 1024 * 1024;

#[derive(Clone)]
struct Paths(Limits);

impl Handler for Paths {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match request.uri().path() {
            "/large" => Response::new(Body::full(vec![0; LARGE_BYTES])),
            "/stream" => {
                let (sender, body) = Body::channel(1);
                tokio::spawn(async move {
                    for _ in 0..LARGE_BYTES / PART_BYTES {
                        if sender.send(Ok(vec![0; PART_BYTES].into())).await.is_err() {
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
    let mut answer = Vec::new();
    // A reset ends the connection as well as an orderly close.
    let _ = timeout(OUTCOME_TIMEOUT, stream.read_to_end(&mut answer)).await.expect("server closes");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against connections that callers open and leave.
#[tokio::test]
async fn can_close_idle_connections() {
    // Long enough for a request to follow its connection on a busy machine.
    let idle_timeout = Duration::from_millis(800);
    let server = start(Limits { idle_timeout, ..Limits::default() }).await;
    assert_eq!(exchange(server.address, "").await, "");
    let answer = exchange(server.address, "GET / HTTP/1.1\r\nhost: a\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with("0 bytes"), "{answer}");
}

/// Guards against callers that hold a connection with half a request head.
#[tokio::test]
async fn can_cut_off_a_slow_head() {
    let server = start(Limits { header_timeout: SHORT, ..Limits::default() }).await;
    assert_eq!(exchange(server.address, "GET / HTTP/1.1\r\nhost:").await, "");
}

/// Guards against callers that hold a request with half a body.
#[tokio::test]
async fn can_cut_off_a_slow_body() {
    let server = start(Limits { stall_timeout: SHORT, ..Limits::default() }).await;
    let text = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 100\r\n\r\nhalf";
    let answer = exchange(server.address, text).await;
    assert!(answer.starts_with("HTTP/1.1 408") && answer.ends_with("body_too_slow"), "{answer}");
}

/// Guards against bodies that fill the memory of an entry VM, announced or not.
#[tokio::test]
async fn can_refuse_large_bodies() {
    let server = start(Limits { body_bytes: 10, ..Limits::default() }).await;
    let fits =
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 10\r\n\r\n0123456789";
    assert!(exchange(server.address, fits).await.ends_with("10 bytes"));
    let announced =
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 11\r\n\r\n0123456789a";
    let answer = exchange(server.address, announced).await;
    assert!(answer.starts_with("HTTP/1.1 413") && answer.contains("not_run"), "{answer}");
    let chunked = "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
                   6\r\n012345\r\n6\r\n6789ab\r\n0\r\n\r\n";
    let answer = exchange(server.address, chunked).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

/// Guards against callers that ask for much, read nothing, and so hold a stop for ever.
#[tokio::test]
async fn can_cut_off_callers_that_do_not_read() {
    for path in ["/large", "/stream"] {
        let server = start(Limits { stall_timeout: SHORT, ..Limits::default() }).await;
        let mut stream = TcpStream::connect(server.address).await.expect("connects");
        let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n");
        stream.write_all(request.as_bytes()).await.expect("writes");
        stream.readable().await.expect("answer starts");
        server.stop.cancel();
        timeout(OUTCOME_TIMEOUT, server.task).await.expect("server ends").expect("no panic");
        let mut answer = Vec::new();
        let _ = timeout(OUTCOME_TIMEOUT, stream.read_to_end(&mut answer)).await.expect("closed");
        assert!(answer.len() < LARGE_BYTES, "{path}: {} bytes", answer.len());
    }
}

/// Guards against HTTP/2 callers that stop reading by flow control, which blocks no socket.
#[tokio::test]
async fn can_cut_off_http2_callers_that_do_not_read() {
    let server = start(Limits { stall_timeout: SHORT, ..Limits::default() }).await;
    let stream = TcpStream::connect(server.address).await.expect("connects");
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await.expect("HTTP/2");
    tokio::spawn(connection);
    let request = Request::get("http://a/stream").body(Body::empty()).expect("request");
    let response = sender.send_request(request).await.expect("answer starts");
    server.stop.cancel();
    timeout(OUTCOME_TIMEOUT, server.task).await.expect("server ends").expect("no panic");
    assert!(response.into_body().collect().await.is_err(), "a whole answer of {LARGE_BYTES} bytes");
}

/// Guards against callers that take every connection of a VM.
#[tokio::test]
async fn can_limit_connections() {
    let server = start(Limits { connections: 1, ..Limits::default() }).await;
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    let mut first = TcpStream::connect(server.address).await.expect("connects");
    first.write_all(request).await.expect("writes");
    let mut start = [0; 12];
    first.read_exact(&mut start).await.expect("answer");
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
    assert_eq!(&timeout(OUTCOME_TIMEOUT, freed).await.expect("slot is freed"), b"HTTP/1.1 200");
}
