//! Load balancing decisions, free of I/O.
//!
//! [`state::Fleet`] holds what one gateway knows about the backend servers, and a
//! [`policy::Policy`] selects one of them for each request. The current time and the random number
//! generator are arguments, so that tests can reproduce every decision.

pub mod breaker;
pub mod pace;
pub mod policy;
pub mod prefix;
pub mod queue;
pub mod retry;
pub mod state;
pub mod subset;
