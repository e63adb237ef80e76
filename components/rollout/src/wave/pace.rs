//! Pace of a rollout: how many workers swap at a time.
//!
//! The weight store's rate is not known ahead. When swaps take much longer than the fastest seen,
//! the store is the bottleneck and fewer workers swap at a time; otherwise more do.

use std::time::Duration;

/// Time within which all workers should have new weights.
pub const GOAL: Duration = Duration::from_secs(30);
/// Share of the goal that a spread-out rollout plans for; the rest covers the lag of reports.
const PLANNED_SHARE: f64 = 0.8;
/// Time of a swap before one has been seen.
const ASSUMED_SWAP: Duration = Duration::from_secs(5);
/// Multiple of the fastest swap beyond which the store counts as the bottleneck.
const SLOW_FACTOR: f64 = 2.0;
/// Least time before a swap counts as failed; reports lag.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);
const DECREASE: f64 = 0.7;
const INCREASE: f64 = 1.05;

/// Pace learnt from swaps.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// Workers that swap at a time without slowing each other down; unlimited until seen.
    limit: f64,
    fastest: Option<Duration>,
    /// Swaps to ignore: they started before the limit last fell.
    ignored: usize,
}

impl Default for Pace {
    fn default() -> Self {
        Self { limit: f64::INFINITY, fastest: None, ignored: 0 }
    }
}

impl Pace {
    /// Learns from a swap that took `took` while `swapping` workers swapped.
    pub fn swapped(&mut self, took: Duration, swapping: usize) {
        let fastest = self.fastest.map_or(took, |fastest| fastest.min(took));
        self.fastest = Some(fastest);
        if self.ignored > 0 {
            self.ignored -= 1;
            return;
        }
        if took > fastest.mul_f64(SLOW_FACTOR) {
            self.limit = (self.limit.min(number(swapping)) * DECREASE).max(1.0);
            self.ignored = swapping.saturating_sub(1);
        } else {
            self.limit *= INCREASE;
        }
    }

    /// Time after an order from which a worker without a version counts as failed.
    #[must_use]
    pub fn patience(&self) -> Duration {
        let usual = self.fastest.unwrap_or(ASSUMED_SWAP);
        usual.mul_f64(SLOW_FACTOR).max(LEAST_PATIENCE)
    }

    /// Workers that may swap at a time.
    #[must_use]
    pub fn width(&self, workers: usize, haste: f64) -> usize {
        let all = number(workers);
        let swap = self.fastest.unwrap_or(ASSUMED_SWAP).as_secs_f64();
        let planned = GOAL.as_secs_f64() * PLANNED_SHARE;
        let least = (all * swap / planned).min(all);
        let wanted = (all - least).mul_add(haste.clamp(0.0, 1.0), least);
        floor(wanted.min(self.limit).ceil()).max(1)
    }
}

#[allow(clippy::cast_precision_loss)]
fn number(count: usize) -> f64 {
    count as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn floor(value: f64) -> usize {
    value as usize
}
