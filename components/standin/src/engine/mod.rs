//! Simulated model engine with continuous batching.
//!
//! One task advances all running requests by one token per step. A step takes longer when more
//! requests run than the engine has slots. The text of a token contains the number of its run and
//! its index, so that a checker can look up in the [`record`] which weight version produced it.

mod batch;
mod cache;
mod http;
pub mod record;
mod swap;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::{Boot, Instant, Source};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::{
    fault,
    server::{self, Location},
};

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Worker name.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Maximum concurrent requests at full speed.
    pub slots: u32,
    /// Maximum concurrent requests; more are queued.
    pub max_running: u32,
    /// Maximum requests in the queue; more are rejected.
    pub max_queued: u32,
    /// Duration of a step with no more requests than slots.
    pub step_duration: Duration,
    /// Steps before the first token if the prompt's prefix is not cached.
    pub prefill_steps: u32,
    /// Maximum number of cached prompt prefixes.
    pub cache_entries: usize,
    /// Delay until a cache event becomes visible.
    pub cache_event_delay: Duration,
    /// One of this many cache events is lost; 0 for none.
    pub cache_event_loss_interval: u64,
    /// Age of the load reports.
    pub load_report_age: Duration,
    /// Rejects orders with an outdated fencing token.
    pub checks_fence: bool,
    /// Duration of loading weights after the download.
    pub swap_duration: Duration,
    /// Weight store to download from; downloads are skipped if `None`.
    pub weight_store: Option<SocketAddr>,
    /// Weight version loaded at the start.
    pub initial_version: u64,
    /// Average response length in tokens, without stragglers.
    pub typical_tokens: u32,
    /// Fraction of responses that are `straggler_factor` times as long, from 0 to 1.
    pub straggler_fraction: f64,
    /// Length of a straggler relative to other responses.
    pub straggler_factor: u32,
    /// Seed of the random response lengths and faults.
    pub seed: u64,
}

impl Options {
    /// Configuration of a small, fast engine.
    #[must_use]
    pub fn new(name: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            slots: 8,
            max_running: 16,
            max_queued: 256,
            step_duration: Duration::from_millis(10),
            prefill_steps: 4,
            cache_entries: 64,
            cache_event_delay: Duration::from_millis(200),
            cache_event_loss_interval: 50,
            load_report_age: Duration::from_millis(200),
            checks_fence: true,
            swap_duration: Duration::from_millis(500),
            weight_store: None,
            initial_version: 1,
            typical_tokens: 16,
            straggler_fraction: 0.0,
            straggler_factor: 10,
            seed: 1,
        }
    }
}

/// Behaviour that scenarios change at run time.
#[derive(Clone, Copy, Debug)]
struct Overrides {
    /// Duration of a step relative to normal.
    slowdown: f64,
    /// The next swap fails and leaves no weights loaded.
    fail_next_swap: bool,
    /// Load reports say that the worker is leaving.
    is_leaving: bool,
}

#[derive(Debug)]
struct State {
    batch: batch::Batch,
    cache: cache::Cache,
    swap: swap::Swap,
    reports: Vec<(Instant, filbertsail_api::engine::Load)>,
    overrides: Overrides,
    incarnation: u64,
}

#[derive(Debug)]
struct Inner {
    options: Options,
    state: Mutex<State>,
    record: record::Record,
    wake: Notify,
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of a running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Listen address.
    pub address: SocketAddr,
    /// Fault injector.
    pub faults: fault::Injector,
    inner: Arc<Inner>,
}

/// Starts an engine that adds its runs to `record`.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    options: Options,
    location: Location,
    record: record::Record,
    stop: CancellationToken,
) -> eyre::Result<Engine> {
    let faults = fault::Injector::new(options.seed);
    let state = State {
        batch: batch::Batch::default(),
        cache: cache::Cache::new(options.cache_entries, options.cache_event_loss_interval),
        swap: swap::Swap::new(options.initial_version),
        reports: Vec::new(),
        overrides: Overrides { slowdown: 1.0, fail_next_swap: false, is_leaving: false },
        incarnation: 1,
    };
    let state = Mutex::new(state);
    let inner = Arc::new(Inner { options, state, record, wake: Notify::new() });
    let handler = http::Server(inner.clone());
    let address = server::start(address, location, faults.clone(), handler, stop.clone())?;
    tokio::spawn(run_steps(inner.clone(), stop.clone()));
    tokio::spawn(run_load_reports(inner.clone(), stop));
    Ok(Engine { address, faults, inner })
}

impl Engine {
    /// Worker name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.inner.options.name
    }

    /// Service name.
    #[must_use]
    pub fn service(&self) -> &str {
        &self.inner.options.service
    }

    /// Version of the loaded weights; `None` after a failed swap or a crash.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.inner.lock().swap.version
    }

    /// Makes each step take `factor` times its normal duration.
    pub fn set_slowdown(&self, factor: f64) {
        self.inner.lock().overrides.slowdown = factor;
    }

    /// Sets whether load reports say that the worker is leaving.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.inner.lock().overrides.is_leaving = is_leaving;
    }

    /// Makes the next swap fail, which leaves no weights loaded and aborts all responses.
    pub fn fail_next_swap(&self) {
        self.inner.lock().overrides.fail_next_swap = true;
    }

    /// Simulates a crash: closes the port, aborts all responses and discards all state.
    pub fn crash(&self) {
        self.faults.set_down(true);
        let mut state = self.inner.lock();
        state.batch = batch::Batch::default();
        state.reports.clear();
        let options = &self.inner.options;
        state.cache = cache::Cache::new(options.cache_entries, options.cache_event_loss_interval);
        state.swap.discard();
    }

    /// Simulates a restart with the given weight version, which may be older than before.
    pub fn restart(&self, version: u64) {
        let mut state = self.inner.lock();
        state.incarnation += 1;
        state.swap = swap::Swap::new(version);
        drop(state);
        self.faults.set_down(false);
    }
}

async fn run_steps(inner: Arc<Inner>, stop: CancellationToken) {
    loop {
        let step_time = {
            let mut state = inner.lock();
            let State { batch, swap, cache, .. } = &mut *state;
            batch.step(&inner.options, swap.version, cache, &inner.record);
            step_time(&inner.options, &state)
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep_or_wake(&inner, step_time) => {}
        }
    }
}

/// Time until the next step; `None` if no request is running.
fn step_time(options: &Options, state: &State) -> Option<Duration> {
    let running = state.batch.running();
    let overload = (f64::from(running) / f64::from(options.slots)).max(1.0);
    (running > 0).then(|| options.step_duration.mul_f64(overload * state.overrides.slowdown))
}

/// Waits for `step_time`, or until a request arrives if there is none.
async fn sleep_or_wake(inner: &Inner, step_time: Option<Duration>) {
    match step_time {
        Some(step_time) => tokio::time::sleep(step_time).await,
        None => inner.wake.notified().await,
    }
}

/// Takes periodic load reports, which are served once they have the configured age.
async fn run_load_reports(inner: Arc<Inner>, stop: CancellationToken) {
    const REPORT_INTERVAL: Duration = Duration::from_millis(50);
    loop {
        {
            let now = Boot.now();
            let mut state = inner.lock();
            let report = http::current_load(&inner.options, &state);
            state.reports.push((now, report));
            let oldest = now.before(inner.options.load_report_age + REPORT_INTERVAL * 2);
            state.reports.retain(|(at, _)| *at >= oldest);
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(REPORT_INTERVAL) => {}
        }
    }
}
