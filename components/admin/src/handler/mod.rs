//! Request handler of a gateway's admin port.

pub mod probe;

use std::{net::SocketAddr, sync::Arc};

use filbertsail_api::admin::{Apply, Drain};
use filbertsail_config::check;
use filbertsail_errors::Verdict;
use filbertsail_http::{
    Body,
    body::read,
    server::{self, Limits},
    token::{Role, Table},
};
use filbertsail_telemetry::{event::Line, metrics::Registry};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use probe::Probe;
use serde::de::DeserializeOwned;

use crate::{Fleet, response};

/// An inventory of 1,000 workers takes about 150 KiB.
const MAX_BODY_BYTES: usize = 1024 * 1024;
const READ_ROLES: [Role; 2] = [Role::Operator, Role::Reader];
const CHANGE_ROLES: [Role; 1] = [Role::Operator];

/// Handler for health checks, metrics and the administration API.
#[derive(Clone, Debug)]
pub struct Handler<F> {
    fleet: F,
    probe: Probe<F>,
}

impl<F: Fleet> Handler<F> {
    /// Creates the handler for `fleet`; `tokens` give access to it.
    #[must_use]
    pub fn new(fleet: F, tokens: Arc<Table>, metrics: Registry) -> Self {
        let probe = Probe::new(fleet.clone(), tokens, metrics);
        Self { fleet, probe }
    }

    async fn route(&self, request: Request<Incoming>) -> Response<Body> {
        let method = request.method().as_str().to_owned();
        let path = request.uri().path().to_owned();
        let (allowed, roles) = match path.as_str() {
            "/admin/v1/config" if method == "GET" => ("GET, PUT", READ_ROLES.as_slice()),
            "/admin/v1/config" => ("GET, PUT", CHANGE_ROLES.as_slice()),
            "/admin/v1/status" => ("GET", READ_ROLES.as_slice()),
            "/admin/v1/drain" => ("POST", CHANGE_ROLES.as_slice()),
            "/admin/v1/explain" => ("POST", READ_ROLES.as_slice()),
            _ => return probe::not_found(),
        };
        let caller = match self.probe.tokens().require(request.headers(), roles) {
            Ok(identity) => identity.name.clone(),
            Err(denied) => return response::denied(denied),
        };
        match (path.as_str(), method.as_str()) {
            ("/admin/v1/config", "GET") => self.head().await,
            ("/admin/v1/config", "PUT") => self.apply(request, &caller).await,
            ("/admin/v1/status", "GET") => response::ok(&self.fleet.status().await),
            ("/admin/v1/drain", "POST") => self.drain(request, &caller).await,
            ("/admin/v1/explain", "POST") => self.explain(request).await,
            _ => probe::method_not_allowed(allowed),
        }
    }

    async fn head(&self) -> Response<Body> {
        match self.fleet.head().await {
            Some(head) => response::ok(&head),
            None => response::error(
                StatusCode::NOT_FOUND,
                "no_config",
                "no configuration is known yet",
                Verdict::NotRun,
            ),
        }
    }

    async fn apply(&self, request: Request<Incoming>, caller: &str) -> Response<Body> {
        let mut apply: Apply = match read_json(request).await {
            Ok(apply) => apply,
            Err(error) => return error.response(),
        };
        if let Err(faults) = check::inventory("config", &apply.text) {
            let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
            let status = StatusCode::UNPROCESSABLE_ENTITY;
            return response::error(status, "invalid_config", lines.join("\n"), Verdict::NotRun);
        }
        if apply.author.is_empty() {
            caller.clone_into(&mut apply.author);
        }
        let line = Line::new("admin_apply").with("caller", caller).with("author", &apply.author);
        match self.fleet.apply(apply).await {
            Ok(applied) => {
                line.with("version", applied.version).with("outcome", "accepted").info();
                response::ok(&applied)
            }
            Err(rejection) => {
                line.with("outcome", rejection.code()).with("error", &rejection).warn();
                response::rejected(&rejection)
            }
        }
    }

    async fn drain(&self, request: Request<Incoming>, caller: &str) -> Response<Body> {
        let drain: Drain = match read_json(request).await {
            Ok(drain) => drain,
            Err(error) => return error.response(),
        };
        let line = Line::new("admin_drain").with("caller", caller).with("name", &drain.name);
        let line = line.with("draining", drain.draining);
        match self.fleet.drain(drain).await {
            Ok(drained) => {
                line.with("outcome", "accepted").info();
                response::ok(&drained)
            }
            Err(rejection) => {
                line.with("outcome", rejection.code()).with("error", &rejection).warn();
                response::rejected(&rejection)
            }
        }
    }

    async fn explain(&self, request: Request<Incoming>) -> Response<Body> {
        match read_json(request).await {
            Ok(question) => match self.fleet.explain(question).await {
                Ok(explanation) => response::ok(&explanation),
                Err(rejection) => response::rejected(&rejection),
            },
            Err(error) => error.response(),
        }
    }
}

impl<F: Fleet> server::Handler for Handler<F> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        let probe = self.probe.respond(request.method(), request.uri().path(), request.headers());
        match probe {
            Some(response) => response,
            None => self.route(request).await,
        }
    }
}

/// Reason why a request body could not be read or parsed.
struct BodyError {
    status: StatusCode,
    code: &'static str,
    message: String,
}

impl BodyError {
    fn response(self) -> Response<Body> {
        response::error(self.status, self.code, self.message, Verdict::NotRun)
    }
}

async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, BodyError> {
    let limits = Limits { max_body_bytes: MAX_BODY_BYTES, ..Limits::default() };
    let bytes = read::read(request.into_body(), &limits).await.map_err(|error| BodyError {
        status: error.status(),
        code: error.code(),
        message: error.to_string(),
    })?;
    serde_json::from_slice(&bytes).map_err(|error| BodyError {
        status: StatusCode::BAD_REQUEST,
        code: "bad_json",
        message: error.to_string(),
    })
}
