//! Metrics of control work.

use filbertsail_telemetry::metrics::{KeyValue, Registry};
use opentelemetry::metrics::{Counter, Histogram};

/// Instruments, cheap to clone.
#[derive(Clone, Debug)]
pub struct Metrics {
    samples: Counter<u64>,
    tokens: Counter<u64>,
    replaced: Counter<u64>,
    second_starts: Counter<u64>,
    batches: Counter<u64>,
    sample_time: Histogram<f64>,
    orders: Counter<u64>,
}

impl Metrics {
    /// Instruments in `registry`.
    #[must_use]
    pub fn new(registry: &Registry) -> Self {
        Self {
            samples: registry.counter("samples", "Attempts at samples by result"),
            tokens: registry.counter("sample_tokens", "Tokens of samples by use"),
            replaced: registry.counter("samples_replaced", "Samples dropped as too old"),
            second_starts: registry.counter("second_starts", "Second starts of stragglers"),
            batches: registry.counter("batches_delivered", "Batches delivered by way"),
            sample_time: registry.seconds("sample", "Time from dispatch to a whole sample"),
            orders: registry.counter("weight_orders", "Orders to load weights by result"),
        }
    }

    /// Counts an attempt that ended.
    pub fn sample(&self, trainer: &str, result: &'static str) {
        self.samples.add(1, &[named("trainer", trainer), fixed("result", result)]);
    }

    /// Counts tokens that were won, or lost to a second start.
    pub fn tokens(&self, trainer: &str, usage: &'static str, tokens: u32) {
        self.tokens.add(u64::from(tokens), &[named("trainer", trainer), fixed("use", usage)]);
    }

    /// Takes the time of a whole sample.
    pub fn sample_time(&self, trainer: &str, seconds: f64) {
        self.sample_time.record(seconds, &[named("trainer", trainer)]);
    }

    /// Counts samples that are replaced.
    pub fn replaced(&self, trainer: &str, samples: usize) {
        self.replaced.add(samples as u64, &[named("trainer", trainer)]);
    }

    /// Counts a second start.
    pub fn second_start(&self, trainer: &str) {
        self.second_starts.add(1, &[named("trainer", trainer)]);
    }

    /// Counts a batch delivered after a commit or with a cursor.
    pub fn batch(&self, trainer: &str, way: &'static str) {
        self.batches.add(1, &[named("trainer", trainer), fixed("way", way)]);
    }

    /// Counts an order to load weights.
    pub fn order(&self, service: &str, result: &'static str) {
        self.orders.add(1, &[named("service", service), fixed("result", result)]);
    }
}

fn named(key: &'static str, value: &str) -> KeyValue {
    KeyValue::new(key, value.to_owned())
}

fn fixed(key: &'static str, value: &'static str) -> KeyValue {
    KeyValue::new(key, value)
}
