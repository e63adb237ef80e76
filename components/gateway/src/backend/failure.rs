//! Failed attempts.

use derive_more::{Display, Error};
use filbertsail_errors::Verdict;

/// What went wrong with an attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// The request cannot be expressed.
    #[display("malformed_request")]
    Malformed,
    /// No connection.
    #[display("connect_failed")]
    Connect,
    /// The server refused the request before it started.
    #[display("refused")]
    Refused,
    /// The connection broke before an answer started.
    #[display("connection_broken")]
    Broken,
    /// The answer ended before it was whole.
    #[display("answer_truncated")]
    Truncated,
    /// The answer belongs to another request or contradicts itself.
    #[display("answer_mismatched")]
    Mismatched,
    /// The end of the answer cannot be told from a broken connection.
    #[display("answer_unframed")]
    Unframed,
    /// The server answered with an error.
    #[display("backend_error")]
    Status,
    /// No answer in time.
    #[display("timed_out")]
    TimedOut,
}

impl Kind {
    /// Stable code in snake case.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Malformed => "malformed_request",
            Self::Connect => "connect_failed",
            Self::Refused => "refused",
            Self::Broken => "connection_broken",
            Self::Truncated => "answer_truncated",
            Self::Mismatched => "answer_mismatched",
            Self::Unframed => "answer_unframed",
            Self::Status => "backend_error",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Failed attempt.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{kind}: {message} ({verdict})")]
pub struct Failure {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Text for people.
    pub message: String,
    /// A connection from an earlier request broke before any byte of the answer; this says nothing
    /// about the server's health.
    pub stale_connection: bool,
}

impl Failure {
    /// Failure with a verdict.
    #[must_use]
    pub fn new(kind: Kind, verdict: Verdict, message: impl Into<String>) -> Self {
        Self { kind, verdict, message: message.into(), stale_connection: false }
    }

    /// Failure of a request that was not sent.
    #[must_use]
    pub fn unsent(kind: Kind, message: impl Into<String>) -> Self {
        Self::new(kind, Verdict::NotRun, message)
    }

    /// Failure after the request may have been sent.
    #[must_use]
    pub fn sent(kind: Kind, message: impl Into<String>) -> Self {
        Self::new(kind, Verdict::MayHaveRun, message)
    }
}

/// Error with its causes.
pub(crate) fn chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
