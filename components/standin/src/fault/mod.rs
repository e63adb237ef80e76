//! Faults that a stand-in shows on request.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use derive_more::{Display, FromStr};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

/// Way in which a call goes wrong.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The answer comes late by the delay of the handle.
    Slow,
    /// The call takes effect and its connection is closed without an answer.
    LostAfter,
    /// The connection is closed before the call takes effect.
    LostBefore,
    /// The answer shows an old state.
    Stale,
    /// The body ends before its announced length.
    Half,
    /// The answer carries the identifier and body of another request.
    WrongId,
    /// The body is larger than any caller accepts.
    Overlong,
    /// The connection is reset while the answer is under way.
    Reset,
    /// The call is refused at once with status 500 and does not run.
    QuickError,
}

#[derive(Debug)]
struct Plan {
    kind: Option<Kind>,
    share: f64,
    delay: Duration,
    random: ChaCha8Rng,
}

/// Switch for the faults of one stand-in, cheap to clone.
#[derive(Clone, Debug)]
pub struct Handle {
    plan: Arc<Mutex<Plan>>,
    down: watch::Sender<bool>,
}

impl Handle {
    /// Handle without a fault; `seed` fixes which calls a partial fault hits.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let plan = Plan { kind: None, share: 0.0, delay: Duration::ZERO, random };
        Self { plan: Arc::new(Mutex::new(plan)), down: watch::Sender::new(false) }
    }

    /// Applies `kind` to the given share of calls, from 0 to 1.
    pub fn set(&self, kind: Kind, share: f64) {
        let mut plan = self.lock();
        plan.kind = Some(kind);
        plan.share = share;
    }

    /// Delays the given share of calls.
    pub fn slow(&self, delay: Duration, share: f64) {
        self.set(Kind::Slow, share);
        self.lock().delay = delay;
    }

    /// Ends the fault, including a time down.
    pub fn clear(&self) {
        self.lock().kind = None;
        self.down.send_replace(false);
    }

    /// Closes the port and all connections, or opens the port again.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// Whether the port is closed.
    #[must_use]
    pub fn is_down(&self) -> bool {
        *self.down.borrow()
    }

    pub(crate) fn watch_down(&self) -> watch::Receiver<bool> {
        self.down.subscribe()
    }

    /// Fault of the next call, if any.
    #[must_use]
    pub fn draw(&self) -> Option<Kind> {
        let mut plan = self.lock();
        let kind = plan.kind?;
        let share = plan.share;
        (share >= 1.0 || plan.random.random::<f64>() < share).then_some(kind)
    }

    /// Delay of slow calls.
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.lock().delay
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Plan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Handle {
    fn default() -> Self {
        Self::new(0)
    }
}

#[cfg(test)]
mod tests {
    use super::{Handle, Kind};

    /// Guards against partial faults that hit other calls on each run.
    #[test]
    fn can_repeat_partial_faults_from_a_seed() {
        let draws = |seed| {
            let handle = Handle::new(seed);
            handle.set(Kind::Half, 0.5);
            (0..64).map(|_| handle.draw().is_some()).collect::<Vec<_>>()
        };
        assert_eq!(draws(3), draws(3));
        assert_ne!(draws(3), draws(4));
    }
}
