//! Admin port of a daemon: health, metrics and the administration API.
//!
//! `/healthz` and `/readyz` need no token, so that the load balancer can ask them. `/metrics` and the
//! reading commands need an operator's or reader's token, the changing commands an operator's. A
//! refused request changes nothing: the token is checked before the body is read.

pub mod answer;
pub mod fleet;
pub mod handler;
pub mod meter;

pub use fleet::{Fleet, Health, Level, Refused, View};
pub use handler::{Handler, probe::Probe};
pub use meter::Metered;
