//! Handler of the callers' port.

mod application;
mod completion;
mod intake;
mod keyed;

use std::{net::SocketAddr, sync::Arc};

use filbertsail_clock::Instant;
use filbertsail_errors::{DEADLINE_HEADER, REQUEST_ID_HEADER};
use filbertsail_http::{Body, server::Handler, token};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::{
    context::Context,
    fault::Fault,
    gate::Gate,
    ports::{Claims, Objects, Rounds},
    security,
};

/// Handler of the callers' port.
#[derive(Clone)]
pub struct Callers {
    /// Shared state.
    pub context: Context,
    /// Bearer tokens.
    pub tokens: Arc<token::Table>,
    /// Whether work is admitted.
    pub gate: Gate,
    /// Claims of keyed requests.
    pub claims: Claims,
    /// Object store, for answers too large for the table.
    pub objects: Objects,
    /// Trainer API.
    pub rounds: Rounds,
}

impl Handler for Callers {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let id = self.context.request_id();
        let mut response = match self.route(request, &id).await {
            Ok(response) => response,
            Err(fault) => fault.response(Some(&id)),
        };
        if let Ok(value) = HeaderValue::from_str(&id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        self.context.metrics.answered(&response);
        response
    }
}

impl Callers {
    async fn route(&self, request: Request<Incoming>, id: &str) -> Result<Response<Body>, Fault> {
        self.gate.admit()?;
        let path = request.uri().path();
        if Rounds::matches_path(path) {
            return Ok(self.rounds.handle(request).await);
        }
        let team = security::team(&self.tokens, request.headers())?;
        if let Some(rest) = path.strip_prefix("/s/") {
            let service = rest.split('/').next().unwrap_or_default().to_owned();
            return application::handle(self, request, &service, team, id).await;
        }
        match (request.method(), path) {
            (&Method::POST, "/v1/completions") => {
                completion::handle(self, request, team, id, false).await
            }
            (&Method::POST, "/v1/chat/completions") => {
                completion::handle(self, request, team, id, true).await
            }
            _ => Err(Fault::refused(StatusCode::NOT_FOUND, "unknown_path", "no such path")),
        }
    }

    /// Deadline of a request: the caller's own, at most the service's time limit.
    fn deadline(&self, headers: &HeaderMap, timeout_ms: u64) -> Instant {
        let own = headers.get(DEADLINE_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        let left = own.unwrap_or(timeout_ms).min(timeout_ms);
        self.context.now().after(std::time::Duration::from_millis(left))
    }
}
