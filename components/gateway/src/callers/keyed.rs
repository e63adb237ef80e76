//! Non-idempotent requests with an idempotency key.
//!
//! A request that has a claim runs to its end even if its caller leaves, so that a repeat gets the
//! answer.

use filbertsail_claims::{Admission, Answer, Key, row::request_digest};
use filbertsail_errors::{VERDICT_HEADER, Verdict};
use filbertsail_http::Body;
use filbertsail_ports::object::Store as _;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use tokio::sync::oneshot;

use super::Callers;
use crate::{
    fault::Fault,
    ports::Ticket,
    proxy::{self, Content, Plan, Reply},
};

/// Header with the key.
pub(super) const HEADER: &str = "idempotency-key";
/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 256;

pub(super) async fn handle(
    callers: &Callers,
    plan: Plan,
    key: &HeaderValue,
) -> Result<Response<Body>, Fault> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("the key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Fault::refused(StatusCode::BAD_REQUEST, "invalid_key", message));
    }
    let text = String::from_utf8_lossy(key.as_bytes());
    let key = Key::new(&plan.service.name, &plan.team, &text);
    let digest = request_digest(plan.method.as_str(), &plan.path, &plan.body);
    let admission = callers.claims.acquire(&key, &digest, plan.deadline).await;
    match admission {
        Ok(Admission::Run(ticket)) => run(callers, plan, ticket).await,
        Ok(Admission::Answer(answer)) => stored(callers, answer).await,
        Ok(Admission::Mismatch) => Err(Fault::refused(
            StatusCode::UNPROCESSABLE_ENTITY,
            "key_reused",
            "the key was used for another request",
        )),
        Ok(Admission::Pending) => Err(Fault::new(
            StatusCode::CONFLICT,
            "still_running",
            "the first request with this key still runs",
            Verdict::MayHaveRun,
        )),
        Ok(Admission::OwnerGone) => Err(Fault::new(
            StatusCode::BAD_GATEWAY,
            "owner_gone",
            "the gateway that ran the request is gone",
            Verdict::MayHaveRun,
        )),
        Err(refused) => Err(Fault::refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "claim_not_committed",
            // Without the claim row nothing is known of earlier attempts.
            format!("{refused}; an earlier attempt with the same key may have run"),
        )),
    }
}

async fn run(callers: &Callers, plan: Plan, ticket: Ticket) -> Result<Response<Body>, Fault> {
    let (sender, answer) = oneshot::channel();
    let context = callers.context.clone();
    callers.context.tasks.spawn(async move {
        match proxy::execute(&context, &plan).await {
            Ok(reply) => keep(reply, ticket, sender).await,
            Err(fault) => {
                let stored = Answer::Failed {
                    verdict: fault.verdict,
                    code: fault.code.to_owned(),
                    message: fault.message.clone(),
                };
                let not_run = fault.verdict.may_retry();
                // The caller may be gone; the claim is settled all the same.
                let _ = sender.send(Err(fault));
                if not_run { ticket.release().await } else { ticket.store_failure(stored).await }
            }
        }
    });
    answer.await.unwrap_or_else(|_| {
        Err(Fault::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "the request ended without an answer",
            Verdict::MayHaveRun,
        ))
    })
}

/// Answers the caller at once and then stores the answer for repeats.
async fn keep(
    reply: Reply,
    ticket: Ticket,
    sender: oneshot::Sender<Result<Response<Body>, Fault>>,
) {
    let Reply { head, body } = reply;
    let (status, headers) = (head.status.as_u16(), texts(&head.headers));
    let not_run = head.headers.get(VERDICT_HEADER).is_some_and(|verdict| verdict == "not_run");
    match body {
        Content::Buffered(bytes) => {
            let _ = sender.send(Ok(Response::from_parts(head, Body::full(bytes.clone()))));
            if not_run {
                ticket.release().await;
            } else {
                ticket.store_response(status, headers, bytes).await;
            }
        }
        Content::Streamed(body) => {
            let _ = sender.send(Ok(Response::from_parts(head, body)));
            ticket.store_unavailable_response().await;
        }
    }
}

fn texts(headers: &http::HeaderMap) -> Vec<(String, String)> {
    let text = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    headers.iter().filter_map(text).collect()
}

async fn stored(callers: &Callers, answer: Answer) -> Result<Response<Body>, Fault> {
    match answer {
        Answer::Whole { status, headers, body } => {
            let body = hex::decode(body).map_err(|_| lost("stored answer is damaged"))?;
            Ok(response(status, &headers, Body::full(body)))
        }
        Answer::Stored { status, headers, object } => {
            let body = callers.objects.get(&object).await;
            let body = body.map_err(|error| lost(&error.to_string()))?;
            Ok(response(status, &headers, Body::full(body)))
        }
        Answer::Failed { verdict, message, .. } => {
            Err(Fault::new(StatusCode::BAD_GATEWAY, "first_request_failed", message, verdict))
        }
    }
}

fn lost(message: &str) -> Fault {
    Fault::new(StatusCode::BAD_GATEWAY, "answer_not_kept", message, Verdict::Ran)
}

fn response(status: u16, headers: &[(String, String)], body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(name.as_str()), HeaderValue::try_from(value.as_str()))
        {
            response.headers_mut().append(name, value);
        }
    }
    response
}
