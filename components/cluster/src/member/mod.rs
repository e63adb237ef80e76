//! Membership view of one daemon.
//!
//! Each daemon probes one other at a time with a digest and gets a digest back. Digests carry only
//! entries that changed lately, so the cost per daemon does not grow with the fleet. A daemon that
//! does not answer is suspected; it refutes the suspicion by raising the revision of its own entry,
//! or counts as gone. Hashes over the whole view show when two views differ, and a full exchange
//! repairs that.
//!
//! Probes go to all daemons of the own availability zone in turn and to a few daemons of every
//! other zone, chosen by rendezvous hashing.

pub(crate) mod task;
pub mod view;

use std::net::SocketAddr;

use crate::subset::Located;

pub use filbertsail_wire::frame::Role;

/// Daemon as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Daemon name.
    pub name: String,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Peer port.
    pub address: SocketAddr,
    /// Rises with each start.
    pub incarnation: u64,
    /// Planned stop under way.
    pub draining: bool,
    /// Configuration version in force.
    pub config_version: u64,
    /// Answers, as far as known.
    pub live: bool,
}

impl Located for State {
    fn name(&self) -> &str {
        &self.name
    }

    fn zone(&self) -> &str {
        &self.zone
    }
}
