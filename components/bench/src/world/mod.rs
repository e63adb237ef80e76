//! Deployment in one process: stand-ins, gateways, controllers, load balancer, keys.

mod change;
pub mod daemon;

use std::{
    fs,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daemon::{Daemon, Role, Shape};
use eyre::{WrapErr, eyre};
use filbertsail_clock::{Boot, Source};
use filbertsail_config::{
    inventory::Inventory,
    settings::{Listen, Log, Peers, Platform, Security, Settings},
};
use filbertsail_standin::environment::{self, Environment};
use tempfile::TempDir;
use tokio_util::sync::CancellationToken;

use crate::{
    balance::{Balancer, Gateway},
    breaks::Break,
    checker::Records,
    journal::{Journal, Stop},
    policy::Policy,
};

/// Token of the operator.
pub const OPERATOR_TOKEN: &str = "bench-operator-token-01";
/// Token of the customers.
pub const CUSTOMER_TOKEN: &str = "bench-customer-token-01";

/// Properties of a world.
#[derive(Clone, Debug)]
pub struct Options {
    /// Inventory; the addresses of the workers are replaced.
    pub inventory: Inventory,
    /// Gateways.
    pub gateways: usize,
    /// Controllers.
    pub controllers: usize,
    /// Policy of all daemons.
    pub policy: Policy,
    /// Stand-ins.
    pub standins: environment::Options,
    /// Broken part.
    pub broken: Option<Break>,
}

/// Running deployment.
pub struct World {
    /// Stand-ins.
    pub set: Environment,
    /// Load balancer.
    pub balancer: Balancer,
    /// Journal of the run.
    pub journal: Journal,
    /// Ends stand-ins and load balancer.
    pub stop: CancellationToken,
    options: Options,
    daemons: Mutex<Vec<Daemon>>,
    directory: TempDir,
}

/// Token of a trainer.
#[must_use]
pub fn trainer_token(name: &str) -> String {
    format!("bench-trainer-token-{name}")
}

impl World {
    /// Starts all parts; gateways may not be ready yet.
    ///
    /// # Errors
    /// Fails if a part cannot start.
    pub async fn start(options: Options) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let set = environment::start(options.inventory.clone(), &options.standins, &stop)?;
        let directory = tempfile::tempdir().wrap_err("temporary folder")?;
        write_keys(&directory, &options.inventory)?;
        let balancer = Balancer::default();
        tokio::spawn(balancer.clone().run(stop.clone()));
        let journal = Journal::default();
        let daemons = Mutex::default();
        let world = Self { set, balancer, journal, stop, options, daemons, directory };
        for index in 0..world.options.gateways {
            world.start_daemon(Role::Gateway, index).await?;
        }
        for index in 0..world.options.controllers {
            world.start_daemon(Role::Controller, index).await?;
        }
        world.apply_first().await?;
        Ok(world)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Daemon>> {
        self.daemons.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Zones in the order of the inventory.
    #[must_use]
    pub fn zones(&self) -> Vec<String> {
        self.options.inventory.zones.iter().map(|zone| zone.name.clone()).collect()
    }

    /// Names of the running daemons of a role.
    #[must_use]
    pub fn names(&self, role: Role) -> Vec<String> {
        let daemons = self.lock();
        daemons
            .iter()
            .filter(|daemon| daemon.role == role)
            .map(|daemon| daemon.name.clone())
            .collect()
    }

    /// Zone of the daemon number `index`.
    #[must_use]
    pub fn zone_of(&self, index: usize) -> String {
        let zones = &self.options.inventory.zones;
        zones[index % zones.len()].name.clone()
    }

    /// Starts daemon number `index` of a role.
    ///
    /// # Errors
    /// Fails if the daemon cannot start.
    pub async fn start_daemon(&self, role: Role, index: usize) -> eyre::Result<()> {
        let settings = self.settings(role, index);
        let name = settings.name.clone();
        let shape = Shape { role, settings, policy: self.options.policy };
        let daemon = daemon::start(shape).await.wrap_err_with(|| format!("start of {name}"))?;
        if role == Role::Gateway {
            let callers = daemon.callers.ok_or_else(|| eyre!("{name} has no callers' port"))?;
            self.balancer.add(Gateway { name, callers, admin: daemon.admin });
        }
        self.lock().push(daemon);
        Ok(())
    }

    fn settings(&self, role: Role, index: usize) -> Settings {
        let any = ([127, 0, 0, 1], 0).into();
        let zone = self.zone_of(index);
        let region = self.options.inventory.zones.iter().find(|other| other.name == zone);
        let region = region.map(|zone| zone.region.clone()).unwrap_or_default();
        let path = |name: &str| self.directory.path().join(name);
        Settings {
            name: format!("{role}-{}", index + 1),
            zone,
            region,
            listen: Listen {
                callers: (role == Role::Gateway).then_some(any),
                admin: any,
                peers: any,
            },
            platform: Platform {
                table: self.set.table.address,
                objects: self.set.objects.address,
                vms: self.set.vms.address,
                weights: self.set.weights.address,
                table_writes_per_s: 300.0,
                table_reads_per_s: 2_000.0,
            },
            peers: Peers { seeds: self.lock().iter().map(|daemon| daemon.peers).collect() },
            security: Security {
                cluster_key_file: path("cluster.key"),
                tokens_file: path("tokens"),
                tls_cert_file: None,
                tls_key_file: None,
            },
            log: Log::default(),
        }
    }

    /// Ends a daemon as planned and waits for its exit, up to `limit`.
    pub async fn stop_daemon(&self, name: &str, limit: Duration) {
        let Some(daemon) = self.take(name) else { return };
        let from = Boot.now();
        let index = {
            let mut pages = self.journal.write();
            pages.stops.push(Stop { daemon: name.to_owned(), from, to: None });
            pages.stops.len() - 1
        };
        if daemon.stop(limit).await {
            self.journal.write().stops[index].to = Some(Boot.now());
        }
        self.balancer.remove(name);
    }

    /// Kills a daemon.
    pub fn kill_daemon(&self, name: &str) {
        if let Some(daemon) = self.take(name) {
            daemon.kill();
        }
    }

    /// Freezes a daemon, as a paused VM is.
    pub fn pause_daemon(&self, name: &str, pause: Duration) {
        if let Some(daemon) = self.lock().iter().find(|daemon| daemon.name == name) {
            daemon.pause(pause);
        }
    }

    fn take(&self, name: &str) -> Option<Daemon> {
        let mut daemons = self.lock();
        let index = daemons.iter().position(|daemon| daemon.name == name)?;
        Some(daemons.remove(index))
    }

    /// Waits until `gateways` gateways are ready.
    ///
    /// # Errors
    /// Fails after `limit`.
    pub async fn ready(&self, gateways: usize, limit: Duration) -> eyre::Result<()> {
        let begun = Boot.now();
        loop {
            let ready = self.balancer.gateways().iter().filter(|(_, ready)| *ready).count();
            if ready >= gateways {
                return Ok(());
            }
            if Boot.now().since(begun) > limit {
                return Err(eyre!("only {ready} of {gateways} gateways became ready"));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Records of the stand-ins.
    #[must_use]
    pub fn records(&self) -> Records {
        let services = &self.set.services;
        Records {
            engines: self.set.record.runs(),
            services: services
                .iter()
                .map(|service| (service.name().to_owned(), service.runs()))
                .collect(),
            end: Boot.now(),
        }
    }

    /// Ends everything without ceremony.
    pub fn end(&self) {
        self.lock().drain(..).for_each(Daemon::kill);
        self.stop.cancel();
    }
}

fn write_keys(directory: &TempDir, inventory: &Inventory) -> eyre::Result<()> {
    fs::write(directory.path().join("cluster.key"), "5a".repeat(32))?;
    let mut tokens = format!("{OPERATOR_TOKEN} operator bench\n{CUSTOMER_TOKEN} customer bench\n");
    for trainer in &inventory.trainers {
        tokens.push_str(&format!("{} trainer {}\n", trainer_token(&trainer.name), trainer.name));
    }
    fs::write(directory.path().join("tokens"), tokens)?;
    Ok(())
}
