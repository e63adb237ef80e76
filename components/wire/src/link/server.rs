//! Answering side of a link.

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
    auth::{Admission, Key, Refusal},
    meter::Metered,
};
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
    serve_with(listener, key, Arc::default(), handler, stop).await;
}

/// Like [`serve`], with counters of refused calls that the caller can read.
pub async fn serve_with<H: Handler>(
    listener: TcpListener,
    key: Key,
    admission: Arc<Admission>,
    handler: H,
    stop: CancellationToken,
) {
    let port = Port { key, admission, handler };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(connection(stream, port.clone(), stop.clone()));
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// What all connections of a port share.
#[derive(Clone)]
struct Port<H> {
    key: Key,
    admission: Arc<Admission>,
    handler: H,
}

/// Caller of a connection.
struct Session {
    identity: HeaderValue,
    hello: Hello,
    calls: u64,
}

/// Call whose identity and number are right; the code is checked once the request is there.
struct Ticket {
    caller: Hello,
    number: u64,
    code: String,
}

async fn connection<H: Handler>(stream: TcpStream, port: Port<H>, stop: CancellationToken) {
    // Without it small frames wait for acknowledgements; failure costs only latency.
    let _ = stream.set_nodelay(true);
    let handshake = server::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_concurrent_streams(MAX_CONCURRENT_CALLS)
        .handshake(Metered(stream));
    let Ok(connection) = handshake.await else { return };
    accept_calls(connection, port, stop).await;
}

async fn accept_calls<H: Handler>(
    mut connection: server::Connection<Metered, Bytes>,
    port: Port<H>,
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
                match port.admit(&mut session, request.headers()) {
                    Ok(ticket) => {
                        tokio::spawn(call(request, response, ticket, port.clone()));
                    }
                    Err(_) => refuse(&mut response, StatusCode::UNAUTHORIZED),
                }
            }
        }
    }
}

impl<H> Port<H> {
    /// Checks the identity of a call and that its number rises.
    fn admit(&self, slot: &mut Option<Session>, headers: &HeaderMap) -> Result<Ticket, Refusal> {
        let session = self.identify(slot, headers)?;
        let call = headers.get(CALL_HEADER).and_then(|value| value.to_str().ok());
        let call = call.and_then(auth::parse_call);
        let (number, code) = call.ok_or_else(|| self.admission.count(Refusal::Stranger))?;
        if number <= session.calls {
            return Err(self.admission.count(Refusal::Replay));
        }
        session.calls = number;
        Ok(Ticket { caller: session.hello.clone(), number, code: code.to_owned() })
    }

    fn identify<'a>(
        &self,
        slot: &'a mut Option<Session>,
        headers: &HeaderMap,
    ) -> Result<&'a mut Session, Refusal> {
        let stranger = || self.admission.count(Refusal::Stranger);
        let identity = headers.get(HELLO_HEADER).ok_or_else(stranger)?;
        if slot.as_ref().is_none_or(|session| session.identity != identity) {
            let text = identity.to_str().map_err(|_| stranger())?;
            let hello = self.admission.admit(&self.key, text, auth::unix_ms())?;
            *slot = Some(Session { identity: identity.clone(), hello, calls: 0 });
        }
        slot.as_mut().ok_or_else(stranger)
    }
}

async fn call<H: Handler>(
    request: Request<RecvStream>,
    mut response: SendResponse<Bytes>,
    ticket: Ticket,
    port: Port<H>,
) {
    let Ok(mut body) = whole(request.into_body()).await else {
        return refuse(&mut response, StatusCode::BAD_REQUEST);
    };
    let Ticket { caller, number, code } = ticket;
    if !auth::verify_call(&port.key, &caller.nonce, number, &body, &code) {
        port.admission.count(Refusal::Stranger);
        return refuse(&mut response, StatusCode::UNAUTHORIZED);
    }
    let Ok(Some(frame)) = codec::decode(&mut body) else {
        return refuse(&mut response, StatusCode::BAD_REQUEST);
    };
    let Ok(stream) = response.send_response(Response::new(()), false) else { return };
    let (queue, frames) = mpsc::channel(REPLY_QUEUE_FRAMES);
    let mut pump = pin!(pump(stream, frames));
    tokio::select! {
        () = port.handler.handle(caller, frame, Sender { queue }) => pump.await,
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

async fn whole(mut body: RecvStream) -> Result<BytesMut, Error> {
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
