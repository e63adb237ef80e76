//! Fault injection for stand-ins.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use derive_more::{Display, FromStr};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

/// Kind of fault that affects a call.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, Hash)]
pub enum Kind {
    /// The response is late by [`Injector::delay`].
    Slow,
    /// The call takes effect, then its connection is closed without a response.
    LostAfter,
    /// The connection is closed before the call takes effect.
    LostBefore,
    /// The response contains outdated state.
    Stale,
    /// The response body ends before its content length.
    Half,
    /// The response carries the identifier and body of another request.
    WrongId,
    /// The response body is larger than any caller accepts.
    Overlong,
    /// The connection is reset during the response.
    Reset,
    /// The call is rejected immediately with status 500 and does not run.
    QuickError,
}

#[derive(Debug)]
struct Plan {
    kind: Option<Kind>,
    /// Fraction of calls affected, from 0 to 1.
    fraction: f64,
    delay: Duration,
    random: ChaCha8Rng,
}

/// Controls the faults of one stand-in, cheap to clone.
#[derive(Clone, Debug)]
pub struct Injector {
    plan: Arc<Mutex<Plan>>,
    down: watch::Sender<bool>,
}

impl Injector {
    /// Creates an injector without a fault. `seed` determines which calls a partial fault affects.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let plan = Plan { kind: None, fraction: 0.0, delay: Duration::ZERO, random };
        Self { plan: Arc::new(Mutex::new(plan)), down: watch::Sender::new(false) }
    }

    /// Injects `kind` into the given fraction of calls, from 0 to 1. Replaces the previous fault.
    pub fn inject(&self, kind: Kind, fraction: f64) {
        let mut plan = self.lock();
        plan.kind = Some(kind);
        plan.fraction = fraction;
    }

    /// Delays the given fraction of calls, from 0 to 1. Replaces the previous fault.
    pub fn inject_delay(&self, delay: Duration, fraction: f64) {
        self.inject(Kind::Slow, fraction);
        self.lock().delay = delay;
    }

    /// Ends the fault and reopens the port if it is closed.
    pub fn clear(&self) {
        self.lock().kind = None;
        self.down.send_replace(false);
    }

    /// Closes the port and all connections, or reopens the port.
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

    /// Determines the fault of the next call, if any.
    #[must_use]
    pub fn next_fault(&self) -> Option<Kind> {
        let mut plan = self.lock();
        let kind = plan.kind?;
        let fraction = plan.fraction;
        (fraction >= 1.0 || plan.random.random::<f64>() < fraction).then_some(kind)
    }

    /// Delay of calls with [`Kind::Slow`].
    #[must_use]
    pub fn delay(&self) -> Duration {
        self.lock().delay
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Plan> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for Injector {
    fn default() -> Self {
        Self::new(0)
    }
}

#[cfg(test)]
mod tests {
    use super::{Injector, Kind};

    /// Guards against partial faults that affect different calls on each run.
    #[test]
    fn can_repeat_partial_faults_from_a_seed() {
        let affected = |seed| {
            let injector = Injector::new(seed);
            injector.inject(Kind::Half, 0.5);
            (0..64).map(|_| injector.next_fault().is_some()).collect::<Vec<_>>()
        };
        assert_eq!(affected(3), affected(3));
        assert_ne!(affected(3), affected(4));
    }
}
