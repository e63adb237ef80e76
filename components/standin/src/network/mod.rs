//! Simulated network delay between availability zones.
//!
//! All stand-ins listen on loopback, so the caller's zone is determined by its source address: a
//! daemon that binds its outgoing connections to its own address gets the delay of its zone.

use std::{
    net::IpAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use filbertsail_collections::HashMap;
use filbertsail_config::inventory::Inventory;

#[derive(Debug, Default)]
struct Topology {
    zone_by_address: HashMap<IpAddr, String>,
    /// One-way delay between two zones, in both directions.
    delays: HashMap<(String, String), Duration>,
    /// Zones cut off from all others.
    partitioned: Vec<String>,
}

/// Delays between zones, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Network(Arc<RwLock<Topology>>);

impl Network {
    /// Network with the links of an inventory.
    #[must_use]
    pub fn from_inventory(inventory: &Inventory) -> Self {
        let mut topology = Topology::default();
        for link in &inventory.links {
            let [a, b] = link.between.clone();
            let delay = Duration::from_secs_f64(link.delay_ms / 1e3);
            topology.delays.insert((a.clone(), b.clone()), delay);
            topology.delays.insert((b, a), delay);
        }
        Self(Arc::new(RwLock::new(topology)))
    }

    /// Assigns an address to a zone.
    pub fn assign_zone(&self, address: IpAddr, zone: &str) {
        let mut topology = self.0.write().unwrap_or_else(PoisonError::into_inner);
        topology.zone_by_address.insert(address, zone.to_owned());
    }

    /// Partitions a zone from all others, or reconnects it.
    pub fn set_partitioned(&self, zone: &str, is_partitioned: bool) {
        let mut topology = self.0.write().unwrap_or_else(PoisonError::into_inner);
        topology.partitioned.retain(|other| other != zone);
        if is_partitioned {
            topology.partitioned.push(zone.to_owned());
        }
    }

    /// One-way delay from a caller to a zone; `None` if one of them is partitioned.
    #[must_use]
    pub fn one_way_delay(&self, caller: IpAddr, zone: &str) -> Option<Duration> {
        let topology = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let Some(from) = topology.zone_by_address.get(&caller) else { return Some(Duration::ZERO) };
        if from == zone {
            return Some(Duration::ZERO);
        }
        if topology.partitioned.iter().any(|other| other == from || other == zone) {
            return None;
        }
        Some(topology.delays.get(&(from.clone(), zone.to_owned())).copied().unwrap_or_default())
    }
}
