//! TLS between the server and the client of this crate.

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use filbertsail_http::{
    Body,
    client::{Client, Error},
    server::{Handler, Limits, serve_with_tls},
    tls::{Acceptor, client_config},
};
use http::{Request, Response};
use hyper::body::Incoming;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

#[derive(Clone)]
struct Ok200;

impl Handler for Ok200 {
    async fn handle(&self, _request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        Response::new(Body::full("ok"))
    }
}

/// Writes a new certificate and key for 127.0.0.1 and returns their paths.
fn write_key_pair(folder: &TempDir, name: &str) -> (PathBuf, PathBuf) {
    let pair = rcgen::generate_simple_self_signed(["127.0.0.1".to_owned()]).expect("pair");
    let cert = folder.path().join(format!("{name}.cert.pem"));
    let key = folder.path().join(format!("{name}.key.pem"));
    fs::write(&cert, pair.cert.pem()).expect("certificate");
    fs::write(&key, pair.signing_key.serialize_pem()).expect("key");
    (cert, key)
}

/// Guards against a client that accepts an untrusted server or uses plain HTTP on a TLS port, and
/// against an acceptor with mismatched or missing files.
#[tokio::test]
async fn can_reject_untrusted_servers_and_key_pairs() {
    let folder = TempDir::new().expect("folder");
    let (cert, key) = write_key_pair(&folder, "own");
    let (other, other_key) = write_key_pair(&folder, "other");
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("address");
    let acceptor = Acceptor::load(&cert, &key).expect("acceptor");
    let stop = CancellationToken::new();
    tokio::spawn(serve_with_tls(listener, Some(acceptor), Limits::default(), Ok200, stop));

    let get = |scheme| {
        Request::get(format!("{scheme}://{address}/")).body(Body::empty()).expect("request")
    };
    let timeout = Duration::from_secs(30);
    let trusting = Client::with_tls(client_config(&cert).expect("root"));
    assert_eq!(trusting.send(get("https"), timeout).await.expect("response").body(), "ok");
    let other_root = Client::with_tls(client_config(&other).expect("root"));
    let refused = other_root.send(get("https"), timeout).await;
    assert!(matches!(refused, Err(Error::Connect(_))), "{refused:?}");
    let plain = Client::default().send(get("http"), timeout).await;
    assert!(matches!(plain, Err(Error::Broken(_))), "{plain:?}");

    let mixed = Acceptor::load(&cert, &other_key).expect_err("key of another certificate");
    assert_eq!(mixed.file, other_key.display().to_string());
    let absent = Acceptor::load(&folder.path().join("none.pem"), &key).expect_err("no file");
    assert!(absent.file.ends_with("none.pem"), "{absent}");
    assert!(Acceptor::load_optional(Some(&cert), None).is_err(), "plain port instead of TLS");
    assert!(Acceptor::load_optional(None, None).expect("no pair").is_none());
}
