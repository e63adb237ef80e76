//! Runs one task for each trainer and each model service of the configuration, each under its
//! lease.

use std::collections::HashMap;

use filbertsail_clock::Boot;
use filbertsail_cluster::agent;
use filbertsail_config::inventory::{Inventory, Kind};
use filbertsail_ports::{object, weight};
use filbertsail_rollout::wave;
use filbertsail_rounds::row;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use super::Table;
use crate::{
    config::{self, idle_share},
    gateways::Links,
    peers::Trainers,
    trainer, weights,
};

/// Starts, updates and stops the tasks as the configuration changes.
pub struct Supervisor {
    pub agent: agent::Handle<Table>,
    pub trainers: Trainers,
    pub trainer_context: trainer::Context<Table, object::http::Client, Links, Boot>,
    pub weights_context: weights::Context<weight::http::Client, Links, Boot>,
}

struct Running<R> {
    config: watch::Sender<R>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl<R> Running<R> {
    async fn stop_and_join(self) {
        self.stop.cancel();
        // Fails only if the task panicked, in which case it has ended as well.
        let _ = self.task.await;
    }
}

impl Supervisor {
    /// Runs until `stop` is cancelled, then waits until all tasks have ended.
    pub async fn run(self, stop: &CancellationToken) {
        let mut config = self.agent.config();
        let mut trainers: HashMap<String, Running<config::Trainer>> = HashMap::new();
        let mut services: HashMap<String, Running<weights::Config>> = HashMap::new();
        loop {
            let snapshot = config.borrow_and_update().clone();
            if let Some(snapshot) = snapshot {
                self.update_trainers(&snapshot.inventory, &mut trainers);
                self.update_services(&snapshot.inventory, &mut services);
            }
            tokio::select! {
                () = stop.cancelled() => break,
                changed = config.changed() => if changed.is_err() { break },
            }
        }
        self.agent.set_draining(true);
        trainers.values().for_each(|running| running.stop.cancel());
        services.values().for_each(|running| running.stop.cancel());
        for (name, running) in trainers {
            running.stop_and_join().await;
            self.trainers.remove(&name);
        }
        for (_, running) in services {
            running.stop_and_join().await;
        }
    }

    fn update_trainers(
        &self,
        inventory: &Inventory,
        running: &mut HashMap<String, Running<config::Trainer>>,
    ) {
        let names = inventory.trainers.iter().map(|trainer| &trainer.name);
        let configs = names.filter_map(|name| config::Trainer::new(inventory, name));
        let configs: HashMap<String, config::Trainer> =
            configs.map(|config| (config.name.clone(), config)).collect();
        running.retain(|name, task| {
            let is_configured = configs.contains_key(name);
            if !is_configured {
                task.stop.cancel();
                self.trainers.remove(name);
            }
            is_configured
        });
        for (name, config) in configs {
            match running.get(&name) {
                Some(task) => drop(task.config.send_replace(config)),
                None => drop(running.insert(name.clone(), self.start_trainer(&name, config))),
            }
        }
    }

    fn start_trainer(&self, name: &str, config: config::Trainer) -> Running<config::Trainer> {
        let guard = self.agent.contend_for_lease(&row::lease_scope(name));
        let (config, changes) = watch::channel(config);
        let (sender, commands) = mpsc::channel(trainer::COMMAND_QUEUE);
        self.trainers.insert(name, sender);
        let (stop, context) = (CancellationToken::new(), self.trainer_context.clone());
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            trainer::run(context, changes, guard.grant(), commands, stopped).await;
            drop(guard);
        });
        Running { config, stop, task }
    }

    fn update_services(
        &self,
        inventory: &Inventory,
        running: &mut HashMap<String, Running<weights::Config>>,
    ) {
        let staleness_share = 1.0 - idle_share(inventory);
        let models = inventory.services.iter().filter(|service| service.kind == Kind::Model);
        let configs = models.map(|service| weights::Config {
            service: service.name.clone(),
            checks_fence: service.checks_fence,
            wave: wave::Limits { min_serving: service.min_serving, staleness_share },
        });
        let configs: HashMap<String, weights::Config> =
            configs.map(|config| (config.service.clone(), config)).collect();
        running.retain(|name, task| {
            let is_configured = configs.contains_key(name);
            if !is_configured {
                task.stop.cancel();
            }
            is_configured
        });
        for (name, config) in configs {
            match running.get(&name) {
                Some(task) => drop(task.config.send_replace(config)),
                None => drop(running.insert(name, self.start_service(config))),
            }
        }
    }

    fn start_service(&self, initial: weights::Config) -> Running<weights::Config> {
        let guard = self.agent.contend_for_lease(&weights::scope(&initial.service));
        let (config, changes) = watch::channel(initial);
        let (stop, context) = (CancellationToken::new(), self.weights_context.clone());
        let stopped = stop.clone();
        let task = tokio::spawn(async move {
            weights::run(context, changes, guard.grant(), stopped).await;
            drop(guard);
        });
        Running { config, stop, task }
    }
}
