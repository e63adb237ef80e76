//! Adapters against a server that answers as it is told.

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

/// Answers every request in the same way; without a status it never answers.
#[derive(Clone)]
struct Fixed(Option<StatusCode>, &'static str);

impl server::Handler for Fixed {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        match self.0 {
            Some(status) => server::json(status, self.1.as_bytes().to_vec()),
            None => std::future::pending().await,
        }
    }
}

async fn answering(status: Option<u16>, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let status = status.map(|status| StatusCode::from_u16(status).expect("status"));
    let handler = Fixed(status, body);
    let limits = server::Limits::default();
    tokio::spawn(server::serve(listener, limits, handler, CancellationToken::new()));
    address
}

/// Address that refuses connections.
async fn closed() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    listener.local_addr().expect("address")
}

async fn transact(address: SocketAddr) -> Result<u64, table::Error> {
    let client = table::http::Client::with_timeout(address, Duration::from_millis(300));
    let transaction = Transaction { token: "t".to_owned(), checks: Vec::new(), writes: Vec::new() };
    client.transact(transaction).await.map(|commit| commit.revision)
}

/// Guards against "not written" for a write that may have taken effect, and against "unknown" for
/// one that cannot have.
#[tokio::test]
async fn can_tell_what_is_known_of_a_write() {
    assert_eq!(transact(answering(Some(200), r#"{"revision":7}"#).await).await, Ok(7));
    let conflict = transact(answering(Some(409), r#"{"conflicts":[]}"#).await).await;
    assert!(matches!(conflict, Err(table::Error::Conflict(_))), "{conflict:?}");
    for address in [
        answering(Some(503), "").await,
        answering(Some(429), "").await,
        answering(Some(400), "").await,
        closed().await,
    ] {
        let refused = transact(address).await;
        assert!(matches!(refused, Err(table::Error::Unavailable(_))), "{refused:?}");
    }
    for address in [
        answering(Some(200), "{").await,
        answering(Some(409), "{").await,
        answering(Some(500), "").await,
        answering(None, "").await,
    ] {
        let unknown = transact(address).await;
        assert!(matches!(unknown, Err(table::Error::Unknown(_))), "{unknown:?}");
    }
}

/// Guards against a table answer that is no page but counts as empty.
#[tokio::test]
async fn can_refuse_a_malformed_page() {
    let client = table::http::Client::new(answering(Some(200), "{}").await);
    let read = client.read(Query { keys: Vec::new() }).await;
    assert!(matches!(read, Err(table::Error::Unavailable(_))), "{read:?}");
}

/// Guards against an object write whose lost answer is reported as a failure.
#[tokio::test]
async fn can_tell_what_is_known_of_an_object() {
    let put = |address| async move {
        object::http::Client::new(address).put("samples/a b/1", Bytes::from_static(b"x")).await
    };
    assert_eq!(put(answering(Some(201), "").await).await, Ok(()));
    assert!(matches!(put(closed().await).await, Err(object::Error::Unavailable(_))));
    assert!(matches!(put(answering(Some(500), "").await).await, Err(object::Error::Unknown(_))));
    let missing = object::http::Client::new(answering(Some(404), "").await);
    assert_eq!(missing.get("k").await, Err(object::Error::NotFound));
    assert_eq!(missing.delete("k").await, Ok(()));
}

/// Guards against an empty VM list, or weights that are not there, in place of a failure.
#[tokio::test]
async fn can_tell_failures_from_empty_answers() {
    let list = vm::http::Client::new(answering(Some(500), "").await).read().await;
    assert!(list.is_err());
    let list = answering(Some(200), r#"{"as_of_ms":5,"vms":[]}"#).await;
    assert_eq!(vm::http::Client::new(list).read().await.map(|list| list.as_of_ms), Ok(5));
    for (status, error) in [(404, weight::Error::NotFound), (429, weight::Error::Limited)] {
        let store = weight::http::Client::new(answering(Some(status), "").await);
        assert_eq!(store.latest("a").await, Err(error));
    }
}
