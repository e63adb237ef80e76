//! Server side of a link.

use std::{
    future::{Future, poll_fn},
    pin::pin,
    sync::Arc,
};

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream, server, server::SendResponse};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    task::JoinSet,
};
use tokio_util::sync::CancellationToken;

use super::{
    CALL_HEADER, CONNECTION_WINDOW_BYTES, Error, HELLO_HEADER, STREAM_WINDOW_BYTES, auth,
    auth::{Key, Refusal, Verifier},
    meter::MeteredStream,
};
use crate::{codec, frame::Frame, frame::Hello};

/// Largest number of concurrent calls on one connection.
const MAX_CONCURRENT_CALLS: u32 = 4_096;
/// Largest number of replies of one call queued for the flow-control window.
const REPLY_QUEUE_FRAMES: usize = 64;

/// Handles calls.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Handles a request and sends its replies to `replies`.
    ///
    /// The future is dropped when the caller cancels the call.
    fn handle(
        &self,
        caller: Hello,
        request: Frame,
        replies: Sender,
    ) -> impl Future<Output = ()> + Send;
}

/// Sends the replies to a call. Dropping it ends the call.
pub struct Sender {
    queue: mpsc::Sender<Bytes>,
}

impl Sender {
    /// Sends one reply.
    ///
    /// # Errors
    /// Fails if the caller has cancelled the call or the reply is too large for a frame.
    pub async fn send(&mut self, frame: impl Into<Frame>) -> Result<(), Error> {
        let bytes = codec::encode(&frame.into())?;
        self.queue.send(bytes).await.map_err(|_| Error::Unexpected)
    }
}

/// Accepts connections until `stop` is cancelled, then waits for calls in flight to finish.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    key: Key,
    handler: H,
    stop: CancellationToken,
) {
    serve_with_verifier(listener, key, Arc::default(), handler, stop).await;
}

/// Like [`serve`], with a shared verifier whose counters of refused calls can be read.
pub async fn serve_with_verifier<H: Handler>(
    listener: TcpListener,
    key: Key,
    verifier: Arc<Verifier>,
    handler: H,
    stop: CancellationToken,
) {
    let shared = Server { key, verifier, handler };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(connection(stream, shared.clone(), stop.clone()));
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// State shared by all connections of a server.
#[derive(Clone)]
struct Server<H> {
    key: Key,
    verifier: Arc<Verifier>,
    handler: H,
}

/// Authenticated caller of a connection.
struct Session {
    identity: HeaderValue,
    hello: Hello,
    last_call: u64,
}

/// Incoming call. Its caller and number are verified; the code is verified once the request has
/// been received.
struct Call {
    caller: Hello,
    number: u64,
    code: String,
}

async fn connection<H: Handler>(stream: TcpStream, shared: Server<H>, stop: CancellationToken) {
    // Avoids delays of small frames; a failure only increases latency.
    let _ = stream.set_nodelay(true);
    let handshake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_CALLS)
        .handshake(MeteredStream(stream));
    let Ok(connection) = handshake.await else { return };
    accept_calls(connection, shared, stop).await;
}

async fn accept_calls<H: Handler>(
    mut connection: server::Connection<MeteredStream, Bytes>,
    shared: Server<H>,
    stop: CancellationToken,
) {
    let mut stopping = false;
    let mut session = None;
    loop {
        tokio::select! {
            () = stop.cancelled(), if !stopping => {
                stopping = true;
                connection.graceful_shutdown();
            }
            accepted = connection.accept() => {
                let Some(Ok((request, mut response))) = accepted else { return };
                match shared.authenticate(&mut session, request.headers()) {
                    Ok(call) => {
                        tokio::spawn(handle_call(request, response, call, shared.clone()));
                    }
                    Err(_) => reject(&mut response, StatusCode::UNAUTHORIZED),
                }
            }
        }
    }
}

impl<H> Server<H> {
    /// Verifies the identity of a call and that its number increases.
    fn authenticate(
        &self,
        slot: &mut Option<Session>,
        headers: &HeaderMap,
    ) -> Result<Call, Refusal> {
        let session = self.session(slot, headers)?;
        let call = headers.get(CALL_HEADER).and_then(|value| value.to_str().ok());
        let call = call.and_then(auth::parse_call);
        let (number, code) = call.ok_or_else(|| self.verifier.count_refusal(Refusal::Stranger))?;
        if number <= session.last_call {
            return Err(self.verifier.count_refusal(Refusal::Replay));
        }
        session.last_call = number;
        Ok(Call { caller: session.hello.clone(), number, code: code.to_owned() })
    }

    /// Session of the connection; a new identity starts a new session.
    fn session<'a>(
        &self,
        slot: &'a mut Option<Session>,
        headers: &HeaderMap,
    ) -> Result<&'a mut Session, Refusal> {
        let count_stranger = || self.verifier.count_refusal(Refusal::Stranger);
        let identity = headers.get(HELLO_HEADER).ok_or_else(count_stranger)?;
        if slot.as_ref().is_none_or(|session| session.identity != identity) {
            let text = identity.to_str().map_err(|_| count_stranger())?;
            let hello = self.verifier.verify(&self.key, text, auth::unix_time_ms())?;
            *slot = Some(Session { identity: identity.clone(), hello, last_call: 0 });
        }
        slot.as_mut().ok_or_else(count_stranger)
    }
}

async fn handle_call<H: Handler>(
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
    call: Call,
    shared: Server<H>,
) {
    let Ok(mut body) = read_body(request.into_body()).await else {
        return reject(&mut response, StatusCode::BAD_REQUEST);
    };
    let Call { caller, number, code } = call;
    if !auth::verify_call(&shared.key, &caller.nonce, number, &body, &code) {
        shared.verifier.count_refusal(Refusal::Stranger);
        return reject(&mut response, StatusCode::UNAUTHORIZED);
    }
    let Ok(Some(frame)) = codec::decode(&mut body) else {
        return reject(&mut response, StatusCode::BAD_REQUEST);
    };
    let Ok(stream) = response.send_response(Response::new(()), false) else { return };
    let (queue, frames) = mpsc::channel(REPLY_QUEUE_FRAMES);
    let mut forwarding = pin!(forward_replies(stream, frames));
    tokio::select! {
        () = shared.handler.handle(caller, frame, Sender { queue }) => forwarding.await,
        () = &mut forwarding => {}
    }
}

/// Writes queued replies to the stream until the queue ends or the caller resets the stream.
async fn forward_replies(mut stream: SendStream<Bytes>, mut frames: mpsc::Receiver<Bytes>) {
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
    // Fails only if the stream is already closed.
    let _ = stream.send_data(Bytes::new(), true);
}

/// Writes `bytes` as the flow-control window permits.
async fn write(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), Error> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|context| stream.poll_capacity(context)).await;
        let Some(capacity) = capacity else { return Err(Error::Unexpected) };
        let chunk = bytes.split_to(capacity?.min(bytes.len()));
        stream.send_data(chunk, false)?;
    }
    Ok(())
}

fn reject(response: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if response.send_response(head, true).is_err() {
        response.send_reset(Reason::REFUSED_STREAM);
    }
}

/// Reads a request body of at most [`codec::MAX_FRAME_BYTES`].
async fn read_body(mut body: RecvStream) -> Result<BytesMut, Error> {
    let mut buffer = BytesMut::new();
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        if buffer.len() + chunk.len() > codec::MAX_FRAME_BYTES {
            return Err(Error::Unexpected);
        }
        buffer.extend_from_slice(&chunk);
    }
    Ok(buffer)
}
