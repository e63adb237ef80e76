//! Metrics of the request path.

use filbertsail_errors::VERDICT_HEADER;
use filbertsail_telemetry::metrics::{KeyValue, Registry};
use http::Response;
use opentelemetry::metrics::{Counter, Gauge};

/// Metrics of the request path, cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    verdicts: Counter<u64>,
    samples: Counter<u64>,
    waiting: Gauge<f64>,
    worker_ramps: Gauge<f64>,
}

impl Metrics {
    /// Registers the metrics in `registry`.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        Self {
            verdicts: registry.counter("verdicts", "Failed requests of callers, by verdict."),
            samples: registry.counter("samples", "Dispatched samples, by outcome."),
            waiting: registry.gauge("waiting", "Requests that wait for a worker, by service."),
            worker_ramps: registry
                .gauge("worker_ramps", "Workers whose limit rises after a start or recovery."),
        }
    }

    /// Counts the verdict of a response that has one.
    pub fn count_verdict<B>(&self, response: &Response<B>) {
        let verdict = response.headers().get(VERDICT_HEADER).and_then(|it| it.to_str().ok());
        if let Some(verdict) = verdict {
            self.verdicts.add(1, &[KeyValue::new("verdict", verdict.to_owned())]);
        }
    }

    /// Sets the number of requests that wait for a worker of `service`.
    pub fn set_waiting(&self, service: &str, count: usize) {
        self.waiting.record(count as f64, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Sets the number of workers whose limit rises after a start or recovery.
    pub fn set_worker_ramps(&self, count: usize) {
        self.worker_ramps.record(count as f64, &[]);
    }

    /// Counts a finished sample by outcome.
    pub fn count_sample(&self, outcome: &'static str) {
        self.samples.add(1, &[KeyValue::new("outcome", outcome)]);
    }
}
