//! Forwarding of one request to workers of its route's service.
//!
//! Load pattern: a few dozen short requests a second before few workers, of which one may be slow,
//! silent or gone without notice. Each attempt has a time of its own, so that a silent worker costs
//! a part of the caller's time and not all of it. An answer is passed on only when it is whole.

pub(crate) mod attempt;
pub mod reply;
mod stream;

use std::time::Duration;

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use filbertsail_errors::Verdict;
use filbertsail_http::Body;
use filbertsail_telemetry::event::Line;
use http::{HeaderMap, Method, Response, StatusCode};

use crate::{
    config::{Kind, Route},
    dialect::{Caller, Dialect},
    fleet::{Wish, Worker},
    shared::Shared,
};

/// Multiple of the target latency that a worker gets before another one is tried.
const ATTEMPT_TARGETS: u32 = 2;
/// Part of the time left that a worker gets at the most while another one may be tried.
const ATTEMPT_SHARE: f64 = 0.45;
/// Least time left for which another worker is tried.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// Time after which a caller should come back when all workers are full.
const FULL_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Time after which a caller should come back when no worker is known.
const NONE_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Request as read from the caller.
#[derive(Clone, Debug)]
pub struct Job {
    /// Method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What the caller states.
    pub caller: Caller,
    /// When the request arrived.
    pub arrived: Instant,
}

impl Job {
    /// When the caller or its route gives up.
    #[must_use]
    pub fn deadline(&self, route: &Route) -> Instant {
        let left = self.caller.time_left.unwrap_or(route.timeout).min(route.timeout);
        self.arrived.after(left)
    }

    fn id(&self) -> &str {
        self.caller.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-")
    }
}

/// Forwards a request and returns the answer for the caller.
pub async fn forward<D: Dialect>(shared: &Shared, route: &Route, job: Job) -> Response<Body> {
    if route.kind == Kind::Stream {
        return stream::forward::<D>(shared, route, job).await;
    }
    let deadline = job.deadline(route);
    let repeatable = route.kind == Kind::Idempotent;
    let mut tried: Vec<Key<Worker>> = Vec::new();
    let mut verdict = Verdict::NotRun;
    let mut failure = "no worker known";
    let mut last: Option<Response<Body>> = None;
    for attempt in 1..=route.max_attempts.max(1) {
        let now = shared.now();
        let left = deadline.since(now);
        if left < LEAST_TIME {
            failure = "out of time";
            break;
        }
        let Some(service) = route.service(&mut rand::rng()) else { break };
        let Some(worker) = choose(shared, service, &tried, repeatable, now) else { break };
        tried.push(worker);
        let more = repeatable && attempt < route.max_attempts;
        let limit = attempt_limit(route, left, more);
        let result = attempt::run::<D>(shared, worker, &job, repeatable, limit, left).await;
        match result {
            attempt::Finish::Answer(response) => return response,
            attempt::Finish::Error(response) => {
                verdict = verdict.combine(Verdict::Ran);
                if !more {
                    return response;
                }
                last = Some(response);
            }
            attempt::Finish::Failed { verdict: run, reason } => {
                verdict = verdict.combine(run);
                failure = reason;
            }
        }
        if !verdict.may_retry() && !repeatable {
            break;
        }
    }
    if let Some(response) = last {
        return response;
    }
    give_up(shared, route, &job, verdict, failure, tried.len())
}

/// Worker for an attempt: one that was not tried, or any where the request may run again.
fn choose(
    shared: &Shared,
    service: &str,
    tried: &[Key<Worker>],
    again: bool,
    now: Instant,
) -> Option<Key<Worker>> {
    let wish = Wish { service, zone: &shared.identity.zone, tried };
    let (fleet, mut rng) = (shared.fleet(), rand::rng());
    let fresh = fleet.choose(wish, now, &mut rng);
    fresh.or_else(|| again.then(|| fleet.choose(Wish { tried: &[], ..wish }, now, &mut rng))?)
}

/// Time that one worker gets.
#[must_use]
pub fn attempt_limit(route: &Route, left: Duration, more: bool) -> Duration {
    if !more {
        return left;
    }
    let target = route.target_latency * ATTEMPT_TARGETS;
    target.min(left.mul_f64(ATTEMPT_SHARE)).max(LEAST_TIME)
}

/// Final answer of a request that no worker answered.
fn give_up(
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
        Verdict::NotRun if attempts == 0 => reply::refuse(reason, NONE_RETRY_AFTER),
        Verdict::NotRun => reply::refuse(reason, FULL_RETRY_AFTER),
        _ if now.after(LEAST_TIME) >= job.deadline(route) => {
            reply::json(StatusCode::GATEWAY_TIMEOUT, reason)
        }
        _ => reply::json(StatusCode::BAD_GATEWAY, reason),
    }
}
