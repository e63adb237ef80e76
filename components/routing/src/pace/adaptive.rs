//! Adaptive concurrency limit of a mature worker.
//!
//! Load pattern: a worker that serves more slowly or refuses while many requests run there. AIMD: the limit starts at the maximum from the inventory, decreases by a factor on overload and
//! increases by one per window of successes that used it.

use std::time::Duration;

use filbertsail_clock::Instant;

/// Lower bound on the limit.
const MIN_LIMIT: f64 = 1.0;
/// Factor on the limit on overload.
const DECREASE_FACTOR: f64 = 0.8;
/// Minimum time between two decreases, so that a burst of rejections counts once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of the newest duration in the short-term average.
const SHORT_TERM_SMOOTHING: f64 = 0.2;
/// Weight of the newest duration in the long-term average.
const LONG_TERM_SMOOTHING: f64 = 0.01;
/// Ratio of the short-term to the long-term average that indicates overload.
const OVERLOAD_DURATION_RATIO: f64 = 2.0;

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Adaptive {
    current: f64,
    max_limit: f64,
    short_ms: f64,
    long_ms: f64,
    decreased_at: Option<Instant>,
}

impl Adaptive {
    /// Limit that starts at `max_limit` requests and never exceeds it.
    #[must_use]
    pub fn new(max_limit: u32) -> Self {
        let max_limit = f64::from(max_limit.max(1));
        Self { current: max_limit, max_limit, short_ms: 0.0, long_ms: 0.0, decreased_at: None }
    }

    /// Changes the maximum and scales the limit with it.
    pub fn set_max_limit(&mut self, max_limit: u32) {
        let max_limit = f64::from(max_limit.max(1));
        if (max_limit - self.max_limit).abs() >= 0.5 {
            self.current = (self.current * max_limit / self.max_limit).clamp(MIN_LIMIT, max_limit);
            self.max_limit = max_limit;
        }
    }

    /// Number of concurrent requests allowed.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn get(&self) -> u32 {
        self.current as u32
    }

    /// Moving average of the durations of successes; zero before the first.
    #[must_use]
    pub fn average_duration_ms(&self) -> f64 {
        self.short_ms
    }

    /// Records a success after `duration`, with `in_flight` requests at that time.
    pub fn record_success(&mut self, now: Instant, duration: Duration, in_flight: u32) {
        let duration_ms = duration.as_secs_f64() * 1_000.0;
        if self.long_ms == 0.0 {
            (self.short_ms, self.long_ms) = (duration_ms, duration_ms);
        }
        self.short_ms += SHORT_TERM_SMOOTHING * (duration_ms - self.short_ms);
        self.long_ms += LONG_TERM_SMOOTHING * (duration_ms - self.long_ms);
        let is_used = f64::from(in_flight) * 2.0 >= self.current;
        if is_used && self.short_ms > OVERLOAD_DURATION_RATIO * self.long_ms {
            self.record_overload(now);
        } else if is_used {
            self.current = (self.current + 1.0 / self.current).min(self.max_limit);
        }
    }

    /// Records a request that exceeded its deadline after `duration`. Keeps the limit, since the
    /// deadline may have been too short, but raises the average so that the worker does not appear
    /// faster than it is.
    pub fn record_deadline_exceeded(&mut self, duration: Duration) {
        let duration_ms = duration.as_secs_f64() * 1_000.0;
        if duration_ms > self.short_ms {
            self.short_ms += SHORT_TERM_SMOOTHING * (duration_ms - self.short_ms);
        }
    }

    /// Decreases the limit after an overload response or a slow success.
    pub fn record_overload(&mut self, now: Instant) {
        if self.decreased_at.is_some_and(|at| now.since(at) < MIN_DECREASE_INTERVAL) {
            return;
        }
        self.decreased_at = Some(now);
        self.current = (self.current * DECREASE_FACTOR).max(MIN_LIMIT);
    }
}
