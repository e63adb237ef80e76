//! Health checks and metrics, which every daemon serves.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use filbertsail_errors::Verdict;
use filbertsail_http::{
    Body, server,
    token::{Role, Table},
};
use filbertsail_telemetry::metrics::{self, Gauge, Registry};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::{Health, fleet::Measurement, response};

/// Handler for daemons without the administration API.
#[derive(Clone, Debug)]
pub struct Probe<H> {
    health: H,
    tokens: Arc<Table>,
    metrics: Registry,
    ready: Gauge<f64>,
    /// Gauges of [`Health::measurements`]; each is created only once.
    gauges: Arc<Mutex<BTreeMap<&'static str, Gauge<f64>>>>,
}

impl<H: Health> Probe<H> {
    /// Creates the handler; `tokens` give access to `/metrics`.
    #[must_use]
    pub fn new(health: H, tokens: Arc<Table>, metrics: Registry) -> Self {
        let ready = metrics.gauge("ready", "1 if the daemon admits work, else 0");
        Self { health, tokens, metrics, ready, gauges: Arc::default() }
    }

    /// Response for `/healthz`, `/readyz` or `/metrics`; `None` for any other path.
    pub(crate) fn respond(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
    ) -> Option<Response<Body>> {
        let response = match path {
            "/healthz" | "/readyz" | "/metrics" if method != Method::GET => {
                method_not_allowed("GET")
            }
            "/healthz" => text_response(StatusCode::OK, "ok\n"),
            "/readyz" => self.readiness(),
            "/metrics" => self.metrics(headers),
            _ => return None,
        };
        Some(response)
    }

    pub(crate) fn tokens(&self) -> &Table {
        &self.tokens
    }

    fn readiness(&self) -> Response<Body> {
        match self.health.unready_reason() {
            None => text_response(StatusCode::OK, "ready\n"),
            Some(reason) => text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{reason}\n")),
        }
    }

    fn gauge(&self, name: &'static str, help: &'static str) -> Gauge<f64> {
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        gauges.entry(name).or_insert_with(|| self.metrics.gauge(name, help)).clone()
    }

    fn metrics(&self, headers: &HeaderMap) -> Response<Body> {
        if let Err(denied) = self.tokens.require(headers, &[Role::Operator, Role::Reader]) {
            return response::denied(denied);
        }
        self.ready.record(f64::from(u8::from(self.health.unready_reason().is_none())), &[]);
        for Measurement { name, help, value } in self.health.measurements() {
            self.gauge(name, help).record(value, &[]);
        }
        match self.metrics.render() {
            Ok(text) => response_with_type(StatusCode::OK, metrics::CONTENT_TYPE, text),
            Err(error) => response::error(
                StatusCode::INTERNAL_SERVER_ERROR,
                "internal",
                format!("{error:#}"),
                Verdict::Ran,
            ),
        }
    }
}

impl<H: Health> server::Handler for Probe<H> {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<Body> {
        self.respond(request.method(), request.uri().path(), request.headers())
            .unwrap_or_else(not_found)
    }
}

pub(crate) fn not_found() -> Response<Body> {
    response::error(StatusCode::NOT_FOUND, "not_found", "no such path", Verdict::NotRun)
}

pub(crate) fn method_not_allowed(allowed: &'static str) -> Response<Body> {
    let message = format!("the path allows {allowed}");
    let status = StatusCode::METHOD_NOT_ALLOWED;
    let mut response = response::error(status, "method_not_allowed", message, Verdict::NotRun);
    response.headers_mut().insert(header::ALLOW, HeaderValue::from_static(allowed));
    response
}

fn text_response(status: StatusCode, text: impl Into<Vec<u8>>) -> Response<Body> {
    response_with_type(status, "text/plain; charset=utf-8", text.into())
}

fn response_with_type(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> Response<Body> {
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
