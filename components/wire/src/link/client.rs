//! Client side of a link.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use filbertsail_clock::running;
use h2::{
    RecvStream, client,
    client::{ResponseFuture, SendRequest},
};
use http::{HeaderValue, Request};
use tokio::{net::TcpStream, sync::Mutex, time};

use super::{
    CALL_HEADER, CONNECTION_WINDOW_BYTES, Error, HELLO_HEADER, STREAM_WINDOW_BYTES, auth,
    auth::Key, meter::MeteredStream,
};
use crate::{codec, frame::Frame, frame::Hello};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Client of one peer. The connection is opened on demand and shared by clones.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    key: Key,
    hello: Arc<Hello>,
    connection: Arc<Mutex<Option<Connection>>>,
}

/// Open connection. Calls are numbered in the order in which they are sent.
struct Connection {
    sender: SendRequest<Bytes>,
    identity: HeaderValue,
    nonce: [u8; 16],
    last_call: u64,
}

impl Client {
    /// Creates a client of the peer at `address` with the identity `hello`. Its time and nonce are
    /// replaced on each connection.
    ///
    /// # Errors
    /// Fails if the identity is too large to encode.
    pub fn new(address: SocketAddr, key: &Key, hello: &Hello) -> Result<Self, Error> {
        auth::sign_hello(key, hello)?;
        let (key, hello) = (key.clone(), Arc::new(hello.clone()));
        Ok(Self { address, key, hello, connection: Arc::default() })
    }

    /// Sends `request` and returns the stream of replies.
    ///
    /// # Errors
    /// Fails if the peer cannot be reached or rejects the call, or if the connection fails.
    pub async fn call(&self, request: &Frame) -> Result<Replies, Error> {
        let bytes = codec::encode(request)?;
        let response = self.send(bytes).await?.await?;
        if !response.status().is_success() {
            return Err(Error::Refused(response.status().as_u16()));
        }
        Ok(Replies { body: response.into_body(), buffer: BytesMut::new() })
    }

    /// Sends `request` and returns the first reply.
    ///
    /// # Errors
    /// Fails like [`Client::call`], or if there is no reply.
    pub async fn call_unary(&self, request: &Frame) -> Result<Frame, Error> {
        self.call(request).await?.next().await?.ok_or(Error::Unexpected)
    }

    /// Sends `request` and waits up to `limit` for the first reply. After a timeout, later calls use
    /// a new connection: one may go silent without an error, which nothing else shows. Calls in
    /// progress on the former one go on.
    ///
    /// # Errors
    /// Fails like [`Client::call_unary`], or if there is no reply in time.
    pub async fn call_unary_within(
        &self,
        request: &Frame,
        limit: Duration,
    ) -> Result<Frame, Error> {
        match running::timeout(limit, self.call_unary(request)).await {
            Ok(result) => result,
            Err(_) => {
                // While another call holds the lock, it is about to open a connection or to test
                // the present one.
                if let Ok(mut slot) = self.connection.try_lock() {
                    *slot = None;
                }
                Err(Error::TimedOut)
            }
        }
    }

    /// Sends an encoded request, reconnecting if needed. The lock keeps call numbers and streams in
    /// the same order.
    async fn send(&self, bytes: Bytes) -> Result<ResponseFuture, Error> {
        let mut slot = self.connection.lock().await;
        let open = match slot.take() {
            Some(open) => open.sender.clone().ready().await.is_ok().then_some(open),
            None => None,
        };
        let connection = match open {
            Some(open) => slot.insert(open),
            None => slot.insert(self.connect().await?),
        };
        let mut sender = connection.sender.clone().ready().await.map_err(Error::Broken)?;
        connection.last_call += 1;
        let call = auth::sign_call(&self.key, &connection.nonce, connection.last_call, &bytes);
        let head = Request::post(format!("http://{}/", self.address))
            .header(HELLO_HEADER, &connection.identity)
            .header(CALL_HEADER, call)
            .body(())
            .map_err(|error| Error::Connect(error.to_string()))?;
        let (response, mut body) = sender.send_request(head, false)?;
        body.send_data(bytes, true)?;
        Ok(response)
    }

    async fn connect(&self) -> Result<Connection, Error> {
        let mut hello = (*self.hello).clone();
        hello.sent_at_ms = auth::unix_time_ms();
        hello.nonce = rand::random();
        let identity = auth::sign_hello(&self.key, &hello)?;
        let identity = HeaderValue::from_str(&identity);
        let identity = identity.map_err(|error| Error::Connect(error.to_string()))?;
        let sender = connect(self.address).await?;
        Ok(Connection { sender, identity, nonce: hello.nonce, last_call: 0 })
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Bytes>, Error> {
    let stream = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| Error::Connect("timed out".to_owned()))?
        .map_err(|error| Error::Connect(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| Error::Connect(error.to_string()))?;
    let (sender, connection) = client::Builder::new()
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .handshake(MeteredStream(stream))
        .await?;
    tokio::spawn(async move {
        // Each call reports the error on its own stream.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Stream of replies to a call. Dropping it cancels the call.
pub struct Replies {
    body: RecvStream,
    buffer: BytesMut,
}

impl Replies {
    /// Next reply; `None` at the end of the stream.
    ///
    /// # Errors
    /// Fails if the connection fails or the peer sends an invalid frame.
    pub async fn next(&mut self) -> Result<Option<Frame>, Error> {
        loop {
            if let Some(frame) = codec::decode(&mut self.buffer)? {
                return Ok(Some(frame));
            }
            let Some(chunk) = self.body.data().await else { return Ok(None) };
            let chunk = chunk?;
            self.body.flow_control().release_capacity(chunk.len())?;
            self.buffer.extend_from_slice(&chunk);
        }
    }
}
