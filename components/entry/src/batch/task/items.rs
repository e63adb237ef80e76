//! Items: sent to workers, moved between them, given up.

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
        attempt::{Attempt, Finish, HEAD_TIMEOUT, SUCCESSOR_TIMEOUT},
        plan,
        run::{Phase, Run, Running},
    },
    config::{Config, Route},
    dialect::Dialect,
    fleet::End,
};

/// Pause before an item runs again after a failure.
const ITEM_RETRY: Duration = Duration::from_millis(100);
/// Time for which a worker that did not admit a moved item in time gets no other one.
const MOVE_RETRY: Duration = Duration::from_millis(400);
/// Time on a worker before its pace is trusted for moving an item away.
const MOVE_AFTER: Duration = Duration::from_millis(500);

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn finished(&mut self, key: Handle<Run>, item: usize, attempt: u64, finish: Finish) {
        let now = self.shared.now();
        let config = self.shared.config();
        if self.successor_ended(key, item, attempt, &finish, now) {
            return;
        }
        let Some(run) = self.runs.get_mut(key) else { return };
        let Phase::Running(running) = &mut run.slots[item].phase else { return };
        if running.attempt != attempt {
            return;
        }
        let successor = running.successor.take();
        let (worker, tokens, since) = (running.worker, running.tokens, running.since);
        let entry = &run.submission.items[item];
        let route = config.as_ref().and_then(|config| config.route(&run.meta.host, &entry.path));
        let max_attempts = route.map_or(1, |route| route.max_attempts);
        let name = {
            let fleet = self.shared.fleet();
            fleet.get(worker).map(|worker| worker.entry.id.clone()).unwrap_or_default()
        };
        let mut line = Line::new("item_run_ended")
            .with("item", &entry.id)
            .with("batch", &run.batch)
            .with("worker", name)
            .with("took_ms", now.since(since).as_millis());
        let slot = &mut run.slots[item];
        {
            let progress = slot.output.lock();
            line = line.with("events", progress.partial.events);
        }
        self.shared.fleet().finished(worker, tokens, end(&finish), now, rand::rng().random());
        let took = now.since(since).as_secs_f64();
        self.shared.metrics.item(finish.name(), took);
        slot.phase = Phase::Waiting(now);
        slot.avoid = (finish != Finish::Done).then_some(worker);
        match finish {
            Finish::Done => {
                line.with("outcome", "done").info();
                run.end_item(item, Outcome::Completed, now);
            }
            Finish::Invalid => {
                line.with("outcome", "invalid").warn();
                run.end_item(item, Outcome::Dead, now);
            }
            Finish::Failed => {
                slot.failures += 1;
                let failures = slot.failures;
                line.with("outcome", "failed").with("failures", failures).warn();
                if failures >= max_attempts {
                    run.end_item(item, Outcome::Dead, now);
                } else {
                    slot.phase = Phase::Waiting(now.after(ITEM_RETRY));
                }
            }
            Finish::Refused(_) => line.with("outcome", "refused").info(),
            Finish::Stale => {
                line.with("outcome", "stale").warn();
                // Text of several versions cannot go on where one version is asked for.
                if route.is_some_and(|route| route.single_version) {
                    slot.output = Default::default();
                }
                slot.phase = Phase::Waiting(now.after(ITEM_RETRY));
            }
            Finish::Broken(reason) => {
                line.with("outcome", "broken").with("reason", reason).warn();
                slot.phase = Phase::Waiting(now.after(ITEM_RETRY));
            }
        }
        let Some(successor) = successor else { return };
        let slot = &mut run.slots[item];
        if matches!(slot.phase, Phase::Waiting(_)) && slot.output.lock().partial.events > 0 {
            // It was asked to go on from just this output.
            slot.phase = Phase::Running(*successor);
        } else {
            successor.stop(&mut self.shared.fleet(), now);
        }
    }

    /// Goes on with the item where it was if a successor was not admitted; returns whether `attempt`
    /// is a successor.
    fn successor_ended(
        &mut self,
        key: Handle<Run>,
        item: usize,
        attempt: u64,
        finish: &Finish,
        now: Instant,
    ) -> bool {
        let Some(run) = self.runs.get_mut(key) else { return false };
        let slot = &mut run.slots[item];
        let Phase::Running(running) = &mut slot.phase else { return false };
        let ended = running.successor.take_if(|successor| successor.attempt == attempt);
        let Some(successor) = ended else { return false };
        if matches!(finish, Finish::Failed | Finish::Invalid) {
            // What a worker states of the item counts wherever else it runs.
            running.stop(&mut self.shared.fleet(), now);
            slot.phase = Phase::Running(*successor);
            return false;
        }
        // Its time is too short to tell a busy worker from a silent one.
        let end = match finish {
            Finish::Broken(_) => End::Refused { pause: MOVE_RETRY },
            finish => end(finish),
        };
        running.hold.send_replace(false);
        slot.avoid = Some(successor.worker);
        let mut fleet = self.shared.fleet();
        fleet.finished(successor.worker, successor.tokens, end, now, 0.0);
        let worker = fleet.get(successor.worker).map_or("", |worker| worker.entry.id.as_str());
        Line::new("item_not_moved")
            .with("item", &run.submission.items[item].id)
            .with("batch", &run.batch)
            .with("to", worker)
            .with("outcome", finish.name())
            .with("took_ms", now.since(successor.since).as_millis())
            .info();
        true
    }

    /// Lets a successor take over that its worker has accepted.
    pub(super) fn admitted(&mut self, key: Handle<Run>, item: usize, attempt: u64) {
        let now = self.shared.now();
        let Some(run) = self.runs.get_mut(key) else { return };
        let slot = &mut run.slots[item];
        let Phase::Running(running) = &mut slot.phase else { return };
        let admitted = running.successor.take_if(|successor| successor.attempt == attempt);
        let Some(successor) = admitted else { return };
        let mut fleet = self.shared.fleet();
        running.stop(&mut fleet, now);
        let name = |worker| fleet.get(worker).map_or("", |worker| worker.entry.id.as_str());
        Line::new("item_moved")
            .with("item", &run.submission.items[item].id)
            .with("batch", &run.batch)
            .with("from", name(running.worker))
            .with("to", name(successor.worker))
            .with("took_ms", now.since(successor.since).as_millis())
            .info();
        slot.avoid = Some(running.worker);
        slot.phase = Phase::Running(*successor);
    }

    pub(super) fn dispatch(&mut self, now: Instant) {
        if self.leaving || self.runs.is_empty() {
            return;
        }
        let Some(config) = self.shared.config() else { return };
        let keys: Vec<Handle<Run>> = self.runs.iter().map(|(key, _)| key).collect();
        let order = {
            let runs: Vec<&Run> = keys.iter().filter_map(|key| self.runs.get(*key)).collect();
            plan::order(&runs, now)
        };
        // Services without room are not asked again in this round.
        let mut full: Vec<(String, u64)> = Vec::new();
        for (index, item) in order {
            self.place(keys[index], item, &config, &mut full, now);
        }
    }

    pub(super) fn place(
        &mut self,
        key: Handle<Run>,
        item: usize,
        config: &Config,
        full: &mut Vec<(String, u64)>,
        now: Instant,
    ) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let path = &run.submission.items[item].path;
        let Some(route) = config.route(&run.meta.host, path) else {
            Line::new("item_given_up")
                .with("item", &run.submission.items[item].id)
                .with("batch", &run.batch)
                .with("reason", "route removed")
                .with("config", config.version)
                .warn();
            return run.end_item(item, Outcome::Dead, now);
        };
        let Some(service) = route.service(&mut rand::rng()) else { return };
        let min_version = run.submission.min_version;
        if full.iter().any(|(name, version)| name == service && *version == min_version) {
            return;
        }
        let engine = engine(config, service);
        run.stride = engine.stride;
        let zone = &self.shared.identity.zone;
        let placement = {
            let fleet = self.shared.fleet();
            plan::place(run, item, service, zone, &engine, &fleet, now)
        };
        match placement {
            Some(placement) => self.start(key, &placement, route, now),
            None => full.push((service.to_owned(), min_version)),
        }
    }

    fn start(
        &mut self,
        key: Handle<Run>,
        placement: &plan::Placement,
        route: &Route,
        now: Instant,
    ) {
        let Some(running) = self.launch(key, placement, route, HEAD_TIMEOUT, now) else { return };
        let Some(run) = self.runs.get_mut(key) else { return };
        let group = run.submission.items[placement.item].group;
        run.prompts[group as usize] = Some(placement.worker);
        run.slots[placement.item].phase = Phase::Running(running);
    }

    /// Sends an item to a worker.
    fn launch(
        &mut self,
        key: Handle<Run>,
        placement: &plan::Placement,
        route: &Route,
        head_timeout: Duration,
        now: Instant,
    ) -> Option<Running> {
        let run = self.runs.get_mut(key)?;
        let item = placement.item;
        let entry = &run.submission.items[item];
        let worker = {
            let mut fleet = self.shared.fleet();
            let worker = fleet.get(placement.worker)?.entry.clone();
            fleet.sent(placement.worker, placement.tokens, now);
            worker
        };
        let slot = &mut run.slots[item];
        let (hold, held) = watch::channel(false);
        let attempt = Attempt {
            worker: placement.worker,
            address: worker.address,
            instance: worker.id.clone(),
            model: run.submission.model.clone(),
            id: entry.id.clone(),
            host: run.meta.host.clone(),
            path: entry.path.clone(),
            headers: entry.headers.clone(),
            body: Bytes::copy_from_slice(&entry.body),
            priority: placement.priority,
            min_version: run.submission.min_version,
            single_version: route.single_version,
            output: slot.output.clone(),
            head_timeout,
            hold: held,
        };
        Line::new("item_sent")
            .with("item", &entry.id)
            .with("batch", &run.batch)
            .with("worker", &worker.id)
            .with("run", slot.runs)
            .with("from_event", slot.output.lock().partial.events)
            .with("expected_tokens", entry.expected_tokens)
            .with("wanted", run.wanted[entry.group as usize])
            .with("age_ms", now.since(run.accepted).as_millis())
            .info();
        self.attempts += 1;
        slot.runs += 1;
        let number = self.attempts;
        let (shared, commands) = (self.shared.clone(), self.commands.clone());
        let task = tokio::spawn(async move {
            // The task that reads the commands lives as long as the process.
            let admitted = || {
                let _ = commands.send(Command::Admitted { run: key, item, attempt: number });
            };
            let finish = attempt.run::<D>(&shared, admitted).await;
            let _ = commands.send(Command::Finished { run: key, item, attempt: number, finish });
        });
        Some(Running {
            attempt: number,
            worker: placement.worker,
            tokens: placement.tokens,
            since: now,
            abort: task.abort_handle(),
            hold,
            successor: None,
        })
    }

    /// Gives up items that have waited for longer than their route allows.
    pub(super) fn give_up(&mut self, now: Instant) {
        let Some(config) = self.shared.config() else { return };
        let mut fleet = self.shared.fleet();
        for (_, run) in self.runs.iter_mut() {
            for item in 0..run.slots.len() {
                let path = &run.submission.items[item].path;
                let Some(route) = config.route(&run.meta.host, path) else { continue };
                if now.since(run.accepted) < route.max_queue {
                    break;
                }
                match &run.slots[item].phase {
                    Phase::Ended => continue,
                    Phase::Waiting(_) => {}
                    Phase::Running(running) => running.stop(&mut fleet, now),
                }
                Line::new("item_given_up")
                    .with("item", &run.submission.items[item].id)
                    .with("batch", &run.batch)
                    .with("reason", "queued too long")
                    .with("age_ms", now.since(run.accepted).as_millis())
                    .warn();
                run.end_item(item, Outcome::Dead, now);
            }
        }
    }

    /// Moves items to other workers where that saves time, those that gain most first.
    pub(super) fn move_slow(&mut self, now: Instant) {
        let Some(config) = self.shared.config() else { return };
        let mut moves: Vec<(f64, Handle<Run>, usize)> = Vec::new();
        for (key, run) in self.runs.iter() {
            for item in 0..run.slots.len() {
                if let Some((_, gain_ms)) = self.relocation(run, item, &config, now) {
                    moves.push((gain_ms, key, item));
                }
            }
        }
        moves.sort_by(|(one, ..), (other, ..)| other.total_cmp(one));
        for (_, key, item) in moves {
            self.relocate(key, item, &config, now);
        }
    }

    fn relocation(
        &self,
        run: &Run,
        item: usize,
        config: &Config,
        now: Instant,
    ) -> Option<(plan::Placement, f64)> {
        let Phase::Running(running) = &run.slots[item].phase else { return None };
        if now.since(running.since) < MOVE_AFTER || running.successor.is_some() {
            return None;
        }
        let fleet = self.shared.fleet();
        let engine = engine(config, &fleet.get(running.worker)?.entry.service);
        let zone = &self.shared.identity.zone;
        plan::relocate(run, item, running.worker, zone, &engine, &fleet, now)
    }

    /// Moves an item, if it still gains under the load that earlier moves have left.
    fn relocate(&mut self, key: Handle<Run>, item: usize, config: &Config, now: Instant) {
        let Some(run) = self.runs.get(key) else { return };
        let Some((to, gain_ms)) = self.relocation(run, item, config, now) else { return };
        let entry = &run.submission.items[item];
        let Some(route) = config.route(&run.meta.host, &entry.path) else { return };
        let Phase::Running(running) = &run.slots[item].phase else { return };
        {
            let fleet = self.shared.fleet();
            let name = |worker| fleet.get(worker).map_or("", |worker| worker.entry.id.as_str());
            Line::new("item_moving")
                .with("item", &entry.id)
                .with("batch", &run.batch)
                .with("from", name(running.worker))
                .with("to", name(to.worker))
                .with("pace_ms", format!("{:.1}", fleet.expected_pace(running.worker, 0, now)))
                .with("gain_ms", format!("{gain_ms:.0}"))
                .info();
        }
        // The successor is asked to go on from the output as it is now.
        running.hold.send_replace(true);
        let successor = self.launch(key, &to, route, SUCCESSOR_TIMEOUT, now);
        let Some(run) = self.runs.get_mut(key) else { return };
        let Phase::Running(running) = &mut run.slots[item].phase else { return };
        if successor.is_none() {
            running.hold.send_replace(false);
        }
        running.successor = successor.map(Box::new);
    }
}

/// What the end of a run says of its worker.
fn end(finish: &Finish) -> End {
    match finish {
        Finish::Done => End::Success,
        Finish::Refused(pause) => End::Refused { pause: *pause },
        Finish::Broken(_) => End::Failure,
        Finish::Failed | Finish::Invalid | Finish::Stale => End::Abandoned,
    }
}
