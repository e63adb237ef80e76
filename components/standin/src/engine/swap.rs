//! Weight orders: fencing, download and swap.

use std::sync::Arc;

use filbertsail_api::engine::{Order, Outcome};
use filbertsail_collections::HashMap;
use filbertsail_http::{Body, client::Client};
use http::{Request, StatusCode};
use tokio::time::{Duration, sleep};

use super::Inner;

/// Delay before a failed download is retried.
const DOWNLOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub(super) struct Swap {
    /// Version of the loaded weights.
    pub version: Option<u64>,
    /// Version being loaded.
    target_version: Option<u64>,
    /// Incremented when a swap is replaced, so that the old one has no effect.
    attempt: u64,
    /// Highest fencing token seen, by scope.
    highest_epochs: HashMap<String, u64>,
}

impl Swap {
    pub fn new(version: u64) -> Self {
        Self {
            version: Some(version),
            target_version: None,
            attempt: 0,
            highest_epochs: HashMap::default(),
        }
    }

    /// Cancels the swap in progress and discards the loaded weights.
    pub fn discard(&mut self) {
        self.attempt += 1;
        self.target_version = None;
        self.version = None;
    }
}

/// Accepts or rejects an order; the swap continues in the background.
pub(super) fn handle_order(inner: &Arc<Inner>, order: &Order) -> Outcome {
    let mut state = inner.lock();
    let swap = &mut state.swap;
    let highest_epoch = swap.highest_epochs.entry(order.scope.clone()).or_insert(0);
    if inner.options.checks_fence {
        if order.epoch < *highest_epoch {
            return Outcome {
                accepted: false,
                epoch: *highest_epoch,
                weight_version: swap.version,
            };
        }
        *highest_epoch = order.epoch;
    }
    let epoch = if inner.options.checks_fence { *highest_epoch } else { 0 };
    let outcome = Outcome { accepted: true, epoch, weight_version: swap.version };
    let is_loaded = swap.version == Some(order.load_version) && swap.target_version.is_none();
    if is_loaded || swap.target_version == Some(order.load_version) {
        return outcome;
    }
    swap.attempt += 1;
    swap.target_version = Some(order.load_version);
    let attempt = swap.attempt;
    drop(state);
    tokio::spawn(load_weights(inner.clone(), order.load_version, attempt));
    outcome
}

async fn load_weights(inner: Arc<Inner>, version: u64, attempt: u64) {
    while !download(&inner, version).await {
        sleep(DOWNLOAD_RETRY_DELAY).await;
        if inner.lock().swap.attempt != attempt {
            return;
        }
    }
    sleep(inner.options.swap_duration).await;
    let mut state = inner.lock();
    if state.swap.attempt != attempt {
        return;
    }
    state.swap.target_version = None;
    if std::mem::take(&mut state.overrides.fail_next_swap) {
        // With incomplete weights no response can continue.
        state.swap.version = None;
        state.batch.abort_all();
        return;
    }
    state.swap.version = Some(version);
    drop(state);
    inner.wake.notify_one();
}

/// Downloads the weights; returns whether that succeeded.
async fn download(inner: &Inner, version: u64) -> bool {
    let Some(store) = inner.options.weight_store else { return true };
    let uri = format!("http://{store}/v1/weights/{}/{version}", inner.options.service);
    let Ok(request) = Request::get(uri).body(Body::empty()) else { return false };
    let response = Client::default().send(request, Duration::from_secs(5)).await;
    response.is_ok_and(|response| response.status() == StatusCode::OK)
}
