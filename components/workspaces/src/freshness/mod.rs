//! Age of the known configuration.
//!
//! A withdrawn key may work for a bounded time after the withdrawal was acknowledged. The known
//! configuration is proved to be the newest as of the moment at which the confirming call was
//! *sent*: the response may be late, and the configuration may have changed since it was made. A
//! configuration that replaces the known one inherits the proof, since it was written after it.

use std::time::Duration;

use filbertsail_clock::Instant;

/// Part of the bound that is kept as margin. Clocks of VMs run faster or slower by up to 200 ppm;
/// a percent also covers a clock that is being corrected.
const DRIFT_MARGIN_SHARE: f64 = 0.01;

/// What is proved about the age of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    bound: Option<Duration>,
    proved_at: Option<Instant>,
}

impl Freshness {
    /// Nothing is proved yet. A configuration may be used for `bound` after its proof, or without
    /// limit if absent.
    #[must_use]
    pub fn new(bound: Option<Duration>) -> Self {
        Self { bound, proved_at: None }
    }

    /// Records that a call sent at `sent_at` found the configuration to be the newest.
    pub fn confirmed(&mut self, sent_at: Instant) {
        self.proved_at = self.proved_at.max(Some(sent_at));
    }

    /// Time since the newest proof; none if there is none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }

    /// Whether there is a proof that is at most `age` old.
    #[must_use]
    pub fn is_within(&self, age: Duration, now: Instant) -> bool {
        self.age(now).is_some_and(|known| known <= age)
    }

    /// Whether a request with a known key may be sent to a worker at `now`.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        self.bound.is_none_or(|bound| self.is_within(bound.mul_f64(1.0 - DRIFT_MARGIN_SHARE), now))
    }

    /// Whether withdrawn keys must stop working within a bounded time.
    #[must_use]
    pub fn is_bounded(&self) -> bool {
        self.bound.is_some()
    }
}
