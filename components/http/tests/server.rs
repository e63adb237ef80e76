//! Server and client over real sockets.

use std::{net::SocketAddr, time::Duration};

use filbertsail_http::{
    Body,
    body::Abort,
    client::{Client, Error},
    server::{Handler, Limits, serve},
};
use http::{Request, Response};
use hyper::body::Incoming;
use tokio::{net::TcpListener, time::sleep};
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
