//! Calling side of a link.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use h2::{
    RecvStream, client,
    client::{ResponseFuture, SendRequest},
};
use http::{HeaderValue, Request};
use tokio::{net::TcpStream, sync::Mutex, time};

use super::{
    CALL_HEADER, CONNECTION_WINDOW_BYTES, Error, HELLO_HEADER, STREAM_WINDOW_BYTES, auth,
    auth::Key, meter::Metered,
};
use crate::{codec, frame::Frame, frame::Hello};

/// Time limit for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connection to one peer, opened on demand and shared by clones.
#[derive(Clone)]
pub struct Client {
    address: SocketAddr,
    key: Key,
    hello: Arc<Hello>,
    connection: Arc<Mutex<Option<Connection>>>,
}

/// Open connection; its calls are numbered in the order in which they are sent.
struct Connection {
    sender: SendRequest<Bytes>,
    identity: HeaderValue,
    nonce: [u8; 16],
    calls: u64,
}

impl Client {
    /// Client for the peer at `address` that calls as `hello`. Each connection sets the time and
    /// the nonce.
    ///
    /// # Errors
    /// Fails if the identity is too large.
    pub fn new(address: SocketAddr, key: &Key, hello: &Hello) -> Result<Self, Error> {
        auth::seal(key, hello)?;
        let (key, hello) = (key.clone(), Arc::new(hello.clone()));
        Ok(Self { address, key, hello, connection: Arc::default() })
    }

    /// Sends `request` and returns its replies.
    ///
    /// # Errors
    /// Fails if the peer is not reached, refuses the call or breaks the connection.
    pub async fn call(&self, request: &Frame) -> Result<Replies, Error> {
        let bytes = codec::encode(request)?;
        let response = self.send(bytes).await?.await?;
        if !response.status().is_success() {
            return Err(Error::Refused(response.status().as_u16()));
        }
        Ok(Replies { body: response.into_body(), buffer: BytesMut::new() })
    }

    /// Sends `request` and returns its only reply.
    ///
    /// # Errors
    /// Fails like [`Client::call`], and if there is no reply.
    pub async fn ask(&self, request: &Frame) -> Result<Frame, Error> {
        self.call(request).await?.next().await?.ok_or(Error::Unexpected)
    }

    /// Sends a request; the lock keeps the numbers in the order of the streams.
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
        connection.calls += 1;
        let call = auth::seal_call(&self.key, &connection.nonce, connection.calls, &bytes);
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
        hello.sent_at_ms = auth::unix_ms();
        hello.nonce = rand::random();
        let identity = auth::seal(&self.key, &hello)?;
        let identity = HeaderValue::from_str(&identity);
        let identity = identity.map_err(|error| Error::Connect(error.to_string()))?;
        let sender = connect(self.address).await?;
        Ok(Connection { sender, identity, nonce: hello.nonce, calls: 0 })
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
        .handshake(Metered(stream))
        .await?;
    tokio::spawn(async move {
        // The callers see the error on their own streams.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Replies to one call; dropping them cancels the call.
pub struct Replies {
    body: RecvStream,
    buffer: BytesMut,
}

impl Replies {
    /// Next reply, `None` at the end.
    ///
    /// # Errors
    /// Fails if the connection breaks or the peer sends no valid frame.
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
