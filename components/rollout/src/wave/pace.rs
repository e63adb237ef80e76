//! Pace of a rollout: adaptive limit on concurrent swaps.
//!
//! The throughput of the weight store is not known in advance. A swap that takes much longer than
//! the fastest one indicates that the store is the bottleneck and decreases the limit; any other
//! swap increases it.

use std::time::Duration;

/// Target duration of a rollout to all workers.
pub const TARGET_DURATION: Duration = Duration::from_secs(30);
/// Fraction of the target duration used for swaps; the rest covers the lag of reports.
const SWAP_TIME_FRACTION: f64 = 0.8;
/// Swap time assumed until the first swap.
const DEFAULT_SWAP_TIME: Duration = Duration::from_secs(5);
/// Multiple of the fastest swap time from which the store is the bottleneck.
const SLOW_SWAP_FACTOR: f64 = 2.0;
/// Minimum time before a swap is considered failed, since reports lag.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_secs(2);
/// Factor on the limit after a slow swap.
const DECREASE_FACTOR: f64 = 0.7;
/// Factor on the limit after any other swap.
const INCREASE_FACTOR: f64 = 1.05;

/// Limit on concurrent swaps, measured from completed swaps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Concurrent swaps that the store sustains; unlimited until a slow swap.
    limit: f64,
    fastest: Option<Duration>,
    /// Number of swaps to ignore, since they started before the last decrease.
    ignored: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self { limit: f64::INFINITY, fastest: None, ignored: 0 }
    }
}

impl Pace {
    /// Records a swap that took `duration` with `swapping` concurrent swaps.
    pub fn record_swap(&mut self, duration: Duration, swapping: usize) {
        let fastest = self.fastest.map_or(duration, |fastest| fastest.min(duration));
        self.fastest = Some(fastest);
        if self.ignored > 0 {
            self.ignored -= 1;
            return;
        }
        if duration > fastest.mul_f64(SLOW_SWAP_FACTOR) {
            self.limit = (self.limit.min(to_f64(swapping)) * DECREASE_FACTOR).max(1.0);
            self.ignored = swapping.saturating_sub(1);
        } else {
            self.limit *= INCREASE_FACTOR;
        }
    }

    /// Time after an order from which a swap without a reported version has failed.
    #[must_use]
    pub fn failure_timeout(&self) -> Duration {
        let swap_time = self.fastest.unwrap_or(DEFAULT_SWAP_TIME);
        swap_time.mul_f64(SLOW_SWAP_FACTOR).max(MIN_FAILURE_TIMEOUT)
    }

    /// Maximum number of concurrent swaps.
    #[must_use]
    pub fn concurrency(&self, workers: usize, staleness_share: f64) -> usize {
        let all = to_f64(workers);
        let swap_secs = self.fastest.unwrap_or(DEFAULT_SWAP_TIME).as_secs_f64();
        let planned_secs = TARGET_DURATION.as_secs_f64() * SWAP_TIME_FRACTION;
        let required = (all * swap_secs / planned_secs).min(all);
        let wanted = (all - required).mul_add(staleness_share.clamp(0.0, 1.0), required);
        to_count(wanted.min(self.limit).ceil()).max(1)
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(count: usize) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_count(value: f64) -> usize {
    value as usize
}
