//! Writes of bodies to the object store. Bodies stay in memory until the store accepts them.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_ports::{backoff::Backoff, object::Store};
use tokio::time::sleep;

const RETRY_BACKOFF: Backoff =
    Backoff { base: Duration::from_millis(50), max: Duration::from_secs(2) };

/// Body that was stored.
pub struct Outcome {
    pub step: u64,
    /// Object key.
    pub object: String,
}

/// Stores a body and retries without limit. Keys contain the digest of the body, so a repeated
/// write is harmless.
pub async fn put<S: Store>(store: S, object: &str, body: Bytes) {
    let mut attempt = 0;
    while store.put(object, body.clone()).await.is_err() {
        let delay = RETRY_BACKOFF.delay(attempt, &mut rand::rng());
        sleep(delay).await;
        attempt += 1;
    }
}
