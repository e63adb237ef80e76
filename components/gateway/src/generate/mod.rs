//! Completions, with retries until the output is complete.
//!
//! Engines always stream, so that each token is checked as it arrives. If the service can resume
//! streams, a broken one continues at another worker after its last token. Otherwise the completion
//! restarts from the first token, unless the caller has already received some.

mod attempt;
mod progress;

use std::{sync::Arc, time::Duration};

use filbertsail_api::engine::{Event, Label};
use filbertsail_clock::Instant;
use filbertsail_config::inventory::{Class, Service};
use filbertsail_errors::Verdict;
use filbertsail_routing::state::Outcome;
use http::StatusCode;
use tokio::{sync::mpsc, time};

use self::progress::Progress;
use crate::{
    backend::{Failure, Kind},
    context::Context,
    fault::Fault,
    prompt,
    router::{Admission, Permit},
};

/// Attempts per completion, including the first.
const MAX_ATTEMPTS: u32 = 4;

/// Completion to generate.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request identifier as the caller sees it.
    pub request_id: String,
    pub service: Arc<Service>,
    pub class: Class,
    /// Team, for fair sharing within the class.
    pub team: String,
    pub prompt: String,
    pub max_tokens: u32,
    /// Priority within the class.
    pub priority: u32,
    /// Oldest acceptable weight version.
    pub min_version: Option<u64>,
    /// Workers never to use, by name or by the identifier of a sample that they run.
    pub exclude: Vec<String>,
    pub deadline: Instant,
    /// Whether the caller wants each token as it arrives.
    pub streams: bool,
}

/// Complete output.
#[derive(Clone, Debug, PartialEq)]
pub struct Output {
    /// Worker that generated the last token.
    pub worker: String,
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Weight versions by token range, as received with the tokens.
    pub labels: Vec<Label>,
    /// Finish reason of the engine: `stop` or `length`.
    pub reason: String,
}

/// Event of a completion for the caller.
#[derive(Clone, Debug)]
pub enum Item {
    /// Token, if the caller streams.
    Token(Event),
    /// Successful end.
    Complete(Output),
    /// Failed end; the output so far is incomplete.
    Fault(Fault),
}

/// Generates a completion; stops when the receiver of `sink` is dropped.
pub async fn run(context: &Context, request: &Request, sink: mpsc::Sender<Item>) {
    let result = tokio::select! {
        () = sink.closed() => return,
        result = run_attempts(context, request, &sink) => result,
    };
    let end = match result {
        Ok(output) => Item::Complete(output),
        Err(fault) => Item::Fault(fault),
    };
    // Fails if the caller has disconnected.
    let _ = sink.send(end).await;
}

async fn run_attempts(
    context: &Context,
    request: &Request,
    sink: &mpsc::Sender<Item>,
) -> Result<Output, Fault> {
    let mut progress = Progress::default();
    let mut avoid = Vec::new();
    let mut last_fault: Option<Fault> = None;
    let mut verdict = Verdict::NotRun;
    for attempt_number in 0.. {
        let admission = admission(request, &avoid, attempt_number > 0);
        let permit = context.router.admit(admission).await;
        // If a retry is not admitted, report the failure of the previous attempt.
        let permit = permit.map_err(|refusal| {
            last_fault.take().unwrap_or(refusal.into()).with_earlier_verdict(verdict)
        })?;
        if context.time_left(request.deadline).is_zero() {
            return Err(last_fault
                .unwrap_or_else(Fault::deadline_passed)
                .with_earlier_verdict(verdict));
        }
        let (started, left) = (context.now(), context.time_left(request.deadline));
        let worker = permit.server.name.clone();
        let failure = match run_attempt(context, request, &permit, &mut progress, sink).await {
            Ok(reason) => {
                permit.finish(Outcome::Success { duration: context.now().since(started) });
                return Ok(progress.into_output(worker, reason));
            }
            Err(failure) => failure,
        };
        let elapsed = context.now().since(started);
        let limit = Duration::from_millis(request.service.timeout_ms);
        permit.finish(match worker_outcome(&failure) {
            Outcome::Failure if is_short_deadline(&failure, elapsed, left, limit) => {
                Outcome::DeadlineExceeded { duration: elapsed }
            }
            outcome => outcome,
        });
        verdict = verdict.combine(failure.verdict);
        let will_retry = attempt_number + 1 < MAX_ATTEMPTS
            && failure.kind != Kind::Malformed
            && !context.time_left(request.deadline).is_zero()
            && prepare_retry(request, &mut progress);
        if !will_retry {
            return Err(to_fault(&failure).with_earlier_verdict(verdict));
        }
        last_fault = Some(to_fault(&failure));
        avoid.push(worker);
    }
    unreachable!("the loop ends by return")
}

/// Prepares another attempt that resumes or restarts; returns whether one is possible.
fn prepare_retry(request: &Request, progress: &mut Progress) -> bool {
    if progress.tokens() == 0 || request.service.resumes_streams {
        return true;
    }
    if request.streams {
        return false;
    }
    *progress = Progress::default();
    true
}

fn admission(request: &Request, avoid: &[String], retry: bool) -> Admission {
    Admission {
        request_id: request.request_id.clone(),
        service: request.service.name.clone(),
        class: request.class,
        team: request.team.clone(),
        cost: u64::from(request.max_tokens),
        priority: request.priority,
        min_version: request.min_version,
        prefixes: prompt::prefix_hashes(&request.prompt),
        avoid: avoid.to_vec(),
        exclude: request.exclude.clone(),
        deadline: request.deadline,
        retry,
    }
}

async fn run_attempt(
    context: &Context,
    request: &Request,
    permit: &Permit,
    progress: &mut Progress,
    sink: &mpsc::Sender<Item>,
) -> Result<String, Failure> {
    let left: Duration = context.time_left(request.deadline);
    let sink = request.streams.then_some(sink);
    let attempt = time::timeout(left, attempt::run(context, request, permit, progress, sink));
    tokio::select! {
        result = attempt => result
            .unwrap_or_else(|_| Err(Failure::may_have_run(Kind::TimedOut, "deadline passed"))),
        () = permit.server.wait_unreachable() => {
            Err(Failure::may_have_run(Kind::TimedOut, "the engine no longer answers"))
        }
    }
}

/// Whether an attempt hit a deadline that left it less than half of the service's timeout. Under
/// overload that is due to the time spent in the queue rather than to the worker.
fn is_short_deadline(
    failure: &Failure,
    elapsed: Duration,
    left: Duration,
    limit: Duration,
) -> bool {
    failure.kind == Kind::TimedOut && elapsed >= left && left < limit / 2
}

/// Outcome to record for the worker.
pub(crate) fn worker_outcome(failure: &Failure) -> Outcome {
    match failure.kind {
        Kind::Refused => Outcome::Overload,
        Kind::Malformed => Outcome::Inconclusive,
        _ if failure.stale_connection => Outcome::Inconclusive,
        _ => Outcome::Failure,
    }
}

/// Error response for a request whose last attempt failed with `failure`.
pub(crate) fn to_fault(failure: &Failure) -> Fault {
    let status = match failure.kind {
        Kind::Malformed => StatusCode::BAD_REQUEST,
        Kind::Refused => StatusCode::SERVICE_UNAVAILABLE,
        Kind::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    Fault::new(status, failure.kind.code(), failure.message.clone(), failure.verdict)
}
