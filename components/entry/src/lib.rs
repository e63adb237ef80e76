//! Entry daemon: the one process on each VM, between callers and backend servers.
//!
//! Callers' requests are forwarded by host and path, batches of rollout items are accepted, run and
//! listed, and workers are moved to new weight versions. All that must last lies in the row store
//! ([`filbertsail_ports::store`]), which is also the only arbiter between VMs. The names that
//! callers, workers and the store use on the wire are hidden behind [`dialect::Dialect`].

pub mod batch;
pub mod channel;
pub mod config;
pub mod daemon;
pub mod dialect;
pub mod event;
pub mod fleet;
pub mod follow;
pub mod forward;
pub mod metrics;
pub mod relay;
pub mod shared;
pub mod weights;
