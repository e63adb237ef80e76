//! Decisions on how many engines of a service run in each zone, free of I/O.
//!
//! [`demand`] combines what the owners of batches state, [`order`] is the content of the stored
//! orders, and [`planner`] decides on changes of them.

pub mod demand;
pub mod order;
mod peak;
pub mod planner;

pub use demand::{Demand, Statement, Step, Summary};
pub use order::{Kind, Outcome, Pool, Row, State};
pub use planner::{Change, Input, Limits, Plan, Planner, Presence, Reason};
