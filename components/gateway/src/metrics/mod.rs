//! Metrics of the request path.

use std::time::Duration;

use filbertsail_errors::VERDICT_HEADER;
use filbertsail_telemetry::metrics::{KeyValue, Registry};
use http::Response;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Metrics of the request path, cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: Counter<u64>,
    seconds: Histogram<f64>,
    samples: Counter<u64>,
    waiting: Gauge<f64>,
}

impl Metrics {
    /// Metrics in `registry`.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        Self {
            requests: registry.counter("requests", "Requests of callers, by status and verdict."),
            seconds: registry.seconds("request", "Time until the head of the answer."),
            samples: registry.counter("samples", "Dispatched samples, by outcome."),
            waiting: registry.gauge("waiting", "Requests that wait for a worker, by service."),
        }
    }

    /// Notes an answer to a caller.
    pub fn answered<B>(&self, response: &Response<B>, took: Duration) {
        let verdict = response.headers().get(VERDICT_HEADER).and_then(|it| it.to_str().ok());
        let labels = [
            KeyValue::new("status", i64::from(response.status().as_u16())),
            KeyValue::new("verdict", verdict.unwrap_or("none").to_owned()),
        ];
        self.requests.add(1, &labels);
        self.seconds.record(took.as_secs_f64(), &[]);
    }

    /// Notes how many requests wait for a worker of `service`.
    pub fn waiting(&self, service: &str, count: usize) {
        self.waiting.record(count as f64, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Notes the end of a sample.
    pub fn sample(&self, outcome: &'static str) {
        self.samples.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}
