//! Non-idempotent requests with an idempotency key.
//!
//! A request that holds a claim runs to completion even if its caller disconnects, so that a
//! repeated request gets the response.

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
    proxy::{self, Content, Reply, Request},
};

/// Request header with the idempotency key.
pub(super) const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 256;

pub(super) async fn handle(
    callers: &Callers,
    request: Request,
    key: &HeaderValue,
) -> Result<Response<Body>, Fault> {
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        let message = format!("the key must have 1 to {MAX_KEY_BYTES} bytes");
        return Err(Fault::not_run(StatusCode::BAD_REQUEST, "invalid_key", message));
    }
    let key_text = String::from_utf8_lossy(key.as_bytes());
    let key = Key::new(&request.service.name, &request.team, &key_text);
    let digest = request_digest(request.method.as_str(), &request.path, &request.body);
    let admission = callers.claims.acquire(&key, &digest, request.deadline).await;
    match admission {
        Ok(Admission::Run(ticket)) => run_claimed(callers, request, ticket).await,
        Ok(Admission::Answer(answer)) => replay(callers, answer).await,
        Ok(Admission::Mismatch) => Err(Fault::not_run(
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
        Err(refused) => Err(Fault::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "claim_not_committed",
            // Without the claim row, earlier attempts are unknown.
            format!("{refused}; an earlier attempt with the same key may have run"),
        )),
    }
}

async fn run_claimed(
    callers: &Callers,
    request: Request,
    ticket: Ticket,
) -> Result<Response<Body>, Fault> {
    let (sender, receiver) = oneshot::channel();
    let context = callers.context.clone();
    callers.context.tasks.spawn(async move {
        match proxy::execute(&context, &request).await {
            Ok(reply) => respond_and_store(reply, ticket, sender).await,
            Err(fault) => {
                let failed = Answer::Failed {
                    verdict: fault.verdict,
                    code: fault.code.to_owned(),
                    message: fault.message.clone(),
                };
                let not_run = fault.verdict.may_retry();
                // The caller may have disconnected; settle the claim regardless.
                let _ = sender.send(Err(fault));
                if not_run { ticket.release().await } else { ticket.store_failure(failed).await }
            }
        }
    });
    receiver.await.unwrap_or_else(|_| {
        Err(Fault::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "the request ended without an answer",
            Verdict::MayHaveRun,
        ))
    })
}

/// Responds to the caller first, then stores the response for repeated requests.
async fn respond_and_store(
    reply: Reply,
    ticket: Ticket,
    sender: oneshot::Sender<Result<Response<Body>, Fault>>,
) {
    let Reply { head, body } = reply;
    let (status, headers) = (head.status.as_u16(), header_pairs(&head.headers));
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

fn header_pairs(headers: &http::HeaderMap) -> Vec<(String, String)> {
    let to_pair = |(name, value): (&HeaderName, &HeaderValue)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    };
    headers.iter().filter_map(to_pair).collect()
}

async fn replay(callers: &Callers, answer: Answer) -> Result<Response<Body>, Fault> {
    match answer {
        Answer::Whole { status, headers, body } => {
            let body = hex::decode(body).map_err(|_| response_lost("stored answer is damaged"))?;
            Ok(build_response(status, &headers, Body::full(body)))
        }
        Answer::Stored { status, headers, object } => {
            let body = callers.objects.get(&object).await;
            let body = body.map_err(|error| response_lost(&error.to_string()))?;
            Ok(build_response(status, &headers, Body::full(body)))
        }
        Answer::Failed { verdict, message, .. } => {
            Err(Fault::new(StatusCode::BAD_GATEWAY, "first_request_failed", message, verdict))
        }
    }
}

fn response_lost(message: &str) -> Fault {
    Fault::new(StatusCode::BAD_GATEWAY, "answer_not_kept", message, Verdict::Ran)
}

fn build_response(status: u16, headers: &[(String, String)], body: Body) -> Response<Body> {
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
