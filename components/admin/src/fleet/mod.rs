//! Interfaces of a daemon that the administration API uses.

use std::future::Future;

use derive_more::{Display, Error};
use filbertsail_api::admin::{
    Answer, Applied, Apply, Drain, Drained, Head, Lost, Question, Status,
};
use filbertsail_errors::Verdict;
use http::StatusCode;

/// Health of a daemon.
pub trait Health: Clone + Send + Sync + 'static {
    /// Reason why the daemon is not ready for new work; `None` while it is ready.
    fn unready_reason(&self) -> Option<String>;

    /// Current values to export as gauges.
    fn measurements(&self) -> Vec<Measurement> {
        Vec::new()
    }
}

/// Gauge value that is read on each export of the metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Measurement {
    /// Metric name without prefix.
    pub name: &'static str,
    /// Metric description.
    pub help: &'static str,
    /// Current value.
    pub value: f64,
}

/// Cluster state as known to one daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Number of known daemons, including this one.
    pub known_daemons: usize,
    /// Whether the table service responded to the last poll.
    pub table_reachable: bool,
}

impl View {
    /// Gauges of the view.
    #[must_use]
    pub fn measurements(self) -> Vec<Measurement> {
        let Self { known_daemons, table_reachable } = self;
        let measurement = |name, help, value| Measurement { name, help, value };
        let reachable = f64::from(u8::from(table_reachable));
        // Counts stay far below 2^53, so the conversion is exact.
        vec![
            measurement("members_known", "Daemons known, with this one", known_daemons as f64),
            measurement(
                "table_reachable",
                "1 if the table service answered last, else 0",
                reachable,
            ),
        ]
    }
}

/// Fleet operations of a gateway.
pub trait Fleet: Health {
    /// Active configuration; `None` until the first one is known.
    fn head(&self) -> impl Future<Output = Option<Head>> + Send;

    /// State of daemons, backend servers and leases.
    fn status(&self) -> impl Future<Output = Status> + Send;

    /// Activates a configuration by compare-and-set. The text has already been validated.
    fn apply(&self, apply: Apply) -> impl Future<Output = Result<Applied, Rejection>> + Send;

    /// Sets or removes the drain mark of a backend server or daemon.
    fn drain(&self, drain: Drain) -> impl Future<Output = Result<Drained, Rejection>> + Send;

    /// Explains a routing decision without sending a request.
    fn explain(&self, question: Question)
    -> impl Future<Output = Result<Answer, Rejection>> + Send;
}

/// Reason why a command was not executed.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Rejection {
    /// Another change was committed first.
    #[display("version {} by {} is already active", _0.version, _0.author)]
    Lost(#[error(not(source))] Lost),
    /// The named worker, daemon or service does not exist.
    #[display("{_0}")]
    NotFound(#[error(not(source))] String),
    /// The gateway cannot accept commands at present; nothing was changed.
    #[display("{_0}")]
    Unavailable(#[error(not(source))] String),
    /// The command may or may not have taken effect.
    #[display("{_0}")]
    Unknown(#[error(not(source))] String),
}

impl Rejection {
    /// Machine-readable error code; stable across releases.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::Lost(_) => "lost_race",
            Self::NotFound(_) => "not_found",
            Self::Unavailable(_) => "unavailable",
            Self::Unknown(_) => "unknown_outcome",
        }
    }

    /// HTTP status of the response.
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
