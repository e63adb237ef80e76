//! Deliberately broken parts, one for each promise, to prove that the checker can fail.
//!
//! Each sits in a shim on the callers' side, between the service and the journal, or sends work to a
//! stand-in around the service; the daemons themselves stay as they are.

use derive_more::{Display, FromStr};

use crate::checker::Promise;

/// Deliberately broken part.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[from_str(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Break {
    /// The customer's shim sends each non-idempotent request to a backend server a second time.
    DoubleSend,
    /// The trainer's shim raises the version in each sample's first label.
    WrongLabel,
    /// The customer's shim cuts requests in flight when their gateway stops as planned.
    CutOnStop,
    /// The trainer's shim understates the trainer's version in each fetch.
    StaleSample,
    /// The trainer's shim delivers the first sample of each batch twice.
    DoubleDelivery,
    /// The customer's shim hands each caller the answer of the call before.
    SwappedAnswer,
    /// The customer's shim turns answers of non-idempotent requests into `not_run` refusals.
    FalseNotRun,
    /// A shim at the stand-ins sends work to workers that have been leaving for long.
    WorkForLeaving,
    /// The operator's shim shows an older version in force than the daemons have.
    ConfigRevert,
}

/// All broken parts.
pub const ALL: [Break; 9] = [
    Break::DoubleSend,
    Break::WrongLabel,
    Break::CutOnStop,
    Break::StaleSample,
    Break::DoubleDelivery,
    Break::SwappedAnswer,
    Break::FalseNotRun,
    Break::WorkForLeaving,
    Break::ConfigRevert,
];

impl Break {
    /// Promise that it violates.
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
