//! Loads the newest weight version on the engines of each service.
//!
//! One VM at a time orders the loads of a service: the holder of the service's lease.
//!
//! Load pattern: a trainer publishes a version every few seconds. A load takes about a second, and
//! longer when many engines load at once, while items of the running step continue. Orders may be
//! lost or arrive late, so only the version that a worker reports counts, and each order states how
//! many orders the worker must have accepted before it.

mod demand;
mod layout;
mod plan;
mod task;

pub use demand::{Demand, Step};
pub use layout::{Layout, divide};
pub use plan::{Action, Exchange, Planner, Reply, Target, View};
pub use task::run;
