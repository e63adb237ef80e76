//! Controller: generates rounds, delivers batches and rolls out weights, each under a lease.

pub mod config;
pub mod daemon;
pub mod gateways;
pub mod metrics;
pub mod peers;
pub mod refusal;
pub mod trainer;
pub mod weights;
