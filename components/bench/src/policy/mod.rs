//! Routing and rollout policies to compare.

use derive_more::{Display, FromStr};

/// Routing and rollout policy.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
#[from_str(rename_all = "snake_case")]
pub enum Policy {
    /// Production policy for requests and samples.
    Production,
    /// Requests go to a random worker; samples as in production.
    Random,
    /// Requests go to the workers in turn; samples as in production.
    RoundRobin,
    /// Requests go to the worker with the least reported load; samples as in production.
    LeastReported,
    /// Samples without hedging, versions or priorities; requests as in production.
    Naive,
}
