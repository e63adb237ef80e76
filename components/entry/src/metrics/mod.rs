//! Counters and latency histograms of a daemon.
//!
//! Labels take few values, so that the number of series stays bounded.

use derive_more::Debug;
use filbertsail_telemetry::metrics::{Counter, Gauge, Histogram, KeyValue, Registry};

/// All instruments, cheap to clone.
#[derive(Clone, Debug)]
#[debug("Metrics")]
pub struct Metrics {
    /// Registry that renders the instruments for the metrics port.
    pub registry: Registry,
    requests: Counter<u64>,
    request_seconds: Histogram<f64>,
    attempts: Counter<u64>,
    items: Counter<u64>,
    item_seconds: Histogram<f64>,
    reward_calls: Counter<u64>,
    reward_call_seconds: Histogram<f64>,
    score_wait_seconds: Histogram<f64>,
    batches: Counter<u64>,
    orders: Counter<u64>,
    worker_orders: Counter<u64>,
    workers_wanted: Gauge<f64>,
    workers_ordered: Gauge<f64>,
    workers_present: Gauge<f64>,
    worker_ramps: Gauge<f64>,
    store_changes: Counter<u64>,
    admissions: Counter<u64>,
    admission_queue: Gauge<f64>,
    config_version: Gauge<f64>,
    access: Counter<u64>,
    access_lines_left_out: Counter<u64>,
    config_age: Gauge<f64>,
    usage_reports: Counter<u64>,
    usage_counts: Counter<u64>,
    usage_age_seconds: Gauge<f64>,
}

fn label(key: &'static str, value: &'static str) -> [KeyValue; 1] {
    [KeyValue::new(key, value)]
}

impl Metrics {
    /// Creates the instruments of the VM `vm`.
    ///
    /// # Errors
    /// Fails if the exporter cannot be registered.
    pub fn new(vm: &str) -> eyre::Result<Self> {
        let registry = Registry::new(vm)?;
        Ok(Self {
            requests: registry.counter("requests", "Forwarded requests by outcome"),
            request_seconds: registry.duration_histogram("request", "Time from request to answer"),
            attempts: registry.counter("attempts", "Attempts of requests at workers by outcome"),
            items: registry.counter("item_runs", "Runs of rollout items by outcome"),
            item_seconds: registry.duration_histogram("item", "Time of a whole run of an item"),
            reward_calls: registry.counter("reward_calls", "Attempts at reward calls by outcome"),
            reward_call_seconds: registry
                .duration_histogram("reward_call", "Time of an answered attempt at a reward call"),
            score_wait_seconds: registry
                .duration_histogram("score_wait", "Time from a complete output to its score"),
            batches: registry.counter("batches", "Events of batches"),
            orders: registry.counter("orders", "Orders to load weights by reply"),
            worker_orders: registry.counter("worker_orders", "Orders of workers by outcome"),
            workers_wanted: registry.gauge("workers_wanted", "Workers that a service should have"),
            workers_ordered: registry.gauge("workers_ordered", "Workers ordered, by kind"),
            workers_present: registry.gauge("workers_present", "Workers that run, by kind"),
            worker_ramps: registry
                .gauge("worker_ramps", "Workers whose limit rises after a start or recovery"),
            store_changes: registry.counter("store_links", "Losses and returns of the store"),
            admissions: registry.counter("admissions", "Requests to plain services by admission"),
            admission_queue: registry.gauge("admission_queue", "Requests that wait for room"),
            config_version: registry.gauge("config_version", "Configuration in force"),
            access: registry.counter("access", "Checks of callers' keys by outcome"),
            access_lines_left_out: registry
                .counter("access_lines_left_out", "Lines about callers without a known key"),
            config_age: registry
                .gauge("config_proof_age_seconds", "Age of the proof of the configuration"),
            usage_reports: registry
                .counter("usage_reports", "Calls with a usage report by outcome"),
            usage_counts: registry.counter("usage_counts", "Counts of usage by event"),
            usage_age_seconds: registry
                .gauge("usage_age_seconds", "Time since the end of the oldest unreported window"),
            registry,
        })
    }

    /// Records the end of a forwarded request with `status` after `seconds`.
    pub fn record_request(&self, status: u16, seconds: f64) {
        let outcome = match status {
            200..=299 => "success",
            503 | 429 => "refused",
            400..=499 => "denied",
            _ => "failed",
        };
        self.requests.add(1, &label("outcome", outcome));
        self.request_seconds.record(seconds, &[]);
    }

    /// Records the end of an attempt; `reason` is empty for a complete response.
    pub fn count_attempt(&self, reason: &'static str) {
        self.attempts
            .add(1, &label("outcome", if reason.is_empty() { "answered" } else { reason }));
    }

    /// Records the end of a run of an item after `seconds`.
    pub fn record_item_run(&self, outcome: &'static str, seconds: f64) {
        self.items.add(1, &label("outcome", outcome));
        if outcome == "done" {
            self.item_seconds.record(seconds, &[]);
        }
    }

    /// Records the end of an attempt at a reward call after `seconds`.
    pub fn record_reward_call(&self, outcome: &'static str, seconds: f64) {
        self.reward_calls.add(1, &label("outcome", outcome));
        if outcome == "scored" {
            self.reward_call_seconds.record(seconds, &[]);
        }
    }

    /// Records the `seconds` from a complete output to its score.
    pub fn record_score_wait(&self, seconds: f64) {
        self.score_wait_seconds.record(seconds, &[]);
    }

    /// Counts an event of a batch.
    pub fn count_batch_event(&self, event: &'static str) {
        self.batches.add(1, &label("event", event));
    }

    /// Counts a worker's reply to an order.
    pub fn count_order(&self, reply: &'static str) {
        self.orders.add(1, &label("reply", reply));
    }

    /// Counts the outcome of an order of workers.
    pub fn count_worker_order(&self, outcome: &'static str) {
        self.worker_orders.add(1, &label("outcome", outcome));
    }

    /// Records the number of workers that a service should have.
    pub fn set_workers_wanted(&self, service: &str, wanted: u32) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.workers_wanted.record(f64::from(wanted), &labels);
    }

    /// Records the number of workers of one kind that were ordered and that run.
    pub fn set_workers(&self, service: &str, kind: &str, ordered: u32, present: u32) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("kind", kind.to_owned())];
        self.workers_ordered.record(f64::from(ordered), &labels);
        self.workers_present.record(f64::from(present), &labels);
    }

    /// Records the number of workers whose limit rises after a start or recovery.
    #[expect(clippy::cast_precision_loss, reason = "there are few workers")]
    pub fn set_worker_ramps(&self, ramps: usize) {
        self.worker_ramps.record(ramps as f64, &[]);
    }

    /// Counts the start or end of a store outage.
    pub fn count_store_change(&self, event: &'static str) {
        self.store_changes.add(1, &label("event", event));
    }

    /// Counts a request that was admitted or refused while there are workspaces.
    pub fn count_admission(&self, outcome: &'static str) {
        self.admissions.add(1, &label("outcome", outcome));
    }

    /// Records the number of requests that wait for room at a worker.
    #[expect(clippy::cast_precision_loss, reason = "the queue is short")]
    pub fn set_admission_queue(&self, len: usize) {
        self.admission_queue.record(len as f64, &[]);
    }

    /// Records the version of the active configuration.
    #[expect(clippy::cast_precision_loss)]
    pub fn set_config_version(&self, version: u64) {
        self.config_version.record(version as f64, &[]);
    }

    /// Counts a check of a caller's key.
    pub fn count_access(&self, outcome: &'static str) {
        self.access.add(1, &label("outcome", outcome));
    }

    /// Counts a line about a caller without a known key that was not written.
    pub fn count_access_line_left_out(&self) {
        self.access_lines_left_out.add(1, &[]);
    }

    /// Records the age of the proof that the configuration is the newest.
    pub fn set_config_age(&self, seconds: f64) {
        self.config_age.record(seconds, &[]);
    }

    /// Counts a call with a usage report.
    pub fn count_usage_report(&self, outcome: &'static str) {
        self.usage_reports.add(1, &label("outcome", outcome));
    }

    /// Counts `amount` counts of usage that were stored or dropped.
    pub fn count_usage(&self, event: &'static str, amount: u64) {
        self.usage_counts.add(amount, &label("event", event));
    }

    /// Records the time since the end of the oldest window that this VM, as the holder, has to
    /// report; zero at the other VMs.
    pub fn set_usage_age(&self, seconds: f64) {
        self.usage_age_seconds.record(seconds, &[]);
    }
}
