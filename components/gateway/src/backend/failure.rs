//! Failures of attempts at backend servers.

use derive_more::{Display, Error};
use filbertsail_errors::Verdict;

/// Cause of a failed attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Kind {
    /// The request is invalid.
    #[display("malformed_request")]
    Malformed,
    /// No connection could be opened.
    #[display("connect_failed")]
    Connect,
    /// The server refused the request before running it.
    #[display("refused")]
    Refused,
    /// The connection broke before a response started.
    #[display("connection_broken")]
    Broken,
    /// The response ended before it was complete.
    #[display("answer_truncated")]
    Truncated,
    /// The response belongs to another request or contradicts itself.
    #[display("answer_mismatched")]
    Mismatched,
    /// Only the end of the connection would end the response.
    #[display("answer_unframed")]
    Unframed,
    /// The server responded with an error status.
    #[display("backend_error")]
    Status,
    /// No response in time.
    #[display("timed_out")]
    TimedOut,
}

impl Kind {
    /// Error code for callers and logs.
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
    /// Cause.
    pub kind: Kind,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Description for people.
    pub message: String,
    /// A reused connection broke before the first byte of the response, which says nothing about
    /// the server's health.
    pub stale_connection: bool,
}

impl Failure {
    /// Failure with an explicit verdict.
    #[must_use]
    pub fn new(kind: Kind, verdict: Verdict, message: impl Into<String>) -> Self {
        Self { kind, verdict, message: message.into(), stale_connection: false }
    }

    /// Failure of a request that provably did not run.
    #[must_use]
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Self::new(kind, Verdict::NotRun, message)
    }

    /// Failure of a request that may have run.
    #[must_use]
    pub fn may_have_run(kind: Kind, message: impl Into<String>) -> Self {
        Self::new(kind, Verdict::MayHaveRun, message)
    }
}

/// Messages of an error and all its causes.
pub(crate) fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
