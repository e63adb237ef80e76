//! Orders to load weights: fencing, download, swap.

use std::sync::Arc;

use filbertsail_api::engine::{Order, Outcome};
use filbertsail_collections::HashMap;
use filbertsail_http::{Body, client::Client};
use http::{Request, StatusCode};
use tokio::time::{Duration, sleep};

use super::Inner;

/// Pause before a refused download is tried again.
const DOWNLOAD_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub(super) struct Swap {
    /// Weights loaded.
    pub version: Option<u64>,
    /// Version under way.
    wanted: Option<u64>,
    /// Rises when a swap is replaced, so that the old one ends without effect.
    attempt: u64,
    /// Highest fencing number by scope.
    epochs: HashMap<String, u64>,
}

impl Swap {
    pub fn new(version: u64) -> Self {
        Self { version: Some(version), wanted: None, attempt: 0, epochs: HashMap::default() }
    }

    /// Forgets the swap under way and the weights.
    pub fn abandon(&mut self) {
        self.attempt += 1;
        self.wanted = None;
        self.version = None;
    }
}

/// Takes an order; the swap goes on in the background.
pub(super) fn order(inner: &Arc<Inner>, order: &Order) -> Outcome {
    let mut state = inner.lock();
    let swap = &mut state.swap;
    let seen = swap.epochs.entry(order.scope.clone()).or_insert(0);
    if inner.options.checks_fence {
        if order.epoch < *seen {
            return Outcome { accepted: false, epoch: *seen, weight_version: swap.version };
        }
        *seen = order.epoch;
    }
    let epoch = if inner.options.checks_fence { *seen } else { 0 };
    let outcome = Outcome { accepted: true, epoch, weight_version: swap.version };
    let loaded = swap.version == Some(order.load_version) && swap.wanted.is_none();
    if loaded || swap.wanted == Some(order.load_version) {
        return outcome;
    }
    swap.attempt += 1;
    swap.wanted = Some(order.load_version);
    let attempt = swap.attempt;
    drop(state);
    tokio::spawn(load(inner.clone(), order.load_version, attempt));
    outcome
}

async fn load(inner: Arc<Inner>, version: u64, attempt: u64) {
    while !download(&inner, version).await {
        sleep(DOWNLOAD_PAUSE).await;
        if inner.lock().swap.attempt != attempt {
            return;
        }
    }
    sleep(inner.options.swap).await;
    let mut state = inner.lock();
    if state.swap.attempt != attempt {
        return;
    }
    state.swap.wanted = None;
    if std::mem::take(&mut state.knobs.fail_swap) {
        // Without whole weights no stream can go on.
        state.swap.version = None;
        state.batch.break_all();
        return;
    }
    state.swap.version = Some(version);
    drop(state);
    inner.wake.notify_one();
}

async fn download(inner: &Inner, version: u64) -> bool {
    let Some(store) = inner.options.weights else { return true };
    let uri = format!("http://{store}/v1/weights/{}/{version}", inner.options.service);
    let Ok(request) = Request::get(uri).body(Body::empty()) else { return false };
    let answer = Client::default().send(request, Duration::from_secs(5)).await;
    answer.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
