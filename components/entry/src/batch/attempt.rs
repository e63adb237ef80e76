//! One run of an item at a worker.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use filbertsail_http::Body;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{sync::watch, time::timeout};

use super::run::Output;
use crate::{
    dialect::{Answer, Dialect, Dispatch},
    event::{Event, Parser},
    fleet::Worker,
    shared::Shared,
};

/// Longest time to the head of an answer. A worker that loads weights holds requests for about a
/// second, and longer while several load.
pub(super) const HEAD_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Longest time to the head of an answer where the item runs elsewhere meanwhile and is held back. A
/// worker with a free slot answers within some ten milliseconds.
pub(super) const SUCCESSOR_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest pause between two events. Events come every 40 ms, 160 ms on slow workers, also while
/// weights load; a lost packet is sent again within a second. A worker that went dark never goes on.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Time for which a worker that refused gets no new items. Most refusals come from a load of
/// weights, which takes about 0.9 s.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);
/// Events over which the pace of a worker is averaged.
const PACE_EVENTS: u32 = 4;

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The whole output arrived.
    Done,
    /// The worker did not take it.
    Refused(Duration),
    /// The worker states that the item failed.
    Failed,
    /// The worker states that the item can never be done.
    Invalid,
    /// The worker has too old a version, or changed it where one version is asked for.
    Stale,
    /// No answer, or one that broke off; the output so far holds.
    Broken(String),
}

impl Finish {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused(_) => "refused",
            Self::Failed => "failed",
            Self::Invalid => "invalid",
            Self::Stale => "stale",
            Self::Broken(_) => "broken",
        }
    }
}

/// Run to start.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Worker.
    pub worker: Key<Worker>,
    /// Its address.
    pub address: SocketAddr,
    /// Its instance identifier.
    pub instance: String,
    /// Model.
    pub model: String,
    /// Item.
    pub id: String,
    /// Host of the route.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// Headers of the item.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Bytes,
    /// Priority at the worker.
    pub priority: u8,
    /// Oldest version allowed.
    pub min_version: u64,
    /// Whether all events must come from one version.
    pub single_version: bool,
    /// Output so far, which the run goes on from.
    pub output: Output,
    /// Longest time to the head of the answer.
    pub head_timeout: Duration,
    /// Whether events are left unread for the time being.
    pub hold: watch::Receiver<bool>,
}

impl Attempt {
    /// Runs the item; what arrives is added to the output. `admitted` is called once the worker has
    /// accepted it.
    pub async fn run<D: Dialect>(&self, shared: &Shared, admitted: impl FnOnce()) -> Finish {
        let last_event = self.output.lock().partial.last_event;
        let Some(request) = self.request::<D>(last_event) else { return Finish::Invalid };
        let sent = shared.pool.send(self.address, request, true, shared.now());
        let (response, channel) = match timeout(self.head_timeout, sent).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(fault)) => return Finish::Broken(fault.reason),
            Err(_) => return Finish::Broken("no answer in time".to_owned()),
        };
        let answer = D::decode_answer(response.headers());
        if let Some(finish) = self.judge(response.status(), &answer, shared) {
            return finish;
        }
        admitted();
        let finish = self.read::<D>(response.into_body(), &answer, shared).await;
        if finish == Finish::Done {
            shared.pool.keep(channel, answer.keep_alive, shared.now());
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
        };
        D::set_dispatch_headers(headers, &dispatch);
        Some(request)
    }

    /// Judges the head of an answer; nothing if events follow.
    fn judge(&self, status: StatusCode, answer: &Answer, shared: &Shared) -> Option<Finish> {
        if answer.id.as_ref().is_some_and(|id| id.as_bytes() != self.id.as_bytes()) {
            return Some(Finish::Broken("answer to another request".to_owned()));
        }
        let now = shared.now();
        if let Some(load) = answer.load {
            shared.fleet().loaded(self.worker, load, now);
        }
        if answer.not_run {
            return Some(Finish::Refused(REFUSAL_PAUSE));
        }
        match status {
            StatusCode::OK if answer.genuine && answer.id.is_some() => {}
            StatusCode::UNPROCESSABLE_ENTITY => return Some(Finish::Invalid),
            StatusCode::INTERNAL_SERVER_ERROR => return Some(Finish::Failed),
            StatusCode::MISDIRECTED_REQUEST => return Some(Finish::Refused(REFUSAL_PAUSE)),
            status => return Some(Finish::Broken(format!("status {}", status.as_u16()))),
        }
        let version = answer.version?;
        shared.fleet().versioned(self.worker, &self.model, version);
        (!self.admits(version)).then_some(Finish::Stale)
    }

    /// Whether events of `version` may be added.
    fn admits(&self, version: u64) -> bool {
        let progress = self.output.lock();
        let versions = &progress.partial.versions;
        let mixed = self.single_version && versions.iter().any(|known| *known != version);
        version >= self.min_version && !mixed
    }

    async fn read<D: Dialect>(
        &self,
        mut body: Incoming,
        answer: &Answer,
        shared: &Shared,
    ) -> Finish {
        let mut parser = Parser::new(D::VERSION_FIELD);
        let mut version = answer.version;
        let mut pace = Pace::default();
        let mut hold = self.hold.clone();
        loop {
            if *hold.borrow() {
                // Without its sender the run has been replaced and is about to be aborted.
                if hold.wait_for(|hold| !hold).await.is_err() {
                    return Finish::Broken("replaced".to_owned());
                }
                pace = Pace::default();
            }
            let frame = tokio::select! {
                biased;
                Ok(_) = hold.wait_for(|hold| *hold) => continue,
                frame = timeout(EVENT_TIMEOUT, body.frame()) => frame,
            };
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Finish::Broken(error.to_string()),
                Ok(None) if parser.is_empty() && self.has_events() => return Finish::Done,
                Ok(None) => return Finish::Broken("ended within an event".to_owned()),
                Err(_) => return Finish::Broken("no event in time".to_owned()),
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
                if let Some(changed) = event.version {
                    version = Some(changed);
                    shared.fleet().versioned(self.worker, &self.model, changed);
                }
                if let Err(finish) = self.add(event, version, now) {
                    return finish;
                }
                if let Some(interval) = pace.event(now) {
                    shared.fleet().paced(self.worker, interval, now);
                }
            }
        }
    }

    fn has_events(&self) -> bool {
        self.output.lock().partial.events > 0
    }

    /// Adds one event to the output.
    fn add(&self, event: Event, version: Option<u64>, now: Instant) -> Result<(), Finish> {
        let Some(version) = version else {
            return Err(Finish::Broken("event without a weight version".to_owned()));
        };
        if !self.admits(version) {
            return Err(Finish::Stale);
        }
        let mut progress = self.output.lock();
        progress.last_at = Some(now);
        let partial = &mut progress.partial;
        let Some(id) = event.id else {
            return Err(Finish::Broken("event without a number".to_owned()));
        };
        if partial.last_event.is_some_and(|last| id != last + 1) {
            return Err(Finish::Broken(format!("event {id} out of order")));
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

/// Time between events, averaged over a few of them.
#[derive(Debug, Default)]
struct Pace {
    since: Option<Instant>,
    events: u32,
}

impl Pace {
    /// Notes an event; returns milliseconds per event once enough were seen.
    fn event(&mut self, now: Instant) -> Option<f64> {
        let Some(since) = self.since else {
            self.since = Some(now);
            return None;
        };
        self.events += 1;
        if self.events < PACE_EVENTS {
            return None;
        }
        let interval = now.since(since).as_secs_f64() * 1_000.0 / f64::from(self.events);
        (self.since, self.events) = (Some(now), 0);
        Some(interval)
    }
}
