//! Model engine with continuous batching.
//!
//! One task advances all running requests by a token per step. A step takes longer once more
//! requests run than the engine has slots for. Each token's text names the run that produced it
//! and its index, so that a checker can look up in the [`record`] which weights made each token of
//! a delivered text.

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
    server::{self, Place},
};

/// Properties of an engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Worker name.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Requests that run at full speed together.
    pub slots: u32,
    /// Requests that run together at most; more are queued.
    pub max_running: u32,
    /// Requests that are queued at most; more are refused.
    pub max_queued: u32,
    /// Time of a step with no more requests than slots.
    pub step: Duration,
    /// Steps that a prompt without a cached prefix takes before its first token.
    pub prefill_steps: u32,
    /// Prompt prefixes that the cache holds.
    pub cache_entries: usize,
    /// Delay of cache events.
    pub cache_lag: Duration,
    /// Every how many-th cache event is lost.
    pub cache_gap: u64,
    /// Age of the load report.
    pub load_lag: Duration,
    /// Refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// Time to load weights.
    pub swap: Duration,
    /// Weight store to download from.
    pub weights: Option<SocketAddr>,
    /// Weights loaded at the start.
    pub version: u64,
    /// Usual number of tokens of an answer.
    pub tokens: u32,
    /// Share of answers that are `straggler_factor` times as long.
    pub straggler_share: f64,
    /// Length of a straggler relative to usual.
    pub straggler_factor: u32,
    /// Seed of answer lengths.
    pub seed: u64,
}

impl Options {
    /// Properties of a small, fast engine.
    #[must_use]
    pub fn new(name: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            slots: 8,
            max_running: 16,
            max_queued: 256,
            step: Duration::from_millis(10),
            prefill_steps: 4,
            cache_entries: 64,
            cache_lag: Duration::from_millis(200),
            cache_gap: 50,
            load_lag: Duration::from_millis(200),
            checks_fence: true,
            swap: Duration::from_millis(500),
            weights: None,
            version: 1,
            tokens: 16,
            straggler_share: 0.0,
            straggler_factor: 10,
            seed: 1,
        }
    }
}

/// Behaviour that scenarios change while the engine runs.
#[derive(Clone, Copy, Debug)]
struct Knobs {
    /// Time per step relative to normal.
    slowdown: f64,
    /// Next swap fails partway.
    fail_swap: bool,
    /// Reports that the worker is leaving.
    leaving: bool,
}

#[derive(Debug)]
struct State {
    batch: batch::Batch,
    cache: cache::Cache,
    swap: swap::Swap,
    reports: Vec<(Instant, filbertsail_api::engine::Load)>,
    knobs: Knobs,
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

/// Running engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Address.
    pub address: SocketAddr,
    /// Faults.
    pub faults: fault::Handle,
    inner: Arc<Inner>,
}

/// Starts an engine that writes to `record`.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    options: Options,
    place: Place,
    record: record::Record,
    stop: CancellationToken,
) -> eyre::Result<Engine> {
    let faults = fault::Handle::new(options.seed);
    let state = State {
        batch: batch::Batch::default(),
        cache: cache::Cache::new(options.cache_entries, options.cache_gap),
        swap: swap::Swap::new(options.version),
        reports: Vec::new(),
        knobs: Knobs { slowdown: 1.0, fail_swap: false, leaving: false },
        incarnation: 1,
    };
    let state = Mutex::new(state);
    let inner = Arc::new(Inner { options, state, record, wake: Notify::new() });
    let handler = http::Server(inner.clone());
    let address = server::start(address, place, faults.clone(), handler, stop.clone())?;
    tokio::spawn(run_steps(inner.clone(), stop.clone()));
    tokio::spawn(run_reports(inner.clone(), stop));
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

    /// Weights loaded; `None` during or after a failed swap.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.inner.lock().swap.version
    }

    /// Makes each step take `factor` times as long.
    pub fn set_slowdown(&self, factor: f64) {
        self.inner.lock().knobs.slowdown = factor;
    }

    /// Reports that the worker is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.inner.lock().knobs.leaving = leaving;
    }

    /// Makes the next swap fail partway.
    pub fn fail_next_swap(&self) {
        self.inner.lock().knobs.fail_swap = true;
    }

    /// Ends the process: closes the port, breaks all streams and drops all state.
    pub fn crash(&self) {
        self.faults.set_down(true);
        let mut state = self.inner.lock();
        state.batch = batch::Batch::default();
        state.reports.clear();
        let options = &self.inner.options;
        state.cache = cache::Cache::new(options.cache_entries, options.cache_gap);
        state.swap.abandon();
    }

    /// Starts the process again with the given weights, which may be older than before.
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
        let pause = {
            let mut state = inner.lock();
            let State { batch, swap, cache, .. } = &mut *state;
            batch.step(&inner.options, swap.version, cache, &inner.record);
            step_time(&inner.options, &state)
        };
        tokio::select! {
            () = stop.cancelled() => return,
            () = pause_or_wake(&inner, pause) => {}
        }
    }
}

/// Time until the next step; `None` if there is nothing to do.
fn step_time(options: &Options, state: &State) -> Option<Duration> {
    let running = state.batch.running();
    let crowding = (f64::from(running) / f64::from(options.slots)).max(1.0);
    (running > 0).then(|| options.step.mul_f64(crowding * state.knobs.slowdown))
}

async fn pause_or_wake(inner: &Inner, pause: Option<Duration>) {
    match pause {
        Some(pause) => tokio::time::sleep(pause).await,
        None => inner.wake.notified().await,
    }
}

/// Takes load reports for the lagging view.
async fn run_reports(inner: Arc<Inner>, stop: CancellationToken) {
    const PERIOD: Duration = Duration::from_millis(50);
    loop {
        {
            let now = Boot.now();
            let mut state = inner.lock();
            let report = http::load(&inner.options, &state);
            state.reports.push((now, report));
            let oldest = now.before(inner.options.load_lag + PERIOD * 2);
            state.reports.retain(|(at, _)| *at >= oldest);
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(PERIOD) => {}
        }
    }
}
