//! Request metrics of a port.

use std::{net::SocketAddr, time::Instant};

use filbertsail_http::{Body, server::Handler};
use filbertsail_telemetry::metrics::{Counter, Histogram, KeyValue, Registry, UpDownCounter};
use http::{Method, Request, Response};
use hyper::body::Incoming;

/// Handler that records request metrics of an inner handler.
#[derive(Clone, Debug)]
pub struct Metered<H> {
    inner: H,
    port: &'static str,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    in_flight: UpDownCounter<i64>,
}

impl<H> Metered<H> {
    /// Wraps `inner`; its metrics get the label `port`.
    #[must_use]
    pub fn new(inner: H, port: &'static str, metrics: &Registry) -> Self {
        Self {
            inner,
            port,
            requests: metrics.counter("requests", "Requests answered, by port, method and status"),
            duration: metrics
                .duration_histogram("request_duration", "Time until the head of an answer"),
            in_flight: metrics
                .up_down_counter("requests_in_flight", "Requests without the head of an answer"),
        }
    }
}

impl<H: Handler> Handler for Metered<H> {
    async fn handle(&self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        let method = method_label(request.method());
        let start = Instant::now();
        let _guard = InFlightGuard::new(&self.in_flight, self.port);
        let response = self.inner.handle(request, peer).await;
        let port = KeyValue::new("port", self.port);
        self.duration.record(start.elapsed().as_secs_f64(), std::slice::from_ref(&port));
        let status = KeyValue::new("status", i64::from(response.status().as_u16()));
        self.requests.add(1, &[port, KeyValue::new("method", method), status]);
        response
    }
}

/// Counts a request as in flight until dropped, which also happens when the caller disconnects.
struct InFlightGuard<'m> {
    in_flight: &'m UpDownCounter<i64>,
    port: [KeyValue; 1],
}

impl<'m> InFlightGuard<'m> {
    fn new(in_flight: &'m UpDownCounter<i64>, port: &'static str) -> Self {
        let port = [KeyValue::new("port", port)];
        in_flight.add(1, &port);
        Self { in_flight, port }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.in_flight.add(-1, &self.port);
    }
}

/// Label of a method. Unknown methods share one label, so that callers cannot create new series.
fn method_label(method: &Method) -> &'static str {
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
