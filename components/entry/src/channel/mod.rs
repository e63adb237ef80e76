//! Connections to workers: HTTP/1.1, one request at a time on each.
//!
//! A connection is reused only after a whole answer that carried the identifier of its request.
//! Anything odd closes it, so that bytes of one answer never reach another request.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use derive_more::{Debug, Display, Error};
use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;
use filbertsail_errors::Verdict;
use filbertsail_http::Body;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// Time to establish a connection. Zones are a few milliseconds apart, and a lost packet of the
/// handshake is sent again after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time that an idle connection is kept if the worker states none. Steps come every few seconds, so
/// it lasts from one to the next; a connection that the worker closed meanwhile is noticed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time before the worker's own timeout at which an idle connection is given up.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time up to which a connection may carry a request that must not run twice.
const FRESH: Duration = Duration::from_millis(500);
/// Idle connections kept per worker.
const MAX_IDLE: usize = 32;

/// Why an exchange gave no answer, and whether the request may have run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{verdict}: {reason}")]
pub struct Fault {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// What went wrong.
    #[error(not(source))]
    pub reason: String,
}

impl Fault {
    fn not_run(reason: impl ToString) -> Self {
        Self { verdict: Verdict::NotRun, reason: reason.to_string() }
    }

    fn may_have_run(reason: impl ToString) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason: reason.to_string() }
    }
}

struct Idle {
    sender: SendRequest<Body>,
    until: Instant,
    since: Instant,
}

/// Idle connections by address, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    #[debug(skip)]
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

/// Connection whose answer is being read.
#[derive(Debug)]
pub struct Channel {
    #[debug(skip)]
    sender: SendRequest<Body>,
    address: SocketAddr,
}

impl Pool {
    /// Sends a request and returns the head of its answer. `repeatable` allows a connection that
    /// has been idle for longer and may break.
    ///
    /// # Errors
    /// Fails with a verdict on whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        repeatable: bool,
        now: Instant,
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        let mut sender = match self.take(address, repeatable, now) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        match sender.try_send_request(request).await {
            Ok(response) => Ok((response, Channel { sender, address })),
            Err(mut error) => match error.take_message() {
                // The connection had ended before; the request was not written.
                Some(request) => {
                    let mut sender = connect(address).await?;
                    let response =
                        sender.send_request(request).await.map_err(Fault::may_have_run)?;
                    Ok((response, Channel { sender, address }))
                }
                None => Err(Fault::may_have_run(error.into_error())),
            },
        }
    }

    /// Keeps the connection for another request.
    pub fn keep(&self, channel: Channel, keep_alive: Option<Duration>, now: Instant) {
        let lifetime = keep_alive.unwrap_or(IDLE_TIMEOUT).saturating_sub(IDLE_MARGIN);
        if lifetime.is_zero() || channel.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = idle.entry(channel.address).or_default();
        entry.retain(|idle| now < idle.until && !idle.sender.is_closed());
        if entry.len() < MAX_IDLE {
            entry.push(Idle { sender: channel.sender, until: now.after(lifetime), since: now });
        }
    }

    /// Closes idle connections that are past their time.
    pub fn expire(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, entry| {
            entry.retain(|idle| now < idle.until && !idle.sender.is_closed());
            !entry.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn drop_address(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    fn take(
        &self,
        address: SocketAddr,
        repeatable: bool,
        now: Instant,
    ) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = idle.get_mut(&address)?;
        while let Some(idle) = entry.pop() {
            let fresh = repeatable || now.since(idle.since) < FRESH;
            if now < idle.until && fresh && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Body>, Fault> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| Fault::not_run("connection timed out"))?
        .map_err(Fault::not_run)?;
    // Failure costs only latency.
    let _ = stream.set_nodelay(true);
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(Fault::not_run)?;
    tokio::spawn(async move {
        // The request under way learns of the error, and an idle connection is found closed.
        let _ = connection.await;
    });
    Ok(sender)
}
