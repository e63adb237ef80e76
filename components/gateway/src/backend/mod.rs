//! Connections to one backend server.
//!
//! The gateway manages its own connections instead of using a pooled client, because the verdict of
//! a failed request depends on what was written to the socket. A request did not run if `hyper`
//! returns it unsent, or if its connection wrote no byte after accepting it. An HTTP/2 stream that
//! the server refused, or that comes after the last stream of a GOAWAY, did not run either.

pub mod body;
pub mod counted;
pub mod failure;
pub mod http1;
pub mod http2;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_http::Body;
use http::{HeaderMap, Method, Request, Uri, response::Parts};
use hyper::body::Incoming;
use tokio::sync::watch;

pub use failure::{Failure, Kind};

/// Timeout for connecting to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Request to a backend server, reusable for further attempts.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time until the deadline. Connecting must take less, or a request that was never sent would
    /// time out as one that may have run.
    pub time_left: Duration,
}

/// Backend server and the connections to it.
#[derive(Debug)]
pub struct Server {
    /// Worker name.
    pub name: String,
    pub address: SocketAddr,
    transport: Transport,
    live: watch::Sender<bool>,
}

#[derive(Debug)]
enum Transport {
    Http1(http1::Pool),
    Http2(http2::Shared),
}

/// Response of a backend server, with its body still unread.
#[derive(Debug)]
pub struct Response {
    /// Status and headers.
    pub head: Parts,
    pub body: Incoming,
    /// HTTP/1.1 connection. Release it after the whole body was read; dropping it closes it.
    pub checkout: Option<http1::Checkout>,
}

impl Server {
    /// Server at `address`; connects with the first request.
    #[must_use]
    pub fn new(name: &str, address: SocketAddr, http2: bool) -> Self {
        let transport = if http2 {
            Transport::Http2(http2::Shared::new(address))
        } else {
            Transport::Http1(http1::Pool::new(address))
        };
        Self { name: name.to_owned(), address, transport, live: watch::Sender::new(true) }
    }

    /// Records whether the server responds.
    pub fn set_live(&self, live: bool) {
        self.live.send_if_modified(|old| std::mem::replace(old, live) != live);
    }

    /// Waits until the server stops responding, as a paused process does that keeps its sockets
    /// open.
    pub async fn wait_unreachable(&self) {
        let mut live = self.live.subscribe();
        if live.wait_for(|live| !live).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    /// Sends `call` and waits for the head of the response.
    ///
    /// # Errors
    /// Fails with a verdict if no response starts.
    pub async fn send(&self, call: &Call) -> Result<Response, Failure> {
        match &self.transport {
            Transport::Http1(pool) => pool.send(self.address, call).await,
            Transport::Http2(shared) => shared.send(self.address, call).await,
        }
    }
}

impl Call {
    /// Timeout for connecting, shorter than the time left by a margin.
    fn connect_timeout(&self) -> Duration {
        const CONNECT_MARGIN: Duration = Duration::from_millis(5);
        CONNECT_TIMEOUT.min(self.time_left.saturating_sub(CONNECT_MARGIN))
    }

    /// Builds the request in origin form for HTTP/1.1 or in absolute form for HTTP/2.
    fn build_request(&self, address: SocketAddr, absolute: bool) -> Result<Request<Body>, Failure> {
        let uri =
            if absolute { format!("http://{address}{}", self.path) } else { self.path.clone() };
        let uri: Uri =
            uri.parse().map_err(|_| Failure::not_run(Kind::Malformed, "invalid path"))?;
        let mut request = Request::new(Body::full(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = uri;
        *request.headers_mut() = self.headers.clone();
        if !absolute {
            let host = address.to_string().parse();
            let host = host.map_err(|_| Failure::not_run(Kind::Malformed, "invalid address"))?;
            request.headers_mut().insert(http::header::HOST, host);
        }
        Ok(request)
    }
}
