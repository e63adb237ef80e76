//! HTTP handler of the callers' port.

mod application;
mod completion;
mod keyed;
mod request_body;

use std::{net::SocketAddr, sync::Arc};

use filbertsail_clock::Instant;
use filbertsail_errors::{DEADLINE_HEADER, REQUEST_ID_HEADER};
use filbertsail_http::{Body, server::Handler, token};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::{
    context::Context,
    fault::Fault,
    ports::{Claims, Objects, Rounds},
    readiness::Readiness,
    security,
};

/// HTTP handler of the callers' port, cheap to clone.
#[derive(Clone)]
pub struct Callers {
    pub context: Context,
    pub tokens: Arc<token::Table>,
    pub readiness: Readiness,
    /// Claims of keyed requests.
    pub claims: Claims,
    /// Object store, for responses too large for the table.
    pub objects: Objects,
    /// Handler of the trainer API.
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
        self.context.metrics.count_verdict(&response);
        response
    }
}

impl Callers {
    async fn route(&self, request: Request<Incoming>, id: &str) -> Result<Response<Body>, Fault> {
        self.readiness.check_admission()?;
        let path = request.uri().path();
        if Rounds::matches_path(path) {
            return Ok(self.rounds.handle(request).await);
        }
        let team = security::customer_team(&self.tokens, request.headers())?;
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
            _ => Err(Fault::not_run(StatusCode::NOT_FOUND, "unknown_path", "no such path")),
        }
    }

    /// Deadline from the request's header, at most the service's timeout from now.
    fn deadline(&self, headers: &HeaderMap, timeout_ms: u64) -> Instant {
        let requested =
            headers.get(DEADLINE_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
        let limited_ms = requested.unwrap_or(timeout_ms).min(timeout_ms);
        self.context.now().after(std::time::Duration::from_millis(limited_ms))
    }
}
