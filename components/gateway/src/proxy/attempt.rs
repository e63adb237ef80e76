//! One attempt at one backend server.

use filbertsail_errors::{DEADLINE_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER};
use http::{HeaderValue, StatusCode, response::Parts};

use super::{Plan, Tried, is_failure};
use crate::{
    backend::{Call, Failure, Kind, body},
    context::Context,
    router::Grant,
};

pub(super) async fn run(
    context: &Context,
    plan: &Plan,
    grant: &Grant,
    idempotent: bool,
) -> Result<Tried, Failure> {
    let id = context.request_id();
    let call = call(context, plan, &id, idempotent)?;
    let answer = grant.server.send(&call).await?;
    if plan.service.echoes_request_id {
        check_id(&answer.head, &id)?;
    }
    body::check_framing(&plan.method, &answer.head, &answer.body)?;
    let (head, whole) = body::read(answer).await?;
    if !is_failure(head.status) {
        return Ok(Tried::Answer(head, whole));
    }
    let failure = status_failure(&head);
    Ok(Tried::Bad(head, whole, failure))
}

/// Only the server's own verdict proves that a plain service refused a request unrun.
fn status_failure(head: &Parts) -> Failure {
    let message = format!("backend server answered {}", head.status);
    let refused =
        matches!(head.status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE);
    let kind = if refused { Kind::Refused } else { Kind::Status };
    if head.headers.get(VERDICT_HEADER).is_some_and(|verdict| verdict == "not_run") {
        return Failure::unsent(kind, message);
    }
    Failure::sent(kind, message)
}

fn check_id(head: &Parts, id: &str) -> Result<(), Failure> {
    let found = head.headers.get(REQUEST_ID_HEADER).and_then(|value| value.to_str().ok());
    if found == Some(id) {
        return Ok(());
    }
    let found = found.unwrap_or("without identifier");
    Err(Failure::sent(Kind::Mismatched, format!("answer of request {found}")))
}

fn call(context: &Context, plan: &Plan, id: &str, idempotent: bool) -> Result<Call, Failure> {
    let mut headers = plan.headers.clone();
    let id = HeaderValue::from_str(id);
    let id = id.map_err(|error| Failure::unsent(Kind::Malformed, error.to_string()))?;
    headers.insert(REQUEST_ID_HEADER, id);
    let left = context.left(plan.deadline);
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
    Ok(Call {
        method: plan.method.clone(),
        path: plan.path.clone(),
        headers,
        body: plan.body.clone(),
        idempotent,
        left,
    })
}
