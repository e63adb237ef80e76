//! Gateway: admission, routing, retries and verdicts of all requests to backend servers.
//!
//! Callers connect by HTTP, controllers by the peer link.

pub mod backend;
pub mod callers;
pub mod context;
pub mod daemon;
pub mod drain_marks;
pub mod fault;
pub mod fleet;
pub mod generate;
pub mod metrics;
pub mod monitor;
pub mod peer;
pub mod ports;
pub mod prompt;
pub mod proxy;
pub mod readiness;
pub mod router;
pub mod security;
pub mod stream;
