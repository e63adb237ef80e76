//! HTTP server of a stand-in: wraps the handler with network delay and faults, and closes and
//! reopens its port on request.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};
use eyre::WrapErr;
use filbertsail_http::{Body, body::Abort};
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use crate::{fault, network::Network};

const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;
/// Exceeds every caller's limit.
const OVERLONG_BODY_BYTES: usize = 96 * 1024 * 1024;
/// Header with the request identifier.
pub const REQUEST_ID_HEADER: &str = "filbertsail-request-id";
/// Header that states whether a rejected request ran.
pub const VERDICT_HEADER: &str = "filbertsail-verdict";

/// Connection closed by an injected fault, without a response.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection closed by an injected fault")]
pub struct Closed;

/// Request handler of a stand-in.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request. `fault` is the fault to simulate; an error closes the connection.
    fn handle(
        &self,
        request: Request<Bytes>,
        fault: Option<fault::Kind>,
    ) -> impl Future<Output = Result<Response<Body>, Closed>> + Send;
}

/// Location of a stand-in in the network.
#[derive(Clone, Debug, Default)]
pub struct Location {
    /// Availability zone of the stand-in.
    pub zone: String,
    /// Network with the delays between zones.
    pub network: Network,
}

/// Binds a socket; several may share an address as long as only one listens.
fn bind(address: SocketAddr) -> eyre::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).wrap_err_with(|| format!("binding {address}"))?;
    Ok(socket)
}

/// Starts a server and returns its listen address.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start<H: Handler>(
    address: SocketAddr,
    location: Location,
    faults: fault::Injector,
    handler: H,
    stop: CancellationToken,
) -> eyre::Result<SocketAddr> {
    // Holds the port while the server is down, so that connections are refused and no other process
    // can take it.
    let reservation = bind(address)?;
    let address = reservation.local_addr()?;
    let listener = bind(address)?.listen(1024)?;
    tokio::spawn(async move {
        let mut listener = Some(listener);
        let mut down = faults.watch_down();
        let context = Context { handler, faults, location };
        loop {
            if let Some(listener) = listener.take() {
                tokio::select! {
                    () = stop.cancelled() => break,
                    () = accept(listener, context.clone(), down.clone()) => {}
                }
            }
            tokio::select! {
                () = stop.cancelled() => break,
                _ = down.wait_for(|down| !down) => {}
            }
            listener = bind(address).and_then(|socket| Ok(socket.listen(1024)?)).ok();
            if listener.is_none() {
                sleep(Duration::from_millis(10)).await;
            }
        }
        drop(reservation);
    });
    Ok(address)
}

#[derive(Clone)]
struct Context<H> {
    handler: H,
    faults: fault::Injector,
    location: Location,
}

/// Accepts connections until the stand-in goes down. Returning aborts all connections.
async fn accept<H: Handler>(
    listener: TcpListener,
    context: Context<H>,
    mut down: watch::Receiver<bool>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = down.wait_for(|down| *down) => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else { continue };
                connections.spawn(serve_connection(stream, peer, context.clone()));
            }
        }
    }
}

async fn serve_connection<H: Handler>(stream: TcpStream, peer: SocketAddr, context: Context<H>) {
    // If this fails, only latency suffers.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { context.respond(request, peer).await }
    });
    // Errors affect only this connection.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

impl<H: Handler> Context<H> {
    async fn respond(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Body>, Closed> {
        let delay =
            self.location.network.one_way_delay(peer.ip(), &self.location.zone).ok_or(Closed)?;
        // Waits for both directions at once; the caller observes the same round-trip time.
        if !delay.is_zero() {
            sleep(delay * 2).await;
        }
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await.map_err(|_| Closed)?;
        let request = Request::from_parts(head, body.to_bytes());
        let fault = self.faults.next_fault();
        match fault {
            Some(fault::Kind::LostBefore) => return Err(Closed),
            Some(fault::Kind::Slow) => sleep(self.faults.delay()).await,
            Some(fault::Kind::QuickError) => {
                return Ok(text(StatusCode::INTERNAL_SERVER_ERROR, "quick error"));
            }
            _ => {}
        }
        let response = self.handler.handle(request, fault).await?;
        apply_fault(response, fault)
    }
}

/// Applies a fault to a complete response. Streamed bodies are unchanged: their handler applies it.
fn apply_fault(
    response: Response<Body>,
    fault: Option<fault::Kind>,
) -> Result<Response<Body>, Closed> {
    let (mut head, body) = response.into_parts();
    let Body::Full(bytes) = body else { return Ok(Response::from_parts(head, body)) };
    let bytes = bytes.unwrap_or_default();
    match fault {
        Some(fault::Kind::LostAfter) => Err(Closed),
        Some(fault::Kind::Half | fault::Kind::Reset) => {
            head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(bytes.len().max(2)));
            Ok(Response::from_parts(head, truncated_body(bytes.slice(..bytes.len() / 2))))
        }
        Some(fault::Kind::Overlong) => Ok(Response::from_parts(head, overlong_body())),
        Some(fault::Kind::WrongId) if head.headers.contains_key(REQUEST_ID_HEADER) => {
            head.headers.insert(REQUEST_ID_HEADER, HeaderValue::from_static("another-request"));
            Ok(Response::from_parts(head, Body::full("{\"answer_to\":\"another-request\"}")))
        }
        _ => Ok(Response::from_parts(head, Body::full(bytes))),
    }
}

/// Body that sends `part` and then aborts.
fn truncated_body(part: Bytes) -> Body {
    let (sender, body) = Body::channel(2);
    // Cannot fail: the channel has capacity for both.
    let _ = sender.try_send(Ok(part));
    let _ = sender.try_send(Err(Abort));
    body
}

fn overlong_body() -> Body {
    let (sender, body) = Body::channel(1);
    tokio::spawn(async move {
        let chunk = Bytes::from(vec![b'x'; 64 * 1024]);
        for _ in 0..OVERLONG_BODY_BYTES / chunk.len() {
            if sender.send(Ok(chunk.clone())).await.is_err() {
                return;
            }
        }
    });
    body
}

/// Response with a text body.
#[must_use]
pub fn text(status: StatusCode, body: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response
}

/// Response with a JSON body.
#[must_use]
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    filbertsail_http::server::json(status, body)
}

/// Parses a JSON body; an invalid one gives a response with status 400.
#[allow(clippy::result_large_err)]
pub(crate) fn parse_json<T: serde::de::DeserializeOwned>(
    body: &Bytes,
) -> Result<T, Response<Body>> {
    serde_json::from_slice(body).map_err(|_| text(StatusCode::BAD_REQUEST, "bad body"))
}

/// Response that rejects a request before it ran.
#[must_use]
pub fn reject(status: StatusCode, reason: &'static str) -> Response<Body> {
    let mut response = text(status, reason);
    response.headers_mut().insert(VERDICT_HEADER, HeaderValue::from_static("not_run"));
    response
}
