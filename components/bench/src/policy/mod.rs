//! Policies that a run compares.

use derive_more::{Display, FromStr};

/// Routing and rollout policy.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Policy {
    /// The service's own.
    Production,
    /// Requests to a random worker.
    Random,
    /// Requests to each worker in turn.
    RoundRobin,
    /// Requests to the worker with the least reported load.
    LeastReported,
    /// Samples without second starts, versions or priorities; requests by the production policy.
    Naive,
}
