//! Answering side of a link.

use std::{
    future::{Future, poll_fn},
    pin::pin,
};

use bytes::{Bytes, BytesMut};
use h2::{
    Reason, RecvStream, SendStream, server,
    server::{Connection, SendResponse},
};
use http::{Request, Response, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use super::{CONNECTION_WINDOW_BYTES, Error, HELLO_HEADER, STREAM_WINDOW_BYTES, auth, auth::Key};
use crate::{codec, frame::Frame, frame::Hello};

/// Largest number of calls at a time on one connection.
const MAX_CONCURRENT_CALLS: u32 = 4_096;
/// Replies of one call that wait for the flow-control window.
const REPLY_QUEUE_FRAMES: usize = 64;

/// Answers calls.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Answers `request` of `caller` through `replies`.
    ///
    /// The future is dropped when the caller cancels the call.
    fn handle(
        &self,
        caller: Hello,
        request: Frame,
        replies: Sender,
    ) -> impl Future<Output = ()> + Send;
}

/// Sends the replies to one call; the call ends when it is dropped.
pub struct Sender {
    queue: mpsc::Sender<Bytes>,
}

impl Sender {
    /// Sends one reply.
    ///
    /// # Errors
    /// Fails if the caller is gone or the reply is too large for a frame.
    pub async fn send(&mut self, frame: impl Into<Frame>) -> Result<(), Error> {
        let bytes = codec::encode(&frame.into())?;
        self.queue.send(bytes).await.map_err(|_| Error::Unexpected)
    }
}

/// Accepts connections until `stop`, then lets calls under way finish.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    key: Key,
    handler: H,
    stop: CancellationToken,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(connection(stream, key.clone(), handler.clone(), stop.clone()));
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection<H: Handler>(stream: TcpStream, key: Key, handler: H, stop: CancellationToken) {
    // Without it small frames wait for acknowledgements; failure costs only latency.
    let _ = stream.set_nodelay(true);
    let handshake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_CALLS)
        .handshake(stream);
    let Ok(connection) = handshake.await else { return };
    accept_calls(connection, key, handler, stop).await;
}

async fn accept_calls<H: Handler>(
    mut connection: Connection<TcpStream, Bytes>,
    key: Key,
    handler: H,
    stop: CancellationToken,
) {
    let mut stopping = false;
    loop {
        tokio::select! {
            () = stop.cancelled(), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
            }
            accepted = connection.accept() => {
                let Some(Ok((request, response))) = accepted else { return };
                tokio::spawn(call(request, response, key.clone(), handler.clone()));
            }
        }
    }
}

async fn call<H: Handler>(
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
    key: Key,
    handler: H,
) {
    let identity = request.headers().get(HELLO_HEADER).and_then(|value| value.to_str().ok());
    let Some(caller) = identity.and_then(|text| auth::open(&key, text)) else {
        return refuse(&mut response, StatusCode::UNAUTHORIZED);
    };
    let Ok(Some(frame)) = first_frame(request.into_body()).await else {
        return refuse(&mut response, StatusCode::BAD_REQUEST);
    };
    let Ok(stream) = response.send_response(Response::new(()), false) else { return };
    let (queue, frames) = mpsc::channel(REPLY_QUEUE_FRAMES);
    let mut pump = pin!(pump(stream, frames));
    tokio::select! {
        () = handler.handle(caller, frame, Sender { queue }) => pump.await,
        () = &mut pump => {}
    }
}

/// Writes queued replies to the stream; ends early when the caller resets it.
async fn pump(mut stream: SendStream<Bytes>, mut frames: mpsc::Receiver<Bytes>) {
    loop {
        tokio::select! {
            _ = poll_fn(|context| stream.poll_reset(context)) => return,
            bytes = frames.recv() => {
                let Some(bytes) = bytes else { break };
                if write(&mut stream, bytes).await.is_err() {
                    return;
                }
            }
        }
    }
    // Fails only if the stream is closed already.
    let _ = stream.send_data(Bytes::new(), true);
}

async fn write(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let granted = poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(granted) = granted else { return Err(Error::Unexpected) };
        let part = bytes.split_to(granted?.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}

fn refuse(response: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if response.send_response(head, true).is_err() {
        response.send_reset(Reason::REFUSED_STREAM);
    }
}

async fn first_frame(mut body: RecvStream) -> Result<Option<Frame>, Error> {
    let mut buffer = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        buffer.extend_from_slice(&chunk);
        if let Some(frame) = codec::decode(&mut buffer)? {
            return Ok(Some(frame));
        }
    }
    Ok(None)
}
