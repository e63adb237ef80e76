//! Compares what callers received with what the stand-ins ran and counts violations by promise.
//!
//! The daemons' own counters are not used.

mod customers;
mod fleet;
mod trainers;

pub(crate) use trainers::token_versions;

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_standin::{engine::record, service};

use crate::journal::History;

/// Guarantee of section 1 of the design.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "snake_case")]
pub enum Promise {
    /// Every sample is labelled with the weight versions that produced it.
    TrueLabels,
    /// No sample exceeds the staleness bound of its trainer.
    StalenessBound,
    /// Every sample is delivered exactly once.
    ExactlyOnceDelivery,
    /// A caller receives the complete response to its own request.
    WholeAnswers,
    /// A request refused as not run did not run.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving worker receives no new work.
    LeavingIdle,
    /// A graceful shutdown of a daemon interrupts no request.
    GracefulStop,
    /// An accepted configuration becomes active and is never reverted.
    ConfigInForce,
}

/// All promises, in the order of the design.
pub const PROMISES: [Promise; 9] = [
    Promise::TrueLabels,
    Promise::StalenessBound,
    Promise::ExactlyOnceDelivery,
    Promise::WholeAnswers,
    Promise::NotRun,
    Promise::AtMostOnce,
    Promise::LeavingIdle,
    Promise::GracefulStop,
    Promise::ConfigInForce,
];

/// Time within which all daemons stop sending work to a leaving worker.
pub const MAX_LEAVING_DELAY: Duration = Duration::from_secs(3);
/// Time within which an accepted configuration is active on all daemons.
pub const MAX_CONFIG_DELAY: Duration = Duration::from_secs(8);

/// Runs recorded by the stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Runs of all engines, indexed by run number.
    pub engines: Vec<record::Run>,
    /// Runs of the application servers, by worker.
    pub services: Vec<(String, Vec<service::Run>)>,
    /// End of the run.
    pub end: Instant,
}

impl Records {
    fn engine_run(&self, number: u64) -> Option<&record::Run> {
        self.engines.get(usize::try_from(number).ok()?)
    }
}

/// Violation of a promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Violated promise.
    pub promise: Promise,
    /// Observation that contradicts the promise.
    pub evidence: String,
}

impl Violation {
    fn new(promise: Promise, evidence: String) -> Self {
        Self { promise, evidence }
    }
}

/// Finds violations of all promises.
#[must_use]
pub fn check(history: &History, records: &Records) -> Vec<Violation> {
    let mut violations = Vec::new();
    customers::check(history, records, &mut violations);
    trainers::check(history, records, &mut violations);
    fleet::check(history, records, &mut violations);
    violations
}

/// Number of violations by promise, including promises without violations.
#[must_use]
pub fn count_by_promise(violations: &[Violation]) -> BTreeMap<String, u64> {
    PROMISES
        .iter()
        .map(|promise| {
            let matching = violations.iter().filter(|violation| violation.promise == *promise);
            (promise.to_string(), matching.count() as u64)
        })
        .collect()
}
