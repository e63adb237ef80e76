//! Slots of a group and the attempts to fill them.

use std::time::Duration;

use derive_more::Display;
use filbertsail_clock::Instant;
use serde::{Deserialize, Serialize};

use crate::label;

/// Position of a sample in its round.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{group}/{slot}")]
pub struct Key {
    /// Group index.
    pub group: u32,
    /// Index within the group.
    pub slot: u32,
}

/// Running attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Identifier, unique within the lease term.
    pub id: u64,
    /// Time of dispatch.
    pub started_at: Instant,
    /// Whether it hedges a straggler.
    pub hedge: bool,
    /// Number of tokens received so far.
    pub tokens: u32,
}

/// Complete response with a verified label.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Weight version of each token range.
    pub labels: Vec<label::Range>,
    pub tokens: u32,
    /// Generated text.
    pub text: String,
    /// Score from the scorer, once known.
    pub score: Option<f64>,
    /// Time from dispatch to the complete response; unknown for restored samples.
    pub took: Option<Duration>,
}

impl Sample {
    /// Oldest weight version in the label.
    #[must_use]
    pub fn oldest_version(&self) -> Option<u64> {
        label::oldest_version(&self.labels)
    }
}

/// Slot for one sample.
#[derive(Clone, Debug, Default)]
pub struct Slot {
    pub attempts: Vec<Attempt>,
    /// Accepted sample.
    pub sample: Option<Sample>,
}

impl Slot {
    /// Whether the slot has neither a sample nor a running attempt.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sample.is_none() && self.attempts.is_empty()
    }

    /// Whether the slot has a sample, with a score if `needs_score`.
    #[must_use]
    pub fn is_ready(&self, needs_score: bool) -> bool {
        self.sample.as_ref().is_some_and(|sample| !needs_score || sample.score.is_some())
    }
}
