//! Routing decisions without input or output.
//!
//! [`state::Fleet`] holds what one gateway knows of the backend servers. [`policy::Policy`] chooses
//! among them. Present time and random numbers are arguments, so that every decision can be
//! repeated in a test.

pub mod breaker;
pub mod budget;
pub mod limit;
pub mod policy;
pub mod prefix;
pub mod queue;
pub mod state;
pub mod subset;
