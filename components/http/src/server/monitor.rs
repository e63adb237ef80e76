//! Detects callers that leave a connection idle, send a request head slowly or read slowly.

use std::{
    collections::BTreeMap,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use super::Limits;
use crate::{Body, body::Abort};

/// Bounds of the interval between two checks of a connection.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// State of a connection, shared by its socket, its requests and the task that serves it.
#[derive(Clone, Debug)]
pub(crate) struct Monitor {
    limits: watch::Receiver<Limits>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    /// Number of requests whose responses are not finished.
    in_flight: usize,
    /// Time of the last byte sent or the last response finished.
    idle_since: Instant,
    /// Arrival of the first byte of an incomplete request head.
    head_since: Option<Instant>,
    /// Whether the connection uses HTTP/2, whose control frames arrive without a request and so
    /// start no head; unknown before the first byte.
    is_http2: Option<bool>,
    /// Time at which the chunk that waits for the caller was produced, by request identifier.
    unread_since: BTreeMap<u64, Instant>,
    next_id: u64,
}

impl Monitor {
    pub(crate) fn new(limits: watch::Receiver<Limits>) -> Self {
        let state = State {
            in_flight: 0,
            idle_since: Instant::now(),
            head_since: None,
            is_http2: None,
            unread_since: BTreeMap::new(),
            next_id: 0,
        };
        Self { limits, state: Arc::new(Mutex::new(state)) }
    }

    /// Current limits.
    pub(crate) fn limits(&self) -> Limits {
        *self.limits.borrow()
    }

    /// Records received bytes.
    pub(crate) fn record_received(&self, bytes: &[u8]) {
        let mut state = self.lock();
        let is_http2 = *state.is_http2.get_or_insert(bytes.starts_with(b"PRI"));
        if !is_http2 && state.in_flight == 0 && state.head_since.is_none() {
            state.head_since = Some(Instant::now());
        }
    }

    /// Records that bytes were sent. The end of a response may still be in the send buffer when its
    /// request is finished, and the connection is not idle until it has been sent.
    pub(crate) fn record_sent(&self) {
        self.lock().idle_since = Instant::now();
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn start_request(&self) -> InFlight {
        let mut state = self.lock();
        state.in_flight += 1;
        state.head_since = None;
        let id = state.next_id;
        state.next_id += 1;
        InFlight { monitor: self.clone(), id }
    }

    /// Completes when the caller has exceeded a time limit.
    pub(crate) async fn limit_exceeded(&self) {
        while !self.is_limit_exceeded(Instant::now()) {
            let limits = self.limits();
            let shortest = limits.idle_timeout.min(limits.header_timeout).min(limits.stall_timeout);
            sleep((shortest / 4).clamp(MIN_CHECK_INTERVAL, MAX_CHECK_INTERVAL)).await;
        }
    }

    fn is_limit_exceeded(&self, now: Instant) -> bool {
        let state = self.lock();
        let Limits { idle_timeout, header_timeout, stall_timeout, .. } = self.limits();
        let idle = state.in_flight == 0 && now.duration_since(state.idle_since) > idle_timeout;
        let head = state.head_since.is_some_and(|since| now.duration_since(since) > header_timeout);
        // HTTP/2 flow control holds a response back without blocking the socket; for HTTP/1.1 the
        // socket detects the stall.
        let unread = state.is_http2 == Some(true)
            && state.unread_since.values().any(|since| now.duration_since(*since) > stall_timeout);
        idle && state.head_since.is_none() || head || unread
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is valid after each statement, so a poisoned lock is safe to use.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of a request whose response is not finished.
#[derive(Debug)]
pub(crate) struct InFlight {
    monitor: Monitor,
    id: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.monitor.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
        state.unread_since.remove(&self.id);
        if state.in_flight == 0 {
            state.idle_since = Instant::now();
        }
    }
}

/// Response body that records when the caller stops reading.
#[derive(Debug)]
pub(crate) struct MonitoredBody {
    pub(crate) body: Body,
    pub(crate) request: InFlight,
}

impl hyper::body::Body for MonitoredBody {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let request = &self.request;
        let mut state = request.monitor.lock();
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            // The next poll follows once the connection has accepted this chunk.
            state.unread_since.insert(request.id, Instant::now());
        } else {
            state.unread_since.remove(&request.id);
        }
        drop(state);
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
