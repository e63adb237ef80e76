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
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;
use watch::{Watch, Watched};

use crate::{Body, tls};

/// Pause after a failed accept, which most often means that file descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
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
    let mut connections = JoinSet::new();
    let slots = Arc::new(Semaphore::new(limits.connections));
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
                let port = Port { limits, handler: handler.clone(), stop: stop.clone() };
                connections.spawn(port.accept(stream, acceptor.clone(), peer, slot));
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

struct Port<H> {
    limits: Limits,
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
        let watch = Watch::new(self.limits);
        match acceptor {
            None => self.connection(Socket::new(stream, watch.clone()), watch, peer).await,
            Some(acceptor) => {
                let handshake = timeout(self.limits.header_timeout, acceptor.accept(stream));
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
        let Self { limits, handler, stop } = self;
        let requests = watch.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (handler, in_flight) = (handler.clone(), requests.request());
            async move {
                let response = if request.body().size_hint().lower() > limits.body_bytes as u64 {
                    too_large()
                } else {
                    handler.handle(request, peer).await
                };
                Ok::<_, Infallible>(response.map(|body| Watched { body, request: in_flight }))
            }
        });
        let builder = builder(&limits);
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
    let mut builder = auto::Builder::new(TokioExecutor::new());
    // This timer runs between requests too; the watchdog limits the time of the head itself.
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + limits.header_timeout)
        .max_buf_size(limits.header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX));
    builder
}

fn too_large() -> Response<Body> {
    let mut response = json(StatusCode::PAYLOAD_TOO_LARGE, Vec::new());
    *response.body_mut() = Body::full(Bytes::from_static(TOO_LARGE));
    response.headers_mut().insert(VERDICT_HEADER, HeaderValue::from_static("not_run"));
    response
}
