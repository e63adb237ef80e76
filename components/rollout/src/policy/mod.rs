//! Scheduling policy of rounds: production, or a naive baseline for comparison.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Scheduling policy of rounds.
#[derive(
    Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Policy {
    /// Concurrent rounds, hedged stragglers, stale samples replaced before a fetch, delivery by
    /// cursor while the table is down.
    #[default]
    Production,
    /// One round at a time in step order, one attempt per sample, stale samples replaced at a
    /// fetch, no delivery while the table is down.
    Naive,
}

impl Policy {
    /// Whether several rounds of a trainer run concurrently.
    #[must_use]
    pub fn overlaps_rounds(self) -> bool {
        self == Self::Production
    }

    /// Whether stragglers are hedged with a second attempt.
    #[must_use]
    pub fn hedges(self) -> bool {
        self == Self::Production
    }

    /// Whether batches are delivered by cursor while the table is down.
    #[must_use]
    pub fn delivers_without_table(self) -> bool {
        self == Self::Production
    }

    /// Whether samples that will be too old are replaced before the fetch.
    #[must_use]
    pub fn replaces_before_fetch(self) -> bool {
        self == Self::Production
    }
}
