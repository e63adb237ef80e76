//! Serving side: accepts connections, keeps limits, stops gracefully.

mod limits;
mod socket;
mod watch;

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use filbertsail_errors::VERDICT_HEADER;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::{
    body::{Body as _, Incoming},
    service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
pub use limits::Limits;
use socket::Socket;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    pin,
    sync::{OwnedSemaphorePermit, Semaphore, watch as tokio_watch},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use watch::{Watch, Watched};

use crate::{Body, tls};

/// Pause after a failed accept, which most often means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Least size of the buffer for a request head. Limits that change while a connection is open are
/// checked apart from it.
const HEAD_BUFFER_BYTES: usize = 32 * 1024;
/// Bytes of a header line beside its name and value, and of a request line beside method and path.
const HEADER_LINE_BYTES: usize = 4;
const REQUEST_LINE_BYTES: usize = 12;
const HEAD_TOO_LARGE: &[u8] = br#"{"error":{"code":"head_too_large","message":"the request head exceeds the limit of this port","verdict":"not_run"}}"#;
const TOO_LARGE: &[u8] = br#"{"error":{"code":"body_too_large","message":"the request body exceeds the limit of this port","verdict":"not_run"}}"#;

/// Answers requests.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request; the future is dropped when the caller goes away.
    fn handle(
        &self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// Response with a JSON body.
#[must_use]
pub fn json(status: StatusCode, body: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Serves HTTP/1.1 and HTTP/2 until `stop`, then lets requests under way finish.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    stop: CancellationToken,
) {
    serve_with(listener, None, limits, handler, stop).await;
}

/// Serves like [`serve`], over TLS if `acceptor` is given.
pub async fn serve_with<H: Handler>(
    listener: TcpListener,
    acceptor: Option<tls::Acceptor>,
    limits: Limits,
    handler: H,
    stop: CancellationToken,
) {
    // The last value stays readable after the sender is dropped.
    let limits = tokio_watch::channel(limits).1;
    serve_following(listener, acceptor, limits, handler, stop).await;
}

/// Serves like [`serve_with`] under limits that may change; a change also holds for connections
/// that are open, except for the number of connections, which is fixed at the start.
pub async fn serve_following<H: Handler>(
    listener: TcpListener,
    acceptor: Option<tls::Acceptor>,
    limits: tokio_watch::Receiver<Limits>,
    handler: H,
    stop: CancellationToken,
) {
    let mut connections = JoinSet::new();
    let slots = Arc::new(Semaphore::new(limits.borrow().connections));
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else {
                    sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                // The stream is dropped and so closed when there is no slot.
                let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else { continue };
                let limits = limits.clone();
                let port = Port { limits, handler: handler.clone(), stop: stop.clone() };
                connections.spawn(port.accept(stream, acceptor.clone(), peer, slot));
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

struct Port<H> {
    limits: tokio_watch::Receiver<Limits>,
    handler: H,
    stop: CancellationToken,
}

impl<H: Handler> Port<H> {
    async fn accept(
        self,
        stream: TcpStream,
        acceptor: Option<tls::Acceptor>,
        peer: SocketAddr,
        _slot: OwnedSemaphorePermit,
    ) {
        // Failure costs only latency.
        let _ = stream.set_nodelay(true);
        let watch = Watch::new(self.limits.clone());
        match acceptor {
            None => self.connection(Socket::new(stream, watch.clone()), watch, peer).await,
            Some(acceptor) => {
                let limit = watch.limits().header_timeout;
                let handshake = timeout(limit, acceptor.accept(stream));
                if let Ok(Ok(stream)) = handshake.await {
                    self.connection(Socket::new(stream, watch.clone()), watch, peer).await;
                }
            }
        }
    }

    async fn connection<S>(self, socket: Socket<S>, watch: Watch, peer: SocketAddr)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let Self { handler, stop, .. } = self;
        let requests = watch.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (handler, in_flight) = (handler.clone(), requests.request());
            let limits = requests.limits();
            async move {
                let response = if head_bytes(&request) > limits.header_bytes {
                    refuse(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, HEAD_TOO_LARGE)
                } else if request.body().size_hint().lower() > limits.body_bytes as u64 {
                    refuse(StatusCode::PAYLOAD_TOO_LARGE, TOO_LARGE)
                } else {
                    handler.handle(request, peer).await
                };
                Ok::<_, Infallible>(response.map(|body| Watched { body, request: in_flight }))
            }
        });
        let builder = builder(&watch.limits());
        let connection = builder.serve_connection(TokioIo::new(socket), service);
        pin!(connection);
        tokio::select! {
            // Errors concern only this connection: the caller left or broke the protocol.
            _ = connection.as_mut() => return,
            () = watch.expired() => return,
            () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        tokio::select! {
            _ = connection => {}
            () = watch.expired() => {}
        }
    }
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let header_bytes = limits.header_bytes.max(HEAD_BUFFER_BYTES);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    // The watchdog limits the time of a head and the idle time, under limits that may change.
    builder.http1().timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX));
    builder
}

/// Size of a request head as HTTP/1.1 spells it, give or take optional spaces.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let uri = request.uri();
    let path = uri.path_and_query().map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + path + REQUEST_LINE_BYTES;
    let headers = request.headers().iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES)
        .sum::<usize>()
        + line
}

/// Refuses a request that was not passed to the handler.
fn refuse(status: StatusCode, body: &'static [u8]) -> Response<Body> {
    let mut response = json(status, Vec::new());
    *response.body_mut() = Body::full(Bytes::from_static(body));
    response.headers_mut().insert(VERDICT_HEADER, HeaderValue::from_static("not_run"));
    response
}
