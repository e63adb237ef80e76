//! Completions in the usual JSON shapes, whole or as server-sent events.

mod shape;

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use filbertsail_api::completion as api;
use filbertsail_config::inventory::{Class, Kind};
use filbertsail_errors::Verdict;
use filbertsail_http::{Body, body::Abort, server::json};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tokio::{sync::mpsc, time};

use self::shape::Shape;
use super::{Callers, intake};
use crate::{
    fault::Fault,
    generate::{self, Item},
};

/// Tokens generated when the caller states no bound.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Tokens that wait for a slow caller.
const QUEUED_TOKENS: usize = 64;
/// Longest time that a caller may leave tokens unread.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

struct Asked {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    stream: bool,
}

pub(super) async fn handle(
    callers: &Callers,
    request: Request<Incoming>,
    team: String,
    id: &str,
    chat: bool,
) -> Result<Response<Body>, Fault> {
    let (head, body) = request.into_parts();
    let asked = parse(&intake::body(body).await?, chat)?;
    let service = callers.context.router.service(&asked.model);
    let service = service
        .filter(|service| service.kind == Kind::Model)
        .ok_or_else(|| Fault::not_run(StatusCode::NOT_FOUND, "unknown_service", "no such model"))?;
    let deadline = callers.deadline(&head.headers, service.timeout_ms);
    let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    let prompt_tokens = u32::try_from(asked.prompt.split_whitespace().count()).unwrap_or(u32::MAX);
    let shape = Shape { id: id.to_owned(), model: asked.model, created, chat, prompt_tokens };
    let request = generate::Request {
        request_id: id.to_owned(),
        service,
        class: Class::Customer,
        team,
        prompt: asked.prompt,
        max_tokens: asked.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        priority: 0,
        min_version: None,
        exclude: Vec::new(),
        deadline,
        streams: asked.stream,
    };
    let mut items = start(callers, request);
    match items.recv().await {
        Some(Item::Complete(output)) if !asked.stream => {
            Ok(json(StatusCode::OK, shape.whole(&output)))
        }
        Some(Item::Fault(fault)) => Err(fault),
        Some(first) => Ok(stream(callers, first, items, shape)),
        None => Err(Fault::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "generation ended without an answer",
            Verdict::MayHaveRun,
        )),
    }
}

/// The task ends when the returned receiver is dropped, as when the caller leaves.
fn start(callers: &Callers, request: generate::Request) -> mpsc::Receiver<Item> {
    let (sink, items) = mpsc::channel(QUEUED_TOKENS);
    let context = callers.context.clone();
    callers.context.tasks.spawn(async move { generate::run(&context, &request, sink).await });
    items
}

fn stream(
    callers: &Callers,
    first: Item,
    items: mpsc::Receiver<Item>,
    shape: Shape,
) -> Response<Body> {
    let (sender, body) = Body::channel(QUEUED_TOKENS);
    callers.context.tasks.spawn(forward(first, items, shape, sender));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

async fn forward(
    first: Item,
    mut items: mpsc::Receiver<Item>,
    shape: Shape,
    sender: mpsc::Sender<Result<Bytes, Abort>>,
) {
    let mut next = Some(first);
    while let Some(item) = next {
        let part = match &item {
            Item::Token(event) => shape.token(event),
            Item::Complete(output) => shape.end(output),
            Item::Fault(fault) => shape.fault(fault),
        };
        let sent = time::timeout(SLOW_CALLER_TIMEOUT, sender.send(Ok(part.into()))).await;
        if !matches!(sent, Ok(Ok(()))) {
            // The connection of a caller that reads too slowly is cut.
            let _ = sender.try_send(Err(Abort));
            return;
        }
        if !matches!(item, Item::Token(_)) {
            return;
        }
        next = items.recv().await;
    }
    let _ = sender.send(Err(Abort)).await;
}

fn parse(body: &[u8], chat: bool) -> Result<Asked, Fault> {
    if chat {
        let request: api::ChatRequest = decode(body)?;
        let lines = request.messages.iter().map(|it| format!("{}: {}\n", it.role, it.content));
        return Ok(Asked {
            prompt: lines.collect(),
            model: request.model,
            max_tokens: request.max_tokens,
            stream: request.stream.unwrap_or(false),
        });
    }
    let request: api::Request = decode(body)?;
    Ok(Asked {
        model: request.model,
        prompt: request.prompt,
        max_tokens: request.max_tokens,
        stream: request.stream.unwrap_or(false),
    })
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body)
        .map_err(|error| Fault::not_run(StatusCode::BAD_REQUEST, "invalid_body", error.to_string()))
}
