//! One attempt of a forwarded request at one worker.

use std::time::Duration;

use filbertsail_collections::arena::Key;
use filbertsail_errors::Verdict;
use filbertsail_http::Body;
use filbertsail_telemetry::event::Line;
use http::{Request, Response, StatusCode, header::HeaderName};
use http_body_util::BodyExt;
use tokio::time::timeout;

use super::Job;
use crate::{
    channel::Pool,
    dialect::{Answer, Dialect, Dispatch},
    fleet::{End, Entry, Worker},
    shared::Shared,
};

/// Time for which a worker that refused gets no new work: about what a slot takes to come free.
const REFUSAL_PAUSE: Duration = Duration::from_millis(60);
/// Time for which a worker is left alone whose address another one has.
const MISDIRECTED_PAUSE: Duration = Duration::from_secs(2);
/// Headers that concern one connection only.
const HOP_HEADERS: [&str; 8] = [
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
    /// Whole answer of the worker.
    Answer(Response<Body>),
    /// Whole answer that states a failure of the worker.
    Error(Response<Body>),
    /// No answer that may be passed on.
    Failed {
        /// Whether the request may have run.
        verdict: Verdict,
        /// What went wrong.
        reason: &'static str,
    },
}

/// Removes headers that concern one connection only.
pub fn strip(headers: &mut http::HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in HOP_HEADERS {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name);
    }
}

/// Request for a worker.
pub(super) fn request<D: Dialect>(
    job: &Job,
    worker: &Entry,
    left: Duration,
    last_event: Option<u64>,
) -> Option<Request<Body>> {
    let body = Body::full(job.body.clone());
    let mut request =
        Request::builder().method(job.method.clone()).uri(&job.path).body(body).ok()?;
    *request.headers_mut() = job.headers.clone();
    let dispatch =
        Dispatch { instance: &worker.id, time_left: Some(left), last_event, priority: None };
    D::dispatch(request.headers_mut(), &dispatch);
    Some(request)
}

/// Sends the request to `worker` and waits for the whole answer.
pub(super) async fn run<D: Dialect>(
    shared: &Shared,
    worker: Key<Worker>,
    job: &Job,
    repeatable: bool,
    limit: Duration,
    left: Duration,
) -> Finish {
    let now = shared.now();
    let Some((entry, mut flight)) = Flight::start(shared, worker) else {
        return failed(Verdict::NotRun, "worker gone");
    };
    let exchange = exchange::<D>(shared, &entry, job, repeatable, left);
    let (finish, end) = match timeout(limit, exchange).await {
        Ok(done) => done,
        Err(_) => (failed(Verdict::MayHaveRun, "no answer in time"), End::Failure),
    };
    flight.end = end;
    drop(flight);
    let (outcome, reason) = match &finish {
        Finish::Answer(response) => (response.status().as_u16(), ""),
        Finish::Error(response) => (response.status().as_u16(), "failed at the worker"),
        Finish::Failed { reason, .. } => (0, *reason),
    };
    shared.metrics.attempt(reason);
    Line::new("request_attempt")
        .with("id", job.id())
        .with("worker", &entry.id)
        .with("status", outcome)
        .with("reason", reason)
        .with("limit_ms", limit.as_millis())
        .with("took_ms", shared.now().since(now).as_millis())
        .info();
    finish
}

/// Request under way at a worker. Its end is noted on drop, also when the caller leaves.
pub(super) struct Flight {
    shared: Shared,
    worker: Key<Worker>,
    /// How it ended; abandoned until stated.
    pub end: End,
}

impl Flight {
    /// Notes a request to `worker`; nothing if the worker is gone.
    pub fn start(shared: &Shared, worker: Key<Worker>) -> Option<(Entry, Self)> {
        let mut fleet = shared.fleet();
        let entry = fleet.get(worker)?.entry.clone();
        fleet.sent(worker, 0, shared.now());
        drop(fleet);
        Some((entry, Self { shared: shared.clone(), worker, end: End::Abandoned }))
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.fleet().finished(self.worker, 0, self.end, now, rand::random());
    }
}

fn failed(verdict: Verdict, reason: &'static str) -> Finish {
    Finish::Failed { verdict, reason }
}

async fn exchange<D: Dialect>(
    shared: &Shared,
    worker: &Entry,
    job: &Job,
    repeatable: bool,
    left: Duration,
) -> (Finish, End) {
    let Some(request) = request::<D>(job, worker, left, None) else {
        return (failed(Verdict::NotRun, "request cannot be passed on"), End::Abandoned);
    };
    let pool: &Pool = &shared.pool;
    let sent = pool.send(worker.address, request, repeatable, shared.now()).await;
    let (response, channel) = match sent {
        Ok(answer) => answer,
        Err(fault) => {
            let reason = match fault.verdict {
                Verdict::NotRun => "no connection",
                _ => "connection broke off",
            };
            return (failed(fault.verdict, reason), End::Failure);
        }
    };
    let answer = D::answer(response.headers());
    if let Some(end) = judge(shared, worker, job, response.status(), &answer) {
        return end;
    }
    let (mut head, body) = response.into_parts();
    let Ok(body) = body.collect().await else {
        return (failed(Verdict::MayHaveRun, "answer broke off"), End::Failure);
    };
    shared.pool.keep(channel, answer.keep_alive, shared.now());
    strip(&mut head.headers);
    head.headers.remove(http::header::CONTENT_LENGTH);
    let failed = head.status.is_server_error();
    let response = Response::from_parts(head, Body::full(body.to_bytes()));
    if failed {
        (Finish::Error(response), End::Failure)
    } else {
        (Finish::Answer(response), End::Success)
    }
}

/// Judges the head of an answer; nothing if its body may be passed on.
pub(super) fn judge(
    shared: &Shared,
    worker: &Entry,
    job: &Job,
    status: StatusCode,
    answer: &Answer,
) -> Option<(Finish, End)> {
    if answer.id.is_some() && answer.id != job.caller.id {
        return Some((failed(Verdict::MayHaveRun, "answer to another request"), End::Failure));
    }
    if let Some(load) = answer.load {
        let mut fleet = shared.fleet();
        if let Some(key) = fleet.key(&worker.id) {
            fleet.loaded(key, load, shared.now());
        }
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        let end = End::Refused { pause: MISDIRECTED_PAUSE };
        return Some((failed(Verdict::NotRun, "another worker has the address"), end));
    }
    if answer.not_run {
        let end = End::Refused { pause: REFUSAL_PAUSE };
        return Some((failed(Verdict::NotRun, "refused by the worker"), end));
    }
    if !answer.genuine || answer.id.is_none() {
        return Some((failed(Verdict::MayHaveRun, "not the worker's own answer"), End::Failure));
    }
    None
}
