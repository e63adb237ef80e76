//! Rate budget of one daemon towards the table service.
//!
//! The fleet's rate is divided by the number of daemons. A daemon that has just started assumes
//! the largest fleet and lowers the assumption only step by step until it is told that its view has
//! settled, so a fleet that restarts at once stays within the rate although no daemon knows the
//! others yet.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use rand::{Rng, RngExt};
use tokio::time::{Instant, sleep_until};

use crate::table::Error;

/// Daemons assumed at the start.
pub const INITIAL_MEMBERS: usize = 420;
/// Time over which the assumed number of daemons halves towards the observed one.
const HALVING: Duration = Duration::from_millis(6_000);
/// Time worth of rate that may be saved up.
const BURST: Duration = Duration::from_secs(1);
/// Longest wait for a permit.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Rates of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Writes per second.
    pub writes_per_s: f64,
    /// Reads per second.
    pub reads_per_s: f64,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Transaction.
    Write,
    /// Read or scan.
    Read,
}

/// Rate budget of one daemon, shared by clones.
#[derive(Clone, Debug)]
pub struct Budget(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    members: Members,
    writes: Bucket,
    reads: Bucket,
    limited: u64,
}

#[derive(Debug)]
struct Members {
    assumed: f64,
    observed: f64,
    at: Instant,
}

impl Members {
    /// Number of daemons to divide by; follows a rise at once and a fall slowly.
    fn divisor(&mut self, now: Instant) -> f64 {
        let halvings = (now - self.at).div_duration_f64(HALVING);
        self.at = now;
        let above = (self.assumed - self.observed).max(0.0);
        self.assumed = self.observed + above * 0.5_f64.powf(halvings);
        self.assumed.max(1.0)
    }
}

#[derive(Debug)]
struct Bucket {
    fleet_per_s: f64,
    permits: f64,
    at: Instant,
}

impl Bucket {
    fn new(fleet_per_s: f64, permits: f64, at: Instant) -> Self {
        Self { fleet_per_s, permits, at }
    }

    /// Takes one permit, possibly a future one; returns the time from which it is valid.
    fn take(&mut self, now: Instant, divisor: f64) -> Option<Instant> {
        let rate = self.fleet_per_s / divisor;
        let burst = (rate * BURST.as_secs_f64()).max(1.0);
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.permits = (self.permits + elapsed * rate).min(burst);
        self.at = now;
        let missing = (1.0 - self.permits).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(Duration::MAX);
        if wait > MAX_WAIT {
            return None;
        }
        self.permits -= 1.0;
        Some(now + wait)
    }
}

impl Budget {
    /// Budget out of the fleet's `rates`.
    #[must_use]
    pub fn new(rates: Rates) -> Self {
        Self::with_rng(rates, &mut rand::rng())
    }

    /// Budget whose first permits are valid at random times, which spreads the first calls of
    /// daemons that start together.
    pub fn with_rng(rates: Rates, rng: &mut impl Rng) -> Self {
        let now = Instant::now();
        let members = INITIAL_MEMBERS as f64;
        Self(Arc::new(Mutex::new(State {
            members: Members { assumed: members, observed: members, at: now },
            writes: Bucket::new(rates.writes_per_s, rng.random_range(0.0..1.0), now),
            reads: Bucket::new(rates.reads_per_s, rng.random_range(0.0..1.0), now),
            limited: 0,
        })))
    }

    /// Tells how many daemons are known to be live.
    pub fn set_members(&self, live: usize) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.members.divisor(Instant::now());
        state.members.observed = live.max(1) as f64;
    }

    /// Tells that the number of live daemons is no longer rising.
    pub fn settle(&self, live: usize) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let members = live.max(1) as f64;
        state.members = Members { assumed: members, observed: members, at: Instant::now() };
    }

    /// Writes per second that this daemon may send now.
    #[must_use]
    pub fn writes_per_s(&self) -> f64 {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let divisor = state.members.divisor(Instant::now());
        state.writes.fleet_per_s / divisor
    }

    /// Number of calls refused so far.
    #[must_use]
    pub fn limited(&self) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).limited
    }

    /// Waits for a permit.
    ///
    /// # Errors
    /// Fails with [`Error::Limited`] if the wait would be long.
    pub async fn take(&self, call: Call) -> Result<(), Error> {
        let until = self.reserve(call).ok_or(Error::Limited)?;
        sleep_until(until).await;
        Ok(())
    }

    fn reserve(&self, call: Call) -> Option<Instant> {
        let now = Instant::now();
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let divisor = state.members.divisor(now);
        let bucket = match call {
            Call::Write => &mut state.writes,
            Call::Read => &mut state.reads,
        };
        let until = bucket.take(now, divisor);
        state.limited += u64::from(until.is_none());
        until
    }
}
