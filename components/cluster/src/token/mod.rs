//! Unique transaction tokens.

use std::sync::atomic::{AtomicU64, Ordering};

/// Generates transaction tokens that are unique to one process.
#[derive(Debug)]
pub(crate) struct Tokens {
    prefix: String,
    next: AtomicU64,
}

impl Tokens {
    /// Adds a random part, in case two processes start with the same name and incarnation.
    pub(crate) fn new(name: &str, incarnation: u64) -> Self {
        let salt: u64 = rand::random();
        Self { prefix: format!("{name}/{incarnation}/{salt:016x}"), next: AtomicU64::new(0) }
    }

    pub(crate) fn next(&self) -> String {
        format!("{}/{}", self.prefix, self.next.fetch_add(1, Ordering::Relaxed))
    }
}
