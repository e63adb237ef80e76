//! One attempt to run an item on a worker.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_clock::{
    self as clock,
    running::{self, Limit},
};
use filbertsail_collections::arena::Key;
use filbertsail_http::{Body, status::is_final};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::watch;

use super::execution::Output;
use crate::{
    channel::Terms,
    dialect::{Answer, Dialect, Dispatch},
    event::{Event, Parser},
    fleet::{End, Worker},
    shared::Shared,
};

/// Timeout for the response head. A worker that loads weights holds requests for about a second,
/// and longer while several load.
pub(super) const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Timeout for the response head of a successor, while the original attempt is paused. A worker
/// with a free slot responds within tens of milliseconds.
pub(super) const SUCCESSOR_HEAD_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout between two events. Events come every 40 ms, on slow workers every 160 ms, also while
/// weights load; a lost packet is retransmitted within a second. A hung worker never continues.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Limit of the doublings of that timeout.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;
/// Largest output, in bytes for each token that the item allows; model engines send six.
const MAX_BYTES_PER_TOKEN: u64 = 64;
/// Output that is accepted of every item.
const MIN_OUTPUT_LIMIT_BYTES: u64 = 64 * 1024;
/// Pause before a worker that refused gets new items. Most refusals come from a weight load,
/// which takes about 0.9 s.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);
/// Number of events over which the event interval of a worker is averaged.
const INTERVAL_WINDOW_EVENTS: u32 = 4;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The complete output arrived.
    Done,
    /// The worker refused the item; it gets no new items for the given time.
    Refused(Duration),
    /// The worker reported a failure of the item.
    Failed,
    /// The worker reported that the item is invalid; a retry cannot succeed.
    Invalid,
    /// The worker has a version that is too old, or changed it while `single_version` is set.
    Stale,
    /// No response, a wrong one, or one that broke off, with the reason; the output so far stays
    /// valid.
    Broken(String),
    /// No event arrived in time; the output so far stays valid.
    Stalled,
    /// The output is longer than the item allows, so none of it is valid.
    Oversized,
}

/// Timeout between two events of an item that has stalled `stalls` times since its last event.
///
/// Load pattern: all workers are slow, so that every attempt would end before its first event.
#[must_use]
pub fn event_timeout(stalls: u32) -> Duration {
    EVENT_TIMEOUT * 2_u32.pow(stalls.min(MAX_TIMEOUT_DOUBLINGS))
}

/// Largest output in bytes of an item that allows `max_tokens` tokens.
#[must_use]
pub fn output_limit(max_tokens: u64) -> u64 {
    max_tokens.saturating_mul(MAX_BYTES_PER_TOKEN).max(MIN_OUTPUT_LIMIT_BYTES)
}

impl Finish {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused(_) => "refused",
            Self::Failed => "failed",
            Self::Invalid => "invalid",
            Self::Stale => "stale",
            Self::Broken(_) => "broken",
            Self::Stalled => "stalled",
            Self::Oversized => "oversized",
        }
    }

    /// What the end of an attempt means for the health of its worker. An engine refuses an item
    /// that exceeds its memory (`fits` is false) as if it were full, and has room for others.
    #[must_use]
    pub fn worker_end(&self, fits: bool) -> End {
        match self {
            Self::Done => End::Success,
            Self::Refused(pause) if fits => End::Refused { pause: *pause },
            Self::Broken(_) | Self::Stalled | Self::Oversized => End::Failure,
            Self::Refused(_) | Self::Failed | Self::Invalid | Self::Stale => End::Inconclusive,
        }
    }
}

/// Parameters of an attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub worker: Key<Worker>,
    /// Address of the worker.
    pub address: SocketAddr,
    /// Instance identifier of the worker.
    pub instance: String,
    /// Model that runs the item.
    pub model: String,
    /// Identifier of the item.
    pub id: String,
    /// Host that selects the route.
    pub host: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// Priority at the worker.
    pub priority: u8,
    /// Workspace of the batch.
    pub workspace: Option<String>,
    /// Oldest weight version that may generate tokens.
    pub min_version: u64,
    /// Whether all events must come from one weight version.
    pub single_version: bool,
    /// Output so far, which the attempt continues.
    pub output: Output,
    pub head_timeout: Duration,
    /// Timeout between two events.
    pub event_timeout: Duration,
    /// Largest output in bytes.
    pub output_limit: u64,
    /// When the worker was chosen.
    pub sent_at: clock::Instant,
    /// Whether to stop reading events for the time being.
    pub pause: watch::Receiver<bool>,
}

impl Attempt {
    /// Runs the item and appends events to the output. Calls `admitted` once the worker has
    /// accepted the item.
    pub async fn run<D: Dialect>(&self, shared: &Shared, admitted: impl FnOnce()) -> Finish {
        let last_event = self.output.lock().partial.last_event;
        let Some(request) = self.request::<D>(last_event) else { return Finish::Invalid };
        let terms = Terms::identified(true, self.id.as_bytes());
        let sent_at = shared.now();
        let exchange = shared.pool.send_with_fallback(self.address, request, terms, sent_at);
        let (response, connection) = match running::timeout(self.head_timeout, exchange).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(fault)) => return Finish::Broken(fault.reason),
            Err(_) => {
                shared.pool.close_idle_since(self.address, sent_at);
                return Finish::Broken("response head timed out".to_owned());
            }
        };
        let answer = D::decode_answer(response.headers());
        if let Some(finish) = self.check_head(response.status(), &answer, shared) {
            return finish;
        }
        admitted();
        let finish = self.read::<D>(response.into_body(), &answer, shared).await;
        if finish == Finish::Done {
            shared.pool.keep(connection, answer.keep_alive, shared.now());
        }
        finish
    }

    fn request<D: Dialect>(&self, last_event: Option<u64>) -> Option<Request<Body>> {
        let body = Body::full(self.body.clone());
        let mut request =
            Request::builder().method(Method::POST).uri(&self.path).body(body).ok()?;
        let headers = request.headers_mut();
        *headers = D::item_headers(&self.id, &self.host, &self.headers);
        let dispatch = Dispatch {
            instance: &self.instance,
            time_left: None,
            last_event,
            priority: Some(self.priority),
            workspace: self.workspace.as_deref(),
        };
        D::set_dispatch_headers(headers, &dispatch);
        Some(request)
    }

    /// Checks a response head; none if events follow.
    fn check_head(&self, status: StatusCode, answer: &Answer, shared: &Shared) -> Option<Finish> {
        if answer.id.as_ref().is_some_and(|id| id.as_bytes() != self.id.as_bytes()) {
            return Some(Finish::Broken("response to another request".to_owned()));
        }
        if !is_final(status, &Method::POST, &HeaderMap::new()) {
            return Some(Finish::Broken(format!("invalid status {}", status.as_u16())));
        }
        if status != StatusCode::MISDIRECTED_REQUEST {
            shared.record_answer(self.worker, answer);
        }
        if answer.not_run {
            return Some(Finish::Refused(REFUSAL_PAUSE));
        }
        match status {
            StatusCode::OK if answer.is_genuine && answer.id.is_some() => {}
            StatusCode::UNPROCESSABLE_ENTITY => return Some(Finish::Invalid),
            StatusCode::INTERNAL_SERVER_ERROR => return Some(Finish::Failed),
            StatusCode::MISDIRECTED_REQUEST => return Some(Finish::Refused(REFUSAL_PAUSE)),
            status => {
                return Some(Finish::Broken(format!("unexpected status {}", status.as_u16())));
            }
        }
        let version = answer.version?;
        shared.fleet().record_version(self.worker, &self.model, version);
        (!self.allows_version(version)).then_some(Finish::Stale)
    }

    /// Whether events generated by `version` may be appended.
    fn allows_version(&self, version: u64) -> bool {
        let progress = self.output.lock();
        let versions = &progress.partial.versions;
        let is_mixed = self.single_version && versions.iter().any(|known| *known != version);
        version >= self.min_version && !is_mixed
    }

    async fn read<D: Dialect>(
        &self,
        mut body: Incoming,
        answer: &Answer,
        shared: &Shared,
    ) -> Finish {
        let mut parser = Parser::new(D::VERSION_FIELD);
        let mut version = answer.version;
        let mut interval = Interval::default();
        let mut has_progressed = false;
        let mut pause = self.pause.clone();
        // Only complete events count as progress: a worker may send other bytes now and then.
        let mut limit = Limit::new(self.event_timeout);
        loop {
            if *pause.borrow() {
                // The sender was dropped: the attempt has been replaced and is about to be
                // cancelled.
                if pause.wait_for(|pause| !pause).await.is_err() {
                    return Finish::Broken("replaced".to_owned());
                }
                interval = Interval::default();
                limit = Limit::new(self.event_timeout);
            }
            let frame = tokio::select! {
                biased;
                Ok(_) = pause.wait_for(|pause| *pause) => continue,
                frame = limit.run(body.frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Finish::Broken(error.to_string()),
                Ok(None) if parser.is_empty() && self.has_events() => return Finish::Done,
                Ok(None) => return Finish::Broken("stream ended within an event".to_owned()),
                Err(_) => return Finish::Stalled,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            parser.push(&bytes);
            let now = shared.now();
            loop {
                let event = match parser.take() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(error) => return Finish::Broken(error.to_string()),
                };
                if let Some(new_version) = event.version {
                    version = Some(new_version);
                    shared.fleet().record_version(self.worker, &self.model, new_version);
                }
                if let Err(finish) = self.append_event(event, version, now) {
                    return finish;
                }
                limit = Limit::new(self.event_timeout);
                if !std::mem::replace(&mut has_progressed, true) {
                    shared.fleet().record_first_event(self.worker, self.sent_at, now);
                }
                if let Some(interval_ms) = interval.record_event(now) {
                    shared.fleet().record_interval(self.worker, interval_ms, now);
                }
            }
        }
    }

    fn has_events(&self) -> bool {
        self.output.lock().partial.events > 0
    }

    /// Appends one event to the output.
    fn append_event(
        &self,
        event: Event,
        version: Option<u64>,
        now: clock::Instant,
    ) -> Result<(), Finish> {
        let Some(version) = version else {
            return Err(Finish::Broken("event without a weight version".to_owned()));
        };
        if !self.allows_version(version) {
            return Err(Finish::Stale);
        }
        let mut progress = self.output.lock();
        progress.last_event_at = Some(now);
        let partial = &mut progress.partial;
        let Some(id) = event.id else {
            return Err(Finish::Broken("event without an identifier".to_owned()));
        };
        if partial.last_event.unwrap_or(0).checked_add(1) != Some(id) {
            return Err(Finish::Broken(format!("event {id} out of order")));
        }
        if (partial.text.len() + event.data.len()) as u64 > self.output_limit {
            return Err(Finish::Oversized);
        }
        if partial.events > 0 {
            partial.text.push('\n');
        }
        partial.text.push_str(&event.data);
        partial.events += 1;
        partial.last_event = Some(id);
        if !partial.versions.contains(&version) {
            partial.versions.push(version);
        }
        Ok(())
    }
}

/// Average interval between the events of a stream.
#[derive(Debug, Default)]
struct Interval {
    since: Option<clock::Instant>,
    events: u32,
}

impl Interval {
    /// Records an event; returns the average milliseconds per event after each
    /// [`INTERVAL_WINDOW_EVENTS`] events.
    fn record_event(&mut self, now: clock::Instant) -> Option<f64> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.events += 1;
        if self.events < INTERVAL_WINDOW_EVENTS {
            return None;
        }
        let average_ms = now.since(since).as_secs_f64() * 1_000.0 / f64::from(self.events);
        (self.since, self.events) = (Some(now), 0);
        Some(average_ms)
    }
}
