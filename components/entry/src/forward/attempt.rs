//! Single attempt to forward a request to a worker.

use std::time::Duration;

use filbertsail_clock::{Instant, running};
use filbertsail_collections::arena::Key;
use filbertsail_errors::Verdict;
use filbertsail_http::{Body, status::is_final};
use filbertsail_telemetry::event::Line;
use http::{Request, Response, StatusCode, header::HeaderName};
use hyper::body::Incoming;

use super::Job;
use crate::{
    channel::{Channel, Pool, Terms, Trace},
    dialect::{Answer, Dialect, Dispatch},
    fleet::{End, Entry, Worker},
    foreign::Fault,
    shared::Shared,
};

pub use filbertsail_admission::REFUSAL_PAUSE;
/// Reason of an attempt that the worker refused without running it.
pub const REFUSED: &str = "refused by the worker";
/// Reason of an attempt whose response has a status that HTTP does not allow there.
const INVALID_STATUS: &str = "status not allowed as a final answer";
/// Pause before a worker gets new requests after another instance answered at its address.
const MISDIRECTED_PAUSE: Duration = Duration::from_secs(2);
/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// How an attempt ended.
#[derive(Debug)]
pub enum Finish {
    /// Complete response of the worker.
    Success(Response<Body>),
    /// Complete response with a server error.
    Error(Response<Body>),
    /// No response that may be forwarded.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// Cause, also the label of the attempt in the metrics.
        reason: &'static str,
    },
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub fn strip_hop_by_hop(headers: &mut http::HeaderMap) {
    let named_headers: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    for name in named_headers {
        headers.remove(name);
    }
}

/// Builds the request for a worker; nothing if the path is no valid URI.
pub(super) fn request<D: Dialect>(
    job: &Job,
    worker: &Entry,
    time_left: Duration,
    last_event: Option<u64>,
    priority: Option<u8>,
) -> Option<Request<Body>> {
    let body = Body::full(job.body.clone());
    let mut request =
        Request::builder().method(job.method.clone()).uri(&job.path).body(body).ok()?;
    *request.headers_mut() = job.headers.clone();
    let dispatch = Dispatch {
        instance: &worker.id,
        time_left: Some(time_left),
        last_event,
        priority,
        workspace: job.workspace.as_deref(),
    };
    D::set_dispatch_headers(request.headers_mut(), &dispatch);
    Some(request)
}

/// Sends the request to `worker` and waits up to `limit` for the complete response. With
/// `reuses_idle`, it may go out on a connection that has been idle for longer.
pub(super) async fn run<D: Dialect>(
    shared: &Shared,
    worker: Key<Worker>,
    job: &Job,
    reuses_idle: bool,
    limit: Duration,
    time_left: Duration,
) -> Finish {
    let now = shared.now();
    let Some((entry, mut guard)) = Guard::start(shared, worker) else {
        return failed(Verdict::NotRun, "worker gone");
    };
    job.sent.set();
    let mut trace = Trace::default();
    let exchange = exchange::<D>(shared, (worker, &entry), job, reuses_idle, time_left, &mut trace);
    let (result, was_frozen) = match running::deadline(limit, exchange).await {
        Ok(done) => (done, false),
        Err(elapsed) => {
            shared.pool.close_idle_since(entry.address, now);
            let finish = failed(Verdict::MayHaveRun, "no answer in time");
            ((finish, End::Failure), elapsed.was_frozen)
        }
    };
    let (finish, end) = result;
    let is_unproven = matches!(finish, Finish::Failed { .. }) && (trace.was_idle() || was_frozen);
    let end = if end == End::Failure && is_unproven { End::Inconclusive } else { end };
    let took = shared.now().since(now);
    guard.end = if end == End::Success { End::Answered { took } } else { end };
    drop(guard);
    if let Finish::Success(_) = finish {
        shared.admission.record_response(shared, &entry.service, worker, took);
    }
    let (outcome, reason) = match &finish {
        Finish::Success(response) => (response.status().as_u16(), ""),
        Finish::Error(response) => (response.status().as_u16(), "failed at the worker"),
        Finish::Failed { reason, .. } => (0, *reason),
    };
    shared.metrics.count_attempt(reason);
    Line::new("request_attempt")
        .with("id", job.id())
        .with("worker", &entry.id)
        .with("status", outcome)
        .with("reason", reason)
        .with("limit_ms", limit.as_millis())
        .with("took_ms", took.as_millis())
        .with_some("idle_ms", trace.idle.map(|idle| idle.as_millis()))
        .info();
    finish
}

/// Counts a request as in flight at its worker. Records its end on drop, also if the caller
/// disconnects.
pub(super) struct Guard {
    shared: Shared,
    worker: Key<Worker>,
    service: String,
    sent_at: Instant,
    /// How the request ended; inconclusive until set.
    pub end: End,
}

impl Guard {
    /// Records a request sent to `worker`; nothing if the worker is gone.
    pub fn start(shared: &Shared, worker: Key<Worker>) -> Option<(Entry, Self)> {
        let mut fleet = shared.fleet();
        let entry = fleet.get(worker)?.entry.clone();
        let sent_at = shared.now();
        fleet.record_dispatch(worker, 0, sent_at);
        drop(fleet);
        shared.admission.wake(shared, &entry.service);
        let (shared, service) = (shared.clone(), entry.service.clone());
        Some((entry, Self { shared, worker, service, sent_at, end: End::Inconclusive }))
    }

    /// Records the first event of a stream.
    pub fn record_first_event(&self) {
        let now = self.shared.now();
        self.shared.fleet().record_first_event(self.worker, self.sent_at, now);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.fleet().record_completion(self.worker, 0, self.end, now, rand::random());
        self.shared.admission.wake(&self.shared, &self.service);
    }
}

fn failed(verdict: Verdict, reason: &'static str) -> Finish {
    Finish::Failed { verdict, reason }
}

async fn exchange<D: Dialect>(
    shared: &Shared,
    (worker, entry): (Key<Worker>, &Entry),
    job: &Job,
    reuses_idle: bool,
    time_left: Duration,
    trace: &mut Trace,
) -> (Finish, End) {
    let Some(request) = request::<D>(job, entry, time_left, None, None) else {
        return (failed(Verdict::NotRun, "request cannot be passed on"), End::Inconclusive);
    };
    let pool: &Pool = &shared.pool;
    let terms = Terms::identified(reuses_idle, job.id().as_bytes());
    let result = pool.send_traced(entry.address, request, terms, shared.now(), trace).await;
    let (response, channel) = match result {
        Ok(exchange) => exchange,
        Err(fault) => {
            let reason = match fault.verdict {
                Verdict::NotRun => "no connection",
                _ => "connection broke off",
            };
            return (failed(fault.verdict, reason), End::Failure);
        }
    };
    let answer = D::decode_answer(response.headers());
    if let Some(end) = check_head(shared, worker, job, response.status(), &answer) {
        return end;
    }
    match read_whole(shared, response, channel, &answer).await {
        Err(fault) => (failed(Verdict::MayHaveRun, fault.reason()), End::Failure),
        Ok(response) if response.status().is_server_error() => {
            (Finish::Error(response), End::Failure)
        }
        Ok(response) => (Finish::Success(response), End::Success),
    }
}

/// Reads the whole body of a response whose head was checked, and keeps the connection.
///
/// # Errors
/// Fails if the body breaks off or is too long.
pub(super) async fn read_whole(
    shared: &Shared,
    response: Response<Incoming>,
    channel: Channel,
    answer: &Answer,
) -> Result<Response<Body>, Fault> {
    let (mut head, body) = response.into_parts();
    let body = shared.foreign.read(body).await?;
    shared.pool.keep(channel, answer.keep_alive, shared.now());
    strip_hop_by_hop(&mut head.headers);
    head.headers.remove(http::header::CONTENT_LENGTH);
    Ok(Response::from_parts(head, Body::full(body)))
}

/// Checks the head of a response; nothing if its body may be forwarded. Then the worker has begun
/// the request, which is counted for its workspace.
pub(super) fn check_head(
    shared: &Shared,
    worker: Key<Worker>,
    job: &Job,
    status: StatusCode,
    answer: &Answer,
) -> Option<(Finish, End)> {
    if answer.id.is_some() && answer.id != job.caller.id {
        return Some((failed(Verdict::MayHaveRun, "answer to another request"), End::Failure));
    }
    if !is_final(status, &job.method, &job.headers) {
        return Some((failed(Verdict::MayHaveRun, INVALID_STATUS), End::Failure));
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        let end = End::Refused { pause: MISDIRECTED_PAUSE };
        return Some((failed(Verdict::NotRun, "another worker has the address"), end));
    }
    shared.record_answer(worker, answer);
    if answer.not_run {
        let end = End::Refused { pause: REFUSAL_PAUSE };
        return Some((failed(Verdict::NotRun, REFUSED), end));
    }
    if !answer.is_genuine || answer.id.is_none() {
        return Some((failed(Verdict::MayHaveRun, "not the worker's own answer"), End::Failure));
    }
    shared.usage.record(job.workspace.as_ref(), shared.now());
    None
}
