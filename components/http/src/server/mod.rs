//! Serving side: accepts connections, keeps limits, stops gracefully.

use std::{convert::Infallible, future::Future, net::SocketAddr, time::Duration};

use http::{Request, Response, StatusCode, header};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    pin,
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use crate::Body;

/// Limits of a port.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time for a request head to arrive.
    pub header_timeout: Duration,
    /// Largest size of a request head in bytes.
    pub header_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_timeout: Duration::from_secs(10), header_bytes: 32 * 1024 }
    }
}

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
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, peer)) = accepted else { continue };
                connections.spawn(connection(stream, peer, limits, handler.clone(), stop.clone()));
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    handler: H,
    stop: CancellationToken,
) {
    // Failure costs only latency.
    let _ = stream.set_nodelay(true);
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.header_bytes).unwrap_or(u32::MAX));
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request, peer).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    pin!(connection);
    tokio::select! {
        // Errors concern only this connection: the caller left or broke the protocol.
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
