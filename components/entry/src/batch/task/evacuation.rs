//! Moves of items from workers that are about to leave.

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key as Handle;
use filbertsail_ports::store::Store;
use filbertsail_telemetry::event::Line;

use super::{Task, engine};
use crate::{
    batch::{
        evacuation,
        execution::{Execution, Phase},
    },
    config::Config,
    dialect::Dialect,
};

impl<D: Dialect, S: Store> Task<D, S> {
    /// Moves items that do not end before their worker leaves, most urgent first.
    pub(super) fn evacuate_items(&mut self, now: Instant) {
        if self.is_leaving || self.executions.is_empty() {
            return;
        }
        let Some(config) = self.shared.config() else { return };
        let services: Vec<&str> = config.services.keys().map(String::as_str).collect();
        self.departures.update(&self.shared.fleet(), &services, now);
        if self.departures.is_empty() {
            return;
        }
        let (keys, executions): (Vec<Handle<Execution>>, Vec<&Execution>) = self
            .executions
            .iter()
            .filter(|(_, execution)| execution.accepts_config(&config))
            .unzip();
        let evacuees = self.departures.evacuees(&executions, &self.shared.fleet(), now);
        for evacuee in evacuees {
            self.evacuate_item(keys[evacuee.execution], evacuee.item, &config, now);
        }
    }

    fn evacuate_item(
        &mut self,
        key: Handle<Execution>,
        item: usize,
        config: &Config,
        now: Instant,
    ) {
        let Some(execution) = self.executions.get(key) else { return };
        let submitted = &execution.submission.items[item];
        let Some(route) = execution.route(item, config) else { return };
        let Phase::Running(assignment) = &execution.states[item].phase else { return };
        let from = assignment.worker;
        let to = {
            let fleet = self.shared.fleet();
            let Some(worker) = fleet.get(from) else { return };
            let engine = engine(config, &worker.entry.service);
            let zone = &self.shared.identity.zone;
            let terms = (config, &engine);
            let placement =
                evacuation::place_evacuee(execution, item, from, terms, zone, &fleet, now);
            let Some(placement) = placement else { return };
            let name = |worker| fleet.get(worker).map_or("", |worker| worker.entry.id.as_str());
            let left = self.departures.time_left(from, now).unwrap_or_default();
            Line::new("item_evacuating")
                .with("item", &submitted.id)
                .with("batch", &execution.batch)
                .with("from", name(from))
                .with("to", name(placement.worker))
                .with("leaves_in_ms", left.as_millis())
                .info();
            placement
        };
        self.start_successor(key, &to, route, now);
    }
}
