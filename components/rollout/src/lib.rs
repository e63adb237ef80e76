//! Decisions on rounds, samples, staleness, batch delivery, stragglers and weight rollouts, free of
//! I/O.
//!
//! The state, the current time and any random number generator are arguments.

pub mod label;
pub mod ledger;
pub mod policy;
pub mod round;
pub mod scheduler;
pub mod staleness;
pub mod straggler;
pub mod wave;
