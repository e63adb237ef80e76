//! Completions: one engine stream after another until the answer is whole.
//!
//! The engine always streams, so that every token is checked as it arrives. A broken stream goes
//! on at another worker from its last token if the service allows it. Otherwise an answer of which
//! the caller has seen nothing starts again from the first token.

mod attempt;
mod progress;

use std::{sync::Arc, time::Duration};

use filbertsail_api::engine::{Event, Label};
use filbertsail_clock::Instant;
use filbertsail_config::inventory::{Class, Service as Entry};
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
    router::{Admission, Grant},
};

/// Most attempts at one answer.
const MAX_ATTEMPTS: u32 = 4;

/// What to generate.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Request identifier towards the caller.
    pub request_id: String,
    /// Service.
    pub service: Arc<Entry>,
    /// Class of work.
    pub class: Class,
    /// Team that shares with others.
    pub team: String,
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens.
    pub max_tokens: u32,
    /// Priority within the class.
    pub priority: u32,
    /// Oldest weight version allowed.
    pub min_version: Option<u64>,
    /// Workers to leave out, or other samples whose workers to leave out.
    pub exclude: Vec<String>,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// The caller wants each token as it arrives.
    pub streams: bool,
}

/// Whole answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Whole {
    /// Worker that finished it.
    pub worker: String,
    /// Whole text.
    pub text: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Weight versions by token range, from the tokens themselves.
    pub labels: Vec<Label>,
    /// stop, length or cancelled.
    pub reason: String,
}

/// Part of an answer on its way to the caller.
#[derive(Clone, Debug)]
pub enum Item {
    /// Token, if the plan streams.
    Token(Event),
    /// End; the answer is whole.
    Whole(Whole),
    /// End; the answer is not whole.
    Fault(Fault),
}

/// Generates an answer; ends early when the receiver of `sink` is dropped.
pub async fn run(context: &Context, plan: &Plan, sink: mpsc::Sender<Item>) {
    let result = tokio::select! {
        () = sink.closed() => return,
        result = attempts(context, plan, &sink) => result,
    };
    let last = match result {
        Ok(whole) => Item::Whole(whole),
        Err(fault) => Item::Fault(fault),
    };
    // Fails if the caller is gone.
    let _ = sink.send(last).await;
}

async fn attempts(
    context: &Context,
    plan: &Plan,
    sink: &mpsc::Sender<Item>,
) -> Result<Whole, Fault> {
    let mut progress = Progress::default();
    let mut avoid = Vec::new();
    let mut last: Option<Fault> = None;
    let mut verdict = Verdict::NotRun;
    for number in 0.. {
        let admission = admission(plan, &avoid, number > 0);
        let grant = context.router.admit(admission).await;
        // A retry that is refused leaves the fault of the attempt before.
        let grant =
            grant.map_err(|refusal| last.take().unwrap_or(refusal.into()).after(verdict))?;
        if context.left(plan.deadline).is_zero() {
            return Err(last.unwrap_or_else(Fault::too_late).after(verdict));
        }
        let (started, left) = (context.now(), context.left(plan.deadline));
        let worker = grant.server.name.clone();
        let failure = match attempt_in_time(context, plan, &grant, &mut progress, sink).await {
            Ok(reason) => {
                grant.finish(Outcome::Success { duration: context.now().since(started) });
                return Ok(progress.whole(worker, reason));
            }
            Err(failure) => failure,
        };
        let took = context.now().since(started);
        let limit = Duration::from_millis(plan.service.timeout_ms);
        grant.finish(match outcome(&failure) {
            Outcome::Failure if is_late(&failure, took, left, limit) => {
                Outcome::DeadlineExceeded { duration: took }
            }
            outcome => outcome,
        });
        verdict = verdict.combine(failure.verdict);
        let again = number + 1 < MAX_ATTEMPTS
            && failure.kind != Kind::Malformed
            && !context.left(plan.deadline).is_zero()
            && prepare_next(plan, &mut progress);
        if !again {
            return Err(fault(&failure).after(verdict));
        }
        last = Some(fault(&failure));
        avoid.push(worker);
    }
    unreachable!("the loop ends by return")
}

/// Whether another attempt can continue or start again.
fn prepare_next(plan: &Plan, progress: &mut Progress) -> bool {
    if progress.tokens() == 0 || plan.service.resumes_streams {
        return true;
    }
    if plan.streams {
        return false;
    }
    *progress = Progress::default();
    true
}

fn admission(plan: &Plan, avoid: &[String], retry: bool) -> Admission {
    Admission {
        request_id: plan.request_id.clone(),
        service: plan.service.name.clone(),
        class: plan.class,
        team: plan.team.clone(),
        cost: u64::from(plan.max_tokens),
        priority: plan.priority,
        min_version: plan.min_version,
        prefixes: prompt::prefixes(&plan.prompt),
        avoid: avoid.to_vec(),
        exclude: plan.exclude.clone(),
        deadline: plan.deadline,
        retry,
    }
}

async fn attempt_in_time(
    context: &Context,
    plan: &Plan,
    grant: &Grant,
    progress: &mut Progress,
    sink: &mpsc::Sender<Item>,
) -> Result<String, Failure> {
    let left: Duration = context.left(plan.deadline);
    let sink = plan.streams.then_some(sink);
    let attempt = time::timeout(left, attempt::run(context, plan, grant, progress, sink));
    tokio::select! {
        result = attempt => result
            .unwrap_or_else(|_| Err(Failure::sent(Kind::TimedOut, "deadline passed"))),
        () = grant.server.lost() => {
            Err(Failure::sent(Kind::TimedOut, "the engine no longer answers"))
        }
    }
}

/// Whether an attempt ran into a deadline that left less than half of the service's time limit.
/// Under overload such ends say more about the wait before than about the worker.
fn is_late(failure: &Failure, took: Duration, left: Duration, limit: Duration) -> bool {
    failure.kind == Kind::TimedOut && took >= left && left < limit / 2
}

/// What a failure says about the worker.
pub(crate) fn outcome(failure: &Failure) -> Outcome {
    match failure.kind {
        Kind::Refused => Outcome::Overload,
        Kind::Malformed => Outcome::Inconclusive,
        _ if failure.stale_connection => Outcome::Inconclusive,
        _ => Outcome::Failure,
    }
}

/// Fault of a request whose last attempt failed.
pub(crate) fn fault(failure: &Failure) -> Fault {
    let status = match failure.kind {
        Kind::Malformed => StatusCode::BAD_REQUEST,
        Kind::Refused => StatusCode::SERVICE_UNAVAILABLE,
        Kind::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    Fault::new(status, failure.kind.code(), failure.message.clone(), failure.verdict)
}
