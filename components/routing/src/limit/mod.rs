//! Adaptive concurrency limit of one backend server.
//!
//! The limit starts at the inventory's bound, shrinks by a factor on signs of overload and grows by
//! one per full window of successes that used it.

use std::time::Duration;

use filbertsail_clock::Instant;

/// Least limit.
const MIN_LIMIT: f64 = 1.0;
/// Factor on overload.
const SHRINK: f64 = 0.8;
/// Least time between two reductions, so that one burst of refusals counts once.
const SHRINK_INTERVAL: Duration = Duration::from_millis(100);
/// Weight of the newest duration in the short average.
const SHORT_WEIGHT: f64 = 0.2;
/// Weight of the newest duration in the long average.
const LONG_WEIGHT: f64 = 0.01;
/// Short average over long average that counts as overload.
const SLOWDOWN: f64 = 2.0;

/// Adaptive concurrency limit.
#[derive(Clone, Debug)]
pub struct Limit {
    current: f64,
    ceiling: f64,
    short_ms: f64,
    long_ms: f64,
    shrunk_at: Option<Instant>,
}

impl Limit {
    /// Limit that never exceeds `ceiling`.
    #[must_use]
    pub fn new(ceiling: u32) -> Self {
        let ceiling = f64::from(ceiling.max(1));
        Self { current: ceiling, ceiling, short_ms: 0.0, long_ms: 0.0, shrunk_at: None }
    }

    /// Changes the ceiling.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        let ceiling = f64::from(ceiling.max(1));
        if (ceiling - self.ceiling).abs() >= 0.5 {
            self.current = (self.current * ceiling / self.ceiling).clamp(MIN_LIMIT, ceiling);
            self.ceiling = ceiling;
        }
    }

    /// Requests allowed together.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn get(&self) -> u32 {
        self.current as u32
    }

    /// Average duration of successes in milliseconds, zero before the first.
    #[must_use]
    pub fn duration_ms(&self) -> f64 {
        self.short_ms
    }

    /// Notes a success with `in_flight` requests under way.
    pub fn succeeded(&mut self, now: Instant, took: Duration, in_flight: u32) {
        let took = took.as_secs_f64() * 1_000.0;
        if self.long_ms == 0.0 {
            (self.short_ms, self.long_ms) = (took, took);
        }
        self.short_ms += SHORT_WEIGHT * (took - self.short_ms);
        self.long_ms += LONG_WEIGHT * (took - self.long_ms);
        let used = f64::from(in_flight) * 2.0 >= self.current;
        if used && self.short_ms > SLOWDOWN * self.long_ms {
            self.overloaded(now);
        } else if used {
            self.current = (self.current + 1.0 / self.current).min(self.ceiling);
        }
    }

    /// Notes a request that took longer than `took`. The limit stays: the deadline may have left too
    /// little time, but the worker must not look faster than it is.
    pub fn late(&mut self, took: Duration) {
        let took = took.as_secs_f64() * 1_000.0;
        if took > self.short_ms {
            self.short_ms += SHORT_WEIGHT * (took - self.short_ms);
        }
    }

    /// Notes a refusal or a timeout.
    pub fn overloaded(&mut self, now: Instant) {
        if self.shrunk_at.is_some_and(|at| now.since(at) < SHRINK_INTERVAL) {
            return;
        }
        self.shrunk_at = Some(now);
        self.current = (self.current * SHRINK).max(MIN_LIMIT);
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use filbertsail_clock::Instant;

    use super::Limit;

    /// Guards against a limit that stays low after an overload has passed, or collapses in a burst.
    #[test]
    fn can_shrink_and_recover() {
        let mut limit = Limit::new(10);
        let now = Instant::from_millis(1_000);
        for _ in 0..50 {
            limit.overloaded(now);
        }
        assert_eq!(limit.get(), 8);
        for _ in 0..40 {
            limit.succeeded(now, Duration::from_millis(5), limit.get());
        }
        assert_eq!(limit.get(), 10);
    }
}
