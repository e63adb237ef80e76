//! Choice between the production policy and the naive one that it is compared with.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// How rounds are worked off.
#[derive(
    Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Policy {
    /// Several rounds at a time, second starts, replacement ahead of need, delivery by cursor while
    /// the table is down.
    #[default]
    Production,
    /// One round at a time in step order, one attempt per sample, stale samples found at delivery,
    /// no delivery while the table is down.
    Naive,
}

impl Policy {
    /// Whether several rounds of a trainer run side by side.
    #[must_use]
    pub fn overlaps_rounds(self) -> bool {
        self == Self::Production
    }

    /// Whether stragglers get a second start.
    #[must_use]
    pub fn hedges(self) -> bool {
        self == Self::Production
    }

    /// Whether batches are delivered by cursor while the table is down.
    #[must_use]
    pub fn delivers_without_table(self) -> bool {
        self == Self::Production
    }

    /// Whether samples are replaced before a fetch finds them too old.
    #[must_use]
    pub fn replaces_ahead(self) -> bool {
        self == Self::Production
    }
}
