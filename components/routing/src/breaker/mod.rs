//! Circuit breaker of one backend server.
//!
//! It opens on consecutive failures and on a high share of failures. The second rule catches a
//! server that answers part of its requests quickly with errors and would otherwise attract
//! traffic by its short queue.

use std::time::Duration;

use derive_more::Display;
use filbertsail_clock::Instant;

/// Failures in a row that open the breaker.
const CONSECUTIVE_FAILURES: u32 = 5;
/// Outcomes before the share of failures counts.
const MIN_OUTCOMES: u32 = 10;
/// Share of failures that opens the breaker.
const FAILURE_SHARE: f64 = 0.5;
/// Weight of the newest outcome in the share of failures.
const OUTCOME_WEIGHT: f64 = 0.1;
/// Time open after the first failure of a series.
const MIN_OPEN: Duration = Duration::from_secs(1);
/// Longest time open.
const MAX_OPEN: Duration = Duration::from_secs(30);
/// Time after which a probe without an outcome is given up.
const PROBE_LIFE: Duration = Duration::from_secs(60);

/// Position of a breaker.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum State {
    /// Requests pass.
    #[default]
    #[display("closed")]
    Closed,
    /// No requests pass until the given time.
    #[display("open")]
    Open {
        /// End of the pause.
        until: Instant,
    },
    /// One request probes the server.
    #[display("half_open")]
    HalfOpen {
        /// When the probe was sent.
        probe: Instant,
    },
}

/// Circuit breaker of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    state: State,
    failures: u32,
    outcomes: u32,
    failure_share: f64,
    openings: u32,
}

impl Breaker {
    /// Position at `now`.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Weighted share of failures, from 0 to 1.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Whether a request may pass at `now`.
    #[must_use]
    pub fn admits(&self, now: Instant) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { probe } => now.since(probe) >= PROBE_LIFE,
        }
    }

    /// Notes a request that was sent; the first one after a pause is the probe.
    pub fn sent(&mut self, now: Instant) {
        if self.state != State::Closed && self.admits(now) {
            self.state = State::HalfOpen { probe: now };
        }
    }

    /// Notes a success.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.count(0.0);
        if matches!(self.state, State::HalfOpen { .. }) {
            *self = Self::default();
        }
    }

    /// Notes a failure; `jitter` from 0 to 1 spreads the probes of many gateways.
    pub fn failed(&mut self, now: Instant, jitter: f64) {
        self.failures += 1;
        self.count(1.0);
        let opens = match self.state {
            State::Closed => self.is_over(),
            State::HalfOpen { .. } => true,
            State::Open { .. } => false,
        };
        if opens {
            self.open(now, jitter);
        }
    }

    /// Notes a request whose end says nothing about the server, such as a caller that left.
    pub fn abandoned(&mut self, now: Instant) {
        if matches!(self.state, State::HalfOpen { .. }) {
            self.state = State::Open { until: now };
        }
    }

    fn count(&mut self, failure: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_share += OUTCOME_WEIGHT * (failure - self.failure_share);
    }

    fn is_over(&self) -> bool {
        self.failures >= CONSECUTIVE_FAILURES
            || (self.outcomes >= MIN_OUTCOMES && self.failure_share >= FAILURE_SHARE)
    }

    fn open(&mut self, now: Instant, jitter: f64) {
        let pause = MIN_OPEN.saturating_mul(1 << self.openings.min(5)).min(MAX_OPEN);
        self.openings = self.openings.saturating_add(1);
        self.state = State::Open { until: now.after(pause.mul_f64(1.0 + jitter.clamp(0.0, 1.0))) };
    }
}

#[cfg(test)]
mod tests {
    use filbertsail_clock::Instant;

    use super::{Breaker, CONSECUTIVE_FAILURES, State};

    /// Guards against a broken server that is flooded again as soon as its pause ends.
    #[test]
    fn can_probe_with_one_request() {
        let mut breaker = Breaker::default();
        let start = Instant::from_millis(0);
        for _ in 0..CONSECUTIVE_FAILURES {
            assert!(breaker.admits(start));
            breaker.failed(start, 0.0);
        }
        assert!(!breaker.admits(Instant::from_millis(999)));
        let later = Instant::from_millis(1_000);
        breaker.sent(later);
        assert!(!breaker.admits(later));
        breaker.failed(later, 0.0);
        assert!(!breaker.admits(Instant::from_millis(2_999)));
        breaker.sent(Instant::from_millis(3_000));
        breaker.succeeded();
        assert_eq!(breaker.state(), State::Closed);
    }

    /// Guards against a server that fails most requests but never many in a row.
    #[test]
    fn can_open_on_the_share_of_failures() {
        let mut breaker = Breaker::default();
        for index in 0..40 {
            if index % 4 == 0 {
                breaker.succeeded();
            } else {
                breaker.failed(Instant::default(), 0.0);
            }
        }
        assert!(matches!(breaker.state(), State::Open { .. }));
    }
}
