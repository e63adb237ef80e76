//! Simulated environment: stand-ins for everything in an inventory.

use std::{net::SocketAddr, time::Duration};

use filbertsail_api::vm::{Entry, State};
use filbertsail_config::inventory::{Inventory, Kind, Worker};
use tokio_util::sync::CancellationToken;

use crate::{
    engine, network::Network, object, scorer, server::Location, service, table, vm, weight,
};

/// Configuration of an environment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Listen addresses of the platform's services; port 0 selects a free port.
    pub platform: Addresses,
    /// Rate limits and latency of the table service and the object store.
    pub table: table::Options,
    /// Maximum weight downloads per second.
    pub downloads_per_s: f64,
    /// Delay until the VM list shows a change.
    pub vm_list_delay: Duration,
    /// Template for engines; name, service, fencing, seed and weight store are set for each.
    pub engine: engine::Options,
    /// Template for plain services; the name is set for each.
    pub service: service::Options,
    /// Use free ports instead of the ports in the inventory.
    pub ephemeral_ports: bool,
}

/// Listen addresses of the platform's services.
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
        let free_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            platform: Addresses {
                table: free_port,
                objects: free_port,
                vms: free_port,
                weights: free_port,
                scorer: free_port,
            },
            table: table::Options::default(),
            downloads_per_s: 20.0,
            vm_list_delay: Duration::from_secs(1),
            engine: engine::Options::new("", ""),
            service: service::Options {
                name: String::new(),
                capacity: 16,
                request_duration: Duration::from_millis(20),
                max_queued: 256,
            },
            ephemeral_ports: true,
        }
    }
}

/// Handles of the running stand-ins.
#[derive(Clone, Debug)]
pub struct Environment {
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
    /// Record of the requests that the engines ran.
    pub record: engine::record::Record,
    /// Network with the delays between zones.
    pub network: Network,
    /// Inventory with the workers' listen addresses.
    pub inventory: Inventory,
}

/// Starts the stand-ins for `inventory`.
///
/// # Errors
/// Fails if an address cannot be bound.
pub fn start(
    mut inventory: Inventory,
    options: &Options,
    stop: &CancellationToken,
) -> eyre::Result<Environment> {
    let network = Network::from_inventory(&inventory);
    let zone = inventory.zones.first().map(|zone| zone.name.clone()).unwrap_or_default();
    let location = Location { zone, network: network.clone() };
    let addresses = options.platform;
    let table = table::start(addresses.table, options.table, location.clone(), stop.clone())?;
    let objects = object::start(addresses.objects, options.table, location.clone(), stop.clone())?;
    let weights =
        weight::start(addresses.weights, options.downloads_per_s, location.clone(), stop.clone())?;
    let scorer_latency = Duration::from_millis(5);
    let scorer = scorer::start(addresses.scorer, scorer_latency, location.clone(), stop.clone())?;
    let record = engine::record::Record::default();
    let mut engines = Vec::new();
    let mut services = Vec::new();
    let kinds = inventory.services.clone();
    for (index, worker) in inventory.workers.iter_mut().enumerate() {
        if options.ephemeral_ports {
            worker.address.set_port(0);
        }
        let location = Location { zone: worker.zone.clone(), network: network.clone() };
        let service = kinds.iter().find(|service| service.name == worker.service);
        if service.is_some_and(|service| service.kind == Kind::Model) {
            let checks_fence = service.is_some_and(|service| service.checks_fence);
            let template = &options.engine;
            let options = engine::Options {
                name: worker.name.clone(),
                service: worker.service.clone(),
                checks_fence,
                seed: template.seed.wrapping_mul(1_000).wrapping_add(index as u64),
                weight_store: Some(weights.address),
                ..template.clone()
            };
            let engine =
                engine::start(worker.address, options, location, record.clone(), stop.clone())?;
            worker.address = engine.address;
            engines.push(engine);
        } else {
            let options = service::Options { name: worker.name.clone(), ..options.service.clone() };
            let service = service::start(worker.address, options, location, stop.clone())?;
            worker.address = service.address;
            services.push(service);
        }
    }
    for service in inventory.services.iter().filter(|service| service.kind == Kind::Model) {
        weights.publish(&service.name, options.engine.initial_version, 1 << 30);
    }
    let entries = inventory.workers.iter().map(vm_entry).collect();
    let vms = vm::start(addresses.vms, entries, options.vm_list_delay, location, stop.clone())?;
    Ok(Environment {
        table,
        objects,
        vms,
        weights,
        scorer,
        engines,
        services,
        record,
        network,
        inventory,
    })
}

fn vm_entry(worker: &Worker) -> Entry {
    Entry {
        address: worker.address.to_string(),
        name: worker.name.clone(),
        state: State::Live,
        zone: worker.zone.clone(),
    }
}

impl Environment {
    /// Engine with the given worker name.
    #[must_use]
    pub fn engine(&self, name: &str) -> Option<&engine::Engine> {
        self.engines.iter().find(|engine| engine.name() == name)
    }

    /// Plain service with the given worker name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&service::Service> {
        self.services.iter().find(|service| service.name() == name)
    }
}
