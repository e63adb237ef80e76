//! Injectable defects, one for each promise, which show that the checker detects violations.
//!
//! A defect changes what callers send or record, or sends work directly to a stand-in; the daemons
//! are unchanged.

use derive_more::{Display, FromStr};

use crate::checker::Promise;

/// Defect to inject.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[from_str(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Defect {
    /// Each non-idempotent customer request is also sent directly to a backend server.
    DoubleSend,
    /// The version in the first label of each sample is recorded too high.
    WrongLabel,
    /// Customer requests in flight are interrupted when a gateway stops as planned.
    CutOnStop,
    /// The trainer's weight version is recorded higher than stated in the fetch.
    StaleSample,
    /// The first sample of each batch is recorded twice.
    DoubleDelivery,
    /// Each customer request is given the response to the previous one.
    SwappedAnswer,
    /// Successful responses to non-idempotent requests are recorded as `not_run` errors.
    FalseNotRun,
    /// Work is sent directly to workers that have been leaving for longer than allowed.
    WorkForLeaving,
    /// An older active configuration version is recorded than the daemon reported.
    ConfigRevert,
}

/// All defects.
pub const ALL: [Defect; 9] = [
    Defect::DoubleSend,
    Defect::WrongLabel,
    Defect::CutOnStop,
    Defect::StaleSample,
    Defect::DoubleDelivery,
    Defect::SwappedAnswer,
    Defect::FalseNotRun,
    Defect::WorkForLeaving,
    Defect::ConfigRevert,
];

impl Defect {
    /// Promise that the defect violates.
    #[must_use]
    pub fn violates(self) -> Promise {
        match self {
            Self::DoubleSend => Promise::AtMostOnce,
            Self::WrongLabel => Promise::TrueLabels,
            Self::CutOnStop => Promise::GracefulStop,
            Self::StaleSample => Promise::StalenessBound,
            Self::DoubleDelivery => Promise::ExactlyOnceDelivery,
            Self::SwappedAnswer => Promise::WholeAnswers,
            Self::FalseNotRun => Promise::NotRun,
            Self::WorkForLeaving => Promise::LeavingIdle,
            Self::ConfigRevert => Promise::ConfigInForce,
        }
    }
}
