//! What the administration API needs of a daemon.

use std::future::Future;

use derive_more::{Display, Error};
use filbertsail_api::admin::{
    Answer, Applied, Apply, Drain, Drained, Head, Lost, Question, Status,
};
use filbertsail_errors::Verdict;
use http::StatusCode;

/// Health of a daemon.
pub trait Health: Clone + Send + Sync + 'static {
    /// Why the daemon admits no work; `None` while it is ready.
    fn unready(&self) -> Option<String>;

    /// Present values that the metrics report.
    fn levels(&self) -> Vec<Level> {
        Vec::new()
    }
}

/// Value that a daemon knows at any time, reported as a gauge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Level {
    /// Name of the gauge without prefix.
    pub name: &'static str,
    /// What it says.
    pub help: &'static str,
    /// Present value.
    pub value: f64,
}

/// What a daemon knows of the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Daemons known.
    pub known: usize,
    /// The table service answered the last poll.
    pub table_reachable: bool,
}

impl View {
    /// Values for the metrics.
    #[must_use]
    pub fn levels(self) -> Vec<Level> {
        let Self { known, table_reachable } = self;
        let level = |name, help, value| Level { name, help, value };
        let reachable = f64::from(u8::from(table_reachable));
        // Counts stay far below 2^53.
        vec![
            level("members_known", "Daemons known, with this one", known as f64),
            level("table_reachable", "1 if the table service answered last, else 0", reachable),
        ]
    }
}

/// Fleet as a gateway sees and changes it.
pub trait Fleet: Health {
    /// Configuration in force; `None` before the first one is known.
    fn head(&self) -> impl Future<Output = Option<Head>> + Send;

    /// Daemons, backend servers and leases.
    fn status(&self) -> impl Future<Output = Status> + Send;

    /// Puts a configuration into force by compare-and-set. The text has passed the check.
    fn apply(&self, apply: Apply) -> impl Future<Output = Result<Applied, Refused>> + Send;

    /// Sets or removes the operator's mark on a backend server or daemon.
    fn drain(&self, drain: Drain) -> impl Future<Output = Result<Drained, Refused>> + Send;

    /// Explains a routing decision without making it.
    fn explain(&self, question: Question) -> impl Future<Output = Result<Answer, Refused>> + Send;
}

/// Why a command was not carried out.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Refused {
    /// Another change won the race.
    #[display("version {} by {} is in force already", _0.version, _0.author)]
    Lost(#[error(not(source))] Lost),
    /// The named worker, daemon or service does not exist.
    #[display("{_0}")]
    NotFound(#[error(not(source))] String),
    /// The gateway may not accept the command now; nothing was changed.
    #[display("{_0}")]
    Unavailable(#[error(not(source))] String),
    /// The outcome could not be determined.
    #[display("{_0}")]
    Unknown(#[error(not(source))] String),
}

impl Refused {
    /// Stable code.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Lost(_) => "lost_race",
            Self::NotFound(_) => "not_found",
            Self::Unavailable(_) => "unavailable",
            Self::Unknown(_) => "unknown_outcome",
        }
    }

    /// Status of the answer.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Lost(_) => StatusCode::CONFLICT,
            Self::NotFound(_) => StatusCode::NOT_FOUND,
            Self::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the command may have taken effect.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Unknown(_) => Verdict::MayHaveRun,
            Self::Lost(_) | Self::NotFound(_) | Self::Unavailable(_) => Verdict::NotRun,
        }
    }
}
