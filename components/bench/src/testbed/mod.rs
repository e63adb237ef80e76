//! Complete deployment in one process: stand-ins, daemons, load balancer and credentials.

mod change;
pub mod daemon;

use std::{
    fs,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use daemon::{Daemon, Role, Spec};
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
    checker::Records,
    defect::Defect,
    journal::{Journal, Stop},
    policy::Policy,
};

/// Bearer token of the operators.
pub const OPERATOR_TOKEN: &str = "bench-operator-token-01";
/// Bearer token of the customers.
pub const CUSTOMER_TOKEN: &str = "bench-customer-token-01";

/// Testbed options.
#[derive(Clone, Debug)]
pub struct Options {
    /// Inventory; the addresses of the workers are replaced.
    pub inventory: Inventory,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Policy of all daemons.
    pub policy: Policy,
    /// Options of the stand-ins.
    pub standins: environment::Options,
    /// Defect to inject.
    pub defect: Option<Defect>,
}

/// Running testbed.
pub struct Testbed {
    /// Stand-ins of platform services, engines and application servers.
    pub standins: Environment,
    /// Load balancer.
    pub balancer: Balancer,
    /// Journal of the run.
    pub journal: Journal,
    /// Stops the stand-ins and the load balancer.
    pub stop: CancellationToken,
    options: Options,
    daemons: Mutex<Vec<Daemon>>,
    directory: TempDir,
}

/// Bearer token of a trainer.
#[must_use]
pub fn trainer_token(name: &str) -> String {
    format!("bench-trainer-token-{name}")
}

impl Testbed {
    /// Starts all parts; gateways may not be ready yet.
    ///
    /// # Errors
    /// Fails if a part cannot start.
    pub async fn start(options: Options) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let standins = environment::start(options.inventory.clone(), &options.standins, &stop)?;
        let directory = tempfile::tempdir().wrap_err("failed to create a temporary directory")?;
        write_credentials(&directory, &options.inventory)?;
        let balancer = Balancer::default();
        tokio::spawn(balancer.clone().run(stop.clone()));
        let journal = Journal::default();
        let daemons = Mutex::default();
        let testbed = Self { standins, balancer, journal, stop, options, daemons, directory };
        for index in 0..testbed.options.gateways {
            testbed.start_daemon(Role::Gateway, index).await?;
        }
        for index in 0..testbed.options.controllers {
            testbed.start_daemon(Role::Controller, index).await?;
        }
        testbed.apply_initial_config().await?;
        Ok(testbed)
    }

    fn lock_daemons(&self) -> MutexGuard<'_, Vec<Daemon>> {
        self.daemons.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Zone names in the order of the inventory.
    #[must_use]
    pub fn zones(&self) -> Vec<String> {
        self.options.inventory.zones.iter().map(|zone| zone.name.clone()).collect()
    }

    /// Names of the running daemons of a role.
    #[must_use]
    pub fn names(&self, role: Role) -> Vec<String> {
        let daemons = self.lock_daemons();
        daemons
            .iter()
            .filter(|daemon| daemon.role == role)
            .map(|daemon| daemon.name.clone())
            .collect()
    }

    /// Zone of daemon `index` of a role; daemons are assigned to zones in turn.
    #[must_use]
    pub fn zone_of(&self, index: usize) -> String {
        let zones = &self.options.inventory.zones;
        zones[index % zones.len()].name.clone()
    }

    /// Starts daemon `index` of a role.
    ///
    /// # Errors
    /// Fails if the daemon cannot start.
    pub async fn start_daemon(&self, role: Role, index: usize) -> eyre::Result<()> {
        let settings = self.settings(role, index);
        let name = settings.name.clone();
        let spec = Spec { role, settings, policy: self.options.policy };
        let daemon =
            daemon::start(spec).await.wrap_err_with(|| format!("failed to start daemon {name}"))?;
        if role == Role::Gateway {
            let callers =
                daemon.callers.ok_or_else(|| eyre!("gateway {name} has no callers' port"))?;
            self.balancer.add(Gateway { name, callers, admin: daemon.admin });
        }
        self.lock_daemons().push(daemon);
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
                table: self.standins.table.address,
                objects: self.standins.objects.address,
                vms: self.standins.vms.address,
                weights: self.standins.weights.address,
                table_writes_per_s: 300.0,
                table_reads_per_s: 2_000.0,
            },
            peers: Peers { seeds: self.lock_daemons().iter().map(|daemon| daemon.peers).collect() },
            security: Security {
                cluster_key_file: path("cluster.key"),
                tokens_file: path("tokens"),
                tls_cert_file: None,
                tls_key_file: None,
            },
            log: Log::default(),
        }
    }

    /// Stops a daemon as planned and waits up to `limit` for its exit.
    pub async fn stop_daemon(&self, name: &str, limit: Duration) {
        let Some(daemon) = self.remove_daemon(name) else { return };
        let requested_at = Boot.now();
        let index = {
            let mut history = self.journal.write();
            history.stops.push(Stop { daemon: name.to_owned(), requested_at, exited_at: None });
            history.stops.len() - 1
        };
        if daemon.stop(limit).await {
            self.journal.write().stops[index].exited_at = Some(Boot.now());
        }
        self.balancer.remove(name);
    }

    /// Kills a daemon; the load balancer detects it by its health check.
    pub fn kill_daemon(&self, name: &str) {
        if let Some(daemon) = self.remove_daemon(name) {
            daemon.kill();
        }
    }

    /// Pauses a daemon, as the platform may pause its VM.
    pub fn pause_daemon(&self, name: &str, pause: Duration) {
        if let Some(daemon) = self.lock_daemons().iter().find(|daemon| daemon.name == name) {
            daemon.pause(pause);
        }
    }

    fn remove_daemon(&self, name: &str) -> Option<Daemon> {
        let mut daemons = self.lock_daemons();
        let index = daemons.iter().position(|daemon| daemon.name == name)?;
        Some(daemons.remove(index))
    }

    /// Waits until `gateways` gateways are ready.
    ///
    /// # Errors
    /// Fails if they are not ready within `limit`.
    pub async fn wait_ready(&self, gateways: usize, limit: Duration) -> eyre::Result<()> {
        let wait_started_at = Boot.now();
        loop {
            let ready = self.balancer.gateways().iter().filter(|(_, ready)| *ready).count();
            if ready >= gateways {
                return Ok(());
            }
            if Boot.now().since(wait_started_at) > limit {
                return Err(eyre!(
                    "only {ready} of {gateways} gateways became ready within {limit:?}"
                ));
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Runs recorded by the stand-ins so far.
    #[must_use]
    pub fn records(&self) -> Records {
        let services = &self.standins.services;
        Records {
            engines: self.standins.record.runs(),
            services: services
                .iter()
                .map(|service| (service.name().to_owned(), service.runs()))
                .collect(),
            end: Boot.now(),
        }
    }

    /// Kills all daemons and stops the other parts.
    pub fn shut_down(&self) {
        self.lock_daemons().drain(..).for_each(Daemon::kill);
        self.stop.cancel();
    }
}

fn write_credentials(directory: &TempDir, inventory: &Inventory) -> eyre::Result<()> {
    fs::write(directory.path().join("cluster.key"), "5a".repeat(32))?;
    let mut tokens = format!("{OPERATOR_TOKEN} operator bench\n{CUSTOMER_TOKEN} customer bench\n");
    for trainer in &inventory.trainers {
        tokens.push_str(&format!("{} trainer {}\n", trainer_token(&trainer.name), trainer.name));
    }
    fs::write(directory.path().join("tokens"), tokens)?;
    Ok(())
}
