//! How often a VM writes its counts.
//!
//! Load pattern: a few dozen requests a second spread over 90 VMs, so that most writes hold one
//! count, or thousands a second at 420 VMs. A write follows the first unwritten count after
//! [`WRITE_DELAY`]. Each VM may make its equal part of [`WRITES_PER_S`], so that all VMs together
//! stay within it even if each of them has counts all the time; a VM that used up its part writes
//! later.

use std::time::Duration;

use filbertsail_clock::Instant;

/// Time from the first unwritten count to the write. A write is then stored within 0.25 s, which is
/// a twentieth of the shortest window in use.
pub const WRITE_DELAY: Duration = Duration::from_millis(200);
/// Writes a second of all VMs together: a tenth of what the store accepts.
pub const WRITES_PER_S: f64 = 150.0;
/// Writes that a VM may save up: two counts shortly after another are both written in time.
const MAX_SAVED_WRITES: f64 = 2.0;

/// Limit on the writes of one VM.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    saved: f64,
    at: Instant,
}

impl Pace {
    /// Pace of a VM that starts at `now`.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self { saved: MAX_SAVED_WRITES, at: now }
    }

    /// Shortest time between writes of a VM that always has counts, with `vms` VMs.
    #[must_use]
    pub fn interval(vms: usize) -> Duration {
        WRITE_DELAY.max(Duration::from_secs_f64(vms.max(1) as f64 / WRITES_PER_S))
    }

    /// When to write counts of which the first is from `since`.
    #[must_use]
    pub fn due(&self, since: Instant, vms: usize) -> Instant {
        let missing = (1.0 - self.saved).max(0.0);
        since.after(WRITE_DELAY).max(self.at.after(Self::interval(vms).mul_f64(missing)))
    }

    /// Records a write at `now`.
    pub fn record_write(&mut self, vms: usize, now: Instant) {
        let refill = now.since(self.at).div_duration_f64(Self::interval(vms));
        self.saved = (self.saved + refill).min(MAX_SAVED_WRITES) - 1.0;
        self.at = now;
    }
}
