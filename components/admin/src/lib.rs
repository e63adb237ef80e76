//! Admin port of a daemon: health checks, metrics and the administration API.
//!
//! `/healthz` and `/readyz` need no token, so that a load balancer can query them. `/metrics` and
//! read-only commands need an operator's or reader's token, other commands an operator's. A request
//! without it changes nothing: the token is checked before the body is read.

pub mod fleet;
pub mod handler;
pub mod meter;
pub mod response;

pub use fleet::{Fleet, Health, Measurement, Rejection, View};
pub use handler::{Handler, probe::Probe};
pub use meter::Metered;
