//! Orders of engines, as they are stored.

use std::time::Duration;

use derive_more::Display;
use filbertsail_clock::Instant;
use serde::{Deserialize, Serialize};

/// Kind of engine.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Kind {
    #[display("on_demand")]
    OnDemand,
    /// Cheaper, but may be reclaimed at short notice.
    #[display("spot")]
    Spot,
}

impl Kind {
    pub const ALL: [Self; 2] = [Self::OnDemand, Self::Spot];
}

/// Engines of one kind in one zone.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{zone}/{kind}")]
pub struct Pool {
    pub zone: String,
    pub kind: Kind,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The outcome of the call is not known yet; it is repeated unchanged.
    #[display("open")]
    Open,
    /// The platform accepted the order, and the registry doesn't show it yet.
    #[display("accepted")]
    Accepted,
    /// No order is in progress.
    #[display("settled")]
    Settled,
}

/// Outcome of a call that need not be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    /// There are no such engines in the zone at the moment, or the call is invalid.
    Refused,
}

/// Stored order of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Engines ordered, or found there before the first order.
    pub count: u32,
    /// Count that is in force if the order is refused.
    pub previous: u32,
    /// Part of the engines that were there before the first order.
    pub floor: u32,
    pub state: State,
    /// When the order was planned or accepted; absent before the first order.
    pub ordered_at: Option<Instant>,
    /// Whether it was repeated since the registry did not show it in time.
    pub is_repeated: bool,
    /// When the pool was last refused, or its engines were reclaimed or did not appear.
    pub refused_at: Option<Instant>,
}

impl Row {
    /// Row of a pool in which `count` engines were found.
    #[must_use]
    pub fn adopted(count: u32) -> Self {
        Self {
            count,
            previous: count,
            floor: count,
            state: State::Settled,
            ordered_at: None,
            is_repeated: false,
            refused_at: None,
        }
    }

    /// The row with an order of `count` engines.
    #[must_use]
    pub fn with_order(self, count: u32, now: Instant) -> Self {
        Self {
            count,
            previous: self.count,
            state: State::Open,
            ordered_at: Some(now),
            is_repeated: false,
            ..self
        }
    }

    /// The row after the call with its order had `outcome`.
    #[must_use]
    pub fn with_outcome(self, outcome: Outcome, now: Instant) -> Self {
        match outcome {
            Outcome::Accepted => Self { state: State::Accepted, ordered_at: Some(now), ..self },
            Outcome::Refused => {
                Self { count: self.previous, state: State::Settled, refused_at: Some(now), ..self }
            }
        }
    }

    /// Whether the pool was refused less than `retry_delay` ago.
    #[must_use]
    pub fn is_refused(&self, retry_delay: Duration, now: Instant) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < retry_delay)
    }

    /// Engines that should still appear while the registry shows `ready`.
    #[must_use]
    pub fn coming(&self, ready: u32) -> u32 {
        if self.state == State::Settled { 0 } else { self.count.saturating_sub(ready) }
    }
}
