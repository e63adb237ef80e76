//! Rate limiter of one daemon for calls to the table service.
//!
//! The rate of the fleet is divided by the number of daemons. A newly started daemon assumes the
//! largest fleet. Until its membership view has converged, the assumed number only decays gradually
//! to the observed one, so a fleet that restarts all at once stays within the rate although no
//! daemon knows the others yet.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::{Rng, RngExt};
use tokio::time::{Instant, sleep_until};

use crate::table::Error;

/// Number of daemons assumed at the start.
pub const INITIAL_ASSUMED_MEMBERS: usize = 420;
/// Half-life of the difference between the assumed and the observed number of daemons.
const DECAY_HALF_LIFE: Duration = Duration::from_millis(6_000);
/// Period whose unused permits may be saved for a burst.
const BURST_PERIOD: Duration = Duration::from_secs(1);
/// Longest wait for a permit; a call that would wait longer is refused.
const MAX_PERMIT_WAIT: Duration = Duration::from_secs(2);

/// Call rates allowed to the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Writes per second.
    pub writes_per_s: f64,
    /// Reads per second.
    pub reads_per_s: f64,
}

/// Kind of table operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Transaction.
    Write,
    /// Read or scan.
    Read,
}

/// Rate limiter of one daemon; clones share the permits.
#[derive(Clone, Debug)]
pub struct Limiter(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    members: Members,
    writes: Bucket,
    reads: Bucket,
    refused_calls: u64,
}

#[derive(Debug)]
struct Members {
    assumed: f64,
    observed: f64,
    updated_at: Instant,
}

impl Members {
    /// Number of daemons to divide the rate by; follows a rise at once and a fall gradually.
    fn decayed_count(&mut self, now: Instant) -> f64 {
        let half_lives = (now - self.updated_at).div_duration_f64(DECAY_HALF_LIFE);
        self.updated_at = now;
        let excess = (self.assumed - self.observed).max(0.0);
        self.assumed = self.observed + excess * 0.5_f64.powf(half_lives);
        self.assumed.max(1.0)
    }
}

#[derive(Debug)]
struct Bucket {
    fleet_per_s: f64,
    permits: f64,
    updated_at: Instant,
}

impl Bucket {
    fn new(fleet_per_s: f64, permits: f64, updated_at: Instant) -> Self {
        Self { fleet_per_s, permits, updated_at }
    }

    /// Reserves one permit, possibly a future one; returns the time from which it is valid, or
    /// `None` if that is too far ahead.
    fn reserve(&mut self, now: Instant, members: f64) -> Option<Instant> {
        let rate = self.fleet_per_s / members;
        let burst = (rate * BURST_PERIOD.as_secs_f64()).max(1.0);
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.permits = (self.permits + elapsed * rate).min(burst);
        self.updated_at = now;
        let missing = (1.0 - self.permits).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        if wait > MAX_PERMIT_WAIT {
            return None;
        }
        self.permits -= 1.0;
        Some(now + wait)
    }
}

impl Limiter {
    /// Limiter for this daemon's share of the fleet's `quota`.
    #[must_use]
    pub fn new(quota: Quota) -> Self {
        Self::with_rng(quota, &mut rand::rng())
    }

    /// Limiter whose first permits become valid at random times, which spreads the first calls of
    /// daemons that start together.
    pub fn with_rng(quota: Quota, rng: &mut impl Rng) -> Self {
        let now = Instant::now();
        let members = INITIAL_ASSUMED_MEMBERS as f64;
        Self(Arc::new(Mutex::new(State {
            members: Members { assumed: members, observed: members, updated_at: now },
            writes: Bucket::new(quota.writes_per_s, rng.random_range(0.0..1.0), now),
            reads: Bucket::new(quota.reads_per_s, rng.random_range(0.0..1.0), now),
            refused_calls: 0,
        })))
    }

    /// Sets the observed number of live daemons.
    pub fn set_live_members(&self, live: usize) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.members.decayed_count(Instant::now());
        state.members.observed = live.max(1) as f64;
    }

    /// Sets the number of live daemons after the membership view has converged, without decay.
    pub fn set_converged_members(&self, live: usize) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let members = live.max(1) as f64;
        state.members = Members { assumed: members, observed: members, updated_at: Instant::now() };
    }

    /// Writes per second that this daemon may send now.
    #[must_use]
    pub fn writes_per_s(&self) -> f64 {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let members = state.members.decayed_count(Instant::now());
        state.writes.fleet_per_s / members
    }

    /// Number of calls refused so far.
    #[must_use]
    pub fn refused_calls(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).refused_calls
    }

    /// Waits for a permit.
    ///
    /// # Errors
    /// Fails at once with [`Error::Limited`] if the wait would exceed 2 seconds.
    pub async fn acquire(&self, operation: Operation) -> Result<(), Error> {
        let until = self.reserve(operation).ok_or(Error::Limited)?;
        sleep_until(until).await;
        Ok(())
    }

    fn reserve(&self, operation: Operation) -> Option<Instant> {
        let now = Instant::now();
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let members = state.members.decayed_count(now);
        let bucket = match operation {
            Operation::Write => &mut state.writes,
            Operation::Read => &mut state.reads,
        };
        let until = bucket.reserve(now, members);
        state.refused_calls += u64::from(until.is_none());
        until
    }
}
