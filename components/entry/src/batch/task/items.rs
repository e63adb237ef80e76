//! Items: sent to workers, moved between them, given up.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key as Handle;
use filbertsail_ports::store::Store;
use filbertsail_telemetry::event::Line;
use rand::RngExt;

use super::{Command, Task, engine};
use crate::{
    batch::{
        Outcome,
        attempt::{Attempt, Finish},
        plan,
        run::{Phase, Run, Running},
    },
    config::{Config, Route},
    dialect::Dialect,
    fleet::End,
};

/// Pause before an item runs again after a failure.
const ITEM_RETRY: Duration = Duration::from_millis(100);
/// Time that moving an item must save, in milliseconds: it reads its prompt and output again.
const MOVE_GAIN_MS: f64 = 250.0;
/// Time on a worker before its pace is trusted for moving an item away.
const MOVE_AFTER: Duration = Duration::from_millis(500);

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn finished(&mut self, key: Handle<Run>, item: usize, attempt: u64, finish: Finish) {
        let now = self.shared.now();
        let config = self.shared.config();
        let Some(run) = self.runs.get_mut(key) else { return };
        let Phase::Running(running) = &run.slots[item].phase else { return };
        if running.attempt != attempt {
            return;
        }
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
        let end = match &finish {
            Finish::Done => End::Success,
            Finish::Refused(pause) => End::Refused { pause: *pause },
            Finish::Broken(_) => End::Failure,
            Finish::Failed | Finish::Invalid | Finish::Stale => End::Abandoned,
        };
        self.shared.fleet().finished(worker, tokens, end, now, rand::rng().random());
        let took = now.since(since).as_secs_f64();
        self.shared.metrics.item(finish.name(), took);
        slot.phase = Phase::Waiting(now);
        slot.avoid = (finish != Finish::Done).then_some(worker);
        match finish {
            Finish::Done => {
                line.with("outcome", "done").info();
                run.end_item(item, Outcome::Completed);
            }
            Finish::Invalid => {
                line.with("outcome", "invalid").warn();
                run.end_item(item, Outcome::Dead);
            }
            Finish::Failed => {
                slot.failures += 1;
                let failures = slot.failures;
                line.with("outcome", "failed").with("failures", failures).warn();
                if failures >= max_attempts {
                    run.end_item(item, Outcome::Dead);
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
            return run.end_item(item, Outcome::Dead);
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

    pub(super) fn start(
        &mut self,
        key: Handle<Run>,
        placement: &plan::Placement,
        route: &Route,
        now: Instant,
    ) {
        let Some(run) = self.runs.get_mut(key) else { return };
        let item = placement.item;
        let entry = &run.submission.items[item];
        let worker = {
            let mut fleet = self.shared.fleet();
            let Some(worker) = fleet.get(placement.worker).map(|worker| worker.entry.clone())
            else {
                return;
            };
            fleet.sent(placement.worker, placement.tokens, now);
            worker
        };
        let slot = &mut run.slots[item];
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
        run.prompts[entry.group as usize] = Some(placement.worker);
        self.attempts += 1;
        slot.runs += 1;
        let number = self.attempts;
        let (shared, commands) = (self.shared.clone(), self.commands.clone());
        let task = tokio::spawn(async move {
            let finish = attempt.run::<D>(&shared).await;
            // The task lives as long as the process.
            let _ = commands.send(Command::Finished { run: key, item, attempt: number, finish });
        });
        slot.phase = Phase::Running(Running {
            attempt: number,
            worker: placement.worker,
            tokens: placement.tokens,
            since: now,
            abort: task.abort_handle(),
        });
    }

    /// Gives up items that have waited for longer than their route allows.
    pub(super) fn give_up(&mut self, now: Instant) {
        let Some(config) = self.shared.config() else { return };
        let mut aborted = Vec::new();
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
                    Phase::Running(running) => {
                        running.abort.abort();
                        aborted.push((running.worker, running.tokens));
                    }
                }
                Line::new("item_given_up")
                    .with("item", &run.submission.items[item].id)
                    .with("batch", &run.batch)
                    .with("reason", "queued too long")
                    .with("age_ms", now.since(run.accepted).as_millis())
                    .warn();
                run.end_item(item, Outcome::Dead);
            }
        }
        for (worker, tokens) in aborted {
            self.shared.fleet().finished(worker, tokens, End::Abandoned, now, 0.0);
        }
    }

    /// Moves items to workers that are faster and have room, where that saves time.
    pub(super) fn move_slow(&mut self, now: Instant) {
        let Some(config) = self.shared.config() else { return };
        let zone = &self.shared.identity.zone;
        let fleet = self.shared.fleet();
        let mut freed = Vec::new();
        for (_, run) in self.runs.iter_mut() {
            for item in 0..run.slots.len() {
                let Phase::Running(running) = &run.slots[item].phase else { continue };
                if now.since(running.since) < MOVE_AFTER || !fleet.is_slower(running.worker) {
                    continue;
                }
                let Some(worker) = fleet.get(running.worker) else { continue };
                let usual = fleet.usual_pace(&worker.entry.service);
                let events = plan::remaining(run, item) as f64 / run.stride.max(1) as f64;
                let gain = events * (worker.pace_ms - usual);
                if gain < MOVE_GAIN_MS {
                    continue;
                }
                let (service, from) = (worker.entry.service.clone(), running.worker);
                let engine = engine(&config, &service);
                let to = plan::place(run, item, &service, zone, &engine, &fleet, now);
                let is_faster =
                    |to: plan::Placement| to.worker != from && !fleet.is_slower(to.worker);
                if !to.is_some_and(is_faster) {
                    continue;
                }
                running.abort.abort();
                Line::new("item_moved")
                    .with("item", &run.submission.items[item].id)
                    .with("batch", &run.batch)
                    .with("worker", &worker.entry.id)
                    .with("pace_ms", format!("{:.0}", worker.pace_ms))
                    .with("usual_ms", format!("{usual:.0}"))
                    .info();
                freed.push((running.worker, running.tokens));
                run.slots[item].avoid = Some(running.worker);
                run.slots[item].phase = Phase::Waiting(now);
            }
        }
        drop(fleet);
        for (worker, tokens) in freed {
            self.shared.fleet().finished(worker, tokens, End::Abandoned, now, 0.0);
        }
    }
}
