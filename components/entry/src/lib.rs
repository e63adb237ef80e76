//! Entry daemon: the one process on each VM, between callers and backend servers.
//!
//! It forwards requests by host and path, accepts and runs batches of rollout items, and moves
//! workers to new weight versions. All durable state is in the row store
//! ([`filbertsail_ports::store`]), which is also the only arbiter between VMs. The wire formats of
//! callers, workers and the platform are hidden behind [`dialect::Dialect`].

pub mod access;
pub mod admission;
pub mod batch;
pub mod channel;
pub mod config;
pub mod daemon;
pub mod dialect;
pub mod duty;
pub mod event;
pub mod fleet;
pub mod follow;
pub mod foreign;
pub mod forward;
pub mod metrics;
pub mod relay;
pub mod shared;
pub mod stop;
pub mod timed;
pub mod weights;
