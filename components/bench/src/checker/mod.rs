//! Compares what callers got with what the stand-ins ran and counts violations of each promise.
//!
//! Nothing here comes from the daemons' own counters.

mod customers;
mod fleet;
mod trainers;

pub(crate) use trainers::versions;

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_standin::{engine::record, service};

use crate::journal::Pages;

/// Promise of the design's section 1.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display(rename_all = "snake_case")]
pub enum Promise {
    /// Every sample names the weight versions that produced it.
    TrueLabels,
    /// No sample is older than its trainer allows.
    StalenessBound,
    /// Every sample is delivered exactly once.
    ExactlyOnceDelivery,
    /// A caller gets the complete answer to its own request.
    WholeAnswers,
    /// A request refused as not run did not run.
    NotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving worker receives no new work.
    LeavingIdle,
    /// A planned stop interrupts no request.
    GracefulStop,
    /// An accepted configuration is in force and never reverts.
    ConfigInForce,
}

/// All promises in the order of the design.
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

/// Time after which a leaving worker receives no new work.
pub const LEAVING_TARGET: Duration = Duration::from_secs(3);
/// Time after which an accepted configuration is in force everywhere.
pub const CONFIG_TARGET: Duration = Duration::from_secs(8);

/// Records of the stand-ins.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Runs of all engines; the run number is the index.
    pub engines: Vec<record::Run>,
    /// Runs of the plain services by worker.
    pub services: Vec<(String, Vec<service::Run>)>,
    /// End of the run.
    pub end: Instant,
}

impl Records {
    /// Run by number.
    fn engine_run(&self, number: u64) -> Option<&record::Run> {
        self.engines.get(usize::try_from(number).ok()?)
    }
}

/// Violation with its evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Promise.
    pub promise: Promise,
    /// What contradicts it.
    pub evidence: String,
}

impl Violation {
    fn new(promise: Promise, evidence: String) -> Self {
        Self { promise, evidence }
    }
}

/// Violations of all promises.
#[must_use]
pub fn check(pages: &Pages, records: &Records) -> Vec<Violation> {
    let mut found = Vec::new();
    customers::check(pages, records, &mut found);
    trainers::check(pages, records, &mut found);
    fleet::check(pages, records, &mut found);
    found
}

/// Number of violations by promise, with zeros.
#[must_use]
pub fn count(violations: &[Violation]) -> BTreeMap<String, u64> {
    PROMISES
        .iter()
        .map(|promise| {
            let hits = violations.iter().filter(|violation| violation.promise == *promise);
            (promise.to_string(), hits.count() as u64)
        })
        .collect()
}
