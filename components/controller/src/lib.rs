//! Lease-based control work: rounds, sample delivery and weight rollouts.

pub mod gateways;
pub mod lease;
pub mod peers;
pub mod plan;
pub mod trainer;
