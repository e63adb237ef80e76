//! Unique tokens of transactions.

use std::sync::atomic::{AtomicU64, Ordering};

/// Source of tokens that are unique to one incarnation of a daemon.
#[derive(Debug)]
pub(crate) struct Tokens {
    prefix: String,
    next: AtomicU64,
}

impl Tokens {
    /// A random part keeps tokens apart if two processes start under one name and incarnation.
    pub(crate) fn new(name: &str, incarnation: u64) -> Self {
        let salt: u64 = rand::random();
        Self { prefix: format!("{name}/{incarnation}/{salt:016x}"), next: AtomicU64::new(0) }
    }

    pub(crate) fn next(&self) -> String {
        format!("{}/{}", self.prefix, self.next.fetch_add(1, Ordering::Relaxed))
    }
}
