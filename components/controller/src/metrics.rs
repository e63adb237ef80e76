//! Metrics of the trainer and weight rollout tasks.

use filbertsail_telemetry::metrics::{KeyValue, Registry};
use opentelemetry::metrics::{Counter, Histogram};

/// Instruments; clones share the same counters.
#[derive(Clone, Debug)]
pub struct Metrics {
    attempts: Counter<u64>,
    tokens: Counter<u64>,
    replaced: Counter<u64>,
    hedges: Counter<u64>,
    batches: Counter<u64>,
    sample_seconds: Histogram<f64>,
    orders: Counter<u64>,
}

impl Metrics {
    /// Creates the instruments in `registry`.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        Self {
            attempts: registry.counter("samples", "Attempts at samples by result"),
            tokens: registry.counter("sample_tokens", "Tokens of samples by use"),
            replaced: registry.counter("samples_replaced", "Samples dropped as too old"),
            hedges: registry.counter("second_starts", "Second starts of stragglers"),
            batches: registry.counter("batches_delivered", "Batches delivered by way"),
            sample_seconds: registry
                .duration_histogram("sample", "Time from dispatch to a whole sample"),
            orders: registry.counter("weight_orders", "Orders to load weights by result"),
        }
    }

    /// Counts a finished attempt at a sample by `result`.
    pub fn count_attempt(&self, trainer: &str, result: &'static str) {
        self.attempts.add(1, &[label("trainer", trainer), static_label("result", result)]);
    }

    /// Counts tokens by `usage`: won, or lost to a hedge.
    pub fn count_tokens(&self, trainer: &str, usage: &'static str, tokens: u32) {
        self.tokens
            .add(u64::from(tokens), &[label("trainer", trainer), static_label("use", usage)]);
    }

    /// Records the time from dispatch to a complete sample, in seconds.
    pub fn record_sample_time(&self, trainer: &str, seconds: f64) {
        self.sample_seconds.record(seconds, &[label("trainer", trainer)]);
    }

    /// Counts samples that were dropped as too old.
    pub fn count_replaced(&self, trainer: &str, samples: usize) {
        self.replaced.add(samples as u64, &[label("trainer", trainer)]);
    }

    /// Counts a second attempt at a slow sample.
    pub fn count_hedge(&self, trainer: &str) {
        self.hedges.add(1, &[label("trainer", trainer)]);
    }

    /// Counts a delivered batch by `method`: after a commit or with a cursor.
    pub fn count_batch(&self, trainer: &str, method: &'static str) {
        self.batches.add(1, &[label("trainer", trainer), static_label("way", method)]);
    }

    /// Counts an order to load weights by `result`.
    pub fn count_order(&self, service: &str, result: &'static str) {
        self.orders.add(1, &[label("service", service), static_label("result", result)]);
    }
}

fn label(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}

fn static_label(key: &'static str, value: &'static str) -> KeyValue {
    KeyValue::new(key, value)
}
