//! What a task knows of its lease.

use filbertsail_clock::Instant;

/// Lease held by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Fencing number.
    pub epoch: u64,
    /// Time after which the holder must not act any more.
    pub deadline: Instant,
}

impl Holding {
    /// Whether the holder may act under `epoch` at `now`.
    #[must_use]
    pub fn allows(&self, epoch: u64, now: Instant) -> bool {
        self.epoch == epoch && now < self.deadline
    }
}
