//! Statement of the demand for workers, for the holder of the lease on their orders.

use std::collections::BTreeMap;

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_ports::store::{Key, Store};
use filbertsail_scaling::{Statement, Step};

use super::Task;
use crate::{
    batch::{
        execution::{Execution, Phase},
        plan, rows,
    },
    config::Config,
    dialect::Dialect,
    duty::scaling::rows::{Statements, demand_key},
    shared::millis,
};

impl<D: Dialect, S: Store> Task<D, S> {
    /// Row with the demand of the batches that this VM owns; nothing if no worker can be ordered.
    pub(super) fn demand_row(&self, now: Instant) -> Option<(Key, Bytes)> {
        if !*self.shared.states_demand.borrow() {
            return None;
        }
        let config = self.shared.config()?;
        if config.services.values().all(|service| service.scaling.is_none()) {
            return None;
        }
        let mut statements: BTreeMap<(String, String), Statement> = BTreeMap::new();
        for (_, execution) in self.executions.iter() {
            let Some(service) = service(execution, &config) else { continue };
            let model = &execution.submission.model;
            let entry = statements.entry((service.to_owned(), model.clone()));
            let statement = entry.or_insert_with(|| empty(service, model));
            add_demand(statement, execution, now);
        }
        let at_ms = self.shared.link.borrow().store_ms(now);
        let stated = Statements { at_ms, statements: statements.into_values().collect() };
        Some((demand_key(&self.local_owner.vm), rows::encode(&stated)))
    }
}

/// Service that runs the items of a batch, if workers of it can be ordered.
fn service<'a>(execution: &Execution, config: &'a Config) -> Option<&'a str> {
    let route = execution.route(0, config)?;
    let name = &route.targets.first()?.service;
    let service = config.services.get(name)?;
    service.scaling.as_ref().map(|_| service.name.as_str())
}

fn empty(service: &str, model: &str) -> Statement {
    Statement {
        service: service.to_owned(),
        model: model.to_owned(),
        items_waiting: 0,
        oldest_wait_ms: 0,
        work_waiting: 0,
        work_running: 0,
        steps: Vec::new(),
    }
}

/// Adds the demand of a batch to the statement about its model.
fn add_demand(statement: &mut Statement, execution: &Execution, now: Instant) {
    let mut step = Step { accepted_ms: execution.meta.accepted_ms, work: 0 };
    for (index, item) in execution.submission.items.iter().enumerate() {
        step.work = step.work.saturating_add(item.expected_tokens.min(item.max_tokens));
        let state = &execution.states[index];
        match &state.phase {
            Phase::Waiting(not_before) if *not_before <= now => {
                let since = (*not_before).max(execution.accepted_at);
                let wait_ms = u32::try_from(millis(now.since(since))).unwrap_or(u32::MAX);
                statement.items_waiting += 1;
                statement.oldest_wait_ms = statement.oldest_wait_ms.max(wait_ms);
                statement.work_waiting += plan::remaining_tokens(execution, index);
            }
            Phase::Waiting(_) => {
                statement.work_waiting += plan::remaining_tokens(execution, index);
            }
            Phase::Running(_) => {
                statement.work_running += plan::remaining_tokens(execution, index);
            }
            Phase::Scoring(_) | Phase::Ended => {}
        }
    }
    statement.steps.push(step);
}
