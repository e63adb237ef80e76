//! One engine stream.

use std::time::Duration;

use filbertsail_api::engine::Completion;
use filbertsail_errors::{DEADLINE_HEADER, REQUEST_ID_HEADER, Verdict};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use tokio::{sync::mpsc, time};

use super::{Item, Plan, progress::Progress};
use crate::{
    backend::{Answer, Call, Failure, Kind, body},
    context::Context,
    router::Grant,
    stream::{self, Decoder},
};

/// Longest silence between two tokens; a stopped engine keeps its sockets open.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Most text of an error answer that is passed on.
const MAX_REASON_BYTES: usize = 200;

/// Runs one stream to its end and returns the reason that it states.
pub(super) async fn run(
    context: &Context,
    plan: &Plan,
    grant: &Grant,
    progress: &mut Progress,
    sink: Option<&mpsc::Sender<Item>>,
) -> Result<String, Failure> {
    let id = context.request_id();
    let call = call(context, plan, grant, progress, &id)?;
    let from = progress.tokens();
    let mut answer = grant.server.send(&call).await?;
    check_status(&mut answer).await?;
    let mut decoder = Decoder::default();
    let mut started = false;
    loop {
        let item = next(&mut answer, &mut decoder, started).await?;
        started = true;
        match item {
            stream::Item::Token(event) => {
                progress.push(&id, &event)?;
                if let Some(sink) = sink {
                    // A caller that is gone ends the run through the closed channel.
                    let _ = sink.send(Item::Token(event)).await;
                }
            }
            stream::Item::Finish(finish) => {
                progress.check_end(&id, from, &finish)?;
                keep_connection(answer).await;
                return Ok(finish.reason);
            }
        }
    }
}

async fn next(
    answer: &mut Answer,
    decoder: &mut Decoder,
    started: bool,
) -> Result<stream::Item, Failure> {
    loop {
        if let Some(item) = decoder.take()? {
            return Ok(item);
        }
        let part = if started {
            time::timeout(TOKEN_TIMEOUT, body::next(&mut answer.body))
                .await
                .map_err(|_| Failure::sent(Kind::TimedOut, "no token in time"))?
        } else {
            body::next(&mut answer.body).await
        };
        match part? {
            Some(bytes) => decoder.feed(&bytes),
            None => return Err(Failure::sent(Kind::Truncated, "stream ended without its end")),
        }
    }
}

/// The connection is used again only if the answer ends right after its last event.
async fn keep_connection(answer: Answer) {
    const END_TIMEOUT: Duration = Duration::from_millis(5);
    let Answer { mut body, lease, .. } = answer;
    if matches!(time::timeout(END_TIMEOUT, body::next(&mut body)).await, Ok(Ok(None))) {
        body::release(lease);
    }
}

async fn check_status(answer: &mut Answer) -> Result<(), Failure> {
    let status = answer.head.status;
    if status == StatusCode::OK {
        return Ok(());
    }
    let reason = match time::timeout(TOKEN_TIMEOUT, body::next(&mut answer.body)).await {
        Ok(Ok(Some(bytes))) => {
            String::from_utf8_lossy(&bytes[..bytes.len().min(MAX_REASON_BYTES)]).into_owned()
        }
        _ => String::new(),
    };
    let message = format!("engine answered {status} {reason}");
    Err(match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Failure::unsent(Kind::Refused, message)
        }
        _ if status.is_client_error() => Failure::unsent(Kind::Malformed, message),
        _ => Failure::new(Kind::Status, Verdict::MayHaveRun, message),
    })
}

fn call(
    context: &Context,
    plan: &Plan,
    grant: &Grant,
    progress: &Progress,
    id: &str,
) -> Result<Call, Failure> {
    let completion = Completion {
        request_id: id.to_owned(),
        prompt: plan.prompt.clone(),
        max_tokens: plan.max_tokens,
        priority: grant.priority,
        stream: true,
        resume_from: progress.resume(),
    };
    let malformed = |message: String| Failure::unsent(Kind::Malformed, message);
    let body = serde_json::to_vec(&completion).map_err(|error| malformed(error.to_string()))?;
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let id = HeaderValue::from_str(id).map_err(|error| malformed(error.to_string()))?;
    headers.insert(REQUEST_ID_HEADER, id);
    let left = context.left(plan.deadline);
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
    let path = "/v1/completions".to_owned();
    // A completion has no effect outside the answer.
    Ok(Call { method: Method::POST, path, headers, body: body.into(), idempotent: true, left })
}
