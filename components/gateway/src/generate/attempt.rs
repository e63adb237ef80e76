//! One attempt: a single engine stream.

use std::time::Duration;

use filbertsail_api::engine::Completion;
use filbertsail_errors::{DEADLINE_HEADER, REQUEST_ID_HEADER, Verdict};
use http::{HeaderMap, HeaderValue, Method, StatusCode, header};
use tokio::{sync::mpsc, time};

use super::{Item, Request, progress::Progress};
use crate::{
    backend::{Call, Failure, Kind, Response, body},
    context::Context,
    router::Permit,
    stream::{self, Decoder},
};

/// Timeout between two tokens. A paused engine keeps its sockets open, so only time reveals it.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest part of an engine's error body that is passed on.
const MAX_REASON_BYTES: usize = 200;

/// Reads one stream to its end and returns the finish reason.
pub(super) async fn run(
    context: &Context,
    request: &Request,
    permit: &Permit,
    progress: &mut Progress,
    sink: Option<&mpsc::Sender<Item>>,
) -> Result<String, Failure> {
    let id = context.request_id();
    let call = build_call(context, request, permit, progress, &id)?;
    let from = progress.tokens();
    let mut response = permit.server.send(&call).await?;
    check_status(&mut response).await?;
    let mut decoder = Decoder::default();
    let mut started = false;
    loop {
        let item = next_item(&mut response, &mut decoder, started).await?;
        if !std::mem::replace(&mut started, true) {
            permit.record_progress();
        }
        match item {
            stream::Item::Token(event) => {
                progress.push(&id, &event)?;
                if let Some(sink) = sink {
                    // `generate::run` stops when the caller drops the receiver.
                    let _ = sink.send(Item::Token(event)).await;
                }
            }
            stream::Item::Finish(finish) => {
                progress.check_finish(&id, from, &finish)?;
                release_connection(response).await;
                return Ok(finish.reason);
            }
        }
    }
}

async fn next_item(
    response: &mut Response,
    decoder: &mut Decoder,
    started: bool,
) -> Result<stream::Item, Failure> {
    loop {
        if let Some(item) = decoder.next_item()? {
            return Ok(item);
        }
        let chunk = if started {
            time::timeout(TOKEN_TIMEOUT, body::next_data(&mut response.body))
                .await
                .map_err(|_| Failure::may_have_run(Kind::TimedOut, "no token in time"))?
        } else {
            body::next_data(&mut response.body).await
        };
        match chunk? {
            Some(bytes) => decoder.push(&bytes),
            None => {
                return Err(Failure::may_have_run(Kind::Truncated, "stream ended without its end"));
            }
        }
    }
}

/// Returns the connection to the pool if the response ends right after its last event.
async fn release_connection(response: Response) {
    const BODY_END_TIMEOUT: Duration = Duration::from_millis(5);
    let Response { mut body, checkout, .. } = response;
    if matches!(time::timeout(BODY_END_TIMEOUT, body::next_data(&mut body)).await, Ok(Ok(None))) {
        body::release(checkout);
    }
}

async fn check_status(response: &mut Response) -> Result<(), Failure> {
    let status = response.head.status;
    if status == StatusCode::OK {
        return Ok(());
    }
    let detail = match time::timeout(TOKEN_TIMEOUT, body::next_data(&mut response.body)).await {
        Ok(Ok(Some(bytes))) => {
            String::from_utf8_lossy(&bytes[..bytes.len().min(MAX_REASON_BYTES)]).into_owned()
        }
        _ => String::new(),
    };
    let message = format!("engine answered {status} {detail}");
    Err(match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Failure::not_run(Kind::Refused, message)
        }
        _ if status.is_client_error() => Failure::not_run(Kind::Malformed, message),
        _ => Failure::new(Kind::Status, Verdict::MayHaveRun, message),
    })
}

fn build_call(
    context: &Context,
    request: &Request,
    permit: &Permit,
    progress: &Progress,
    id: &str,
) -> Result<Call, Failure> {
    let completion = Completion {
        request_id: id.to_owned(),
        prompt: request.prompt.clone(),
        max_tokens: request.max_tokens,
        priority: permit.priority,
        stream: true,
        resume_from: progress.resume(),
    };
    let malformed = |message: String| Failure::not_run(Kind::Malformed, message);
    let body = serde_json::to_vec(&completion).map_err(|error| malformed(error.to_string()))?;
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let id = HeaderValue::from_str(id).map_err(|error| malformed(error.to_string()))?;
    headers.insert(REQUEST_ID_HEADER, id);
    let time_left = context.time_left(request.deadline);
    let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_HEADER, HeaderValue::from(left_ms));
    let path = "/v1/completions".to_owned();
    // A completion has no side effects.
    Ok(Call { method: Method::POST, path, headers, body: body.into(), idempotent: true, time_left })
}
