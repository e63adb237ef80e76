//! Measures of a run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    checker::{self, Records},
    journal::{Call, Pages},
};

/// Mark in the prompts of samples.
pub const SAMPLE_MARK: &str = "Sample for trainer ";

/// Result of one scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Result {
    /// Scenario name.
    pub scenario: String,
    /// Seed of arrivals, lengths and faults.
    pub seed: u64,
    /// Deployment name.
    pub deployment: String,
    /// Measures by policy.
    pub policies: BTreeMap<String, Measure>,
}

/// Measures of one policy; one that does not apply is null.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measure {
    /// Violations by promise.
    pub violations: BTreeMap<String, u64>,
    /// Customer requests.
    pub requests: u64,
    /// Customer requests per second that got their answer during the load.
    pub goodput: Option<f64>,
    /// Customer latency from the scheduled arrival.
    pub latency_ms: Option<Latency>,
    /// Share of the trainers' time spent waiting for batches.
    pub trainer_idle_share: Option<f64>,
    /// Age of delivered samples in weight versions.
    pub staleness: Option<Staleness>,
    /// Tokens generated for samples but not delivered, relative to those delivered.
    pub extra_tokens_share: Option<f64>,
}

/// Latency in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Staleness in weight versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Staleness {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// Largest.
    pub max: f64,
}

impl Measure {
    /// Whether no promise was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }
}

/// Measures of one run that took `seconds` of load.
#[must_use]
pub fn of(
    pages: &Pages,
    records: &Records,
    violations: BTreeMap<String, u64>,
    seconds: f64,
) -> Measure {
    // Answers after the end of the load would count the work of a queue as goodput.
    let end = pages.load_from.after(Duration::from_secs_f64(seconds));
    let in_time = |call: &&Call| call.succeeded() && call.end <= end;
    let answered = pages.calls.iter().filter(in_time).count();
    let has_calls = !pages.calls.is_empty();
    let time = pages.waited_s + pages.trained_s;
    Measure {
        violations,
        requests: pages.calls.len() as u64,
        goodput: has_calls.then(|| answered as f64 / seconds),
        latency_ms: latency(pages),
        trainer_idle_share: (time > 0.0).then(|| pages.waited_s / time),
        staleness: staleness(pages, records),
        extra_tokens_share: extra_tokens(pages, records),
    }
}

/// Largest value of a histogram: ten minutes in microseconds.
const LARGEST: u64 = 600_000_000;

fn histogram() -> Histogram<u64> {
    // These bounds and three digits are always valid.
    Histogram::new_with_bounds(1, LARGEST, 3).expect("valid bounds and digits")
}

fn latency(pages: &Pages) -> Option<Latency> {
    let mut micros = histogram();
    for call in pages.calls.iter().filter(|call| call.succeeded()) {
        micros.saturating_record(call.end.since(call.due).as_micros() as u64);
    }
    let at = |quantile| micros.value_at_quantile(quantile) as f64 / 1e3;
    (!micros.is_empty()).then(|| Latency { p50: at(0.5), p99: at(0.99) })
}

fn staleness(pages: &Pages, records: &Records) -> Option<Staleness> {
    let mut ages = histogram();
    for batch in &pages.batches {
        for sample in &batch.samples {
            let versions = checker::versions(&sample.text, records).unwrap_or_default();
            let oldest = versions.into_iter().min().unwrap_or(0);
            ages.saturating_record(batch.version.saturating_sub(oldest));
        }
    }
    let at = |quantile| ages.value_at_quantile(quantile) as f64;
    (!ages.is_empty()).then(|| Staleness { p50: at(0.5), p95: at(0.95), max: ages.max() as f64 })
}

fn extra_tokens(pages: &Pages, records: &Records) -> Option<f64> {
    let samples = pages.batches.iter().flat_map(|batch| &batch.samples);
    let delivered: u64 = samples.map(|sample| u64::from(sample.tokens)).sum();
    // Runs for rounds that were not fetched before the end are not extra.
    let fetched = |prompt: &str| {
        pages.batches.iter().any(|batch| {
            prompt.starts_with(&crate::trainer::prompt_head(&batch.trainer, batch.step))
        })
    };
    let generated: u64 = records
        .engines
        .iter()
        .filter(|run| run.prompt.starts_with(SAMPLE_MARK) && fetched(&run.prompt))
        .map(|run| run.token_versions.len() as u64)
        .sum();
    (delivered > 0).then(|| generated.saturating_sub(delivered) as f64 / delivered as f64)
}
