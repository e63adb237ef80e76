//! Limit on store calls through peers that fail.
//!
//! Load pattern: the store is away for all of hundreds of VMs. Each of them makes several calls a
//! second, and would try one peer after the other with each, though all of these are cut off as
//! well. A VM that alone is cut off reaches the store through the first peers that it tries.

use filbertsail_clock::Instant;

/// Failed attempts in a row before further ones are limited. If the store serves half of the VMs,
/// one in 64 finds no peer within these.
const MAX_FAILURES: f64 = 6.0;
/// Failed attempts a second after that, so that a VM finds a peer that is served again.
const FAILURES_PER_S: f64 = 2.0;

/// Attempts that a VM may still make.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    left: f64,
    at: Instant,
}

impl Default for Budget {
    fn default() -> Self {
        Self { left: MAX_FAILURES, at: Instant::default() }
    }
}

impl Budget {
    /// Takes an attempt; returns whether there was one left.
    pub fn take(&mut self, now: Instant) -> bool {
        let refill = now.since(self.at).as_secs_f64() * FAILURES_PER_S;
        (self.left, self.at) = ((self.left + refill).min(MAX_FAILURES), now);
        let is_left = self.left >= 1.0;
        if is_left {
            self.left -= 1.0;
        }
        is_left
    }

    /// Records an attempt that reached the store.
    pub fn record_success(&mut self) {
        self.left = MAX_FAILURES;
    }
}
