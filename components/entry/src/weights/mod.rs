//! Moves the engines of a service to the newest weight version, under one lease for each service.
//!
//! Load pattern: a trainer names a version every few seconds, a load takes about a second and
//! longer when too many load at once, and items of the running step go on meanwhile. Orders may be
//! lost or carried out late, so that only the version that a worker reports counts, and each order
//! names the number of orders that the worker must have accepted before.

mod lease;
mod plan;
mod task;

pub use lease::{Pace, TABLE};
pub use plan::{Action, Asked, Director, Reply, Target, View};
pub use task::run;
