//! HTTP/2 connection to one backend server, shared by all requests to it.

use std::{net::SocketAddr, time::Duration};

use filbertsail_http::Body;
use h2::Reason;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::{sync::Mutex, time};

use super::{Call, Failure, Kind, Response, failure::error_chain, http1::connect_tcp};

/// Shared HTTP/2 connection, reopened on demand.
#[derive(Debug)]
pub struct Shared {
    address: SocketAddr,
    sender: Mutex<Option<SendRequest<Body>>>,
}

impl Shared {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, sender: Mutex::new(None) }
    }

    pub(super) async fn send(&self, address: SocketAddr, call: &Call) -> Result<Response, Failure> {
        let mut sender = self.sender(call.connect_timeout()).await?;
        let request = call.build_request(address, true)?;
        match sender.try_send_request(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                Ok(Response { head, body, checkout: None })
            }
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                Err(classify(error.error(), unsent))
            }
        }
    }

    async fn sender(&self, limit: Duration) -> Result<SendRequest<Body>, Failure> {
        let mut shared = self.sender.lock().await;
        if let Some(sender) = shared.as_mut()
            && !sender.is_closed()
            && sender.ready().await.is_ok()
        {
            return Ok(sender.clone());
        }
        let sender = connect(self.address, limit).await?;
        *shared = Some(sender.clone());
        Ok(sender)
    }
}

async fn connect(address: SocketAddr, limit: Duration) -> Result<SendRequest<Body>, Failure> {
    let stream = connect_tcp(address, limit).await?;
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = time::timeout(limit, handshake)
        .await
        .map_err(|_| Failure::not_run(Kind::Connect, "handshake timed out"))?
        .map_err(|error| Failure::not_run(Kind::Connect, error_chain(&error)))?;
    tokio::spawn(async move {
        // The requests in flight report the error.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Classifies a stream error. A refused stream and one after the last stream of a GOAWAY did not
/// run.
fn classify(error: &hyper::Error, unsent: bool) -> Failure {
    let message = error_chain(error);
    if unsent {
        return Failure::not_run(Kind::Broken, message);
    }
    let Some(cause) = stream_error(error) else {
        return Failure::may_have_run(Kind::Broken, message);
    };
    let reason = cause.reason();
    let refused = cause.is_reset() && reason == Some(Reason::REFUSED_STREAM);
    // Streams that the GOAWAY includes fail with a connection error instead.
    let after_last_stream =
        cause.is_go_away() && cause.is_remote() && reason == Some(Reason::NO_ERROR);
    if refused || after_last_stream {
        return Failure::not_run(Kind::Refused, message);
    }
    Failure::may_have_run(Kind::Broken, message)
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
