//! HTTP/2 connection to one backend server, shared by its requests.

use std::{net::SocketAddr, time::Duration};

use filbertsail_http::Body;
use h2::Reason;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{sync::Mutex, time};

use super::{Answer, Call, Failure, Kind, failure::chain, h1::open};

/// HTTP/2 connection to one backend server.
#[derive(Debug)]
pub struct Shared {
    address: SocketAddr,
    sender: Mutex<Option<SendRequest<Body>>>,
}

impl Shared {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, sender: Mutex::new(None) }
    }

    pub(super) async fn send(&self, address: SocketAddr, call: &Call) -> Result<Answer, Failure> {
        let mut sender = self.sender(call.connect_limit()).await?;
        let request = call.request(address, true)?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Answer { head, body, lease: None })
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                Err(classify(error.error(), unsent))
            }
        }
    }

    async fn sender(&self, limit: Duration) -> Result<SendRequest<Body>, Failure> {
        let mut slot = self.sender.lock().await;
        if let Some(sender) = slot.as_mut()
            && !sender.is_closed()
            && sender.ready().await.is_ok()
        {
            return Ok(sender.clone());
        }
        let sender = connect(self.address, limit).await?;
        *slot = Some(sender.clone());
        Ok(sender)
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<SendRequest<Body>, Failure> {
    let stream = open(address, limit).await?;
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = time::timeout(limit, handshake)
        .await
        .map_err(|_| Failure::unsent(Kind::Connect, "handshake timed out"))?
        .map_err(|error| Failure::unsent(Kind::Connect, chain(&error)))?;
    tokio::spawn(async move {
        // The requests under way see the error.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Failure of a stream; a refused stream and one beyond the last of a GOAWAY did not run.
fn classify(error: &hyper::Error, unsent: bool) -> Failure {
    let message = chain(error);
    if unsent {
        return Failure::unsent(Kind::Broken, message);
    }
    let Some(cause) = stream_error(error) else { return Failure::sent(Kind::Broken, message) };
    let reason = cause.reason();
    let refused = cause.is_reset() && reason == Some(Reason::REFUSED_STREAM);
    // Streams up to the last one of a GOAWAY end with an error of the connection instead.
    let beyond = cause.is_go_away() && cause.is_remote() && reason == Some(Reason::NO_ERROR);
    if refused || beyond {
        return Failure::unsent(Kind::Refused, message);
    }
    Failure::sent(Kind::Broken, message)
}

fn stream_error(error: &hyper::Error) -> Option<&h2::Error> {
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        if let Some(found) = cause.downcast_ref::<h2::Error>() {
            return Some(found);
        }
        source = cause.source();
    }
    None
}
