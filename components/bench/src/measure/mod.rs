//! Performance measures of a run.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::{
    checker::{self, Records},
    journal::{Call, History},
};

/// Prefix of the prompts of samples.
pub const SAMPLE_PROMPT_PREFIX: &str = "Sample for trainer ";

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

/// Measures of one policy; `None` (null in JSON) if a measure does not apply.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Measure {
    /// Violations by promise.
    pub violations: BTreeMap<String, u64>,
    /// Number of customer requests.
    pub requests: u64,
    /// Customer requests per second that succeeded during the load.
    pub goodput: Option<f64>,
    /// Latency of successful customer requests from their scheduled arrival.
    pub latency_ms: Option<Latency>,
    /// Share of their time that trainers waited for batches.
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
    /// Maximum.
    pub max: f64,
}

impl Measure {
    /// Whether no promise was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }
}

/// Computes the measures of a run with `seconds` of load.
#[must_use]
pub fn compute(
    history: &History,
    records: &Records,
    violations: BTreeMap<String, u64>,
    seconds: f64,
) -> Measure {
    // Counting later responses would add the backlog of queued requests to the goodput.
    let load_ended_at = history.load_started_at.after(Duration::from_secs_f64(seconds));
    let answered_during_load = |call: &&Call| call.succeeded() && call.ended_at <= load_ended_at;
    let answered = history.calls.iter().filter(answered_during_load).count();
    let has_calls = !history.calls.is_empty();
    let trainer_time_s = history.trainer_wait_s + history.trainer_step_s;
    Measure {
        violations,
        requests: history.calls.len() as u64,
        goodput: has_calls.then(|| answered as f64 / seconds),
        latency_ms: latency(history),
        trainer_idle_share: (trainer_time_s > 0.0).then(|| history.trainer_wait_s / trainer_time_s),
        staleness: staleness(history, records),
        extra_tokens_share: extra_tokens(history, records),
    }
}

/// Largest value that a histogram records: ten minutes in microseconds.
const MAX_HISTOGRAM_VALUE: u64 = 600_000_000;

fn histogram() -> Histogram<u64> {
    // These bounds and three significant digits are always valid.
    Histogram::new_with_bounds(1, MAX_HISTOGRAM_VALUE, 3).expect("valid bounds and digits")
}

fn latency(history: &History) -> Option<Latency> {
    let mut micros = histogram();
    for call in history.calls.iter().filter(|call| call.succeeded()) {
        micros.saturating_record(call.ended_at.since(call.scheduled_at).as_micros() as u64);
    }
    let at = |quantile| micros.value_at_quantile(quantile) as f64 / 1e3;
    (!micros.is_empty()).then(|| Latency { p50: at(0.5), p99: at(0.99) })
}

fn staleness(history: &History, records: &Records) -> Option<Staleness> {
    let mut ages = histogram();
    for batch in &history.batches {
        for sample in &batch.samples {
            let versions = checker::token_versions(&sample.text, records).unwrap_or_default();
            let oldest = versions.into_iter().min().unwrap_or(0);
            ages.saturating_record(batch.trainer_version.saturating_sub(oldest));
        }
    }
    let at = |quantile| ages.value_at_quantile(quantile) as f64;
    (!ages.is_empty()).then(|| Staleness { p50: at(0.5), p95: at(0.95), max: ages.max() as f64 })
}

fn extra_tokens(history: &History, records: &Records) -> Option<f64> {
    let samples = history.batches.iter().flat_map(|batch| &batch.samples);
    let delivered: u64 = samples.map(|sample| u64::from(sample.tokens)).sum();
    // Runs for rounds that were never fetched do not count as extra.
    let fetched = |prompt: &str| {
        history.batches.iter().any(|batch| {
            prompt.starts_with(&crate::trainer::prompt_prefix(&batch.trainer, batch.step))
        })
    };
    let generated: u64 = records
        .engines
        .iter()
        .filter(|run| run.prompt.starts_with(SAMPLE_PROMPT_PREFIX) && fetched(&run.prompt))
        .map(|run| run.token_versions.len() as u64)
        .sum();
    (delivered > 0).then(|| generated.saturating_sub(delivered) as f64 / delivered as f64)
}
