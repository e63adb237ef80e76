//! HTTP server: accepts connections, enforces limits and shuts down gracefully.

mod limits;
mod monitor;
mod socket;

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
use monitor::{Monitor, MonitoredBody};
use socket::Socket;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    pin,
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{Body, tls};

/// Delay after a failed accept, usually caused by a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time after the start of a shutdown in which connections are still accepted and requests read.
/// Callers may have sent these before, and the kernel delivers them late on a busy VM.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Minimum size of the buffer for a request head. The limit itself may change while a connection is
/// open, so it is checked separately for each request.
const MIN_HEAD_BUFFER_BYTES: usize = 32 * 1024;
/// Bytes of an HTTP/1.1 header line besides its name and value: `": "` and the line end.
const HEADER_LINE_OVERHEAD_BYTES: usize = 4;
/// Bytes of an HTTP/1.1 request line besides method and path: two spaces, the HTTP version and the
/// line end.
const REQUEST_LINE_OVERHEAD_BYTES: usize = 12;
/// Body of the error response to a request head above the limit.
const HEAD_TOO_LARGE_JSON: &[u8] = br#"{"error":{"code":"head_too_large","message":"the request head exceeds the limit of this port","verdict":"not_run"}}"#;
/// Body of the error response to a request body above the limit.
const BODY_TOO_LARGE_JSON: &[u8] = br#"{"error":{"code":"body_too_large","message":"the request body exceeds the limit of this port","verdict":"not_run"}}"#;

/// Handler of the requests of a port.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles one request; the future is dropped if the caller disconnects.
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

/// Serves HTTP/1.1 and HTTP/2 until `stop` is cancelled, then finishes the requests in flight.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: H,
    stop: CancellationToken,
) {
    serve_with_tls(listener, None, limits, handler, stop).await;
}

/// Serves like [`serve`], with TLS if `acceptor` is given.
pub async fn serve_with_tls<H: Handler>(
    listener: TcpListener,
    acceptor: Option<tls::Acceptor>,
    limits: Limits,
    handler: H,
    stop: CancellationToken,
) {
    // The last value stays readable after the sender is dropped.
    let limits = watch::channel(limits).1;
    serve_with_dynamic_limits(listener, acceptor, limits, handler, stop).await;
}

/// Serves like [`serve_with_tls`] under limits that may change. Changes also apply to open
/// connections, except for the number of connections, which is fixed at the start.
pub async fn serve_with_dynamic_limits<H: Handler>(
    listener: TcpListener,
    acceptor: Option<tls::Acceptor>,
    limits: watch::Receiver<Limits>,
    handler: H,
    stop: CancellationToken,
) {
    let mut connections = JoinSet::new();
    let slots = Arc::new(Semaphore::new(limits.borrow().max_connections));
    let settled = settled(&stop);
    pin!(settled);
    loop {
        tokio::select! {
            () = settled.as_mut() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else {
                    sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                };
                // Without a free slot the stream is dropped, which closes the connection.
                let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else { continue };
                let limits = limits.clone();
                let connection = Connection { limits, handler: handler.clone(), stop: stop.clone() };
                connections.spawn(connection.accept(stream, acceptor.clone(), peer, slot));
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Completes [`SETTLE_TIME`] after `stop` is cancelled.
async fn settled(stop: &CancellationToken) {
    stop.cancelled().await;
    sleep(SETTLE_TIME).await;
}

/// One accepted connection.
struct Connection<H> {
    limits: watch::Receiver<Limits>,
    handler: H,
    stop: CancellationToken,
}

impl<H: Handler> Connection<H> {
    async fn accept(
        self,
        stream: TcpStream,
        acceptor: Option<tls::Acceptor>,
        peer: SocketAddr,
        _slot: OwnedSemaphorePermit,
    ) {
        // A failure only costs latency.
        let _ = stream.set_nodelay(true);
        let monitor = Monitor::new(self.limits.clone());
        match acceptor {
            None => self.serve(Socket::new(stream, monitor.clone()), monitor, peer).await,
            Some(acceptor) => {
                let limit = monitor.limits().header_timeout;
                let handshake = timeout(limit, acceptor.accept(stream));
                if let Ok(Ok(stream)) = handshake.await {
                    self.serve(Socket::new(stream, monitor.clone()), monitor, peer).await;
                }
            }
        }
    }

    async fn serve<S>(self, socket: Socket<S>, monitor: Monitor, peer: SocketAddr)
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let Self { handler, stop, .. } = self;
        let requests = monitor.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (handler, in_flight) = (handler.clone(), requests.start_request());
            let limits = requests.limits();
            async move {
                let response = if head_bytes(&request) > limits.max_header_bytes {
                    error_response(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, HEAD_TOO_LARGE_JSON)
                } else if request.body().size_hint().lower() > limits.max_body_bytes as u64 {
                    error_response(StatusCode::PAYLOAD_TOO_LARGE, BODY_TOO_LARGE_JSON)
                } else {
                    handler.handle(request, peer).await
                };
                Ok::<_, Infallible>(response.map(|body| MonitoredBody { body, request: in_flight }))
            }
        });
        let builder = builder(&monitor.limits());
        let connection = builder.serve_connection(TokioIo::new(socket), service);
        pin!(connection);
        tokio::select! {
            // Errors concern only this connection: the caller disconnected or violated the
            // protocol.
            _ = connection.as_mut() => return,
            () = monitor.limit_exceeded() => return,
            // Closes the connection unless a request is in flight, so it must not run before
            // requests that have arrived are read.
            () = settled(&stop) => connection.as_mut().graceful_shutdown(),
        }
        tokio::select! {
            _ = connection => {}
            () = monitor.limit_exceeded() => {}
        }
    }
}

fn builder(limits: &Limits) -> auto::Builder<TokioExecutor> {
    let header_bytes = limits.max_header_bytes.max(MIN_HEAD_BUFFER_BYTES);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    // The monitor enforces the timeouts for heads and idle connections, since they may change.
    builder.http1().timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX));
    builder
}

/// Size of a request head in HTTP/1.1 form, not counting optional whitespace.
fn head_bytes(request: &Request<Incoming>) -> usize {
    let uri = request.uri();
    let path = uri.path_and_query().map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + path + REQUEST_LINE_OVERHEAD_BYTES;
    let headers = request.headers().iter();
    headers
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_OVERHEAD_BYTES)
        .sum::<usize>()
        + line
}

/// Error response to a request that was not passed to the handler.
fn error_response(status: StatusCode, body: &'static [u8]) -> Response<Body> {
    let mut response = json(status, Vec::new());
    *response.body_mut() = Body::full(Bytes::from_static(body));
    response.headers_mut().insert(VERDICT_HEADER, HeaderValue::from_static("not_run"));
    response
}
