//! HTTP/1.1 connections to workers, with one request at a time on each.
//!
//! A connection is reused only after a complete response with the identifier of its request. Any
//! irregularity closes it, so that bytes of one response never reach another request. A late copy of
//! a response is told by its identifier or its content, or the connection is not used, see
//! [`Matching`].

use std::{
    hash::{BuildHasher as _, BuildHasherDefault},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use derive_more::{Debug, Display, Error};
use filbertsail_clock::{Boot, Instant, Source, running};
use filbertsail_collections::{HashMap, Hasher};
use filbertsail_errors::Verdict;
use filbertsail_http::Body;
use filbertsail_telemetry::event::Line;
use http::{Request, Response};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rustix::net::sockopt::{set_socket_linger, set_tcp_user_timeout};
use tokio::{net::TcpStream, sync::Notify, task::AbortHandle, time::timeout};

/// Timeout for establishing a connection. Zones are a few milliseconds apart, and a lost packet of
/// the handshake is retransmitted after one second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long an idle connection is kept if the worker states no limit. It spans the few seconds
/// between two steps; a connection that the worker has closed meanwhile is detected.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Safety margin before the worker's own idle timeout.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Largest idle time of a connection that is reused for a non-idempotent request.
const MAX_IDLE_FOR_NON_IDEMPOTENT: Duration = Duration::from_millis(500);
/// Idle connections kept per worker.
const MAX_IDLE_PER_WORKER: usize = 32;

/// Time without a response head after which a request on a reused connection is sent again on a new
/// one. Workers answer within tens of milliseconds, and within a second while they load weights.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_200);

/// Time after which the kernel stops retransmitting bytes of a request that must not arrive late. Two
/// retransmissions fit into it; the calls themselves end after one second.
const RETRANSMISSION_LIMIT_MS: u32 = 500;

/// Largest response head, and size of the read buffer of a connection. A worker may send a head
/// without end on each of hundreds of connections.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Interim responses that are read before the final one. None is asked for, so that a server has no
/// reason to send more than one or two.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// How a response on a connection is matched to its request.
///
/// A worker may send a second copy of a response late, when the connection is in use again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Matching {
    /// Both carry an identifier, which the sender of the request compares. A request may be sent
    /// again under its identifier, of which this is the hash, but never on the same connection: a
    /// copy of the response to one run looks like the response to the next.
    Identifier(u64),
    /// By order and content: the sender tells copies of other responses by their content, and a
    /// copy of the same kind does no harm.
    Content,
    /// By order alone. A copy of the response to one such request looks like the response to the
    /// next one, so a connection never serves two of them in succession.
    Order,
}

/// Terms of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Whether the request may be sent on a connection that has been idle for longer and may be
    /// closed by the worker at any time.
    pub idempotent: bool,
    pub matching: Matching,
}

impl Terms {
    /// Terms of a request with the identifier `id`.
    #[must_use]
    pub fn identified(idempotent: bool, id: &[u8]) -> Self {
        let hash = BuildHasherDefault::<Hasher>::default().hash_one(id);
        Self { idempotent, matching: Matching::Identifier(hash) }
    }
}

/// What is known of an exchange, also after it was cancelled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// Time for which its connection had been idle; absent for a new one.
    pub idle: Option<Duration>,
}

impl Trace {
    /// Whether the connection may have failed while it was idle, so that a missing response says
    /// nothing about the worker.
    #[must_use]
    pub fn was_idle(&self) -> bool {
        self.idle.is_some_and(|idle| idle >= MAX_IDLE_FOR_NON_IDEMPOTENT)
    }
}

/// Failure of a request.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{verdict}: {reason}")]
pub struct Fault {
    /// Whether the request may have run.
    pub verdict: Verdict,
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

/// Established connection.
struct Link {
    sender: SendRequest<Body>,
    /// Ends the connection with this value, so that bytes not yet acknowledged are discarded.
    _reset: Option<Reset>,
}

/// Aborts the task of a connection when dropped; the kernel then resets the socket.
struct Reset(AbortHandle);

impl Drop for Reset {
    fn drop(&mut self) {
        self.0.abort();
    }
}

struct Idle {
    link: Link,
    /// How the last response was matched.
    matching: Matching,
    expires_at: Instant,
    since: Instant,
}

/// Idle connections by address, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    #[debug(skip)]
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
    /// Whether the server is known to keep to the protocol.
    is_trusted: bool,
    /// Whether connections are reset as soon as they are given up.
    is_resetting: bool,
}

/// Connection whose response is being read.
#[derive(Debug)]
pub struct Channel {
    #[debug(skip)]
    link: Link,
    address: SocketAddr,
    matching: Matching,
}

impl Pool {
    /// Connections to a server that keeps to the protocol: responses are never repeated, and their
    /// heads and buffers need no limit.
    #[must_use]
    pub fn trusted() -> Self {
        Self { is_trusted: true, ..Self::default() }
    }

    /// The pool with connections that are reset when a request on them is given up or the
    /// [`Channel`] is dropped. Otherwise the kernel would retransmit bytes after a partition has
    /// healed, long after the time limit of the request.
    #[must_use]
    pub fn resetting(self) -> Self {
        Self { is_resetting: true, ..self }
    }

    /// Sends a request and returns the head of its response.
    ///
    /// # Errors
    /// The verdict of the fault states whether the request may have run.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        terms: Terms,
        now: Instant,
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        self.send_before(address, request, terms, now, None).await
    }

    /// Like [`Pool::send`], but the request is not sent from `deadline` on. Timeouts do not count
    /// the time that the VM is suspended, and a connection may be established after it.
    ///
    /// # Errors
    /// The verdict of the fault states whether the request may have run.
    pub async fn send_before(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        terms: Terms,
        now: Instant,
        deadline: Option<Instant>,
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        self.exchange(address, request, terms, now, deadline, &mut Trace::default()).await
    }

    /// Like [`Pool::send`], and records the connection in `trace`.
    ///
    /// # Errors
    /// The verdict of the fault states whether the request may have run.
    pub async fn send_traced(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        terms: Terms,
        now: Instant,
        trace: &mut Trace,
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        self.exchange(address, request, terms, now, None, trace).await
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        terms: Terms,
        now: Instant,
        deadline: Option<Instant>,
        trace: &mut Trace,
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        let matching = terms.matching;
        let check_deadline = || match deadline {
            Some(deadline) if Boot.now() >= deadline => Err(Fault::not_run("sent too late")),
            _ => Ok(()),
        };
        let mut link = match self.take(address, terms, now) {
            Some((link, idle)) => {
                trace.idle = Some(idle);
                link
            }
            None => self.connect(address).await?,
        };
        check_deadline()?;
        match send_on(&mut link, request).await {
            Ok(response) => Ok((response, Channel { link, address, matching })),
            Err(SendError::Unsent(request)) => {
                trace.idle = None;
                let mut link = self.connect(address).await?;
                check_deadline()?;
                let response = send_on(&mut link, *request).await?;
                Ok((response, Channel { link, address, matching }))
            }
            Err(SendError::Failed(reason)) => Err(Fault::may_have_run(reason)),
        }
    }

    /// Like [`Pool::send`], for an idempotent request with a whole body. If a reused connection
    /// breaks or stays silent, the request is sent again on a new one, and other connections that
    /// were idle meanwhile are closed: connections may go silent without an error, several at a
    /// time, and the worker is sound.
    ///
    /// # Errors
    /// Returns the fault of the new connection.
    pub async fn send_with_fallback(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        terms: Terms,
        now: Instant,
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        let matching = terms.matching;
        let Some(copy) = copy(&request) else {
            return self.send(address, request, terms, now).await;
        };
        let Some((mut link, idle)) = self.take(address, terms, now) else {
            return self.send_on_new(address, request, matching).await;
        };
        let reason = match running::timeout(SILENCE_LIMIT, send_on(&mut link, request)).await {
            Ok(Ok(response)) => return Ok((response, Channel { link, address, matching })),
            Ok(Err(SendError::Unsent(request))) => {
                return self.send_on_new(address, *request, matching).await;
            }
            Ok(Err(SendError::Failed(reason))) => reason,
            Err(_) => "no response".to_owned(),
        };
        drop(link);
        let closed = self.close_idle_since(address, now);
        Line::new("connection_replaced")
            .with("address", address)
            .with("reason", reason)
            .with("idle_ms", idle.as_millis())
            .with("others_closed", closed)
            .warn();
        self.send_on_new(address, copy, matching).await
    }

    async fn send_on_new(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        matching: Matching,
    ) -> Result<(Response<Incoming>, Channel), Fault> {
        let mut link = self.connect(address).await?;
        let response = send_on(&mut link, request).await?;
        Ok((response, Channel { link, address, matching }))
    }

    /// Keeps the connection for reuse.
    pub fn keep(&self, channel: Channel, keep_alive: Option<Duration>, now: Instant) {
        let lifetime = keep_alive.unwrap_or(IDLE_TIMEOUT).saturating_sub(IDLE_TIMEOUT_MARGIN);
        if lifetime.is_zero() || channel.link.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(channel.address).or_default();
        connections.retain(|idle| now < idle.expires_at && !idle.link.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_WORKER {
            connections.push(Idle {
                link: channel.link,
                matching: channel.matching,
                expires_at: now.after(lifetime),
                since: now,
            });
        }
    }

    /// Closes idle connections whose lifetime has ended.
    pub fn close_expired(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|idle| now < idle.expires_at && !idle.link.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
    }

    /// Closes the connections to an address that have been idle since before `sent_at`, when a
    /// request was sent that got no response; returns their number. They may be silent as well, and
    /// each would cost another request its time.
    pub fn close_idle_since(&self, address: SocketAddr, sent_at: Instant) -> usize {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(connections) = idle.get_mut(&address) else { return 0 };
        let before = connections.len();
        connections.retain(|idle| idle.since > sent_at);
        before - connections.len()
    }

    fn take(&self, address: SocketAddr, terms: Terms, now: Instant) -> Option<(Link, Duration)> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let is_ambiguous = |idle: &Idle| {
            !self.is_trusted
                && terms.matching != Matching::Content
                && terms.matching == idle.matching
        };
        while let Some(index) = connections.iter().rposition(|idle| !is_ambiguous(idle)) {
            let idle = connections.remove(index);
            let is_fresh = terms.idempotent || now.since(idle.since) < MAX_IDLE_FOR_NON_IDEMPOTENT;
            if now < idle.expires_at && is_fresh && idle.link.sender.is_ready() {
                return Some((idle.link, now.since(idle.since)));
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr) -> Result<Link, Fault> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| Fault::not_run("timeout while establishing the connection"))?
            .map_err(Fault::not_run)?;
        // Without it, only the latency is higher.
        let _ = stream.set_nodelay(true);
        if self.is_resetting {
            // Without these, a request could arrive after its time limit.
            set_socket_linger(&stream, Some(Duration::ZERO)).map_err(Fault::not_run)?;
            set_tcp_user_timeout(&stream, RETRANSMISSION_LIMIT_MS).map_err(Fault::not_run)?;
        }
        let mut builder = http1::Builder::new();
        if !self.is_trusted {
            builder.max_buf_size(MAX_HEAD_BYTES);
        }
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(Fault::not_run)?;
        let task = tokio::spawn(async move {
            // A pending request gets the error as well, and an idle connection is detected as closed.
            let _ = connection.await;
        });
        let reset = self.is_resetting.then(|| Reset(task.abort_handle()));
        Ok(Link { sender, _reset: reset })
    }
}

/// Why a request got no response head.
enum SendError {
    /// The connection was already closed, and the request has not been written.
    Unsent(Box<Request<Body>>),
    /// The request may have been written.
    Failed(String),
}

impl From<SendError> for Fault {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(_) => Self::not_run("connection closed"),
            SendError::Failed(reason) => Self::may_have_run(reason),
        }
    }
}

/// Interim responses to one request.
#[derive(Debug, Default)]
struct Interim {
    count: AtomicU32,
    exceeded: Notify,
}

/// Sends a request and waits for its final response head. A worker may send interim responses without
/// end, which the HTTP library reads and drops.
async fn send_on(
    link: &mut Link,
    mut request: Request<Body>,
) -> Result<Response<Incoming>, SendError> {
    let interim = Arc::new(Interim::default());
    let counter = Arc::clone(&interim);
    hyper::ext::on_informational(&mut request, move |_| {
        if counter.count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            counter.exceeded.notify_one();
        }
    });
    tokio::select! {
        biased;
        sent = link.sender.try_send_request(request) => {
            sent.map_err(|mut error| match error.take_message() {
                Some(request) => SendError::Unsent(Box::new(request)),
                None => SendError::Failed(error.into_error().to_string()),
            })
        }
        () = interim.exceeded.notified() => {
            Err(SendError::Failed("too many interim responses".to_owned()))
        }
    }
}

/// Copy of a request whose body has not been sent; nothing if the body is a stream.
fn copy(request: &Request<Body>) -> Option<Request<Body>> {
    let Body::Full(bytes) = request.body() else { return None };
    let mut copy = Request::new(Body::Full(bytes.clone()));
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    Some(copy)
}
