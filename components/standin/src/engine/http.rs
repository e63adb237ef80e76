//! Engine protocol over HTTP.

use std::sync::Arc;

use bytes::Bytes;
use filbertsail_api::engine::{Blob, Completion, Load};
use filbertsail_clock::{Boot, Source};
use filbertsail_http::{Body, body::Abort};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use serde::Serialize;
use tokio::sync::mpsc::{self, Sender, UnboundedReceiver};

use super::{Inner, Options, State, batch::Piece, swap};
use crate::{
    fault,
    server::{Closed, Handler, REQUEST_ID, json, parse, refuse, text},
};

/// Events that a slow reader may leave unread before the engine waits for it.
const STREAM_PARTS: usize = 64;

#[derive(Clone, Debug)]
pub(super) struct Server(pub Arc<Inner>);

/// Load as it stands.
pub(super) fn load(options: &Options, state: &State) -> Load {
    Load {
        age_ms: 0,
        capacity: options.slots,
        incarnation: state.incarnation,
        kv_used_permille: state.cache.used_permille(),
        leaving: state.knobs.leaving,
        queued: state.batch.queued(),
        running: state.batch.running(),
        weight_version: state.swap.version,
        worker: options.name.clone(),
    }
}

impl Server {
    /// Load report, as old as the lag asks for.
    fn report(&self, stale: bool) -> Response<Body> {
        let now = Boot.now();
        let state = self.0.lock();
        let limit = now.before(self.0.options.load_lag);
        let seen = if stale {
            state.reports.first()
        } else {
            state.reports.iter().rev().find(|(at, _)| *at <= limit)
        };
        let report = match seen {
            Some((at, report)) => {
                let age_ms = u64::try_from(now.since(*at).as_millis()).unwrap_or(u64::MAX);
                // A leaving worker says so without the lag of the load figures.
                Load { age_ms, leaving: state.knobs.leaving, ..report.clone() }
            }
            None => load(&self.0.options, &state),
        };
        json(StatusCode::OK, &report)
    }

    fn cache_events(&self, query: Option<&str>) -> Response<Body> {
        let after = query
            .and_then(|query| query.split('&').find_map(|pair| pair.strip_prefix("after=")))
            .and_then(|after| after.parse().ok())
            .unwrap_or(0);
        let events = self.0.lock().cache.events(after, Boot.now(), self.0.options.cache_lag);
        json(StatusCode::OK, &events)
    }

    async fn complete(&self, body: &Bytes, fault: Option<fault::Kind>) -> Response<Body> {
        let completion: Completion = match parse(body) {
            Ok(completion) => completion,
            Err(bad) => return bad,
        };
        let (sender, pieces) = mpsc::unbounded_channel();
        {
            let mut state = self.0.lock();
            if state.swap.version.is_none() {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, "no weights loaded");
            }
            if state.batch.queued() >= self.0.options.max_queued {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, "queue full");
            }
            state.batch.add(&self.0.options, &completion, &self.0.record, sender);
        }
        self.0.wake.notify_one();
        let mut response =
            if completion.stream { stream(pieces, fault) } else { whole(pieces).await };
        if let Ok(value) = HeaderValue::from_str(&completion.request_id) {
            response.headers_mut().insert(REQUEST_ID, value);
        }
        response
    }

    fn import(&self, body: &Bytes) -> Response<Body> {
        let blob: Blob = match parse(body) {
            Ok(blob) => blob,
            Err(bad) => return bad,
        };
        let mut state = self.0.lock();
        if state.swap.version != Some(blob.version) {
            return text(StatusCode::CONFLICT, "cache of other weights");
        }
        state.cache.touch(&blob.prefix, Boot.now());
        text(StatusCode::OK, "")
    }

    fn export(&self, body: &Bytes) -> Response<Body> {
        let blob: Blob = match parse(body) {
            Ok(blob) => blob,
            Err(bad) => return bad,
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

async fn whole(mut pieces: UnboundedReceiver<Piece>) -> Response<Body> {
    while let Some(piece) = pieces.recv().await {
        if let Piece::Finish(finish) = piece {
            return json(StatusCode::OK, &finish);
        }
    }
    text(StatusCode::INTERNAL_SERVER_ERROR, "generation broke off")
}

fn stream(pieces: UnboundedReceiver<Piece>, fault: Option<fault::Kind>) -> Response<Body> {
    let (sender, body) = Body::channel(STREAM_PARTS);
    tokio::spawn(forward(pieces, sender, fault));
    let mut response = Response::new(body);
    let value = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

fn event<T: Serialize>(value: &T) -> Bytes {
    let body = serde_json::to_string(value).unwrap_or_default();
    Bytes::from(format!("data: {body}\n\n"))
}

/// Sends events to the caller, with the stream faults applied.
async fn forward(
    mut pieces: UnboundedReceiver<Piece>,
    sender: Sender<Result<Bytes, Abort>>,
    fault: Option<fault::Kind>,
) {
    /// Token at which a broken stream ends.
    const BREAK_AT: u32 = 3;
    while let Some(piece) = pieces.recv().await {
        let (part, done) = match piece {
            Piece::Token(mut token) => {
                if fault == Some(fault::Kind::WrongId) {
                    "another-request".clone_into(&mut token.request_id);
                }
                let broken = matches!(
                    fault,
                    Some(fault::Kind::Half | fault::Kind::Reset | fault::Kind::LostAfter)
                );
                if broken && token.index >= BREAK_AT {
                    break;
                }
                (event(&token), false)
            }
            Piece::Finish(finish) => {
                (event(&filbertsail_api::engine::Finish { text: None, ..finish }), true)
            }
        };
        if sender.send(Ok(part)).await.is_err() || done {
            return;
        }
    }
    // The caller must not take the part for the whole.
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
            (&Method::POST, "/v1/completions") => self.complete(body, fault).await,
            (&Method::GET, "/v1/load") => self.report(fault == Some(fault::Kind::Stale)),
            (&Method::GET, "/v1/cache-events") => self.cache_events(uri.query()),
            (&Method::POST, "/v1/orders") => match parse(body) {
                Ok(order) => json(StatusCode::OK, &swap::order(&self.0, &order)),
                Err(bad) => bad,
            },
            (&Method::POST, "/v1/kv/export") => self.export(body),
            (&Method::POST, "/v1/kv/import") => self.import(body),
            (&Method::GET, "/healthz") => text(StatusCode::OK, "ok"),
            (&Method::POST, path) => self.cancel(path),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        })
    }
}
