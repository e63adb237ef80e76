//! Trainer API on a gateway's callers' port.

mod answer;
mod close;
mod fetch;
mod post;

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

use crate::{cursor::Cursor, reach::Holder};
use answer::Refusal;

/// Path under which the API is served.
pub const PREFIX: &str = "/v1/rounds";

/// Answers trainers.
#[derive(Clone)]
pub struct Handler<T, S, H> {
    table: T,
    store: S,
    holder: H,
    tokens: Arc<Tokens>,
    key: Key,
}

impl<T: Table, S: Store, H: Holder> Handler<T, S, H> {
    /// Handler over the platform's ports and the way to lease holders.
    #[must_use]
    pub fn new(table: T, store: S, holder: H, tokens: Arc<Tokens>, key: Key) -> Self {
        Self { table, store, holder, tokens, key }
    }

    /// Whether a path belongs to this API.
    #[must_use]
    pub fn serves(path: &str) -> bool {
        path.strip_prefix(PREFIX).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Answers one request.
    pub async fn handle<B>(&self, request: Request<B>) -> Response<Body>
    where
        B: hyper::body::Body<Data = Bytes> + Send,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        self.route(request).await.unwrap_or_else(Refusal::response)
    }

    async fn route<B>(&self, request: Request<B>) -> Result<Response<Body>, Refusal>
    where
        B: hyper::body::Body<Data = Bytes> + Send,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let identity = self.tokens.require(request.headers(), &[Role::Trainer]);
        let identity = identity
            .map_err(|denied| Refusal::new(denied.status(), denied.code(), &denied.to_string()))?;
        let (head, body) = request.into_parts();
        let path = head.uri.path().strip_prefix(PREFIX).unwrap_or_default();
        let parts: Vec<&str> = path.split('/').filter(|part| !part.is_empty()).collect();
        if parts.is_empty() {
            return match head.method {
                Method::POST => self.post(&identity.name, body).await,
                _ => Err(Refusal::method()),
            };
        }
        let [trainer, step, rest @ ..] = parts.as_slice() else { return Err(Refusal::path()) };
        if *trainer != identity.name {
            let text = "the token belongs to another trainer";
            return Err(Refusal::new(StatusCode::FORBIDDEN, "forbidden", text));
        }
        let step = step.parse().map_err(|_| Refusal::path())?;
        let query = Query::parse(head.uri.query().unwrap_or_default());
        match (head.method, rest) {
            (Method::GET, ["batch"]) => self.fetch(trainer, step, &query).await,
            (Method::POST, ["ack"]) => self.acknowledge(trainer, step, &query).await,
            (Method::DELETE, []) => self.cancel(trainer, step).await,
            (_, ["batch" | "ack"] | []) => Err(Refusal::method()),
            _ => Err(Refusal::path()),
        }
    }

    fn cursor(&self, trainer: &str, query: &Query) -> Result<Option<Cursor>, Refusal> {
        let Some(text) = query.text("cursor") else { return Ok(None) };
        match Cursor::open(&self.key, trainer, text) {
            Some(cursor) => Ok(Some(cursor)),
            None => Err(Refusal::bad("the cursor is not valid for this trainer")),
        }
    }
}

/// Decoded query of a request.
struct Query(HashMap<String, String>);

impl Query {
    fn parse(text: &str) -> Self {
        let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
        let decode = |text: &str| percent_decode_str(text).decode_utf8_lossy().into_owned();
        Self(pairs.map(|(name, value)| (decode(name), decode(value))).collect())
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }

    fn number(&self, name: &str) -> Result<Option<u64>, Refusal> {
        let Some(text) = self.text(name) else { return Ok(None) };
        text.parse().map(Some).map_err(|_| Refusal::bad(&format!("{name} is not a number")))
    }
}

/// Refusal of a request whose write failed, by what is known of the write.
fn write_failed(verdict: Verdict, reason: &str) -> Refusal {
    Refusal::unavailable("table_unavailable", reason).with_verdict(verdict)
}
