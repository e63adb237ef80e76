//! HTTP server of a stand-in: applies network delay and faults around the handler, and closes and
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

/// Largest request body that a stand-in reads, in bytes.
const MAX_REQUEST_BYTES: usize = 64 * 1024 * 1024;
/// Size of an overlong answer in bytes; above every caller's limit.
const OVERLONG_BYTES: usize = 96 * 1024 * 1024;
/// Header that carries the request identifier.
pub const REQUEST_ID: &str = "filbertsail-request-id";
/// Header that tells whether a refused request ran.
pub const VERDICT: &str = "filbertsail-verdict";

/// Connection closed on purpose, without an answer.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("connection closed by a fault")]
pub struct Closed;

/// Answers calls of one stand-in.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one call, or closes its connection.
    fn handle(
        &self,
        request: Request<Bytes>,
        fault: Option<fault::Kind>,
    ) -> impl Future<Output = Result<Response<Body>, Closed>> + Send;
}

/// Place of a stand-in on the network.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// Availability zone.
    pub zone: String,
    /// Delays between zones.
    pub network: Network,
}

/// Binds a socket; several may share an address as long as one listens.
fn bind(address: SocketAddr) -> eyre::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address).wrap_err_with(|| format!("cannot bind {address}"))?;
    Ok(socket)
}

/// Starts a server and returns the address it listens on.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start<H: Handler>(
    address: SocketAddr,
    place: Place,
    faults: fault::Handle,
    handler: H,
    stop: CancellationToken,
) -> eyre::Result<SocketAddr> {
    // Keeps the port while the server is down, so that connections are refused and no other
    // process takes it.
    let reservation = bind(address)?;
    let address = reservation.local_addr()?;
    let listener = bind(address)?.listen(1024)?;
    tokio::spawn(async move {
        let mut listener = Some(listener);
        let mut down = faults.watch_down();
        let call = Context { handler, faults, place };
        loop {
            if let Some(listener) = listener.take() {
                tokio::select! {
                    () = stop.cancelled() => break,
                    () = accept(listener, call.clone(), down.clone()) => {}
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
    faults: fault::Handle,
    place: Place,
}

/// Accepts until the stand-in goes down; dropping the set aborts all connections.
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
                connections.spawn(connection(stream, peer, context.clone()));
            }
        }
    }
}

async fn connection<H: Handler>(stream: TcpStream, peer: SocketAddr, context: Context<H>) {
    // Failure costs only latency.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let context = context.clone();
        async move { context.answer(request, peer).await }
    });
    // Errors concern only this connection.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

impl<H: Handler> Context<H> {
    async fn answer(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Result<Response<Body>, Closed> {
        let delay = self.place.network.delay(peer.ip(), &self.place.zone).ok_or(Closed)?;
        // Both directions are waited for at once: the caller sees the same round trip.
        if !delay.is_zero() {
            sleep(delay * 2).await;
        }
        let (head, body) = request.into_parts();
        let body = Limited::new(body, MAX_REQUEST_BYTES).collect().await.map_err(|_| Closed)?;
        let request = Request::from_parts(head, body.to_bytes());
        let fault = self.faults.draw();
        match fault {
            Some(fault::Kind::LostBefore) => return Err(Closed),
            Some(fault::Kind::Slow) => sleep(self.faults.delay()).await,
            Some(fault::Kind::QuickError) => {
                return Ok(text(StatusCode::INTERNAL_SERVER_ERROR, "quick error"));
            }
            _ => {}
        }
        let response = self.handler.handle(request, fault).await?;
        spoil(response, fault)
    }
}

/// Applies a fault to a finished answer. Streamed bodies pass; their handler applies the fault.
fn spoil(response: Response<Body>, fault: Option<fault::Kind>) -> Result<Response<Body>, Closed> {
    let (mut head, body) = response.into_parts();
    let Body::Full(bytes) = body else { return Ok(Response::from_parts(head, body)) };
    let bytes = bytes.unwrap_or_default();
    match fault {
        Some(fault::Kind::LostAfter) => Err(Closed),
        Some(fault::Kind::Half | fault::Kind::Reset) => {
            head.headers.insert(header::CONTENT_LENGTH, HeaderValue::from(bytes.len().max(2)));
            Ok(Response::from_parts(head, aborted(bytes.slice(..bytes.len() / 2))))
        }
        Some(fault::Kind::Overlong) => Ok(Response::from_parts(head, overlong())),
        Some(fault::Kind::WrongId) if head.headers.contains_key(REQUEST_ID) => {
            head.headers.insert(REQUEST_ID, HeaderValue::from_static("another-request"));
            Ok(Response::from_parts(head, Body::full("{\"answer_to\":\"another-request\"}")))
        }
        _ => Ok(Response::from_parts(head, Body::full(bytes))),
    }
}

fn aborted(part: Bytes) -> Body {
    let (sender, body) = Body::channel(2);
    // The channel holds both parts.
    let _ = sender.try_send(Ok(part));
    let _ = sender.try_send(Err(Abort));
    body
}

fn overlong() -> Body {
    let (sender, body) = Body::channel(1);
    tokio::spawn(async move {
        let part = Bytes::from(vec![b'x'; 64 * 1024]);
        for _ in 0..OVERLONG_BYTES / part.len() {
            if sender.send(Ok(part.clone())).await.is_err() {
                return;
            }
        }
    });
    body
}

/// Answer with a text body.
#[must_use]
pub fn text(status: StatusCode, body: &'static str) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response
}

/// Answer with a JSON body.
#[must_use]
pub fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    filbertsail_http::server::json(status, body)
}

/// Reads a JSON body, or gives the answer for a bad one.
#[allow(clippy::result_large_err)]
pub(crate) fn parse<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, Response<Body>> {
    serde_json::from_slice(body).map_err(|_| text(StatusCode::BAD_REQUEST, "bad body"))
}

/// Answer that refuses a call before it ran.
#[must_use]
pub fn refuse(status: StatusCode, reason: &'static str) -> Response<Body> {
    let mut response = text(status, reason);
    response.headers_mut().insert(VERDICT, HeaderValue::from_static("not_run"));
    response
}
