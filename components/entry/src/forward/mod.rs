//! Forwarding of a request to the workers of its route.
//!
//! Load pattern: a few dozen short requests a second to few workers, of which one may be slow,
//! unresponsive or gone without notice. Each attempt has its own timeout, so that an unresponsive
//! worker costs only part of the caller's time. A response is forwarded only when it is complete,
//! except for event streams.

pub(crate) mod attempt;
pub mod reply;
mod stream;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use filbertsail_errors::Verdict;
use filbertsail_http::Body;
use filbertsail_telemetry::event::Line;
use filbertsail_workspaces::Digest;
use http::{HeaderMap, Method, Response, StatusCode};

use crate::{
    access,
    admission::Permit,
    config::{Kind, Route},
    dialect::{Caller, Dialect},
    fleet::{Criteria, Worker},
    shared::Shared,
};

/// Timeout of an attempt, as a multiple of the target latency, while another worker may be tried.
const ATTEMPT_TARGET_MULTIPLE: u32 = 2;
/// Largest share of the remaining time for an attempt while another worker may be tried.
const MAX_ATTEMPT_SHARE: f64 = 0.45;
/// Remaining time below which no further attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);
/// `Retry-After` if all tried workers refused or could not be reached.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(250);
/// `Retry-After` if there was no worker to try.
const NO_WORKER_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Request to forward, as read from the caller.
#[derive(Clone, Debug)]
pub struct Job {
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers that are forwarded.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// What the caller states in its headers.
    pub caller: Caller,
    /// When the request arrived.
    pub arrived: Instant,
    /// Workspace of the caller's key; absent without workspaces and on public routes.
    pub workspace: Option<Arc<str>>,
    /// Hash of the caller's key, present with the workspace.
    pub key: Option<Digest>,
    /// Rank among the requests of the service: that of the workspace, else that of the route; 0 is
    /// the highest.
    pub priority: u8,
    /// Whether the configuration has workspaces. Engines are then told the priority.
    pub has_workspaces: bool,
    pub sent: Sent,
}

/// Whether a request may have run, cheap to clone; set before it is sent to a worker.
#[derive(Clone, Debug, Default)]
pub struct Sent(Arc<AtomicBool>);

impl Sent {
    /// Records that the request may run from now on.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether the request may have run.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl Job {
    /// When the request times out for the caller or on its route.
    #[must_use]
    pub fn deadline(&self, route: &Route) -> Instant {
        let time_left = self.caller.time_left.unwrap_or(route.timeout).min(route.timeout);
        self.arrived.after(time_left)
    }

    /// Checks whether the request may be sent to a worker now.
    ///
    /// # Errors
    /// Fails with the reason if it may not.
    async fn check_access(&self, shared: &Shared, time_left: Duration) -> Result<(), &'static str> {
        access::check_again(shared, self.key, self.workspace.as_deref(), time_left).await
    }

    /// Identifier in logs.
    pub(crate) fn id(&self) -> &str {
        self.caller.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Forwards a request and returns the response for the caller.
pub async fn forward<D: Dialect>(shared: &Shared, route: &Route, job: Job) -> Response<Body> {
    if route.kind == Kind::Stream {
        return stream::forward::<D>(shared, route, job).await;
    }
    let deadline = job.deadline(route);
    let idempotent = route.kind == Kind::Idempotent;
    let mut permit = Permit::new(shared, route, &job);
    let mut tried: Vec<Key<Worker>> = Vec::new();
    let mut last_service = "";
    let mut verdict = Verdict::NotRun;
    let mut failure = "no worker known";
    let mut last_error: Option<Response<Body>> = None;
    for attempt in 1..=route.max_attempts.max(1) {
        let Some(service) = route.service(&mut rand::rng()) else { break };
        last_service = service;
        // A request that may have run holds its place; only others queue for one.
        if verdict == Verdict::NotRun
            && let Some(permit) = &mut permit
            && let Err(refusal) = permit.enter(service).await
        {
            return refusal;
        }
        if let Err(reason) = job.check_access(shared, deadline.since(shared.now())).await {
            failure = reason;
            break;
        }
        let now = shared.now();
        let time_left = deadline.since(now);
        if time_left < MIN_ATTEMPT_TIME {
            failure = "out of time";
            break;
        }
        let Some(worker) = choose(shared, service, &tried, idempotent, now) else { break };
        tried.push(worker);
        let may_retry = idempotent && attempt < route.max_attempts;
        let limit = attempt_limit(route, time_left, may_retry);
        // Connections that were idle together may have gone silent together.
        let reuses_idle = idempotent && verdict != Verdict::MayHaveRun;
        let result = attempt::run::<D>(shared, worker, &job, reuses_idle, limit, time_left).await;
        match result {
            attempt::Finish::Success(response) => return response,
            attempt::Finish::Error(response) => {
                verdict = verdict.combine(Verdict::Ran);
                if !may_retry {
                    return response;
                }
                last_error = Some(response);
            }
            attempt::Finish::Failed { verdict: run, reason } => {
                verdict = verdict.combine(run);
                failure = reason;
                if let Some(permit) = permit.as_ref().filter(|_| reason == attempt::REFUSED) {
                    permit.record_refusal(service);
                }
            }
        }
        if !verdict.may_retry() && !idempotent {
            break;
        }
    }
    if let Some(response) = last_error {
        return response;
    }
    if let Some(permit) =
        permit.filter(|_| (verdict, failure) == (Verdict::NotRun, attempt::REFUSED))
        && let Some(refusal) = permit.refuse(last_service)
    {
        return refusal;
    }
    failure_response(shared, route, &job, verdict, failure, tried.len())
}

/// Chooses a worker that has not been tried, or any if there is no other and `may_retry_tried`.
fn choose(
    shared: &Shared,
    service: &str,
    tried: &[Key<Worker>],
    may_retry_tried: bool,
    now: Instant,
) -> Option<Key<Worker>> {
    let criteria = Criteria { service, zone: &shared.identity.zone, tried };
    let (fleet, mut rng) = (shared.fleet(), rand::rng());
    let untried = fleet.choose(criteria, now, &mut rng);
    untried.or_else(|| {
        may_retry_tried.then(|| fleet.choose(Criteria { tried: &[], ..criteria }, now, &mut rng))?
    })
}

/// Timeout of an attempt when `time_left` remains; `may_retry` reserves time for another worker.
#[must_use]
pub fn attempt_limit(route: &Route, time_left: Duration, may_retry: bool) -> Duration {
    if !may_retry {
        return time_left;
    }
    let target = route.target_latency * ATTEMPT_TARGET_MULTIPLE;
    target.min(time_left.mul_f64(MAX_ATTEMPT_SHARE)).max(MIN_ATTEMPT_TIME)
}

/// Logs the failure of a request and returns the response for the caller.
fn failure_response(
    shared: &Shared,
    route: &Route,
    job: &Job,
    verdict: Verdict,
    reason: &str,
    attempts: usize,
) -> Response<Body> {
    let now = shared.now();
    Line::new("request_failed")
        .with("id", job.id())
        .with("route", &route.name)
        .with("verdict", verdict)
        .with("reason", reason)
        .with("attempts", attempts)
        .with("took_ms", now.since(job.arrived).as_millis())
        .warn();
    match verdict {
        Verdict::NotRun if reason == access::KEY_WITHDRAWN => {
            reply::json(StatusCode::UNAUTHORIZED, reason)
        }
        Verdict::NotRun if attempts == 0 => reply::refuse(reason, NO_WORKER_RETRY_AFTER),
        Verdict::NotRun => reply::refuse(reason, REFUSED_RETRY_AFTER),
        _ if now.after(MIN_ATTEMPT_TIME) >= job.deadline(route) => {
            reply::json(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        _ => reply::json(StatusCode::BAD_GATEWAY, reason),
    }
}
