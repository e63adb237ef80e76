//! Dispatch of items to workers, moves between workers, and queue timeouts.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key as Handle;
use filbertsail_ports::store::Store;
use filbertsail_telemetry::event::Line;
use rand::RngExt;
use tokio::sync::watch;

use super::{Command, Task, engine};
use crate::{
    batch::{
        Outcome,
        attempt::{self, Attempt, Finish, RESPONSE_HEAD_TIMEOUT, SUCCESSOR_HEAD_TIMEOUT},
        backfill::{self, Shortage},
        execution::{Assignment, Execution, Phase},
        plan::{self, Scope},
    },
    config::{Config, Route},
    dialect::Dialect,
    fleet::End,
};

/// Delay before an item is retried after a failure.
const ITEM_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Pause before a worker that did not admit a moved item in time gets new items.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Least run time on a worker before its event interval justifies a move.
const MIN_RUN_BEFORE_MOVE: Duration = Duration::from_millis(500);
/// Time between two updates of the division of workers among models, which publications and steps
/// change every few seconds.
const DIVISION_INTERVAL: Duration = Duration::from_millis(50);

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn attempt_ended(
        &mut self,
        key: Handle<Execution>,
        item: usize,
        attempt: u64,
        finish: Finish,
    ) {
        let now = self.shared.now();
        let config = self.shared.config();
        if self.successor_ended(key, item, attempt, &finish, now) {
            return;
        }
        let Some(execution) = self.executions.get_mut(key) else { return };
        let route = config.as_ref().and_then(|config| execution.route(item, config));
        let Phase::Running(assignment) = &mut execution.states[item].phase else { return };
        if assignment.attempt != attempt {
            return;
        }
        let successor = assignment.successor.take();
        let (worker, tokens, since) = (assignment.worker, assignment.tokens, assignment.sent_at);
        let submitted = &execution.submission.items[item];
        let max_attempts = route.map_or(1, |route| route.max_attempts);
        let (name, service) = {
            let fleet = self.shared.fleet();
            let entry = fleet.get(worker).map(|worker| &worker.entry);
            entry.map(|it| (it.id.clone(), it.service.clone())).unwrap_or_default()
        };
        let fits = config
            .as_ref()
            .is_none_or(|config| submitted.largest_size() <= engine(config, &service).kv_tokens);
        let mut line = Line::new("item_run_ended")
            .with("item", &submitted.id)
            .with("batch", &execution.batch)
            .with("worker", name)
            .with("took_ms", now.since(since).as_millis());
        let state = &mut execution.states[item];
        {
            let progress = state.output.lock();
            line = line.with("events", progress.partial.events);
        }
        self.shared.fleet().record_completion(
            worker,
            tokens,
            finish.worker_end(fits),
            now,
            rand::rng().random(),
        );
        let took = now.since(since).as_secs_f64();
        self.shared.metrics.record_item_run(finish.name(), took);
        state.phase = Phase::Waiting(now);
        state.avoid = (finish != Finish::Done).then_some(worker);
        match finish {
            Finish::Done => {
                line.with("outcome", "done").info();
                execution.output_complete(item, now);
            }
            Finish::Invalid => {
                line.with("outcome", "invalid").warn();
                execution.finish_item(item, Outcome::Dead, now);
            }
            Finish::Failed => {
                state.failures += 1;
                let failures = state.failures;
                line.with("outcome", "failed").with("failures", failures).warn();
                if failures >= max_attempts {
                    execution.finish_item(item, Outcome::Dead, now);
                } else {
                    state.phase = Phase::Waiting(now.after(ITEM_RETRY_DELAY));
                }
            }
            Finish::Refused(_) => {
                line.with("outcome", "refused").with("fits", fits).info();
                if !fits {
                    state.phase = Phase::Waiting(now.after(state.record_refusal()));
                }
            }
            Finish::Stale => {
                line.with("outcome", "stale").warn();
                // With `single_version`, output of an older version cannot be continued.
                if route.is_some_and(|route| route.single_version) {
                    state.output = Default::default();
                }
                state.phase = Phase::Waiting(now.after(ITEM_RETRY_DELAY));
            }
            Finish::Broken(reason) => {
                line.with("outcome", "broken").with("reason", reason).warn();
                state.phase = Phase::Waiting(now.after(ITEM_RETRY_DELAY));
            }
            Finish::Stalled => {
                let timeout = attempt::event_timeout(state.stalls);
                state.record_stall();
                line.with("outcome", "stalled").with("timeout_ms", timeout.as_millis()).warn();
                state.phase = Phase::Waiting(now.after(ITEM_RETRY_DELAY));
            }
            Finish::Oversized => {
                let limit = attempt::output_limit(submitted.max_tokens);
                line.with("outcome", "oversized").with("limit_bytes", limit).warn();
                state.output = Default::default();
                state.phase = Phase::Waiting(now.after(ITEM_RETRY_DELAY));
            }
        }
        let state = &mut execution.states[item];
        match successor {
            // The successor was asked to continue from exactly this output.
            Some(successor)
                if matches!(state.phase, Phase::Waiting(_))
                    && state.output.lock().partial.events > 0 =>
            {
                state.phase = Phase::Running(*successor);
            }
            Some(successor) => successor.stop(&mut self.shared.fleet(), now),
            None => {}
        }
        self.flush_complete_step(key, now);
    }

    /// Handles the end of a successor: the original attempt continues if the successor was not
    /// admitted. Returns whether the end is fully handled.
    fn successor_ended(
        &mut self,
        key: Handle<Execution>,
        item: usize,
        attempt: u64,
        finish: &Finish,
        now: Instant,
    ) -> bool {
        let Some(execution) = self.executions.get_mut(key) else { return false };
        let state = &mut execution.states[item];
        let Phase::Running(assignment) = &mut state.phase else { return false };
        let ended = assignment.successor.take_if(|successor| successor.attempt == attempt);
        let Some(successor) = ended else { return false };
        if matches!(finish, Finish::Failed | Finish::Invalid) {
            // An item failure reported by a worker counts wherever else the item runs.
            assignment.stop(&mut self.shared.fleet(), now);
            state.phase = Phase::Running(*successor);
            return false;
        }
        // The head timeout of a successor is too short to tell a busy worker from a dead one.
        let end = match finish {
            Finish::Broken(_) | Finish::Stalled => End::Refused { pause: MOVE_RETRY_DELAY },
            finish => finish.worker_end(true),
        };
        assignment.pause.send_replace(false);
        state.avoid = Some(successor.worker);
        let mut fleet = self.shared.fleet();
        fleet.record_completion(successor.worker, successor.tokens, end, now, 0.0);
        let worker = fleet.get(successor.worker).map_or("", |worker| worker.entry.id.as_str());
        Line::new("item_not_moved")
            .with("item", &execution.submission.items[item].id)
            .with("batch", &execution.batch)
            .with("to", worker)
            .with("outcome", finish.name())
            .with("took_ms", now.since(successor.sent_at).as_millis())
            .info();
        true
    }

    /// Replaces an attempt by its successor, which a worker has admitted.
    pub(super) fn successor_admitted(&mut self, key: Handle<Execution>, item: usize, attempt: u64) {
        let now = self.shared.now();
        let Some(execution) = self.executions.get_mut(key) else { return };
        let state = &mut execution.states[item];
        let Phase::Running(assignment) = &mut state.phase else { return };
        let admitted = assignment.successor.take_if(|successor| successor.attempt == attempt);
        let Some(successor) = admitted else { return };
        let mut fleet = self.shared.fleet();
        assignment.stop(&mut fleet, now);
        let name = |worker| fleet.get(worker).map_or("", |worker| worker.entry.id.as_str());
        Line::new("item_moved")
            .with("item", &execution.submission.items[item].id)
            .with("batch", &execution.batch)
            .with("from", name(assignment.worker))
            .with("to", name(successor.worker))
            .with("took_ms", now.since(successor.sent_at).as_millis())
            .info();
        state.avoid = Some(assignment.worker);
        state.phase = Phase::Running(*successor);
    }

    pub(super) fn dispatch_items(&mut self, now: Instant) {
        if self.is_leaving || self.executions.is_empty() {
            return;
        }
        let Some(config) = self.shared.config() else { return };
        if now.since(self.divided_at) >= DIVISION_INTERVAL {
            self.divided_at = now;
            self.shared.divide_workers(&config, now);
        }
        let (keys, executions): (Vec<Handle<Execution>>, Vec<&Execution>) = self
            .executions
            .iter()
            .filter(|(_, execution)| execution.accepts_config(&config))
            .unzip();
        let order = plan::dispatch_order(&executions, now);
        let mut shortage = Shortage::default();
        for (index, item) in order {
            self.place_item(keys[index], item, &config, &mut shortage, now);
        }
        self.reservations = shortage.reservations().to_vec();
    }

    pub(super) fn place_item(
        &mut self,
        key: Handle<Execution>,
        item: usize,
        config: &Config,
        shortage: &mut Shortage,
        now: Instant,
    ) {
        let Some(execution) = self.executions.get_mut(key) else { return };
        let Some(route) = execution.route(item, config) else {
            Line::new("item_given_up")
                .with("item", &execution.submission.items[item].id)
                .with("batch", &execution.batch)
                .with("reason", "no route for host and path")
                .with("config", config.version)
                .warn();
            return execution.finish_item(item, Outcome::Dead, now);
        };
        let Some(service) = route.service(&mut rand::rng()) else { return };
        if !shortage.allows(execution, item, service) {
            return;
        }
        let engine = engine(config, service);
        execution.tokens_per_event = engine.tokens_per_event;
        let scope = Scope {
            service,
            zone: &self.shared.identity.zone,
            engine: &engine,
            reservations: shortage.reservations(),
        };
        let placement = {
            let fleet = self.shared.fleet();
            plan::place_item(execution, item, &scope, &fleet, now)
        };
        if let Some(placement) = placement {
            return self.start_item(key, &placement, route, now);
        }
        let Some(execution) = self.executions.get(key) else { return };
        let fleet = self.shared.fleet();
        let executions = || self.executions.iter().map(|(_, execution)| execution);
        let runs = || backfill::runs(executions(), &fleet, now);
        let zone = &self.shared.identity.zone;
        let scope = Scope { service, zone, engine: &engine, reservations: &[] };
        let reservation = shortage.record(execution, item, &scope, &fleet, runs, now);
        if let Some(reservation) = reservation {
            let known = self.reservations.iter().map(|it| it.worker).collect::<Vec<_>>();
            if !known.contains(&reservation.worker) {
                let worker = fleet.get(reservation.worker);
                Line::new("engine_reserved")
                    .with("item", &execution.submission.items[item].id)
                    .with("batch", &execution.batch)
                    .with("worker", worker.map_or("", |worker| worker.entry.id.as_str()))
                    .with("tokens", plan::expected_size(execution, item))
                    .with("taken_tokens", worker.map_or(0, |worker| worker.reserved_tokens))
                    .with("due_ms", reservation.due.since(now).as_millis())
                    .info();
            }
        }
    }

    fn start_item(
        &mut self,
        key: Handle<Execution>,
        placement: &plan::Placement,
        route: &Route,
        now: Instant,
    ) {
        let Some(assignment) =
            self.launch_attempt(key, placement, route, RESPONSE_HEAD_TIMEOUT, now)
        else {
            return;
        };
        let Some(execution) = self.executions.get_mut(key) else { return };
        let group = execution.submission.items[placement.item].group;
        execution.prompt_workers[group as usize] = Some(placement.worker);
        execution.states[placement.item].phase = Phase::Running(assignment);
    }

    /// Starts an attempt of an item on a worker.
    fn launch_attempt(
        &mut self,
        key: Handle<Execution>,
        placement: &plan::Placement,
        route: &Route,
        head_timeout: Duration,
        now: Instant,
    ) -> Option<Assignment> {
        let execution = self.executions.get_mut(key)?;
        let item = placement.item;
        let submitted = &execution.submission.items[item];
        let worker = {
            let mut fleet = self.shared.fleet();
            let worker = fleet.get(placement.worker)?.entry.clone();
            fleet.record_dispatch(placement.worker, placement.tokens, now);
            worker
        };
        let state = &mut execution.states[item];
        let (pause, pause_receiver) = watch::channel(false);
        let attempt = Attempt {
            worker: placement.worker,
            address: worker.address,
            instance: worker.id.clone(),
            model: execution.submission.model.clone(),
            id: submitted.id.clone(),
            host: execution.meta.host.clone(),
            path: submitted.path.clone(),
            headers: submitted.headers.clone(),
            body: Bytes::copy_from_slice(&submitted.body),
            priority: placement.priority,
            workspace: execution.meta.workspace.clone(),
            min_version: execution.submission.min_version,
            single_version: route.single_version,
            output: state.output.clone(),
            head_timeout,
            event_timeout: attempt::event_timeout(state.stalls),
            output_limit: attempt::output_limit(submitted.max_tokens),
            sent_at: now,
            pause: pause_receiver,
        };
        Line::new("item_sent")
            .with("item", &submitted.id)
            .with("batch", &execution.batch)
            .with("worker", &worker.id)
            .with("run", state.attempts)
            .with("from_event", state.output.lock().partial.events)
            .with("expected_tokens", submitted.expected_tokens)
            .with("wanted", execution.wanted_groups[submitted.group as usize])
            .with("age_ms", now.since(execution.accepted_at).as_millis())
            .info();
        self.last_attempt += 1;
        state.attempts += 1;
        let number = self.last_attempt;
        let (shared, commands) = (self.shared.clone(), self.commands.clone());
        let task = tokio::spawn(async move {
            // The receiver lives as long as the process.
            let admitted = || {
                let _ = commands.send(Command::SuccessorAdmitted {
                    execution: key,
                    item,
                    attempt: number,
                });
            };
            let finish = attempt.run::<D>(&shared, admitted).await;
            let _ = commands.send(Command::AttemptEnded {
                execution: key,
                item,
                attempt: number,
                finish,
            });
        });
        Some(Assignment {
            attempt: number,
            worker: placement.worker,
            tokens: placement.tokens,
            sent_at: now,
            abort: task.abort_handle(),
            pause,
            successor: None,
        })
    }

    /// Gives up items that exceeded the queue time limit of their route.
    pub(super) fn give_up_overdue_items(&mut self, now: Instant) {
        let Some(config) = self.shared.config() else { return };
        let mut fleet = self.shared.fleet();
        for (_, execution) in self.executions.iter_mut() {
            if !execution.accepts_config(&config) {
                continue;
            }
            for item in 0..execution.states.len() {
                let Some(route) = execution.route(item, &config) else { continue };
                if now.since(execution.accepted_at) < route.max_queue {
                    break;
                }
                match &mut execution.states[item].phase {
                    Phase::Ended => continue,
                    Phase::Waiting(_) => {}
                    Phase::Running(assignment) => assignment.stop(&mut fleet, now),
                    Phase::Scoring(scoring) => {
                        scoring.stop(&mut fleet, Duration::MAX, now, 0.0);
                    }
                }
                Line::new("item_given_up")
                    .with("item", &execution.submission.items[item].id)
                    .with("batch", &execution.batch)
                    .with("reason", "queue time limit exceeded")
                    .with("age_ms", now.since(execution.accepted_at).as_millis())
                    .warn();
                execution.finish_item(item, Outcome::Dead, now);
            }
        }
    }

    /// Moves items to other workers where that saves time, largest gain first.
    pub(super) fn move_slow_items(&mut self, now: Instant) {
        let Some(config) = self.shared.config() else { return };
        let mut moves: Vec<(f64, Handle<Execution>, usize)> = Vec::new();
        for (key, execution) in self.executions.iter() {
            if !execution.accepts_config(&config) {
                continue;
            }
            for item in 0..execution.states.len() {
                if let Some((_, gain_ms)) = self.find_move(execution, item, &config, now) {
                    moves.push((gain_ms, key, item));
                }
            }
        }
        moves.sort_by(|(one, ..), (other, ..)| other.total_cmp(one));
        for (_, key, item) in moves {
            self.move_item(key, item, &config, now);
        }
    }

    fn find_move(
        &self,
        execution: &Execution,
        item: usize,
        config: &Config,
        now: Instant,
    ) -> Option<(plan::Placement, f64)> {
        let Phase::Running(assignment) = &execution.states[item].phase else { return None };
        if now.since(assignment.sent_at) < MIN_RUN_BEFORE_MOVE || assignment.successor.is_some() {
            return None;
        }
        let route = execution.route(item, config)?;
        let fleet = self.shared.fleet();
        let from = assignment.worker;
        let service = &fleet.get(from)?.entry.service;
        let scope = Scope {
            service,
            zone: &self.shared.identity.zone,
            engine: &engine(config, service),
            reservations: &self.reservations,
        };
        plan::better_placement(execution, item, from, route, &scope, &fleet, now)
    }

    /// Moves an item if that still saves time after the moves before it.
    fn move_item(&mut self, key: Handle<Execution>, item: usize, config: &Config, now: Instant) {
        let Some(execution) = self.executions.get(key) else { return };
        let Some((to, gain_ms)) = self.find_move(execution, item, config, now) else { return };
        let submitted = &execution.submission.items[item];
        let Some(route) = execution.route(item, config) else { return };
        let Phase::Running(assignment) = &execution.states[item].phase else { return };
        {
            let fleet = self.shared.fleet();
            let name = |worker| fleet.get(worker).map_or("", |worker| worker.entry.id.as_str());
            Line::new("item_moving")
                .with("item", &submitted.id)
                .with("batch", &execution.batch)
                .with("from", name(assignment.worker))
                .with("to", name(to.worker))
                .with(
                    "pace_ms",
                    format!("{:.1}", fleet.expected_interval_ms(assignment.worker, 0, now)),
                )
                .with("gain_ms", format!("{gain_ms:.0}"))
                .info();
        }
        self.start_successor(key, &to, route, now);
    }

    /// Requests a running item from another worker, which replaces the present one once it has
    /// admitted the item.
    pub(super) fn start_successor(
        &mut self,
        key: Handle<Execution>,
        to: &plan::Placement,
        route: &Route,
        now: Instant,
    ) {
        let Some(execution) = self.executions.get(key) else { return };
        let Phase::Running(assignment) = &execution.states[to.item].phase else { return };
        // The successor is asked to continue from the current output, so reading pauses.
        assignment.pause.send_replace(true);
        let successor = self.launch_attempt(key, to, route, SUCCESSOR_HEAD_TIMEOUT, now);
        let Some(execution) = self.executions.get_mut(key) else { return };
        let Phase::Running(assignment) = &mut execution.states[to.item].phase else { return };
        if successor.is_none() {
            assignment.pause.send_replace(false);
        }
        assignment.successor = successor.map(Box::new);
    }
}
