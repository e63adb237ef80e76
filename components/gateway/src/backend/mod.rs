//! Connections to one backend server.
//!
//! The gateway owns its connections in place of a pooled client, because the verdict of a failed
//! request depends on what was written to the socket. A request returned unsent by `hyper`, or
//! whose connection wrote no byte after it was accepted, did not run. An h2 stream that the peer
//! refused, or that lies beyond the last stream of a GOAWAY, did not run either.

pub mod body;
pub mod counted;
pub mod failure;
pub mod h1;
pub mod h2link;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_http::Body;
use http::{HeaderMap, Method, Request, Uri, response::Parts};
use hyper::body::Incoming;
use tokio::sync::watch;

pub use failure::{Failure, Kind};

/// Time limit of a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Request to a backend server; it can be built again for another attempt.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// A repeated run does no harm.
    pub idempotent: bool,
    /// Time left. A connection must be there before it is over, so that a request that was never
    /// sent does not time out as one that was.
    pub left: Duration,
}

/// Backend server.
#[derive(Debug)]
pub struct Server {
    /// Worker name.
    pub name: String,
    /// IP address and port.
    pub address: SocketAddr,
    link: Link,
    live: watch::Sender<bool>,
}

#[derive(Debug)]
enum Link {
    H1(h1::Pool),
    H2(h2link::Shared),
}

/// Head of an answer and its body so far unread.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: Parts,
    /// Body.
    pub body: Incoming,
    /// Connection, to be released after the whole body was read. Dropping it closes the connection.
    pub lease: Option<h1::Lease>,
}

impl Server {
    /// Backend server at `address`, without a connection yet.
    #[must_use]
    pub fn new(name: &str, address: SocketAddr, http2: bool) -> Self {
        let link = if http2 {
            Link::H2(h2link::Shared::new(address))
        } else {
            Link::H1(h1::Pool::new(address))
        };
        Self { name: name.to_owned(), address, link, live: watch::Sender::new(true) }
    }

    /// Notes whether the server answers.
    pub fn set_live(&self, live: bool) {
        self.live.send_if_modified(|old| std::mem::replace(old, live) != live);
    }

    /// Ends when the server no longer answers, as one that is paused and keeps its sockets open.
    pub async fn lost(&self) {
        let mut live = self.live.subscribe();
        if live.wait_for(|live| !live).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Sends `call` and returns the head of the answer.
    ///
    /// # Errors
    /// Fails with a verdict if no answer starts.
    pub async fn send(&self, call: &Call) -> Result<Answer, Failure> {
        match &self.link {
            Link::H1(pool) => pool.send(self.address, call).await,
            Link::H2(shared) => shared.send(self.address, call).await,
        }
    }
}

impl Call {
    /// Time limit of a new connection.
    fn connect_limit(&self) -> Duration {
        const MARGIN: Duration = Duration::from_millis(5);
        CONNECT_TIMEOUT.min(self.left.saturating_sub(MARGIN))
    }

    /// Request for an HTTP/1.1 connection (origin form) or an h2 stream (absolute form).
    fn request(&self, address: SocketAddr, absolute: bool) -> Result<Request<Body>, Failure> {
        let uri =
            if absolute { format!("http://{address}{}", self.path) } else { self.path.clone() };
        let uri: Uri = uri.parse().map_err(|_| Failure::unsent(Kind::Malformed, "invalid path"))?;
        let mut request = Request::new(Body::full(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        if !absolute {
            let host = address.to_string().parse();
            let host = host.map_err(|_| Failure::unsent(Kind::Malformed, "invalid address"))?;
            request.headers_mut().insert(http::header::HOST, host);
        }
        Ok(request)
    }
}
