//! Bodies on their way to the object store. While it does not answer they wait in memory.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_ports::{backoff::Backoff, object::Store};
use tokio::time::sleep;

const BACKOFF: Backoff = Backoff { base: Duration::from_millis(50), max: Duration::from_secs(2) };

/// Body that is stored.
pub struct Outcome {
    /// Step number.
    pub step: u64,
    /// Object key.
    pub object: String,
}

/// Stores a body, however long it takes. The keys name the content, so a repeat does no harm.
pub async fn put<S: Store>(store: S, object: &str, body: Bytes) {
    let mut attempt = 0;
    while store.put(object, body.clone()).await.is_err() {
        let wait = BACKOFF.wait(attempt, &mut rand::rng());
        sleep(wait).await;
        attempt += 1;
    }
}
