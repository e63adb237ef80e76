//! Taking over an inventory: workers that stay keep what is known of them.

use std::time::Duration;

use filbertsail_collections::arena::Key;
use filbertsail_config::inventory::{Class, Inventory, Service as Entry, Worker as Machine};

use super::{Fleet, Placement, Service, Worker, Zone, ZoneKey, load::Load, worker::Marks};
use crate::{breaker::Breaker, budget::Budget, limit::Limit, prefix::View, subset};

/// Priority of customers' requests without a rule.
pub const CUSTOMER_PRIORITY: u32 = 100;
/// Priority of rollout samples without a rule.
pub const ROLLOUT_PRIORITY: u32 = 10;

/// Where a gateway stands.
#[derive(Clone, Copy, Debug)]
pub struct Viewpoint<'a> {
    /// Gateway name.
    pub gateway: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// Most workers of a service that it uses.
    pub subset: usize,
}

impl Fleet {
    /// Takes over `inventory`; returns the workers that are no longer part of it.
    pub fn take_over(&mut self, inventory: &Inventory, view: Viewpoint<'_>) -> Vec<Worker> {
        self.set_zones(inventory, view.zone);
        let mut kept = Vec::new();
        for entry in &inventory.services {
            let service = self.set_service(inventory, entry);
            let workers = self.set_workers(inventory, service, &entry.name, view);
            kept.extend_from_slice(&workers);
            if let Some(service) = self.services.get_mut(service) {
                service.workers = workers;
            }
        }
        self.forget_services(inventory);
        self.forget_workers(&kept)
    }

    fn set_zones(&mut self, inventory: &Inventory, own: &str) {
        self.zones = inventory
            .zones
            .iter()
            .map(|zone| Zone {
                name: zone.name.clone(),
                round_trip: Duration::from_secs_f64(
                    inventory.delay_ms(own, &zone.name).max(0.0) * 2.0 / 1_000.0,
                ),
                cost: inventory.link(own, &zone.name).map_or(1.0, |link| link.cost),
            })
            .collect();
    }

    fn zone_key(&self, name: &str) -> Option<ZoneKey> {
        self.zones.iter().position(|zone| zone.name == name).map(ZoneKey)
    }

    fn set_service(&mut self, inventory: &Inventory, entry: &Entry) -> Key<Service> {
        let customer = self.placement(inventory, &entry.name, Class::Customer);
        let rollout = self.placement(inventory, &entry.name, Class::Rollout);
        if let Some(key) = self.service_names.get(&entry.name).copied()
            && let Some(service) = self.services.get_mut(key)
        {
            service.entry = entry.clone();
            service.customer = customer;
            service.rollout = rollout;
            return key;
        }
        let key = self.services.insert(Service {
            entry: entry.clone(),
            workers: Vec::new(),
            customer,
            rollout,
            newest_version: 0,
            budget: Budget::default(),
            duration_ms: 0.0,
        });
        self.service_names.insert(entry.name.clone(), key);
        key
    }

    /// Later rules override earlier ones, value by value.
    fn placement(&self, inventory: &Inventory, service: &str, class: Class) -> Placement {
        let priority = match class {
            Class::Customer => CUSTOMER_PRIORITY,
            Class::Rollout => ROLLOUT_PRIORITY,
        };
        let mut placement = Placement { priority, zones: None, max_version_lag: None };
        let rules = inventory.rules.iter().filter(|rule| {
            rule.service == service && rule.class.is_none_or(|other| other == class)
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
        view: Viewpoint<'_>,
    ) -> Vec<Key<Worker>> {
        let machines: Vec<&Machine> = inventory.workers_of(name).collect();
        let pairs: Vec<(&str, &str)> =
            machines.iter().map(|machine| (&*machine.name, &*machine.zone)).collect();
        subset::choose(view.gateway, view.zone, &pairs, view.subset)
            .into_iter()
            .filter_map(|index| self.set_worker(service, machines[index]))
            .collect()
    }

    fn set_worker(&mut self, service: Key<Service>, machine: &Machine) -> Option<Key<Worker>> {
        let zone = self.zone_key(&machine.zone)?;
        let ceiling = self.services.get(service)?.entry.max_concurrency;
        if let Some(key) = self.worker_names.get(&machine.name).copied()
            && let Some(worker) = self.workers.get_mut(key)
            && worker.address == machine.address
            && worker.service == service
        {
            worker.zone = zone;
            worker.limit.set_ceiling(ceiling);
            return Some(key);
        }
        let key = self.workers.insert(Worker {
            name: machine.name.clone(),
            service,
            zone,
            address: machine.address,
            load: Load::default(),
            limit: Limit::new(ceiling),
            breaker: Breaker::default(),
            prefixes: View::default(),
            marks: Marks::default(),
            unreachable: 0,
        });
        self.worker_names.insert(machine.name.clone(), key);
        Some(key)
    }

    fn forget_services(&mut self, inventory: &Inventory) {
        let gone: Vec<Key<Service>> = self
            .services
            .iter()
            .filter(|(_, service)| inventory.service(&service.entry.name).is_none())
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            if let Some(service) = self.services.remove(key) {
                self.service_names.remove(&service.entry.name);
            }
        }
    }

    fn forget_workers(&mut self, kept: &[Key<Worker>]) -> Vec<Worker> {
        let gone: Vec<Key<Worker>> =
            self.workers.iter().map(|(key, _)| key).filter(|key| !kept.contains(key)).collect();
        let mut removed = Vec::new();
        for key in gone {
            let Some(worker) = self.workers.remove(key) else { continue };
            if self.worker_names.get(&worker.name) == Some(&key) {
                self.worker_names.remove(&worker.name);
            }
            removed.push(worker);
        }
        removed
    }
}
