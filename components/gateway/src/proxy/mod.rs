//! Requests to application services.

mod attempt;
pub mod headers;

use std::sync::Arc;

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_config::inventory::{Class, Service as Entry};
use filbertsail_errors::{VERDICT_HEADER, Verdict};
use filbertsail_http::Body;
use filbertsail_routing::state::Outcome;
use http::{HeaderMap, Method, StatusCode, response::Parts};
use tokio::time;

use crate::{
    backend::{
        Failure, Kind,
        body::{Rest, Whole},
    },
    context::Context,
    fault::{Fault, verdict_value},
    generate::{fault, outcome},
    router::{Admission, Grant},
};

/// Most attempts at one request.
const MAX_ATTEMPTS: u32 = 3;

/// Request to an application service.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Request identifier towards the caller.
    pub request_id: String,
    /// Service.
    pub service: Arc<Entry>,
    /// Team that shares with others.
    pub team: String,
    /// Method.
    pub method: Method,
    /// Path and query at the service.
    pub path: String,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// When an answer is of no use any more.
    pub deadline: Instant,
}

/// Answer of an application service.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers without the hop-by-hop ones.
    pub head: Parts,
    /// Body.
    pub body: Content,
}

/// Body of a [`Reply`].
#[derive(Debug)]
pub enum Content {
    /// Whole.
    Buffered(Bytes),
    /// Forwarded part by part; it aborts if the answer breaks off.
    Streamed(Body),
}

/// Whether a repeated run does no harm.
#[must_use]
pub fn is_idempotent(service: &Entry, method: &Method, path: &str) -> bool {
    let listed = |paths: &[String]| paths.iter().any(|prefix| path.starts_with(&**prefix));
    match *method {
        Method::GET | Method::HEAD | Method::OPTIONS => true,
        Method::PUT | Method::DELETE => !listed(&service.unrepeatable_paths),
        _ => listed(&service.idempotent_paths),
    }
}

enum Tried {
    /// Answer for the caller.
    Answer(Parts, Whole),
    /// Answer that counts as a failure but may be passed on if it was the last attempt.
    Bad(Parts, Whole, Failure),
}

/// Sends a request until there is an answer or no attempt is left.
///
/// # Errors
/// Fails with a verdict over all attempts.
pub async fn execute(context: &Context, plan: &Plan) -> Result<Reply, Fault> {
    let idempotent = is_idempotent(&plan.service, &plan.method, &plan.path);
    let mut avoid = Vec::new();
    let mut last: Option<Fault> = None;
    let mut verdict = Verdict::NotRun;
    for number in 1.. {
        let grant = context.router.admit(admission(plan, &avoid, number > 1)).await;
        // A retry that is refused leaves the fault of the attempt before.
        let grant =
            grant.map_err(|refusal| last.take().unwrap_or(refusal.into()).after(verdict))?;
        if context.left(plan.deadline).is_zero() {
            return Err(last.unwrap_or_else(Fault::too_late).after(verdict));
        }
        let started = context.now();
        let worker = grant.server.name.clone();
        let tried = time::timeout(
            context.left(plan.deadline),
            attempt::run(context, plan, &grant, idempotent),
        );
        let tried =
            tried.await.unwrap_or_else(|_| Err(Failure::sent(Kind::TimedOut, "deadline passed")));
        let (failure, answer) = match tried {
            Ok(Tried::Answer(head, whole)) => {
                return Ok(answered(context, grant, started, head, whole));
            }
            Ok(Tried::Bad(head, whole, failure)) => (failure, Some((head, whole))),
            Err(failure) => (failure, None),
        };
        let again = (idempotent || failure.verdict.may_retry())
            && failure.kind != Kind::Malformed
            && number < MAX_ATTEMPTS
            && !context.left(plan.deadline).is_zero();
        let outcome = outcome(&failure);
        verdict = verdict.combine(failure.verdict);
        match answer {
            Some((head, whole)) if !again => {
                let mut reply = answered_with(context, grant, outcome, head, whole);
                reply.head.headers.insert(VERDICT_HEADER, verdict_value(verdict));
                return Ok(reply);
            }
            _ if !again => {
                grant.finish(outcome);
                return Err(fault(&failure).after(verdict));
            }
            _ => grant.finish(outcome),
        }
        last = Some(fault(&failure));
        avoid.push(worker);
    }
    unreachable!("the loop ends by return")
}

fn admission(plan: &Plan, avoid: &[String], retry: bool) -> Admission {
    Admission {
        request_id: plan.request_id.clone(),
        service: plan.service.name.clone(),
        class: Class::Customer,
        team: plan.team.clone(),
        cost: 1,
        priority: 0,
        min_version: None,
        prefixes: Vec::new(),
        avoid: avoid.to_vec(),
        exclude: Vec::new(),
        deadline: plan.deadline,
        retry,
    }
}

fn answered(context: &Context, grant: Grant, started: Instant, head: Parts, whole: Whole) -> Reply {
    let took = context.now().since(started);
    answered_with(context, grant, Outcome::Success { duration: took }, head, whole)
}

fn answered_with(
    context: &Context,
    grant: Grant,
    outcome: Outcome,
    mut head: Parts,
    whole: Whole,
) -> Reply {
    headers::strip(&mut head.headers);
    let body = match whole {
        Whole::Buffered(bytes) => {
            grant.finish(outcome);
            Content::Buffered(bytes)
        }
        Whole::Large(rest) => Content::Streamed(forward(context, grant, outcome, rest)),
    };
    Reply { head, body }
}

fn forward(context: &Context, grant: Grant, success: Outcome, rest: Rest) -> Body {
    let (body, pump) = rest.forward();
    context.tasks.spawn(async move {
        grant.finish(match pump.await {
            Ok(()) => success,
            Err(failure) => outcome(&failure),
        });
    });
    body
}

/// Status that says more about the server than about the request.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}
