//! Leases, configuration, membership and subsetting.
//!
//! Leases, configuration and membership each consist of a state machine without I/O, which takes
//! the current time as an argument, and a task that drives it with calls to the table service and
//! to peers. [`agent`] combines them for a daemon. Ownership is decided by the table service alone;
//! membership is only a hint.

pub mod agent;
pub mod config;
pub mod lease;
pub mod member;
pub mod subset;

mod metrics;
mod peers;
mod token;
