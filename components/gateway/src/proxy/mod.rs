//! Proxy for requests to application services, with retries.

mod attempt;
pub mod headers;

use std::sync::Arc;

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_config::inventory::{Class, Service};
use filbertsail_errors::{VERDICT_HEADER, Verdict};
use filbertsail_http::Body;
use filbertsail_routing::state::Outcome;
use http::{HeaderMap, Method, StatusCode, response::Parts};
use tokio::time;

use crate::{
    backend::{
        Failure, Kind,
        body::{Partial, Received},
    },
    context::Context,
    fault::{Fault, verdict_value},
    generate::{to_fault, worker_outcome},
    router::{Admission, Permit},
};

/// Attempts per request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Request to an application service.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request identifier as the caller sees it.
    pub request_id: String,
    pub service: Arc<Service>,
    /// Team, for fair sharing within the class.
    pub team: String,
    pub method: Method,
    /// Path and query as sent to the service.
    pub path: String,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    pub deadline: Instant,
}

/// Response of an application service.
#[derive(Debug)]
pub struct Reply {
    /// Status and end-to-end headers.
    pub head: Parts,
    pub body: Content,
}

/// Body of a [`Reply`].
#[derive(Debug)]
pub enum Content {
    /// Complete body.
    Buffered(Bytes),
    /// Forwarded chunk by chunk; aborts if the response is truncated.
    Streamed(Body),
}

/// Whether the request may run more than once, by method and the service's configured paths.
#[must_use]
pub fn is_idempotent(service: &Service, method: &Method, path: &str) -> bool {
    let listed = |paths: &[String]| paths.iter().any(|prefix| path.starts_with(&**prefix));
    match *method {
        Method::GET | Method::HEAD | Method::OPTIONS => true,
        Method::PUT | Method::DELETE => !listed(&service.unrepeatable_paths),
        _ => listed(&service.idempotent_paths),
    }
}

/// Result of an attempt with a complete response head.
enum Attempt {
    /// Response for the caller.
    Success(Parts, Received),
    /// Error response; forwarded to the caller only if it was the last attempt.
    Error(Parts, Received, Failure),
}

/// Sends a request, retrying while that is safe.
///
/// # Errors
/// Fails with the combined verdict of all attempts.
pub async fn execute(context: &Context, request: &Request) -> Result<Reply, Fault> {
    let idempotent = is_idempotent(&request.service, &request.method, &request.path);
    let mut avoid = Vec::new();
    let mut last_fault: Option<Fault> = None;
    let mut verdict = Verdict::NotRun;
    for attempt_number in 1.. {
        let permit = context.router.admit(admission(request, &avoid, attempt_number > 1)).await;
        // If a retry is not admitted, report the failure of the previous attempt.
        let permit = permit.map_err(|refusal| {
            last_fault.take().unwrap_or(refusal.into()).with_earlier_verdict(verdict)
        })?;
        if context.time_left(request.deadline).is_zero() {
            return Err(last_fault
                .unwrap_or_else(Fault::deadline_passed)
                .with_earlier_verdict(verdict));
        }
        let started = context.now();
        let worker = permit.server.name.clone();
        let attempt = time::timeout(
            context.time_left(request.deadline),
            attempt::run(context, request, &permit, idempotent),
        );
        let attempt = attempt
            .await
            .unwrap_or_else(|_| Err(Failure::may_have_run(Kind::TimedOut, "deadline passed")));
        let (failure, error_response) = match attempt {
            Ok(Attempt::Success(head, received)) => {
                return Ok(success_reply(context, permit, started, head, received));
            }
            Ok(Attempt::Error(head, received, failure)) => (failure, Some((head, received))),
            Err(failure) => (failure, None),
        };
        let will_retry = (idempotent || failure.verdict.may_retry())
            && failure.kind != Kind::Malformed
            && attempt_number < MAX_ATTEMPTS
            && !context.time_left(request.deadline).is_zero();
        let outcome = worker_outcome(&failure);
        verdict = verdict.combine(failure.verdict);
        match error_response {
            Some((head, received)) if !will_retry => {
                let mut reply = reply_with_outcome(context, permit, outcome, head, received);
                reply.head.headers.insert(VERDICT_HEADER, verdict_value(verdict));
                return Ok(reply);
            }
            _ if !will_retry => {
                permit.finish(outcome);
                return Err(to_fault(&failure).with_earlier_verdict(verdict));
            }
            _ => permit.finish(outcome),
        }
        last_fault = Some(to_fault(&failure));
        avoid.push(worker);
    }
    unreachable!("the loop ends by return")
}

fn admission(request: &Request, avoid: &[String], retry: bool) -> Admission {
    Admission {
        request_id: request.request_id.clone(),
        service: request.service.name.clone(),
        class: Class::Customer,
        team: request.team.clone(),
        cost: 1,
        priority: 0,
        min_version: None,
        prefixes: Vec::new(),
        avoid: avoid.to_vec(),
        exclude: Vec::new(),
        deadline: request.deadline,
        retry,
    }
}

fn success_reply(
    context: &Context,
    permit: Permit,
    started: Instant,
    head: Parts,
    received: Received,
) -> Reply {
    let elapsed = context.now().since(started);
    reply_with_outcome(context, permit, Outcome::Success { duration: elapsed }, head, received)
}

fn reply_with_outcome(
    context: &Context,
    permit: Permit,
    outcome: Outcome,
    mut head: Parts,
    received: Received,
) -> Reply {
    headers::strip_hop_by_hop(&mut head.headers);
    let body = match received {
        Received::Buffered(bytes) => {
            permit.finish(outcome);
            Content::Buffered(bytes)
        }
        Received::Large(partial) => {
            Content::Streamed(stream_body(context, permit, outcome, partial))
        }
    };
    Reply { head, body }
}

fn stream_body(
    context: &Context,
    permit: Permit,
    final_outcome: Outcome,
    partial: Partial,
) -> Body {
    let (body, feed) = partial.forward();
    context.tasks.spawn(async move {
        permit.finish(match feed.await {
            Ok(()) => final_outcome,
            Err(failure) => worker_outcome(&failure),
        });
    });
    body
}

/// Whether a status indicates a problem of the server rather than of the request.
fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}
