//! Watches one connection for a caller that is idle, slow to send a head, or slow to read.

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

/// Bounds of the time between two looks at a connection.
const MIN_TICK: Duration = Duration::from_millis(5);
const MAX_TICK: Duration = Duration::from_secs(1);

/// State of a connection, shared by its socket, its requests and its watchdog.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    limits: watch::Receiver<Limits>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    /// Requests whose answers are not finished.
    in_flight: usize,
    /// Since when there is no such request.
    idle_since: Instant,
    /// Since when the head of the next request arrives.
    head_since: Option<Instant>,
    /// HTTP/2 control frames arrive without a request, so they start no head.
    http2: Option<bool>,
    /// Parts of answers that wait for the caller to read, by answer.
    unread: BTreeMap<u64, Instant>,
    next_id: u64,
}

impl Watch {
    pub(crate) fn new(limits: watch::Receiver<Limits>) -> Self {
        let state = State {
            in_flight: 0,
            idle_since: Instant::now(),
            head_since: None,
            http2: None,
            unread: BTreeMap::new(),
            next_id: 0,
        };
        Self { limits, state: Arc::new(Mutex::new(state)) }
    }

    /// Limits in force.
    pub(crate) fn limits(&self) -> Limits {
        *self.limits.borrow()
    }

    /// Notes bytes that arrived.
    pub(crate) fn received(&self, bytes: &[u8]) {
        let mut state = self.lock();
        let http2 = *state.http2.get_or_insert(bytes.starts_with(b"PRI"));
        if !http2 && state.in_flight == 0 && state.head_since.is_none() {
            state.head_since = Some(Instant::now());
        }
    }

    /// Notes bytes that were sent. The end of an answer may still be on its way when its request
    /// is finished, and the connection is not idle until then.
    pub(crate) fn sent(&self) {
        self.lock().idle_since = Instant::now();
    }

    /// Notes a request until the returned value is dropped.
    pub(crate) fn request(&self) -> InFlight {
        let mut state = self.lock();
        state.in_flight += 1;
        state.head_since = None;
        let id = state.next_id;
        state.next_id += 1;
        InFlight { watch: self.clone(), id }
    }

    /// Completes when the caller has exceeded a limit.
    pub(crate) async fn expired(&self) {
        while !self.is_expired(Instant::now()) {
            let limits = self.limits();
            let least = limits.idle_timeout.min(limits.header_timeout).min(limits.stall_timeout);
            sleep((least / 4).clamp(MIN_TICK, MAX_TICK)).await;
        }
    }

    fn is_expired(&self, now: Instant) -> bool {
        let state = self.lock();
        let Limits { idle_timeout, header_timeout, stall_timeout, .. } = self.limits();
        let idle = state.in_flight == 0 && now.duration_since(state.idle_since) > idle_timeout;
        let head = state.head_since.is_some_and(|since| now.duration_since(since) > header_timeout);
        // HTTP/2 holds an answer back without a blocked socket; with HTTP/1.1 the socket notices.
        let unread = state.http2 == Some(true)
            && state.unread.values().any(|since| now.duration_since(*since) > stall_timeout);
        idle && state.head_since.is_none() || head || unread
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // The state is valid after each statement, so a panic elsewhere does not spoil it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Request whose answer is not finished.
#[derive(Debug)]
pub(crate) struct InFlight {
    watch: Watch,
    id: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.watch.lock();
        state.in_flight = state.in_flight.saturating_sub(1);
        state.unread.remove(&self.id);
        if state.in_flight == 0 {
            state.idle_since = Instant::now();
        }
    }
}

/// Body of an answer under watch.
#[derive(Debug)]
pub(crate) struct Watched {
    pub(crate) body: Body,
    pub(crate) request: InFlight,
}

impl hyper::body::Body for Watched {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let request = &self.request;
        let mut state = request.watch.lock();
        if matches!(polled, Poll::Ready(Some(Ok(_)))) {
            // The next poll comes once the connection has taken this part.
            state.unread.insert(request.id, Instant::now());
        } else {
            state.unread.remove(&request.id);
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
