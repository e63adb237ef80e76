//! Delay between availability zones.
//!
//! All stand-ins listen on loopback, so the caller's zone is told from the address it calls from:
//! a daemon that binds its outgoing connections to its own address gets the delay of its zone.

use std::{
    net::IpAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use filbertsail_collections::HashMap;
use filbertsail_config::inventory::Inventory;

#[derive(Debug, Default)]
struct Map {
    zones: HashMap<IpAddr, String>,
    delays: HashMap<(String, String), Duration>,
    cut: Vec<String>,
}

/// Delays by pair of zones, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Network(Arc<RwLock<Map>>);

impl Network {
    /// Delays of an inventory's links.
    #[must_use]
    pub fn of(inventory: &Inventory) -> Self {
        let mut map = Map::default();
        for link in &inventory.links {
            let [a, b] = link.between.clone();
            let delay = Duration::from_secs_f64(link.delay_ms / 1e3);
            map.delays.insert((a.clone(), b.clone()), delay);
            map.delays.insert((b, a), delay);
        }
        Self(Arc::new(RwLock::new(map)))
    }

    /// Places an address in a zone.
    pub fn place(&self, address: IpAddr, zone: &str) {
        let mut map = self.0.write().unwrap_or_else(PoisonError::into_inner);
        map.zones.insert(address, zone.to_owned());
    }

    /// Cuts a zone off from all others, or joins it again.
    pub fn cut(&self, zone: &str, cut: bool) {
        let mut map = self.0.write().unwrap_or_else(PoisonError::into_inner);
        map.cut.retain(|other| other != zone);
        if cut {
            map.cut.push(zone.to_owned());
        }
    }

    /// One-way delay from a caller to a zone; `None` if there is no path.
    #[must_use]
    pub fn delay(&self, caller: IpAddr, zone: &str) -> Option<Duration> {
        let map = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let Some(from) = map.zones.get(&caller) else { return Some(Duration::ZERO) };
        if from == zone {
            return Some(Duration::ZERO);
        }
        if map.cut.iter().any(|cut| cut == from || cut == zone) {
            return None;
        }
        Some(map.delays.get(&(from.clone(), zone.to_owned())).copied().unwrap_or_default())
    }
}
