//! Whole set of stand-ins from an inventory.

use std::{net::SocketAddr, time::Duration};

use filbertsail_api::vm::{Entry, State};
use filbertsail_config::inventory::{Inventory, Kind, Worker};
use tokio_util::sync::CancellationToken;

use crate::{engine, network::Network, object, scorer, server::Place, service, table, vm, weight};

/// Properties of a set.
#[derive(Clone, Debug)]
pub struct Options {
    /// Addresses of the platform's services; port 0 for any.
    pub platform: Addresses,
    /// Table service and object store.
    pub table: table::Options,
    /// Weight downloads per second.
    pub downloads_per_s: f64,
    /// Lag of the VM list.
    pub vm_lag: Duration,
    /// Template of the engines; name, service, fencing and seed are filled in.
    pub engine: engine::Options,
    /// Template of the plain services; the name is filled in.
    pub service: service::Options,
    /// Listen on any port rather than the inventory's addresses.
    pub any_port: bool,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Table service.
    pub table: SocketAddr,
    /// Object store.
    pub objects: SocketAddr,
    /// VM list.
    pub vms: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
    /// Scorer.
    pub scorer: SocketAddr,
}

impl Default for Options {
    fn default() -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            platform: Addresses { table: any, objects: any, vms: any, weights: any, scorer: any },
            table: table::Options::default(),
            downloads_per_s: 20.0,
            vm_lag: Duration::from_secs(1),
            engine: engine::Options::new("", ""),
            service: service::Options {
                name: String::new(),
                capacity: 16,
                duration: Duration::from_millis(20),
                queue: 256,
            },
            any_port: true,
        }
    }
}

/// Running set.
#[derive(Clone, Debug)]
pub struct Set {
    /// Table service.
    pub table: table::Table,
    /// Object store.
    pub objects: object::Store,
    /// VM list.
    pub vms: vm::List,
    /// Weight store.
    pub weights: weight::Store,
    /// Scorer.
    pub scorer: scorer::Scorer,
    /// Engines.
    pub engines: Vec<engine::Engine>,
    /// Plain services.
    pub services: Vec<service::Service>,
    /// What all engines ran.
    pub record: engine::record::Record,
    /// Delays between zones.
    pub network: Network,
    /// The inventory with the addresses that the stand-ins listen on.
    pub inventory: Inventory,
}

/// Starts the whole set.
///
/// # Errors
/// Fails if an address cannot be bound.
pub fn start(
    mut inventory: Inventory,
    options: &Options,
    stop: &CancellationToken,
) -> eyre::Result<Set> {
    let network = Network::of(&inventory);
    let zone = inventory.zones.first().map(|zone| zone.name.clone()).unwrap_or_default();
    let place = Place { zone, network: network.clone() };
    let at = options.platform;
    let table = table::start(at.table, options.table, place.clone(), stop.clone())?;
    let objects = object::start(at.objects, options.table, place.clone(), stop.clone())?;
    let weights = weight::start(at.weights, options.downloads_per_s, place.clone(), stop.clone())?;
    let latency = Duration::from_millis(5);
    let scorer = scorer::start(at.scorer, latency, place.clone(), stop.clone())?;
    let record = engine::record::Record::default();
    let mut engines = Vec::new();
    let mut services = Vec::new();
    let kinds = inventory.services.clone();
    for (index, worker) in inventory.workers.iter_mut().enumerate() {
        if options.any_port {
            worker.address.set_port(0);
        }
        let place = Place { zone: worker.zone.clone(), network: network.clone() };
        let service = kinds.iter().find(|service| service.name == worker.service);
        if service.is_some_and(|service| service.kind == Kind::Model) {
            let checks_fence = service.is_some_and(|service| service.checks_fence);
            let template = &options.engine;
            let options = engine::Options {
                name: worker.name.clone(),
                service: worker.service.clone(),
                checks_fence,
                seed: template.seed.wrapping_mul(1_000).wrapping_add(index as u64),
                weights: Some(weights.address),
                ..template.clone()
            };
            let engine =
                engine::start(worker.address, options, place, record.clone(), stop.clone())?;
            worker.address = engine.address;
            engines.push(engine);
        } else {
            let options = service::Options { name: worker.name.clone(), ..options.service.clone() };
            let service = service::start(worker.address, options, place, stop.clone())?;
            worker.address = service.address;
            services.push(service);
        }
    }
    for service in inventory.services.iter().filter(|service| service.kind == Kind::Model) {
        weights.publish(&service.name, options.engine.version, 1 << 30);
    }
    let entries = inventory.workers.iter().map(entry).collect();
    let vms = vm::start(at.vms, entries, options.vm_lag, place, stop.clone())?;
    Ok(Set { table, objects, vms, weights, scorer, engines, services, record, network, inventory })
}

fn entry(worker: &Worker) -> Entry {
    Entry {
        address: worker.address.to_string(),
        name: worker.name.clone(),
        state: State::Live,
        zone: worker.zone.clone(),
    }
}

impl Set {
    /// Engine by worker name.
    #[must_use]
    pub fn engine(&self, name: &str) -> Option<&engine::Engine> {
        self.engines.iter().find(|engine| engine.name() == name)
    }

    /// Plain service by worker name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&service::Service> {
        self.services.iter().find(|service| service.name() == name)
    }
}
