//! Time limits that count only while this process runs.
//!
//! After a VM was frozen all timers of its processes have run out, while the bytes that arrived
//! meanwhile still wait in the sockets. A plain time limit would then take every peer for silent.

use std::{future::Future, pin::pin, time::Duration};

use derive_more::{Display, Error};
use tokio::time::{Instant, timeout as plain_timeout};

/// Steps into which a time limit is divided. A freeze counts as one step at most.
const STEPS: u32 = 4;
/// Delay of a timer from which the process counts as frozen. A busy process is late by some tens of
/// milliseconds.
const FREEZE_DELAY: Duration = Duration::from_millis(150);
/// Time after a freeze in which the bytes that arrived meanwhile are read.
const GRACE: Duration = Duration::from_millis(100);
/// Limit of the graces within one time limit, so that a process which is always late ends as well.
const MAX_GRACES: u32 = 3;

/// The time limit has passed.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("time limit passed")]
pub struct Elapsed {
    /// Whether the process was frozen meanwhile, so that a missing answer says little about a peer.
    pub was_frozen: bool,
}

/// Time limit that may span several waits, and counts the time between them.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    step: Duration,
    left: Duration,
    /// Time up to which running time is counted.
    counted_at: Instant,
    graces: u32,
    was_frozen: bool,
}

impl Limit {
    /// Creates a limit of `limit` of running time from now on.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        let step = (limit / STEPS).max(Duration::from_millis(1));
        Self { step, left: limit, counted_at: Instant::now(), graces: 0, was_frozen: false }
    }

    /// Awaits `future` within what is left of the limit.
    ///
    /// # Errors
    /// Fails once the limit has passed.
    pub async fn run<F: Future>(&mut self, future: F) -> Result<F::Output, Elapsed> {
        let mut future = pin!(future);
        loop {
            self.count();
            if self.left.is_zero() {
                return Err(Elapsed { was_frozen: self.was_frozen });
            }
            let result = plain_timeout(self.step.min(self.left), future.as_mut()).await;
            if let Ok(output) = result {
                return Ok(output);
            }
        }
    }

    /// Counts the time since the last call, one step of it at most.
    fn count(&mut self) {
        let now = Instant::now();
        let (elapsed, step) = (now - self.counted_at, self.step.min(self.left));
        self.counted_at = now;
        self.left -= elapsed.min(step);
        if elapsed >= self.step + FREEZE_DELAY {
            self.was_frozen = true;
            if self.left < GRACE && self.graces < MAX_GRACES {
                self.graces += 1;
                self.left = GRACE;
            }
        }
    }
}

/// Awaits `future` for `limit` of running time.
///
/// # Errors
/// Fails once the limit has passed.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    Limit::new(limit).run(future).await
}

/// Awaits `future` until `limit` has passed, whether or not the process runs. After a freeze, what has
/// arrived meanwhile is still read.
///
/// # Errors
/// Fails once the limit has passed.
pub async fn deadline<F: Future>(limit: Duration, future: F) -> Result<F::Output, Elapsed> {
    let (mut future, started) = (pin!(future), Instant::now());
    if let Ok(output) = plain_timeout(limit, future.as_mut()).await {
        return Ok(output);
    }
    let was_frozen = started.elapsed() >= limit + FREEZE_DELAY;
    if was_frozen && let Ok(output) = plain_timeout(GRACE, future).await {
        return Ok(output);
    }
    Err(Elapsed { was_frozen })
}
