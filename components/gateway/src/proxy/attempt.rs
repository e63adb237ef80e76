//! One attempt at one backend server.

use filbertsail_errors::{DEADLINE_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER};
use filbertsail_http::status::is_final;
use http::{HeaderValue, StatusCode, response::Parts};

use super::{Attempt, Request, is_failure};
use crate::{
    backend::{Call, Failure, Kind, body},
    context::Context,
    router::Permit,
};

pub(super) async fn run(
    context: &Context,
    request: &Request,
    permit: &Permit,
    idempotent: bool,
) -> Result<Attempt, Failure> {
    let id = context.request_id();
    let call = build_call(context, request, &id, idempotent)?;
    let response = permit.server.send(&call).await?;
    if request.service.echoes_request_id {
        check_request_id(&response.head, &id)?;
    }
    let status = response.head.status;
    if !is_final(status, &request.method, &request.headers) {
        let message = format!("status {} is not allowed as a final answer", status.as_u16());
        return Err(Failure::may_have_run(Kind::Mismatched, message));
    }
    body::check_framing(&request.method, &response.head, &response.body)?;
    let (head, received) = body::read(response).await?;
    if !is_failure(head.status) {
        return Ok(Attempt::Success(head, received));
    }
    let failure = status_failure(&head);
    Ok(Attempt::Error(head, received, failure))
}

/// Failure for an error status. Only the server's own verdict proves that the request did not run.
fn status_failure(head: &Parts) -> Failure {
    let message = format!("backend server answered {}", head.status);
    let refused =
        matches!(head.status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
    let kind = if refused { Kind::Refused } else { Kind::Status };
    if head.headers.get(VERDICT_HEADER).is_some_and(|verdict| verdict == "not_run") {
        return Failure::not_run(kind, message);
    }
    Failure::may_have_run(kind, message)
}

fn check_request_id(head: &Parts, id: &str) -> Result<(), Failure> {
    let found = head.headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    if found == Some(id) {
        return Ok(());
    }
    let found = found.unwrap_or("without identifier");
    Err(Failure::may_have_run(Kind::Mismatched, format!("answer of request {found}")))
}

fn build_call(
    context: &Context,
    request: &Request,
    id: &str,
    idempotent: bool,
) -> Result<Call, Failure> {
    let mut headers = request.headers.clone();
    let id = HeaderValue::from_str(id);
    let id = id.map_err(|error| Failure::not_run(Kind::Malformed, error.to_string()))?;
    headers.insert(REQUEST_ID_HEADER, id);
    let time_left = context.time_left(request.deadline);
    let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
    Ok(Call {
        method: request.method.clone(),
        path: request.path.clone(),
        headers,
        body: request.body.clone(),
        idempotent,
        time_left,
    })
}
