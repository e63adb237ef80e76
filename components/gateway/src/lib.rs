//! Request path of a deployment: admission, routing, retries, verdicts and graceful stop.
//!
//! All work for backend servers leaves through a gateway. Callers use HTTP; controllers use the
//! peer link.

pub mod backend;
pub mod callers;
pub mod context;
pub mod daemon;
pub mod fault;
pub mod fleet;
pub mod gate;
pub mod generate;
pub mod marks;
pub mod metrics;
pub mod monitor;
pub mod peer;
pub mod ports;
pub mod prompt;
pub mod proxy;
pub mod router;
pub mod security;
pub mod stream;
