//! One task per trainer and per model service of the configuration, each with its lease.

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
    gateways::Links,
    peers::Trainers,
    plan::{Plan, idle_share},
    trainer, weights,
};

/// Keeps the tasks in line with the configuration.
pub struct Supervisor {
    pub agent: agent::Handle<Table>,
    pub trainers: Trainers,
    pub rounds: trainer::Ports<Table, object::http::Client, Links, Boot>,
    pub weights: weights::Ports<weight::http::Client, Links, Boot>,
}

struct Running<R> {
    rules: watch::Sender<R>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl<R> Running<R> {
    async fn end(self) {
        self.stop.cancel();
        // Fails only if the task panicked, which ended it as well.
        let _ = self.task.await;
    }
}

impl Supervisor {
    /// Runs until `stop`, then until all tasks have ended.
    pub async fn run(self, stop: &CancellationToken) {
        let mut config = self.agent.config();
        let mut rounds: HashMap<String, Running<Plan>> = HashMap::new();
        let mut services: HashMap<String, Running<weights::Rules>> = HashMap::new();
        loop {
            let snapshot = config.borrow_and_update().clone();
            if let Some(snapshot) = snapshot {
                self.follow_trainers(&snapshot.inventory, &mut rounds);
                self.follow_services(&snapshot.inventory, &mut services);
            }
            tokio::select! {
                () = stop.cancelled() => break,
                changed = config.changed() => if changed.is_err() { break },
            }
        }
        self.agent.set_draining(true);
        rounds.values().for_each(|running| running.stop.cancel());
        services.values().for_each(|running| running.stop.cancel());
        for (name, running) in rounds {
            running.end().await;
            self.trainers.remove(&name);
        }
        for (_, running) in services {
            running.end().await;
        }
    }

    fn follow_trainers(&self, inventory: &Inventory, running: &mut HashMap<String, Running<Plan>>) {
        let names = inventory.trainers.iter().map(|trainer| &trainer.name);
        let plans = names.filter_map(|name| Plan::new(inventory, name));
        let plans: HashMap<String, Plan> = plans.map(|plan| (plan.trainer.clone(), plan)).collect();
        running.retain(|name, task| {
            let kept = plans.contains_key(name);
            if !kept {
                task.stop.cancel();
                self.trainers.remove(name);
            }
            kept
        });
        for (name, plan) in plans {
            match running.get(&name) {
                Some(task) => drop(task.rules.send_replace(plan)),
                None => drop(running.insert(name.clone(), self.start_trainer(&name, plan))),
            }
        }
    }

    fn start_trainer(&self, name: &str, plan: Plan) -> Running<Plan> {
        let guard = self.agent.lease(&row::scope(name));
        let (rules, plans) = watch::channel(plan);
        let (sender, commands) = mpsc::channel(trainer::COMMAND_QUEUE);
        self.trainers.insert(name, sender);
        let (stop, ports) = (CancellationToken::new(), self.rounds.clone());
        let ends = stop.clone();
        let task = tokio::spawn(async move {
            trainer::run(ports, plans, guard.holding(), commands, ends).await;
            drop(guard);
        });
        Running { rules, stop, task }
    }

    fn follow_services(
        &self,
        inventory: &Inventory,
        running: &mut HashMap<String, Running<weights::Rules>>,
    ) {
        let staleness_share = 1.0 - idle_share(inventory);
        let models = inventory.services.iter().filter(|service| service.kind == Kind::Model);
        let rules = models.map(|service| weights::Rules {
            service: service.name.clone(),
            checks_fence: service.checks_fence,
            wave: wave::Limits { min_serving: service.min_serving, staleness_share },
        });
        let rules: HashMap<String, weights::Rules> =
            rules.map(|rules| (rules.service.clone(), rules)).collect();
        running.retain(|name, task| {
            let kept = rules.contains_key(name);
            if !kept {
                task.stop.cancel();
            }
            kept
        });
        for (name, rules) in rules {
            match running.get(&name) {
                Some(task) => drop(task.rules.send_replace(rules)),
                None => drop(running.insert(name, self.start_service(rules))),
            }
        }
    }

    fn start_service(&self, first: weights::Rules) -> Running<weights::Rules> {
        let guard = self.agent.lease(&weights::scope(&first.service));
        let (rules, following) = watch::channel(first);
        let (stop, ports) = (CancellationToken::new(), self.weights.clone());
        let ends = stop.clone();
        let task = tokio::spawn(async move {
            weights::run(ports, following, guard.holding(), ends).await;
            drop(guard);
        });
        Running { rules, stop, task }
    }
}
