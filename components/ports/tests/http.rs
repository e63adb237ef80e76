//! HTTP adapters against a server with fixed responses.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_api::table::{Query, Transaction};
use filbertsail_http::{Body, server};
use filbertsail_ports::{
    object::{self, Store as _},
    table::{self, Table as _},
    vm::{self, List as _},
    weight::{self, Store as _},
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Sends the same response to every request; without a status it never responds.
#[derive(Clone)]
struct FixedResponse(Option<StatusCode>, &'static str);

impl server::Handler for FixedResponse {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match self.0 {
            Some(status) => server::json(status, self.1.as_bytes().to_vec()),
            None => std::future::pending().await,
        }
    }
}

async fn serve_fixed(status: Option<u16>, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let status = status.map(|status| StatusCode::from_u16(status).expect("status"));
    let handler = FixedResponse(status, body);
    let limits = server::Limits::default();
    tokio::spawn(server::serve(listener, limits, handler, CancellationToken::new()));
    address
}

/// Address that refuses connections.
async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    listener.local_addr().expect("address")
}

async fn transact(address: SocketAddr) -> Result<u64, table::Error> {
    let client = table::http::Client::with_timeout(address, Duration::from_millis(300));
    let transaction = Transaction { token: "t".to_owned(), checks: Vec::new(), writes: Vec::new() };
    client.transact(transaction).await.map(|commit| commit.revision)
}

/// Guards against "not written" for a write that may have taken effect, and against "unknown" for
/// one that cannot have taken effect.
#[tokio::test]
async fn can_classify_failed_writes() {
    assert_eq!(transact(serve_fixed(Some(200), r#"{"revision":7}"#).await).await, Ok(7));
    let conflict = transact(serve_fixed(Some(409), r#"{"conflicts":[]}"#).await).await;
    assert!(matches!(conflict, Err(table::Error::Conflict(_))), "{conflict:?}");
    for address in [
        serve_fixed(Some(503), "").await,
        serve_fixed(Some(429), "").await,
        serve_fixed(Some(400), "").await,
        closed_address().await,
    ] {
        let refused = transact(address).await;
        assert!(matches!(refused, Err(table::Error::Unavailable(_))), "{refused:?}");
    }
    for address in [
        serve_fixed(Some(200), "{").await,
        serve_fixed(Some(409), "{").await,
        serve_fixed(Some(500), "").await,
        serve_fixed(None, "").await,
    ] {
        let unknown = transact(address).await;
        assert!(matches!(unknown, Err(table::Error::Unknown(_))), "{unknown:?}");
    }
}

/// Guards against a response that is not a page but is read as an empty one.
#[tokio::test]
async fn can_reject_a_malformed_page() {
    let client = table::http::Client::new(serve_fixed(Some(200), "{}").await);
    let read = client.read(Query { keys: Vec::new() }).await;
    assert!(matches!(read, Err(table::Error::Unavailable(_))), "{read:?}");
}

/// Guards against an object write whose response is lost but which is reported as not executed.
#[tokio::test]
async fn can_classify_failed_object_calls() {
    let put = |address| async move {
        object::http::Client::new(address).put("samples/a b/1", Bytes::from_static(b"x")).await
    };
    assert_eq!(put(serve_fixed(Some(201), "").await).await, Ok(()));
    assert!(matches!(put(closed_address().await).await, Err(object::Error::Unavailable(_))));
    assert!(matches!(put(serve_fixed(Some(500), "").await).await, Err(object::Error::Unknown(_))));
    let missing = object::http::Client::new(serve_fixed(Some(404), "").await);
    assert_eq!(missing.get("k").await, Err(object::Error::NotFound));
    assert_eq!(missing.delete("k").await, Ok(()));
}

/// Guards against failures that are read as an empty VM list or as missing weights.
#[tokio::test]
async fn can_distinguish_failures_from_empty_responses() {
    let list = vm::http::Client::new(serve_fixed(Some(500), "").await).read().await;
    assert!(list.is_err());
    let list = serve_fixed(Some(200), r#"{"as_of_ms":5,"vms":[]}"#).await;
    assert_eq!(vm::http::Client::new(list).read().await.map(|list| list.as_of_ms), Ok(5));
    for (status, error) in [(404, weight::Error::NotFound), (429, weight::Error::Limited)] {
        let store = weight::http::Client::new(serve_fixed(Some(status), "").await);
        assert_eq!(store.latest("a").await, Err(error));
    }
}
