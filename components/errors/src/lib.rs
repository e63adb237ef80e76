//! What is known of a failed request.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

/// Name of the response header that carries the [`Verdict`].
pub const VERDICT_HEADER: &str = "filbertsail-verdict";
/// Name of the header that carries the request identifier to backend servers and back.
pub const REQUEST_ID_HEADER: &str = "filbertsail-request-id";
/// Name of the header that carries the time left, in milliseconds.
pub const DEADLINE_HEADER: &str = "filbertsail-deadline-ms";

/// Whether a request may have run.
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
    /// Proved not to have run.
    #[display("not_run")]
    NotRun,
    /// Not known.
    #[display("may_have_run")]
    MayHaveRun,
    /// Known to have run.
    #[display("ran")]
    Ran,
}

impl Verdict {
    /// Verdict over two attempts at the same request.
    #[must_use]
    pub fn and(self, other: Self) -> Self {
        self.max(other)
    }

    /// Whether another attempt keeps a non-idempotent request at most once.
    #[must_use]
    pub fn may_retry(self) -> bool {
        self == Self::NotRun
    }
}

#[cfg(test)]
mod tests {
    use super::Verdict;

    /// Guards against a late refusal that hides an earlier attempt of unknown outcome.
    #[test]
    fn can_keep_the_worse_verdict() {
        assert_eq!(Verdict::MayHaveRun.and(Verdict::NotRun), Verdict::MayHaveRun);
        assert_eq!(Verdict::NotRun.and(Verdict::Ran), Verdict::Ran);
        assert!(!Verdict::MayHaveRun.may_retry());
    }
}
