//! Leases, configuration, membership and subsetting.
//!
//! Each concern is a pure state machine, which takes the present time as an argument, and a task
//! that owns it and talks to the table service and to peers. [`agent`] ties them together for a
//! daemon. The table service is the only arbiter; membership informs and never decides ownership.

pub mod agent;
pub mod config;
pub mod lease;
pub mod member;
pub mod subset;

mod metrics;
mod peers;
mod token;
