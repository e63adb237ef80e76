//! Applies an inventory to the fleet; workers that remain keep their state.

use std::time::Duration;

use filbertsail_collections::arena::Key;
use filbertsail_config::inventory::{
    Class, Inventory, Service as ServiceConfig, Worker as WorkerConfig,
};

use super::{Fleet, Placement, Service, Worker, Zone, ZoneKey, load::Load, worker::Departure};
use crate::{breaker::Breaker, pace::Pace, prefix::Index, retry::Budget, subset};

/// Priority of customers' requests unless a rule sets one.
pub const DEFAULT_CUSTOMER_PRIORITY: u32 = 100;
/// Priority of rollout samples unless a rule sets one.
pub const DEFAULT_ROLLOUT_PRIORITY: u32 = 10;

/// Gateway for which the fleet is built.
#[derive(Clone, Copy, Debug)]
pub struct Gateway<'a> {
    pub name: &'a str,
    /// Availability zone of the gateway.
    pub zone: &'a str,
    /// Maximum number of workers that it uses per service.
    pub subset_size: usize,
}

impl Fleet {
    /// Applies `inventory` and returns the workers that are no longer used.
    pub fn apply_inventory(&mut self, inventory: &Inventory, gateway: Gateway<'_>) -> Vec<Worker> {
        self.set_zones(inventory, gateway.zone);
        let is_first = self.workers.is_empty();
        let mut kept = Vec::new();
        for config in &inventory.services {
            let service = self.set_service(inventory, config);
            let workers = self.set_workers(inventory, service, &config.name, gateway, !is_first);
            kept.extend_from_slice(&workers);
            if let Some(service) = self.services.get_mut(service) {
                service.workers = workers;
            }
        }
        self.remove_services(inventory);
        self.remove_workers(&kept)
    }

    fn set_zones(&mut self, inventory: &Inventory, own_zone: &str) {
        self.zones = inventory
            .zones
            .iter()
            .map(|zone| Zone {
                name: zone.name.clone(),
                round_trip: Duration::from_secs_f64(
                    inventory.delay_ms(own_zone, &zone.name).max(0.0) * 2.0 / 1_000.0,
                ),
                cost: inventory.link(own_zone, &zone.name).map_or(1.0, |link| link.cost),
            })
            .collect();
    }

    fn zone_key(&self, name: &str) -> Option<ZoneKey> {
        self.zones.iter().position(|zone| zone.name == name).map(ZoneKey)
    }

    fn set_service(&mut self, inventory: &Inventory, config: &ServiceConfig) -> Key<Service> {
        let customer = self.placement(inventory, &config.name, Class::Customer);
        let rollout = self.placement(inventory, &config.name, Class::Rollout);
        if let Some(key) = self.service_names.get(&config.name).copied()
            && let Some(service) = self.services.get_mut(key)
        {
            service.config = config.clone();
            service.customer = customer;
            service.rollout = rollout;
            return key;
        }
        let key = self.services.insert(Service {
            config: config.clone(),
            workers: Vec::new(),
            customer,
            rollout,
            newest_version: 0,
            budget: Budget::default(),
            average_duration_ms: 0.0,
        });
        self.service_names.insert(config.name.clone(), key);
        key
    }

    /// Merges the rules for `service` and `class`; later rules override each value of earlier ones.
    fn placement(&self, inventory: &Inventory, service: &str, class: Class) -> Placement {
        let priority = match class {
            Class::Customer => DEFAULT_CUSTOMER_PRIORITY,
            Class::Rollout => DEFAULT_ROLLOUT_PRIORITY,
        };
        let mut placement = Placement { priority, zones: None, max_version_lag: None };
        let rules = inventory.rules.iter().filter(|rule| {
            rule.service == service && rule.class.is_none_or(|rule_class| rule_class == class)
        });
        for rule in rules {
            placement.priority = rule.priority.unwrap_or(placement.priority);
            placement.max_version_lag = rule.max_version_lag.or(placement.max_version_lag);
            if let Some(zones) = &rule.zones {
                placement.zones =
                    Some(zones.iter().filter_map(|zone| self.zone_key(zone)).collect());
            }
        }
        placement
    }

    fn set_workers(
        &mut self,
        inventory: &Inventory,
        service: Key<Service>,
        name: &str,
        gateway: Gateway<'_>,
        is_new: bool,
    ) -> Vec<Key<Worker>> {
        let configs: Vec<&WorkerConfig> = inventory.workers_of(name).collect();
        let pairs: Vec<(&str, &str)> =
            configs.iter().map(|config| (&*config.name, &*config.zone)).collect();
        subset::select(gateway.name, gateway.zone, &pairs, gateway.subset_size)
            .into_iter()
            .filter_map(|index| self.set_worker(service, configs[index], is_new))
            .collect()
    }

    fn set_worker(
        &mut self,
        service: Key<Service>,
        config: &WorkerConfig,
        is_new: bool,
    ) -> Option<Key<Worker>> {
        let zone = self.zone_key(&config.zone)?;
        let max_concurrency = self.services.get(service)?.config.max_concurrency;
        if let Some(key) = self.worker_names.get(&config.name).copied()
            && let Some(worker) = self.workers.get_mut(key)
            && worker.address == config.address
            && worker.service == service
        {
            worker.zone = zone;
            worker.pace.set_max_limit(max_concurrency);
            return Some(key);
        }
        let key = self.workers.insert(Worker {
            name: config.name.clone(),
            service,
            zone,
            address: config.address,
            load: Load::default(),
            pace: Pace::adaptive(max_concurrency),
            is_new,
            breaker: Breaker::default(),
            prefixes: Index::default(),
            departure: Departure::default(),
            failed_contacts: 0,
        });
        self.worker_names.insert(config.name.clone(), key);
        Some(key)
    }

    fn remove_services(&mut self, inventory: &Inventory) {
        let removed_keys: Vec<Key<Service>> = self
            .services
            .iter()
            .filter(|(_, service)| inventory.service(&service.config.name).is_none())
            .map(|(key, _)| key)
            .collect();
        for key in removed_keys {
            if let Some(service) = self.services.remove(key) {
                self.service_names.remove(&service.config.name);
            }
        }
    }

    fn remove_workers(&mut self, kept: &[Key<Worker>]) -> Vec<Worker> {
        let removed_keys: Vec<Key<Worker>> =
            self.workers.iter().map(|(key, _)| key).filter(|key| !kept.contains(key)).collect();
        let mut removed = Vec::new();
        for key in removed_keys {
            let Some(worker) = self.workers.remove(key) else { continue };
            if self.worker_names.get(&worker.name) == Some(&key) {
                self.worker_names.remove(&worker.name);
            }
            removed.push(worker);
        }
        removed
    }
}
