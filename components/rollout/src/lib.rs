//! Pure decisions on rounds, samples, labels, staleness, delivery, stragglers and weight waves.
//!
//! Every function takes the state, the present time and, where it draws, a random generator as
//! arguments. Nothing here performs input or output.

pub mod label;
pub mod ledger;
pub mod policy;
pub mod round;
pub mod scheduler;
pub mod staleness;
pub mod straggler;
pub mod wave;
