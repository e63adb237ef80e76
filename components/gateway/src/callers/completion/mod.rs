//! Handler of completion requests, answered with one JSON body or with server-sent events.

mod encode;

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

use self::encode::Encoder;
use super::{Callers, request_body};
use crate::{
    fault::Fault,
    generate::{self, Item},
};

/// Largest number of tokens if the caller states none.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Tokens queued for a slow caller.
const TOKEN_QUEUE_CAPACITY: usize = 64;
/// Time after which a caller that reads no tokens is disconnected.
const SLOW_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

struct Input {
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
    let input = parse_input(&request_body::read(body).await?, chat)?;
    let service = callers.context.router.service(&input.model);
    let service = service
        .filter(|service| service.kind == Kind::Model)
        .ok_or_else(|| Fault::not_run(StatusCode::NOT_FOUND, "unknown_service", "no such model"))?;
    let deadline = callers.deadline(&head.headers, service.timeout_ms);
    let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
    let prompt_tokens = u32::try_from(input.prompt.split_whitespace().count()).unwrap_or(u32::MAX);
    let encoder = Encoder { id: id.to_owned(), model: input.model, created, chat, prompt_tokens };
    let request = generate::Request {
        request_id: id.to_owned(),
        service,
        class: Class::Customer,
        team,
        prompt: input.prompt,
        max_tokens: input.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        priority: 0,
        min_version: None,
        exclude: Vec::new(),
        deadline,
        streams: input.stream,
    };
    let mut items = spawn_generation(callers, request);
    match items.recv().await {
        Some(Item::Complete(output)) if !input.stream => {
            Ok(json(StatusCode::OK, encoder.response(&output)))
        }
        Some(Item::Fault(fault)) => Err(fault),
        Some(first) => Ok(stream_response(callers, first, items, encoder)),
        None => Err(Fault::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "generation ended without an answer",
            Verdict::MayHaveRun,
        )),
    }
}

/// Starts the generation task; it stops when the receiver is dropped, as when the caller
/// disconnects.
fn spawn_generation(callers: &Callers, request: generate::Request) -> mpsc::Receiver<Item> {
    let (sink, items) = mpsc::channel(TOKEN_QUEUE_CAPACITY);
    let context = callers.context.clone();
    callers.context.tasks.spawn(async move { generate::run(&context, &request, sink).await });
    items
}

fn stream_response(
    callers: &Callers,
    first: Item,
    items: mpsc::Receiver<Item>,
    encoder: Encoder,
) -> Response<Body> {
    let (sender, body) = Body::channel(TOKEN_QUEUE_CAPACITY);
    callers.context.tasks.spawn(forward_events(first, items, encoder, sender));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

async fn forward_events(
    first: Item,
    mut items: mpsc::Receiver<Item>,
    encoder: Encoder,
    sender: mpsc::Sender<Result<Bytes, Abort>>,
) {
    let mut next = Some(first);
    while let Some(item) = next {
        let chunk = match &item {
            Item::Token(event) => encoder.token_event(event),
            Item::Complete(output) => encoder.end_events(output),
            Item::Fault(fault) => encoder.fault_event(fault),
        };
        let sent = time::timeout(SLOW_CALLER_TIMEOUT, sender.send(Ok(chunk.into()))).await;
        if !matches!(sent, Ok(Ok(()))) {
            // Abort the connection of a caller that reads too slowly.
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

fn parse_input(body: &[u8], chat: bool) -> Result<Input, Fault> {
    if chat {
        let request: api::ChatRequest = decode(body)?;
        let lines = request.messages.iter().map(|it| format!("{}: {}\n", it.role, it.content));
        return Ok(Input {
            prompt: lines.collect(),
            model: request.model,
            max_tokens: request.max_tokens,
            stream: request.stream.unwrap_or(false),
        });
    }
    let request: api::Request = decode(body)?;
    Ok(Input {
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
