//! Reward calls: requests that score the finished outputs of items.
//!
//! An item with a reward call is listed only with the score that the call returned for its output.
//! The output leaves its engine as soon as it is complete and waits for the score here. A score
//! belongs to one output: it is kept in memory until the result is stored, so that an output that
//! is generated again is scored again.
//!
//! [`plan`] decides which calls start and when a second attempt is due, [`attempt`] makes one
//! attempt, and the task of the batches connects them.

pub mod attempt;
pub mod plan;

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use serde::{Deserialize, Serialize};
use tokio::task::AbortHandle;

use crate::fleet::{End, Fleet, Worker};

/// Multiple of the usual time of a call after which a second attempt is made elsewhere. Times vary
/// by a factor of 2.5 between calls, and a worker that does not answer must not hold up a step.
const HEDGE_FACTOR: f64 = 3.0;
/// Shortest time until a second attempt.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);
/// Weight of the newest call in the moving average of the time of a call.
const PACE_SMOOTHING: f64 = 0.1;
/// Attempts at one call in progress at the same time.
pub const MAX_CONCURRENT_ATTEMPTS: usize = 3;

/// Request that scores an item, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    pub id: String,
    /// Host that, with the path, selects the route.
    pub host: String,
    pub path: String,
    pub body: Vec<u8>,
}

/// Reward call of a finished output.
#[derive(Debug)]
pub struct Scoring {
    /// When the output was complete.
    pub since: Instant,
    /// Earliest time of the next attempt.
    pub not_before: Instant,
    /// Failures reported by workers.
    pub failures: u32,
    /// Workers that were sent the call and did not refuse it.
    pub tried: Vec<Key<Worker>>,
    /// Attempts in progress, oldest first.
    pub attempts: Vec<Sent>,
    /// Whether a route of the call is known, as last logged.
    pub has_route: bool,
}

/// Attempt in progress.
#[derive(Debug)]
pub struct Sent {
    /// Number of the attempt.
    pub number: u64,
    pub worker: Key<Worker>,
    pub sent_at: Instant,
    /// Cancels the attempt and closes its connection.
    pub abort: AbortHandle,
}

impl Scoring {
    /// Reward call of an output that was complete at `since`.
    #[must_use]
    pub fn new(since: Instant) -> Self {
        Self {
            since,
            not_before: since,
            failures: 0,
            tried: Vec::new(),
            attempts: Vec::new(),
            has_route: true,
        }
    }

    /// Whether another attempt is due: none is in progress, or all take unusually long.
    #[must_use]
    pub fn is_due(&self, hedge_delay: Duration, now: Instant) -> bool {
        now >= self.not_before
            && self.attempts.len() < MAX_CONCURRENT_ATTEMPTS
            && self.attempts.iter().all(|sent| now.since(sent.sent_at) >= hedge_delay)
    }

    /// Removes the attempt `number`.
    pub fn take(&mut self, number: u64) -> Option<Sent> {
        let index = self.attempts.iter().position(|sent| sent.number == number)?;
        Some(self.attempts.remove(index))
    }

    /// Cancels all attempts. Those that took `overdue` or longer count as failures of their
    /// workers, so that a worker that never answers is avoided.
    pub fn stop(&mut self, fleet: &mut Fleet, overdue: Duration, now: Instant, jitter: f64) {
        for sent in self.attempts.drain(..) {
            sent.abort.abort();
            let is_overdue = now.since(sent.sent_at) >= overdue;
            let end = if is_overdue { End::Failure } else { End::Inconclusive };
            fleet.record_completion(sent.worker, 0, end, now, jitter);
        }
    }
}

/// Usual time of the calls to one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    mean_ms: Option<f64>,
}

impl Pace {
    /// Records an answered call.
    pub fn record(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let mean_ms = self.mean_ms.get_or_insert(took_ms);
        *mean_ms += PACE_SMOOTHING * (took_ms - *mean_ms);
    }

    /// Time after which an attempt takes unusually long; `target` is used before the first answer.
    #[must_use]
    pub fn hedge_delay(&self, target: Duration) -> Duration {
        let usual = self.mean_ms.map(|ms| Duration::from_secs_f64(HEDGE_FACTOR * ms / 1_000.0));
        usual.unwrap_or(target).max(MIN_HEDGE_DELAY)
    }
}
