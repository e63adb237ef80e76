//! Trainer API on the public port of a gateway.

mod close;
mod fetch;
mod post;
mod response;

use std::{collections::HashMap, sync::Arc};

use bytes::Bytes;
use filbertsail_errors::Verdict;
use filbertsail_http::{
    Body,
    token::{Role, Table as Tokens},
};
use filbertsail_ports::{object::Store, table::Table};
use filbertsail_wire::link::auth::Key;
use http::{Method, Request, Response, StatusCode};
use percent_encoding::percent_decode_str;

use crate::{cursor::Cursor, holder::Holder};
use response::Rejection;

/// Path prefix of the API.
pub const PREFIX: &str = "/v1/rounds";

/// Request handler of the trainer API.
#[derive(Clone)]
pub struct Handler<T, S, H> {
    table: T,
    store: S,
    holder: H,
    tokens: Arc<Tokens>,
    key: Key,
}

impl<T: Table, S: Store, H: Holder> Handler<T, S, H> {
    /// Creates a handler. `key` verifies delivery cursors.
    #[must_use]
    pub fn new(table: T, store: S, holder: H, tokens: Arc<Tokens>, key: Key) -> Self {
        Self { table, store, holder, tokens, key }
    }

    /// Whether `path` belongs to the trainer API.
    #[must_use]
    pub fn matches_path(path: &str) -> bool {
        path.strip_prefix(PREFIX).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Handles one request.
    pub async fn handle<B>(&self, request: Request<B>) -> Response<Body>
    where
        B: hyper::body::Body<Data = Bytes> + Send,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        self.route(request).await.unwrap_or_else(Rejection::into_response)
    }

    async fn route<B>(&self, request: Request<B>) -> Result<Response<Body>, Rejection>
    where
        B: hyper::body::Body<Data = Bytes> + Send,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let identity = self.tokens.require(request.headers(), &[Role::Trainer]);
        let identity = identity.map_err(|denied| {
            Rejection::new(denied.status(), denied.code(), &denied.to_string())
        })?;
        let (head, body) = request.into_parts();
        let path = head.uri.path().strip_prefix(PREFIX).unwrap_or_default();
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        if parts.is_empty() {
            return match head.method {
                Method::POST => self.post(&identity.name, body).await,
                _ => Err(Rejection::method_not_allowed()),
            };
        }
        let [trainer, step, rest @ ..] = parts.as_slice() else {
            return Err(Rejection::unknown_path());
        };
        if *trainer != identity.name {
            let text = "the token belongs to another trainer";
            return Err(Rejection::new(StatusCode::FORBIDDEN, "forbidden", text));
        }
        let step = step.parse().map_err(|_| Rejection::unknown_path())?;
        let query = Query::parse(head.uri.query().unwrap_or_default());
        match (head.method, rest) {
            (Method::GET, ["batch"]) => self.fetch(trainer, step, &query).await,
            (Method::POST, ["ack"]) => self.acknowledge(trainer, step, &query).await,
            (Method::DELETE, []) => self.cancel(trainer, step).await,
            (_, ["batch" | "ack"] | []) => Err(Rejection::method_not_allowed()),
            _ => Err(Rejection::unknown_path()),
        }
    }

    fn cursor(&self, trainer: &str, query: &Query) -> Result<Option<Cursor>, Rejection> {
        let Some(text) = query.get("cursor") else { return Ok(None) };
        match Cursor::verify(&self.key, trainer, text) {
            Some(cursor) => Ok(Some(cursor)),
            None => Err(Rejection::bad_request("the cursor is not valid for this trainer")),
        }
    }
}

/// Decoded query parameters of a request.
struct Query(HashMap<String, String>);

impl Query {
    fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
        Self(pairs.map(|(name, value)| (decode(name), decode(value))).collect())
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn number(&self, name: &str) -> Result<Option<u64>, Rejection> {
        let Some(text) = self.get(name) else { return Ok(None) };
        text.parse()
            .map(Some)
            .map_err(|_| Rejection::bad_request(&format!("{name} is not a number")))
    }
}

/// Rejection of a request because the table call failed; the verdict is that of its write.
fn table_unavailable(verdict: Verdict, reason: &str) -> Rejection {
    Rejection::unavailable("table_unavailable", reason).with_verdict(verdict)
}
