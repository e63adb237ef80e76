//! Gossip-based membership view of one daemon.
//!
//! Each daemon probes one other at a time with a digest and receives a digest in reply. Digests
//! include only recently changed entries, so the cost per daemon does not grow with the fleet. A
//! daemon that does not answer becomes suspected; it refutes the suspicion by raising the revision
//! of its own entry, or becomes gone after a timeout. A hash over the entire view shows whether two
//! views differ, and a full exchange reconciles them.
//!
//! Probes go to all daemons of the own availability zone in turn and to a few daemons of each
//! remote zone, chosen by rendezvous hashing.

pub(crate) mod task;
pub mod view;

use std::net::SocketAddr;

use crate::subset::Located;

pub use filbertsail_wire::frame::Role;

/// State of a daemon as known to this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// Daemon name, unique in the fleet.
    pub name: String,
    pub role: Role,
    pub zone: String,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Number that rises with each start of the daemon.
    pub incarnation: u64,
    /// A graceful shutdown is in progress.
    pub draining: bool,
    /// Active configuration version.
    pub config_version: u64,
    /// Neither gone nor left; a suspected daemon still counts as live.
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
