//! HTTP protocol of an engine.

use std::sync::Arc;

use bytes::Bytes;
use filbertsail_api::engine::{Blob, Completion, Load};
use filbertsail_clock::{Boot, Source};
use filbertsail_http::{Body, body::Abort};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use serde::Serialize;
use tokio::sync::mpsc::{self, Sender, UnboundedReceiver};

use super::{Inner, Options, State, batch::Chunk, swap};
use crate::{
    fault,
    server::{Closed, Handler, REQUEST_ID_HEADER, json, parse_json, reject, text},
};

/// Events buffered for a slow reader before the stream waits for it.
const STREAM_BUFFER_EVENTS: usize = 64;

#[derive(Clone, Debug)]
pub(super) struct Server(pub Arc<Inner>);

/// Current load.
pub(super) fn current_load(options: &Options, state: &State) -> Load {
    Load {
        age_ms: 0,
        capacity: options.slots,
        incarnation: state.incarnation,
        kv_used_permille: state.cache.used_permille(),
        leaving: state.overrides.is_leaving,
        queued: state.batch.queued(),
        running: state.batch.running(),
        weight_version: state.swap.version,
        worker: options.name.clone(),
    }
}

impl Server {
    /// Load report with the configured age, or the oldest one retained if `is_stale`.
    fn load_report(&self, is_stale: bool) -> Response<Body> {
        let now = Boot.now();
        let state = self.0.lock();
        let limit = now.before(self.0.options.load_report_age);
        let visible = if is_stale {
            state.reports.first()
        } else {
            state.reports.iter().rev().find(|(at, _)| *at <= limit)
        };
        let report = match visible {
            Some((at, report)) => {
                let age_ms = u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX);
                // Unlike the load figures, the leaving state is always current.
                Load { age_ms, leaving: state.overrides.is_leaving, ..report.clone() }
            }
            None => current_load(&self.0.options, &state),
        };
        json(StatusCode::OK, &report)
    }

    fn cache_events(&self, query: Option<&str>) -> Response<Body> {
        let after = query
            .and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("after=")))
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let events =
            self.0.lock().cache.events(after, Boot.now(), self.0.options.cache_event_delay);
        json(StatusCode::OK, &events)
    }

    async fn run_completion(&self, body: &Bytes, fault: Option<fault::Kind>) -> Response<Body> {
        let completion: Completion = match parse_json(body) {
            Ok(completion) => completion,
            Err(rejection) => return rejection,
        };
        let (sender, chunks) = mpsc::unbounded_channel();
        {
            let mut state = self.0.lock();
            if state.swap.version.is_none() {
                return reject(StatusCode::SERVICE_UNAVAILABLE, "no weights loaded");
            }
            if state.batch.queued() >= self.0.options.max_queued {
                return reject(StatusCode::SERVICE_UNAVAILABLE, "queue full");
            }
            state.batch.add(&self.0.options, &completion, &self.0.record, sender);
        }
        self.0.wake.notify_one();
        let mut response = if completion.stream {
            stream_response(chunks, fault)
        } else {
            complete_response(chunks).await
        };
        if let Ok(value) = HeaderValue::from_str(&completion.request_id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        response
    }

    fn import(&self, body: &Bytes) -> Response<Body> {
        let blob: Blob = match parse_json(body) {
            Ok(blob) => blob,
            Err(rejection) => return rejection,
        };
        let mut state = self.0.lock();
        if state.swap.version != Some(blob.version) {
            return text(StatusCode::CONFLICT, "cache of other weights");
        }
        state.cache.touch(&blob.prefix, Boot.now());
        text(StatusCode::OK, "")
    }

    fn export(&self, body: &Bytes) -> Response<Body> {
        let blob: Blob = match parse_json(body) {
            Ok(blob) => blob,
            Err(rejection) => return rejection,
        };
        let state = self.0.lock();
        match state.swap.version {
            Some(version) if state.cache.contains(&blob.prefix) => {
                json(StatusCode::OK, &Blob { version, bytes: 1 << 20, ..blob })
            }
            _ => text(StatusCode::NOT_FOUND, "prefix not cached"),
        }
    }

    fn cancel(&self, path: &str) -> Response<Body> {
        let id = path.strip_prefix("/v1/requests/").and_then(|rest| rest.strip_suffix("/cancel"));
        match id {
            Some(id) if self.0.lock().batch.cancel(id) => text(StatusCode::OK, ""),
            _ => text(StatusCode::NOT_FOUND, "no such request"),
        }
    }
}

async fn complete_response(mut chunks: UnboundedReceiver<Chunk>) -> Response<Body> {
    while let Some(chunk) = chunks.recv().await {
        if let Chunk::Finish(finish) = chunk {
            return json(StatusCode::OK, &finish);
        }
    }
    text(StatusCode::INTERNAL_SERVER_ERROR, "generation broke off")
}

fn stream_response(chunks: UnboundedReceiver<Chunk>, fault: Option<fault::Kind>) -> Response<Body> {
    let (sender, body) = Body::channel(STREAM_BUFFER_EVENTS);
    tokio::spawn(forward_events(chunks, sender, fault));
    let mut response = Response::new(body);
    let value = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn sse_event<T: Serialize>(value: &T) -> Bytes {
    let body = serde_json::to_string(value).unwrap_or_default();
    Bytes::from(format!("data: {body}\n\n"))
}

/// Sends events to the caller and applies stream faults.
async fn forward_events(
    mut chunks: UnboundedReceiver<Chunk>,
    sender: Sender<Result<Bytes, Abort>>,
    fault: Option<fault::Kind>,
) {
    /// Index of the first token that a broken stream does not send.
    const BREAK_AT_TOKEN: u32 = 3;
    while let Some(chunk) = chunks.recv().await {
        let (event, done) = match chunk {
            Chunk::Token(mut token) => {
                if fault == Some(fault::Kind::WrongId) {
                    "another-request".clone_into(&mut token.request_id);
                }
                let is_broken = matches!(
                    fault,
                    Some(fault::Kind::Half | fault::Kind::Reset | fault::Kind::LostAfter)
                );
                if is_broken && token.index >= BREAK_AT_TOKEN {
                    break;
                }
                (sse_event(&token), false)
            }
            Chunk::Finish(finish) => {
                (sse_event(&filbertsail_api::engine::Finish { text: None, ..finish }), true)
            }
        };
        if sender.send(Ok(event)).await.is_err() || done {
            return;
        }
    }
    // Aborts, so that the caller does not take the partial response for a complete one.
    let _ = sender.send(Err(Abort)).await;
}

impl Handler for Server {
    async fn handle(
        &self,
        request: Request<Bytes>,
        fault: Option<fault::Kind>,
    ) -> Result<Response<Body>, Closed> {
        let uri = request.uri();
        let body = request.body();
        Ok(match (request.method(), uri.path()) {
            (&Method::POST, "/v1/completions") => self.run_completion(body, fault).await,
            (&Method::GET, "/v1/load") => self.load_report(fault == Some(fault::Kind::Stale)),
            (&Method::GET, "/v1/cache-events") => self.cache_events(uri.query()),
            (&Method::POST, "/v1/orders") => match parse_json(body) {
                Ok(order) => json(StatusCode::OK, &swap::handle_order(&self.0, &order)),
                Err(rejection) => rejection,
            },
            (&Method::POST, "/v1/kv/export") => self.export(body),
            (&Method::POST, "/v1/kv/import") => self.import(body),
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok"),
            (&Method::POST, path) => self.cancel(path),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        })
    }
}
