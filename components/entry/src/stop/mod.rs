//! Requests during a graceful stop.
//!
//! Load pattern: a VM is asked to stop while callers use it. They learn of it within two seconds and
//! use their open connections until these are closed, so that requests arrive of which some take
//! longer than the process has left. A request that may not be repeated must not end without an
//! answer then, so it is refused while that is still true, and all others are answered before the
//! process exits.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;

/// Time between reporting "not ready" and closing the callers' port. The load balancer checks once
/// a second and needs two failures.
const DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Part of the stop limit that is reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Largest share of a short stop limit for that.
const MAX_EXIT_SHARE: f64 = 0.125;
/// Largest share of a short stop limit until the port is closed.
const MAX_DRAIN_SHARE: f64 = 0.4;
/// Time for the answers that end the last requests to reach their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);
/// Factor on the longest usual duration with each shorter one.
const DURATION_DECAY: f64 = 0.99;

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// When the callers' port is closed.
    pub closes_at: Instant,
    /// When requests that have not ended are answered.
    pub answers_by: Instant,
    /// When the process exits at the latest.
    pub exits_at: Instant,
}

/// What is known of a request that arrives during a stop.
#[derive(Clone, Copy, Debug)]
pub struct Expectation {
    /// Whether it may be repeated after it has run.
    pub may_repeat: bool,
    /// When it times out.
    pub deadline: Instant,
    /// Longest time that requests of its route usually take.
    pub usual: Option<Duration>,
}

impl Schedule {
    /// Schedule of a process that is asked to stop at `start` and killed `stop_limit` later.
    #[must_use]
    pub fn new(start: Instant, stop_limit: Duration) -> Self {
        let exits_at =
            start.after(stop_limit - EXIT_MARGIN.min(stop_limit.mul_f64(MAX_EXIT_SHARE)));
        Self {
            closes_at: start.after(DRAIN_TIME.min(stop_limit.mul_f64(MAX_DRAIN_SHARE))),
            answers_by: exits_at.before(ANSWER_MARGIN),
            exits_at,
        }
    }

    /// Whether a request that arrives at `now` is taken. One that may not be repeated is if it has
    /// timed out by then, since its caller could not tell whether it ran; another one is if it
    /// usually ends in time.
    #[must_use]
    pub fn admits(&self, request: Expectation, now: Instant) -> bool {
        let ends_in_time = request.usual.is_none_or(|usual| now.after(usual) <= self.answers_by);
        now < self.answers_by
            && (request.deadline <= self.answers_by || (request.may_repeat && ends_in_time))
    }
}

/// Longest usual durations of complete requests by route, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Durations(Arc<Mutex<HashMap<String, Duration>>>);

impl Durations {
    /// Records a complete request that took `took`.
    pub fn record(&self, route: &str, took: Duration) {
        let mut durations = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        match durations.get_mut(route) {
            Some(usual) => *usual = took.max(usual.mul_f64(DURATION_DECAY)),
            None => {
                durations.insert(route.to_owned(), took);
            }
        }
    }

    /// Longest time that requests of a route usually take; nothing before the first.
    #[must_use]
    pub fn usual(&self, route: &str) -> Option<Duration> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(route).copied()
    }
}
