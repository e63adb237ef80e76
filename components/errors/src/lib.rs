//! Execution status of failed requests, and the headers that carry it.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Response header with the [`Verdict`].
pub const VERDICT_HEADER: &str = "filbertsail-verdict";
/// Header with the request identifier, sent to backend servers and back.
pub const REQUEST_ID_HEADER: &str = "filbertsail-request-id";
/// Request header with the remaining time, in milliseconds.
pub const DEADLINE_HEADER: &str = "filbertsail-deadline-ms";

/// Whether a request may have run on a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It has provably not run.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("may_have_run")]
    MayHaveRun,
    /// It has run.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Combined verdict of two attempts at the same request.
    #[must_use]
    pub fn combine(self, other: Self) -> Self {
        self.max(other)
    }

    /// Whether a non-idempotent request can be retried without running twice.
    #[must_use]
    pub fn may_retry(self) -> bool {
        self == Self::NotRun
    }
}

#[cfg(test)]
mod tests {
    use super::Verdict;

    /// Guards against a later rejection that hides an earlier attempt of unknown outcome.
    #[test]
    fn can_keep_the_worst_verdict() {
        assert_eq!(Verdict::MayHaveRun.combine(Verdict::NotRun), Verdict::MayHaveRun);
        assert_eq!(Verdict::NotRun.combine(Verdict::Ran), Verdict::Ran);
        assert!(!Verdict::MayHaveRun.may_retry());
    }
}
