//! Circuit breaker of one backend server.
//!
//! Opens after consecutive failures or at a high failure rate. The second rule covers a server that
//! fails part of its requests fast: its short queue would otherwise attract more traffic.
//!
//! An open breaker admits one request as a probe. Requests to model engines last for seconds, so the
//! first event of the probe closes the breaker, and not only its end. Until a request has succeeded
//! as a whole the server is on probation: fewer failures open the breaker again, for twice as long.

use std::time::Duration;

use derive_more::Display;
use filbertsail_clock::Instant;

/// Consecutive failures that open the breaker.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;
/// Consecutive failures that open the breaker again before a request has succeeded. A single one may
/// be due to the request or to a broken connection.
const MAX_FAILURES_ON_PROBATION: u32 = 2;
/// Outcomes needed before the failure rate is considered.
const MIN_OUTCOMES_FOR_RATE: u32 = 10;
/// Failure rate that opens the breaker.
const MAX_FAILURE_RATE: f64 = 0.5;
/// Weight of the newest outcome in the moving average of failures.
const FAILURE_RATE_SMOOTHING: f64 = 0.1;
/// Open time after the first trip; doubles with each failed probe.
const MIN_OPEN_TIME: Duration = Duration::from_secs(1);
/// Upper bound on the open time, before jitter.
const MAX_OPEN_TIME: Duration = Duration::from_secs(30);
/// Time after which a probe without an outcome is abandoned.
const PROBE_TIMEOUT: Duration = Duration::from_secs(60);

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum State {
    /// Requests are allowed.
    #[default]
    #[display("closed")]
    Closed,
    /// Requests are rejected.
    #[display("open")]
    Open {
        /// Time from which a probe is allowed.
        until: Instant,
    },
    /// A single request probes the server.
    #[display("half_open")]
    HalfOpen {
        /// Dispatch time of the probe.
        probed_at: Instant,
    },
}

/// Circuit breaker of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    state: State,
    consecutive_failures: u32,
    outcomes: u32,
    failure_rate: f64,
    /// Times that it opened since the last success of a whole request while it was closed or half-open.
    consecutive_trips: u32,
}

impl Breaker {
    /// Current state; an open breaker stays [`State::Open`] until the probe is sent.
    #[must_use]
    pub fn state(&self) -> State {
        self.state
    }

    /// Moving average of failures, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether a request is allowed at `now`.
    #[must_use]
    pub fn allows_request(&self, now: Instant) -> bool {
        match self.state {
            State::Closed => true,
            State::Open { until } => now >= until,
            State::HalfOpen { probed_at } => now.since(probed_at) >= PROBE_TIMEOUT,
        }
    }

    /// Records a dispatched request; the first one after the open time is the probe.
    pub fn record_dispatch(&mut self, now: Instant) {
        if self.state != State::Closed && self.allows_request(now) {
            self.state = State::HalfOpen { probed_at: now };
        }
    }

    /// Records a success; a successful probe closes the breaker.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
        self.record_outcome(0.0);
        match self.state {
            State::Closed => self.consecutive_trips = 0,
            State::Open { .. } => {}
            State::HalfOpen { .. } => *self = Self::default(),
        }
    }

    /// Records that a request sent at `sent_at` has begun to produce its output. Closes the breaker if
    /// the request is the probe.
    pub fn record_progress(&mut self, sent_at: Instant) {
        if let State::HalfOpen { probed_at } = self.state
            && sent_at >= probed_at
        {
            *self = Self { consecutive_trips: self.consecutive_trips, ..Self::default() };
        }
    }

    /// Records a failure. `jitter`, from 0 to 1, extends the open time so that gateways do not
    /// probe at the same moment.
    pub fn record_failure(&mut self, now: Instant, jitter: f64) {
        self.consecutive_failures += 1;
        self.record_outcome(1.0);
        let opens = match self.state {
            State::Closed => self.should_open(),
            State::HalfOpen { .. } => true,
            State::Open { .. } => false,
        };
        if opens {
            self.open(now, jitter);
        }
    }

    /// Records a request whose outcome says nothing about the server, such as a cancelled one.
    pub fn record_inconclusive(&mut self, now: Instant) {
        if matches!(self.state, State::HalfOpen { .. }) {
            self.state = State::Open { until: now };
        }
    }

    fn record_outcome(&mut self, failure: f64) {
        self.outcomes = self.outcomes.saturating_add(1);
        self.failure_rate += FAILURE_RATE_SMOOTHING * (failure - self.failure_rate);
    }

    fn should_open(&self) -> bool {
        let is_on_probation = self.consecutive_trips > 0;
        let max_failures = match is_on_probation {
            true => MAX_FAILURES_ON_PROBATION,
            false => MAX_CONSECUTIVE_FAILURES,
        };
        self.consecutive_failures >= max_failures
            || (self.outcomes >= MIN_OUTCOMES_FOR_RATE && self.failure_rate >= MAX_FAILURE_RATE)
    }

    fn open(&mut self, now: Instant, jitter: f64) {
        let open_time =
            MIN_OPEN_TIME.saturating_mul(1 << self.consecutive_trips.min(5)).min(MAX_OPEN_TIME);
        self.consecutive_trips = self.consecutive_trips.saturating_add(1);
        self.state =
            State::Open { until: now.after(open_time.mul_f64(1.0 + jitter.clamp(0.0, 1.0))) };
    }
}

#[cfg(test)]
mod tests {
    use filbertsail_clock::Instant;

    use super::{Breaker, MAX_CONSECUTIVE_FAILURES, State};

    /// Guards against full traffic to a broken server as soon as the open time ends.
    #[test]
    fn can_probe_with_one_request() {
        let mut breaker = Breaker::default();
        let start = Instant::from_millis(0);
        for _ in 0..MAX_CONSECUTIVE_FAILURES {
            assert!(breaker.allows_request(start));
            breaker.record_failure(start, 0.0);
        }
        assert!(!breaker.allows_request(Instant::from_millis(999)));
        let later = Instant::from_millis(1_000);
        breaker.record_dispatch(later);
        assert!(!breaker.allows_request(later));
        breaker.record_failure(later, 0.0);
        assert!(!breaker.allows_request(Instant::from_millis(2_999)));
        breaker.record_dispatch(Instant::from_millis(3_000));
        breaker.record_success();
        assert_eq!(breaker.state(), State::Closed);
    }

    /// Guards against a server that fails most requests but few consecutive ones.
    #[test]
    fn can_open_on_the_failure_rate() {
        let mut breaker = Breaker::default();
        for index in 0..40 {
            if index % 4 == 0 {
                breaker.record_success();
            } else {
                breaker.record_failure(Instant::default(), 0.0);
            }
        }
        assert!(matches!(breaker.state(), State::Open { .. }));
    }
}
