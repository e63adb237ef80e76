//! Slot of a group and the attempts to fill it.

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

/// Attempt under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Number of the attempt, unique within the holder's term.
    pub id: u64,
    /// Time of dispatch.
    pub started: Instant,
    /// Second start of a straggler.
    pub hedge: bool,
    /// Tokens received so far.
    pub tokens: u32,
}

/// Whole answer with a proved label.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Weight versions by token range.
    pub labels: Vec<label::Range>,
    /// Number of tokens.
    pub tokens: u32,
    /// Generated text.
    pub text: String,
    /// Score, once known.
    pub score: Option<f64>,
    /// Time from dispatch to the whole answer; unknown for restored samples.
    pub took: Option<Duration>,
}

impl Sample {
    /// Oldest version in the label.
    #[must_use]
    pub fn oldest(&self) -> Option<u64> {
        label::oldest(&self.labels)
    }
}

/// Place for one sample.
#[derive(Clone, Debug, Default)]
pub struct Slot {
    /// Attempts under way.
    pub attempts: Vec<Attempt>,
    /// Answer that won.
    pub sample: Option<Sample>,
}

impl Slot {
    /// Whether an attempt is wanted and none is under way.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sample.is_none() && self.attempts.is_empty()
    }

    /// Whether the slot can be delivered.
    #[must_use]
    pub fn is_ready(&self, scored: bool) -> bool {
        self.sample.as_ref().is_some_and(|sample| !scored || sample.score.is_some())
    }
}
