//! Server and client over real sockets.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    time::Duration,
};

use filbertsail_http::{
    Body,
    body::Abort,
    client::{Client, Error},
    server::{Handler, Limits, serve},
};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::{
    io::AsyncReadExt,
    net::TcpListener,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Paths;

impl Handler for Paths {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match request.uri().path() {
            "/cut" => {
                let (sender, body) = Body::channel(2);
                sender.send(Ok("half".into())).await.expect("open");
                sender.send(Err(Abort)).await.expect("open");
                Response::new(body)
            }
            "/slow" => {
                sleep(Duration::from_millis(100)).await;
                Response::new(Body::full("slow"))
            }
            _ => Response::new(Body::full("ok")),
        }
    }
}

async fn start() -> (SocketAddr, CancellationToken, tokio::task::JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let stop = CancellationToken::new();
    let server = tokio::spawn(serve(listener, Limits::default(), Paths, stop.clone()));
    (address, stop, server)
}

fn get(address: SocketAddr, path: &str) -> Request<Body> {
    Request::get(format!("http://{address}{path}")).body(Body::empty()).expect("request")
}

/// Guards against an aborted response body that is taken for a complete one.
#[tokio::test]
async fn can_detect_an_aborted_body() {
    let (address, _stop, _server) = start().await;
    let result = Client::default().send(get(address, "/cut"), Duration::from_secs(5)).await;
    assert!(matches!(result, Err(Error::Broken(_))), "{result:?}");
}

/// Guards against a shutdown that aborts a request in flight.
#[tokio::test]
async fn can_finish_requests_in_flight_at_shutdown() {
    let (address, stop, server) = start().await;
    let client = Client::default();
    let call =
        tokio::spawn(
            async move { client.send(get(address, "/slow"), Duration::from_secs(5)).await },
        );
    sleep(Duration::from_millis(30)).await;
    stop.cancel();
    assert_eq!(call.await.expect("task").expect("complete response").body(), "slow");
    server.await.expect("server ends");
    let refused = Client::default().send(get(address, "/"), Duration::from_secs(5)).await;
    assert!(matches!(refused, Err(Error::Connect(_))), "{refused:?}");
}

/// Connects and, unless `text` is empty, sends it without letting the server run.
fn connect(address: SocketAddr, text: &str) -> std::net::TcpStream {
    let mut stream = std::net::TcpStream::connect(address).expect("connects");
    stream.write_all(text.as_bytes()).expect("sends");
    stream
}

/// Reads until the server closes the connection.
async fn read_to_end(stream: std::net::TcpStream) -> String {
    stream.set_nonblocking(true).expect("stream");
    let mut stream = tokio::net::TcpStream::from_std(stream).expect("stream");
    let mut text = Vec::new();
    // A reset ends the response as well.
    let _ = timeout(Duration::from_secs(5), stream.read_to_end(&mut text)).await;
    String::from_utf8_lossy(&text).into_owned()
}

const REQUEST: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Guards against a shutdown that closes connections whose requests have arrived but were not read:
/// one still in the backlog, one accepted just before, and one on an idle connection.
#[tokio::test]
async fn can_answer_requests_that_arrived_before_a_shutdown() {
    // Which event the server handles first is random, so there are several rounds.
    for round in 0..10 {
        let (address, stop, server) = start().await;
        let mut idle = connect(address, REQUEST);
        let mut accepted = connect(address, "");
        sleep(Duration::from_millis(20)).await;
        let mut first = [0; 256];
        let length = idle.read(&mut first).expect("first response");
        assert!(length > 0);
        idle.write_all(REQUEST.as_bytes()).expect("sends");
        accepted.write_all(REQUEST.as_bytes()).expect("sends");
        let backlog = connect(address, REQUEST);
        stop.cancel();
        for (name, stream) in [("idle", idle), ("accepted", accepted), ("backlog", backlog)] {
            let response = read_to_end(stream).await;
            assert!(response.starts_with("HTTP/1.1 200"), "round {round}, {name}: {response:?}");
        }
        timeout(Duration::from_secs(5), server).await.expect("ends").expect("server");
    }
}

/// Guards against a shutdown that waits for callers with idle connections.
#[tokio::test]
async fn can_close_idle_connections_at_shutdown() {
    let (address, stop, server) = start().await;
    let idle = connect(address, "");
    sleep(Duration::from_millis(20)).await;
    stop.cancel();
    timeout(Duration::from_secs(2), server).await.expect("ends").expect("server");
    assert_eq!(read_to_end(idle).await, "");
}
