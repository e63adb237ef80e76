//! Lease-based control work: rounds, sample delivery and weight rollouts.

pub mod config;
pub mod daemon;
pub mod gateways;
pub mod metrics;
pub mod peers;
pub mod refusal;
pub mod trainer;
pub mod weights;
