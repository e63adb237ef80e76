//! Metrics of the requests at a port.

use std::{net::SocketAddr, time::Instant};

use filbertsail_http::{Body, server::Handler};
use filbertsail_telemetry::metrics::{Counter, Histogram, KeyValue, Registry, UpDownCounter};
use http::{Method, Request, Response};
use hyper::body::Incoming;

/// Handler that counts the requests of the one inside.
#[derive(Clone, Debug)]
pub struct Metered<H> {
    inner: H,
    port: &'static str,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    in_flight: UpDownCounter<i64>,
}

impl<H> Metered<H> {
    /// Counts the requests of `inner` under the label `port`.
    #[must_use]
    pub fn new(inner: H, port: &'static str, metrics: &Registry) -> Self {
        Self {
            inner,
            port,
            requests: metrics.counter("requests", "Requests answered, by port, method and status"),
            duration: metrics.seconds("request_duration", "Time until the head of an answer"),
            in_flight: metrics
                .level("requests_in_flight", "Requests without the head of an answer"),
        }
    }
}

impl<H: Handler> Handler for Metered<H> {
    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let method = label(request.method());
        let start = Instant::now();
        let _entry = Entry::new(&self.in_flight, self.port);
        let response = self.inner.handle(request, peer).await;
        let port = KeyValue::new("port", self.port);
        self.duration.record(start.elapsed().as_secs_f64(), std::slice::from_ref(&port));
        let status = KeyValue::new("status", i64::from(response.status().as_u16()));
        self.requests.add(1, &[port, KeyValue::new("method", method), status]);
        response
    }
}

/// Request in flight until it is dropped, also when the caller goes away.
struct Entry<'m> {
    level: &'m UpDownCounter<i64>,
    port: [KeyValue; 1],
}

impl<'m> Entry<'m> {
    fn new(level: &'m UpDownCounter<i64>, port: &'static str) -> Self {
        let port = [KeyValue::new("port", port)];
        level.add(1, &port);
        Self { level, port }
    }
}

impl Drop for Entry<'_> {
    fn drop(&mut self) {
        self.level.add(-1, &self.port);
    }
}

/// Label of a method; callers may invent methods, which must not become labels.
fn label(method: &Method) -> &'static str {
    match method.as_str() {
        "GET" => "GET",
        "HEAD" => "HEAD",
        "POST" => "POST",
        "PUT" => "PUT",
        "DELETE" => "DELETE",
        "PATCH" => "PATCH",
        "OPTIONS" => "OPTIONS",
        _ => "other",
    }
}
