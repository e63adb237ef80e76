//! Reward calls of finished outputs.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key as Handle;
use filbertsail_ports::store::Store;
use filbertsail_telemetry::event::Line;
use rand::RngExt;

use super::{Command, Task};
use crate::{
    batch::{
        Outcome,
        execution::{Execution, Phase},
        reward::{
            Sent,
            attempt::{Attempt, Finish},
            plan,
        },
    },
    config::{Config, Route},
    dialect::Dialect,
    fleet::Criteria,
};

/// Delay before a call is repeated after a broken attempt.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(50);

impl<D: Dialect, S: Store> Task<D, S> {
    /// Starts the reward calls that are due, as far as their service has room.
    pub(super) fn dispatch_calls(&mut self, now: Instant) {
        let is_idle = !self.executions.iter().any(|(_, execution)| execution.has_unscored_items());
        if self.is_leaving || is_idle {
            return;
        }
        let Some(config) = self.shared.config() else { return };
        let (keys, executions): (Vec<Handle<Execution>>, Vec<&Execution>) = self
            .executions
            .iter()
            .filter(|(_, execution)| execution.accepts_config(&config))
            .unzip();
        let order = plan::call_order(&executions, |execution, item| {
            let Phase::Scoring(scoring) = &execution.states[item].phase else { return false };
            let route = execution.call_route(item, &config);
            let hedge_delay = route.map_or(Duration::ZERO, |route| self.hedge_delay(route));
            scoring.is_due(hedge_delay, now)
        });
        // Full services are not tried again in this round.
        let mut full_services: Vec<String> = Vec::new();
        for (index, item) in order {
            self.place_call(keys[index], item, &config, &mut full_services, now);
        }
    }

    /// Time after which an attempt on `route` takes unusually long.
    fn hedge_delay(&self, route: &Route) -> Duration {
        let pace = self.call_paces.get(&route.name).copied().unwrap_or_default();
        pace.hedge_delay(route.target_latency)
    }

    fn place_call(
        &mut self,
        key: Handle<Execution>,
        item: usize,
        config: &Config,
        full_services: &mut Vec<String>,
        now: Instant,
    ) {
        let Some(execution) = self.executions.get_mut(key) else { return };
        let Some(route) = execution.call_route(item, config) else {
            if execution.is_call_withdrawn(item, config) {
                let Phase::Scoring(scoring) = &mut execution.states[item].phase else { return };
                scoring.stop(&mut self.shared.fleet(), Duration::MAX, now, 0.0);
                execution.finish_item(item, Outcome::Dead, now);
            }
            return;
        };
        // All attempts at a call have the same deadline, that of their item.
        let item_route = execution.route(item, config);
        let max_queue = item_route.map_or(route.timeout, |route| route.max_queue);
        let deadline = execution.accepted_at.after(max_queue);
        let Some(service) = route.service(&mut rand::rng()).filter(|_| now < deadline) else {
            return;
        };
        if full_services.iter().any(|full| full == service) {
            return;
        }
        let Phase::Scoring(scoring) = &mut execution.states[item].phase else { return };
        scoring.has_route = true;
        let in_progress: Vec<_> = scoring.attempts.iter().map(|sent| sent.worker).collect();
        let criteria =
            Criteria { service, zone: &self.shared.identity.zone, tried: &scoring.tried };
        let mut fleet = self.shared.fleet();
        let worker = plan::place_call(criteria, &in_progress, &fleet, now, &mut rand::rng());
        let Some((worker, entry)) =
            worker.and_then(|worker| Some((worker, fleet.get(worker)?.entry.clone())))
        else {
            if scoring.tried.is_empty() {
                full_services.push(service.to_owned());
            }
            return;
        };
        fleet.record_dispatch(worker, 0, now);
        drop(fleet);
        let submitted = &execution.submission.items[item];
        let Some(call) = submitted.reward.clone() else { return };
        Line::new("reward_call_sent")
            .with("item", &submitted.id)
            .with("batch", &execution.batch)
            .with("call", &call.id)
            .with("worker", &entry.id)
            .with("in_progress", in_progress.len())
            .with("failures", scoring.failures)
            .with("wait_ms", now.since(scoring.since).as_millis())
            .info();
        let attempt = Attempt {
            worker,
            address: entry.address,
            instance: entry.id,
            call,
            time_left: deadline.since(now),
            limit: route.timeout,
        };
        self.last_attempt += 1;
        let number = self.last_attempt;
        let (shared, commands) = (self.shared.clone(), self.commands.clone());
        let task = tokio::spawn(async move {
            let finish = attempt.run::<D>(&shared).await;
            // The receiver lives as long as the process.
            let _ =
                commands.send(Command::CallEnded { execution: key, item, attempt: number, finish });
        });
        scoring.tried.retain(|tried| *tried != worker);
        scoring.tried.push(worker);
        scoring.attempts.push(Sent { number, worker, sent_at: now, abort: task.abort_handle() });
    }

    /// Handles the end of an attempt at a reward call.
    pub(super) fn call_ended(
        &mut self,
        key: Handle<Execution>,
        item: usize,
        attempt: u64,
        finish: Finish,
    ) {
        let now = self.shared.now();
        let config = self.shared.config();
        let Some(execution) = self.executions.get_mut(key) else { return };
        let route = config.as_ref().and_then(|config| execution.call_route(item, config)).cloned();
        let Phase::Scoring(scoring) = &mut execution.states[item].phase else { return };
        let Some(sent) = scoring.take(attempt) else { return };
        let took = now.since(sent.sent_at);
        let wait = now.since(scoring.since);
        let jitter: f64 = rand::rng().random();
        let name = {
            let mut fleet = self.shared.fleet();
            fleet.record_completion(sent.worker, 0, finish.worker_end(), now, jitter);
            fleet.get(sent.worker).map(|worker| worker.entry.id.clone()).unwrap_or_default()
        };
        let submitted = &execution.submission.items[item];
        let mut line = Line::new("reward_call_ended")
            .with("item", &submitted.id)
            .with("batch", &execution.batch)
            .with("call", submitted.reward.as_ref().map_or("", |call| &call.id))
            .with("worker", name)
            .with("outcome", finish.name())
            .with("took_ms", took.as_millis())
            .with("wait_ms", wait.as_millis());
        if let Finish::Broken(reason) = &finish {
            line = line.with("reason", reason);
        }
        let metrics = self.shared.metrics.clone();
        metrics.record_reward_call(finish.name(), took.as_secs_f64());
        let max_attempts = route.as_ref().map_or(1, |route| route.max_attempts);
        let outcome = match finish {
            Finish::Scored(score) => {
                line.info();
                metrics.record_score_wait(wait.as_secs_f64());
                Some(Outcome::Scored(score))
            }
            Finish::Invalid => {
                line.warn();
                Some(Outcome::Dead)
            }
            Finish::Failed => {
                scoring.failures += 1;
                line.with("failures", scoring.failures).warn();
                (scoring.failures >= max_attempts).then_some(Outcome::Dead)
            }
            Finish::Refused(_) => {
                scoring.tried.retain(|tried| *tried != sent.worker);
                line.info();
                None
            }
            Finish::Broken(_) => {
                scoring.not_before = now.after(CALL_RETRY_DELAY);
                line.warn();
                None
            }
        };
        let Some(outcome) = outcome else { return };
        let hedge_delay = {
            let pace = route
                .as_ref()
                .map(|route| self.call_paces.entry(route.name.clone()).or_default())
                .filter(|_| matches!(outcome, Outcome::Scored(_)));
            if let Some(pace) = pace {
                pace.record(took);
            }
            route.as_ref().map_or(took, |route| self.hedge_delay(route))
        };
        let Some(execution) = self.executions.get_mut(key) else { return };
        if let Phase::Scoring(scoring) = &mut execution.states[item].phase {
            scoring.stop(&mut self.shared.fleet(), hedge_delay, now, jitter);
        }
        execution.finish_item(item, outcome, now);
        self.flush_complete_step(key, now);
    }
}

impl Execution {
    /// Whether an output without a route for its reward call is given up, because the route of its
    /// item is gone as well. Otherwise it waits, up to the queue time limit, for a configuration
    /// that has the route again.
    fn is_call_withdrawn(&mut self, item: usize, config: &Config) -> bool {
        let is_withdrawn = self.route(item, config).is_none();
        let submitted = &self.submission.items[item];
        let Phase::Scoring(scoring) = &mut self.states[item].phase else { return false };
        if std::mem::replace(&mut scoring.has_route, false) {
            Line::new("reward_route_missing")
                .with("item", &submitted.id)
                .with("batch", &self.batch)
                .with("call", submitted.reward.as_ref().map_or("", |call| &call.id))
                .with("config", config.version)
                .warn();
        }
        if is_withdrawn {
            Line::new("item_given_up")
                .with("item", &submitted.id)
                .with("batch", &self.batch)
                .with("reason", "no route for host and path")
                .with("config", config.version)
                .warn();
        }
        is_withdrawn
    }
}
