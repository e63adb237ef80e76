//! Task that owns the batches of this VM.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_collections::{
    HashMap,
    arena::{Arena, Key as Handle},
};
use filbertsail_ports::store::{
    Commit, Fault, Key, MAX_ENTRIES, MAX_VALUE_BYTES, Row, Store, Transaction,
};
use filbertsail_telemetry::event::Line;
use rand::RngExt;
use tokio::{
    sync::{mpsc, oneshot},
    time::{sleep, timeout},
};

use super::{
    Meta, Outcome, Owner, Partial,
    attempt::{Attempt, Finish},
    board::Boards,
    plan, rows,
    run::{Phase, Run, Running, Storing},
    takeover::{self, Adoption, RENEW_INTERVAL, Register, Renewal},
};
use crate::{
    config::{Config, Engine, Route},
    dialect::Dialect,
    fleet::End,
    follow::{self, News},
    shared::{Shared, millis},
};

/// Time for which finished items wait for others to share a transaction.
const STORE_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two looks at slow runs and lost owners.
const TICK: Duration = Duration::from_millis(250);
/// Pause before a store call is repeated.
const STORE_RETRY: Duration = Duration::from_millis(150);
/// Most results in one transaction.
const MAX_RESULTS: usize = 60;
/// Most bytes of results in one transaction.
const MAX_RESULT_BYTES: usize = 600 * 1024;
/// Events after which the output of an unfinished item is stored again: about a second of work.
const SAVE_EVENTS: u32 = 25;
/// Pause before an item runs again after a failure.
const ITEM_RETRY: Duration = Duration::from_millis(100);
/// Time that moving an item must save, in milliseconds: it reads its prompt and output again.
const MOVE_GAIN_MS: f64 = 250.0;
/// Time on a worker before its pace is trusted for moving an item away.
const MOVE_AFTER: Duration = Duration::from_millis(500);
/// Time kept beyond the retention before rows are deleted.
const RETENTION_SLACK: Duration = Duration::from_secs(30);

/// Message to the task.
#[derive(Debug)]
pub enum Command {
    /// A batch is owned by this VM.
    Adopt(Box<Adoption>),
    /// A claim failed.
    Unclaimed(String),
    /// The caller has ended a batch.
    End(String),
    /// A run of an item ended.
    Finished {
        /// Batch.
        run: Handle<Run>,
        /// Item.
        item: usize,
        /// Attempt.
        attempt: u64,
        /// How it ended.
        finish: Finish,
    },
    /// A transaction with results ended.
    Stored {
        /// Batch.
        run: Handle<Run>,
        /// Result of the transaction.
        result: Result<Commit, Fault>,
    },
    /// Owners' rows changed.
    News(News),
    /// Unfinished outputs were stored, or not.
    Saved {
        /// Batch.
        run: Handle<Run>,
        /// Items with the events that were stored.
        items: Vec<(usize, u32)>,
    },
    /// Hands all batches over to other VMs.
    HandOver(oneshot::Sender<()>),
}

/// Task of one daemon.
pub struct Task<D, S> {
    shared: Shared,
    store: S,
    boards: Boards,
    me: Owner,
    commands: mpsc::UnboundedSender<Command>,
    runs: Arena<Run>,
    names: HashMap<String, Handle<Run>>,
    register: Register,
    attempts: u64,
    renewed: Option<Instant>,
    ticked: Instant,
    cleaned: Instant,
    leaving: bool,
    dialect: std::marker::PhantomData<D>,
}

/// Starts the task; returns the way to it.
pub fn start<D: Dialect, S: Store>(
    shared: Shared,
    store: S,
    boards: Boards,
) -> mpsc::UnboundedSender<Command> {
    let (commands, receiver) = mpsc::unbounded_channel();
    let identity = &shared.identity;
    let me = Owner { vm: identity.vm.clone(), incarnation: identity.incarnation };
    let task = Task::<D, S> {
        shared: shared.clone(),
        store: store.clone(),
        boards,
        register: Register::new(me.clone()),
        me,
        commands: commands.clone(),
        runs: Arena::default(),
        names: HashMap::default(),
        attempts: 0,
        renewed: None,
        ticked: Instant::default(),
        cleaned: Instant::default(),
        leaving: false,
        dialect: std::marker::PhantomData,
    };
    tokio::spawn(task.run(receiver));
    let sender = commands.clone();
    tokio::spawn(async move {
        let table = follow::Table {
            name: rows::BATCHES,
            parts: rows::parts(),
            watches_link: false,
            pause: Duration::from_millis(20),
            wait: follow::WAIT,
        };
        // The task lives as long as the process.
        follow::follow(shared, store, table, move |news| {
            let _ = sender.send(Command::News(news));
        })
        .await;
    });
    commands
}

impl<D: Dialect, S: Store> Task<D, S> {
    async fn run(mut self, mut commands: mpsc::UnboundedReceiver<Command>) {
        let mut fleet_changed = self.shared.fleet_changed.subscribe();
        let mut config_changed = self.shared.config.subscribe();
        loop {
            let pause = if self.runs.is_empty() { TICK } else { STORE_INTERVAL };
            tokio::select! {
                command = commands.recv() => {
                    let Some(command) = command else { return };
                    self.handle(command);
                    while let Ok(command) = commands.try_recv() {
                        self.handle(command);
                    }
                }
                _ = fleet_changed.changed() => {}
                _ = config_changed.changed() => {}
                () = sleep(pause) => self.store_all(),
            }
            let now = self.shared.now();
            if now.since(self.ticked) >= TICK {
                self.ticked = now;
                self.tick(now);
            }
            self.dispatch(now);
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Adopt(adoption) => self.adopt(*adoption),
            Command::Unclaimed(batch) => self.register.unclaimed(&batch),
            Command::End(batch) => self.end(&batch),
            Command::Finished { run, item, attempt, finish } => {
                self.finished(run, item, attempt, finish);
            }
            Command::Stored { run, result } => self.stored(run, result),
            Command::Saved { run, items } => self.saved(run, &items),
            Command::News(news) => self.news(news),
            Command::HandOver(done) => self.hand_over(done),
        }
    }

    // Batches that come and go.

    fn adopt(&mut self, adoption: Adoption) {
        let now = self.shared.now();
        let Adoption { batch, meta, version, submission, listed, partials } = adoption;
        if self.names.contains_key(&batch) {
            return;
        }
        self.register.note(&batch, meta.clone(), version, now);
        if self.leaving || meta.ended {
            return self.register.unclaimed(&batch);
        }
        let accepted = self.shared.link.borrow().local(meta.accepted_ms, now);
        Line::new("batch_owned")
            .with("batch", &batch)
            .with("step", submission.step)
            .with("model", &submission.model)
            .with("min_version", submission.min_version)
            .with("epoch", meta.epoch)
            .with("row_version", version)
            .with("items", submission.items.len())
            .with("groups", submission.groups.len())
            .with("wanted", submission.wanted)
            .with("listed", listed.len())
            .with("partials", partials.len())
            .with("age_ms", now.since(accepted).as_millis())
            .info();
        self.boards.set_meta(&batch, Some(meta.clone()));
        let mut run = Run::new(meta, version, submission, accepted, listed, partials);
        run.want_groups(|group| self.register.is_carried(&batch, rows::hash32(group)));
        self.boards.insert(&batch, Arc::clone(&run.board));
        let key = self.runs.insert(run);
        self.names.insert(batch, key);
        self.renew(now);
    }

    fn end(&mut self, batch: &str) {
        let Some(key) = self.names.get(batch).copied() else { return };
        if let Some(run) = self.runs.get(key) {
            Line::new("batch_ended")
                .with("batch", batch)
                .with("listed", run.stored)
                .with("open_items", run.open_items())
                .info();
        }
        self.drop_run(batch);
    }

    /// Stops to run a batch; readers are served from the store.
    fn drop_run(&mut self, batch: &str) {
        let Some(key) = self.names.remove(batch) else { return };
        self.boards.remove(batch);
        self.register.unclaimed(batch);
        let Some(mut run) = self.runs.remove(key) else { return };
        self.abort_all(&mut run);
    }

    fn abort_all(&self, run: &mut Run) {
        let now = self.shared.now();
        for slot in &mut run.slots {
            if let Phase::Running(running) = &slot.phase {
                running.abort.abort();
                let (worker, tokens) = (running.worker, running.tokens);
                self.shared.fleet().finished(worker, tokens, End::Abandoned, now, 0.0);
                slot.phase = Phase::Waiting(now);
            }
        }
    }

    fn news(&mut self, news: News) {
        let now = self.shared.now();
        let (News::Snapshot(rows) | News::Changes(rows)) = news;
        for row in rows {
            if row.part == rows::VM_PART {
                self.vm_row(&row, now);
            } else {
                self.batch_row(&row, now);
            }
        }
        if self.register.must_announce() && !self.leaving {
            self.renew(now);
        }
    }

    fn vm_row(&mut self, row: &Row, now: Instant) {
        let Some(value) = &row.value else { return };
        let renewal: Renewal = match rows::decode(value) {
            Ok(renewal) => renewal,
            Err(error) => {
                Line::new("row_corrupt").with("vm", &row.key).with("reason", error).error();
                return;
            }
        };
        self.register.renewed(&row.key, renewal.incarnation, now);
        if row.key != self.me.vm {
            self.shared.fleet().heard(rows::hash32(&row.key), &renewal.workers, now);
        }
    }

    fn batch_row(&mut self, row: &Row, now: Instant) {
        let batch = row.key.as_str();
        let Some(value) = &row.value else {
            self.register.forget(batch);
            self.boards.set_meta(batch, None);
            return;
        };
        let meta: Meta = match rows::decode(value) {
            Ok(meta) => meta,
            Err(error) => {
                Line::new("row_corrupt").with("batch", batch).with("reason", error).error();
                return;
            }
        };
        if !self.register.note(batch, meta.clone(), row.version, now) {
            return;
        }
        if let Some(lag) = meta.lag.filter(|_| !meta.ended) {
            self.shared.lags.send_modify(|lags| {
                lags.insert(meta.model.clone(), lag);
            });
        }
        self.boards.set_meta(batch, Some(meta.clone()));
        if let Some(key) = self.names.get(batch).copied() {
            self.owned_row(batch, key, meta, row.version);
        }
    }

    /// The owner's row of a batch that runs here has changed.
    fn owned_row(&mut self, batch: &str, key: Handle<Run>, meta: Meta, version: u64) {
        if meta.owner.as_ref() != Some(&self.me) {
            Line::new("batch_lost")
                .with("batch", batch)
                .with("epoch", meta.epoch)
                .with("row_version", version)
                .warn();
            return self.drop_run(batch);
        }
        if meta.ended {
            return self.end(batch);
        }
        if let Some(run) = self.runs.get_mut(key)
            && version > run.version
        {
            (run.meta, run.version) = (meta, version);
        }
    }

    // Items.

    fn finished(&mut self, key: Handle<Run>, item: usize, attempt: u64, finish: Finish) {
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

    fn dispatch(&mut self, now: Instant) {
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

    fn place(
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

    fn start(
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

    // Results.

    fn store_all(&mut self) {
        let keys: Vec<Handle<Run>> = self.runs.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.store_results(key);
        }
    }

    fn store_results(&mut self, key: Handle<Run>) {
        let Some(run) = self.runs.get_mut(key) else { return };
        if run.storing.is_some() || run.finished.is_empty() {
            return;
        }
        run.storing = Some(next_results(run));
        self.send_results(key, Duration::ZERO);
    }

    /// Sends the results being stored, after a pause.
    fn send_results(&mut self, key: Handle<Run>, pause: Duration) {
        let Some((batch, run)) = self.named(key) else { return };
        let Some(transaction) = transaction(&batch, run) else { return };
        let (store, commands) = (self.store.clone(), self.commands.clone());
        tokio::spawn(async move {
            sleep(pause).await;
            let result = store.transact(transaction).await;
            // The task lives as long as the process.
            let _ = commands.send(Command::Stored { run: key, result });
        });
    }

    fn named(&self, key: Handle<Run>) -> Option<(String, &Run)> {
        let (batch, _) = self.names.iter().find(|(_, other)| **other == key)?;
        Some((batch.clone(), self.runs.get(key)?))
    }

    fn stored(&mut self, key: Handle<Run>, result: Result<Commit, Fault>) {
        let Some((batch, run)) = self.named(key) else { return };
        let Some(storing) = run.storing.clone() else { return };
        match result {
            Ok(commit) => self.listed(key, &batch, storing, Some(commit.version)),
            Err(Fault::Conflict(present)) => self.conflict(key, &batch, storing, &present),
            Err(fault) => {
                Line::new("results_delayed")
                    .with("batch", &batch)
                    .with("first", storing.first)
                    .with("reason", fault)
                    .warn();
                self.send_results(key, STORE_RETRY);
            }
        }
    }

    fn conflict(&mut self, key: Handle<Run>, batch: &str, storing: Storing, present: &[Row]) {
        let row = present.iter().find(|row| row.key == batch);
        let meta = row.and_then(|row| rows::decode::<Meta>(row.value.as_deref()?).ok());
        let (Some(row), Some(meta)) = (row, meta) else {
            Line::new("batch_lost").with("batch", batch).with("reason", "row deleted").warn();
            return self.drop_run(batch);
        };
        let now = self.shared.now();
        self.register.note(batch, meta.clone(), row.version, now);
        self.boards.set_meta(batch, Some(meta.clone()));
        // An earlier transaction with the same results was committed, and its answer was lost.
        let position = rows::result(batch, storing.first, 0).key;
        let committed = present.iter().any(|row| row.key == position && row.version > 0);
        let mine = meta.owner.as_ref() == Some(&self.me);
        if let Some(run) = self.runs.get_mut(key).filter(|_| mine) {
            (run.meta, run.version) = (meta.clone(), row.version);
        }
        if mine && committed {
            self.listed(key, batch, storing, None);
        } else if mine && !meta.ended {
            return self.send_results(key, Duration::ZERO);
        }
        self.owned_row(batch, key, meta, row.version);
    }

    /// Results lie in the store, so readers may see them.
    fn listed(&mut self, key: Handle<Run>, batch: &str, storing: Storing, commit: Option<u64>) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.storing = None;
        run.stored += storing.results.len();
        run.board.push(storing.results);
        if !run.is_listed() {
            return self.store_results(key);
        }
        run.meta.complete = true;
        let meta = run.meta.clone();
        if let Some(version) = commit {
            run.version = version;
            self.register.note(batch, meta.clone(), version, self.shared.now());
        }
        self.boards.set_meta(batch, Some(meta));
        Line::new("batch_complete").with("batch", batch).with("listed", storing.first).info();
        // The board stays until the caller ends the batch, so that reads need no call to the store.
    }

    // Regular work.

    fn tick(&mut self, now: Instant) {
        if self.leaving {
            return;
        }
        if !self.runs.is_empty() && self.renewed.is_none_or(|at| now.since(at) >= RENEW_INTERVAL) {
            self.renew(now);
        }
        self.give_up(now);
        self.move_slow(now);
        self.save_outputs();
        self.drop_complete(now);
        self.claim(now);
        self.clean(now);
    }

    fn renew(&mut self, now: Instant) {
        self.renewed = Some(now);
        let renewal = Renewal {
            incarnation: self.me.incarnation,
            number: now.as_micros(),
            workers: self.shared.fleet().sights(),
        };
        let value = rows::encode(&renewal);
        let transaction =
            Transaction { writes: vec![(rows::vm(&self.me.vm), value)], ..Transaction::default() };
        let store = self.store.clone();
        tokio::spawn(async move {
            if let Err(fault) = store.transact(transaction).await {
                Line::new("renewal_failed").with("reason", fault).warn();
            }
        });
    }

    /// Gives up items that have waited for longer than their route allows.
    fn give_up(&mut self, now: Instant) {
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
    fn move_slow(&mut self, now: Instant) {
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
                let is_faster = |to: plan::Placement| to.worker != from && !fleet.is_slower(to.worker);
                if !to.is_some_and(is_faster) {
                    continue;
                }
                running.abort.abort();
                Line::new("item_moved")
                    .with("item", &run.submission.items[item].id)
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

    /// Stores the outputs of long items now and then, so that another owner goes on from there.
    fn save_outputs(&mut self) {
        if self.shared.link.borrow().lost.is_some() {
            return;
        }
        let keys: Vec<Handle<Run>> = self.runs.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some((batch, run)) = self.named(key) else { continue };
            if run.saving {
                continue;
            }
            let (items, writes) = unsaved(&batch, run);
            if items.is_empty() {
                continue;
            }
            let checks = vec![(rows::meta(&batch), run.version)];
            let transaction = Transaction { checks, writes, deletes: Vec::new() };
            if let Some(run) = self.runs.get_mut(key) {
                run.saving = true;
            }
            let (store, commands) = (self.store.clone(), self.commands.clone());
            tokio::spawn(async move {
                let items = match store.transact(transaction).await {
                    Ok(_) => items,
                    Err(fault) => {
                        Line::new("outputs_not_saved")
                            .with("batch", &batch)
                            .with("reason", fault)
                            .info();
                        Vec::new()
                    }
                };
                // The task lives as long as the process.
                let _ = commands.send(Command::Saved { run: key, items });
            });
        }
    }

    fn saved(&mut self, key: Handle<Run>, items: &[(usize, u32)]) {
        let Some(run) = self.runs.get_mut(key) else { return };
        run.saving = false;
        for &(item, events) in items {
            run.slots[item].saved = events;
        }
    }

    /// Frees the memory of batches that are complete and whose caller does not come back.
    fn drop_complete(&mut self, now: Instant) {
        let retention = self.shared.times.retention;
        let old: Vec<String> = self
            .names
            .iter()
            .filter(|(_, key)| {
                self.runs.get(**key).is_some_and(|run| {
                    run.is_listed() && now.since(run.accepted) > retention
                })
            })
            .map(|(batch, _)| batch.clone())
            .collect();
        for batch in old {
            self.drop_run(&batch);
        }
    }

    fn claim(&mut self, now: Instant) {
        if !self.shared.is_ready() {
            return;
        }
        let link = *self.shared.link.borrow();
        let (None, Some(since), Some((_, answered))) = (link.lost, link.regained, link.clock) else {
            return;
        };
        let names = &self.names;
        let due = self.register.due((since, answered), now, |batch| names.contains_key(batch));
        for (batch, meta, version) in due {
            Line::new("batch_claimed")
                .with("batch", &batch)
                .with("row_version", version)
                .with("epoch", meta.epoch)
                .with("owner", meta.owner.as_ref().map_or("none", |owner| owner.vm.as_str()))
                .info();
            let (store, commands, me) = (self.store.clone(), self.commands.clone(), self.me.clone());
            tokio::spawn(async move {
                let claimed = takeover::claim(&store, &me, &batch, meta, version).await;
                // The task lives as long as the process.
                let _ = match claimed {
                    Ok(adoption) => commands.send(Command::Adopt(Box::new(adoption))),
                    Err(fault) => {
                        Line::new("claim_failed")
                            .with("batch", &batch)
                            .with("reason", fault)
                            .info();
                        sleep(STORE_RETRY).await;
                        commands.send(Command::Unclaimed(batch))
                    }
                };
            });
        }
    }

    /// Deletes the rows of batches that nobody may ask for any more.
    fn clean(&mut self, now: Instant) {
        const CLEAN_INTERVAL: Duration = Duration::from_secs(20);
        if now.since(self.cleaned) < CLEAN_INTERVAL {
            return;
        }
        self.cleaned = now;
        let retention = millis(self.shared.times.retention + RETENTION_SLACK);
        let store_ms = self.shared.link.borrow().store_ms(now);
        for (batch, meta, version) in self.register.outdated(store_ms, retention) {
            // The VM that last owned it deletes it; after as long again, any VM does.
            let old = store_ms > meta.accepted_ms + 2 * retention;
            let mine = meta.owner.as_ref().is_some_and(|owner| owner.vm == self.me.vm);
            if mine || old {
                let store = self.store.clone();
                tokio::spawn(async move { delete(&store, &batch, &meta, version).await });
            }
        }
    }

    // Stop.

    fn hand_over(&mut self, done: oneshot::Sender<()>) {
        self.leaving = true;
        let limit = self.shared.times.stop_limit / 2;
        let names: Vec<String> = self.names.keys().cloned().collect();
        let mut tasks = Vec::new();
        for batch in names {
            let Some(key) = self.names.remove(&batch) else { continue };
            self.boards.remove(&batch);
            let Some(mut run) = self.runs.remove(key) else { continue };
            self.abort_all(&mut run);
            let store = self.store.clone();
            tasks.push(tokio::spawn(async move {
                let handed = timeout(limit, hand_over(&store, &batch, run)).await;
                match handed {
                    Ok(Ok(())) => Line::new("batch_handed_over").with("batch", &batch).info(),
                    Ok(Err(fault)) => Line::new("handover_failed")
                        .with("batch", &batch)
                        .with("reason", fault)
                        .warn(),
                    Err(_) => Line::new("handover_failed")
                        .with("batch", &batch)
                        .with("reason", "no time left")
                        .warn(),
                }
            }));
        }
        tokio::spawn(async move {
            for task in tasks {
                // A panic in one handover leaves the others as they are.
                let _ = task.await;
            }
            let _ = done.send(());
        });
    }
}

/// Engine of a service; one without stated properties takes any number of items.
fn engine(config: &Config, service: &str) -> Engine {
    let engine = config.services.get(service).and_then(|service| service.engine.clone());
    engine.unwrap_or(Engine { slots: 1, kv_tokens: u64::MAX / 2, stride: 1, models: Vec::new() })
}

/// Outputs that have grown enough to be stored, as many as fit into one transaction.
fn unsaved(batch: &str, run: &Run) -> (Vec<(usize, u32)>, Vec<(Key, Bytes)>) {
    let (mut items, mut writes, mut bytes) = (Vec::new(), Vec::new(), 0);
    for (item, slot) in run.slots.iter().enumerate() {
        if matches!(slot.phase, Phase::Ended) {
            continue;
        }
        let progress = slot.output.lock();
        let partial = &progress.partial;
        let full = writes.len() >= MAX_RESULTS || bytes > MAX_RESULT_BYTES;
        if full || partial.events < slot.saved + SAVE_EVENTS {
            continue;
        }
        let id = run.submission.items[item].id.clone();
        let value = rows::encode(&Partial { id, ..partial.clone() });
        // A longer text does not fit into a row; its last shorter state stays.
        if value.len() <= MAX_VALUE_BYTES {
            bytes += value.len();
            items.push((item, partial.events));
            writes.push((rows::partial(batch, item), value));
        }
    }
    (items, writes)
}

/// Takes the next results that fit into one transaction.
fn next_results(run: &mut Run) -> Storing {
    let mut storing = Storing { first: run.stored, results: Vec::new() };
    let mut bytes = 0;
    while let Some(listed) = run.finished.front() {
        bytes += listed.text.len() + 128;
        let full = storing.results.len() >= MAX_RESULTS || bytes > MAX_RESULT_BYTES;
        if full && !storing.results.is_empty() {
            break;
        }
        storing.results.extend(run.finished.pop_front());
    }
    storing
}

/// Transaction that lists the results being stored, under the owner's row.
fn transaction(batch: &str, run: &Run) -> Option<Transaction> {
    let storing = run.storing.as_ref()?;
    let mut writes: Vec<(Key, Bytes)> = Vec::new();
    for (offset, listed) in storing.results.iter().enumerate() {
        writes.extend(rows::encode_result(batch, storing.first + offset, listed));
    }
    if storing.first + storing.results.len() == run.slots.len() {
        let meta = Meta { complete: true, ..run.meta.clone() };
        writes.push((rows::meta(batch), rows::encode(&meta)));
    }
    let checks =
        vec![(rows::meta(batch), run.version), (rows::result(batch, storing.first, 0), 0)];
    // A listed item needs its saved output no more.
    let saved = storing.results.iter().filter_map(|listed| run.index(&listed.id));
    let saved = saved.filter(|item| run.slots[*item].saved > 0);
    let room = MAX_ENTRIES.saturating_sub(checks.len() + writes.len());
    let deletes = saved.take(room).map(|item| rows::partial(batch, item)).collect();
    Some(Transaction { checks, writes, deletes })
}

/// Stores what is known of a batch and gives it up.
async fn hand_over<S: Store>(store: &S, batch: &str, mut run: Run) -> Result<(), Fault> {
    while run.storing.is_some() || !run.finished.is_empty() {
        if run.storing.is_none() {
            run.storing = Some(next_results(&mut run));
        }
        let Some(transaction) = transaction(batch, &run) else { break };
        match store.transact(transaction).await {
            Ok(commit) => {
                run.stored += run.storing.take().map_or(0, |storing| storing.results.len());
                if run.is_listed() {
                    (run.meta.complete, run.version) = (true, commit.version);
                }
            }
            Err(Fault::Conflict(present)) => {
                let position = rows::result(batch, run.stored, 0).key;
                let owner = present.iter().find(|row| row.key == batch);
                let same = owner.is_some_and(|row| row.version == run.version);
                let committed = present.iter().any(|row| row.key == position && row.version > 0);
                if !same || !committed {
                    return Err(Fault::Conflict(present));
                }
                run.stored += run.storing.take().map_or(0, |storing| storing.results.len());
            }
            Err(_) => sleep(STORE_RETRY).await,
        }
    }
    if run.is_listed() {
        return Ok(());
    }
    let mut pending: Vec<(Key, Bytes)> = Vec::new();
    let mut bytes = 0;
    for (item, slot) in run.slots.iter().enumerate() {
        let mut partial = std::mem::take(&mut slot.output.lock().partial);
        if matches!(slot.phase, Phase::Ended) || partial.events == 0 {
            continue;
        }
        partial.id.clone_from(&run.submission.items[item].id);
        let value = rows::encode(&partial);
        // A longer text does not fit into a row; its item starts anew.
        if value.len() > MAX_VALUE_BYTES {
            continue;
        }
        bytes += value.len();
        pending.push((rows::partial(batch, item), value));
        if pending.len() >= MAX_RESULTS || bytes > MAX_RESULT_BYTES {
            bytes = 0;
            write(store, batch, run.version, std::mem::take(&mut pending)).await?;
        }
    }
    let meta = Meta { owner: None, ..run.meta.clone() };
    pending.push((rows::meta(batch), rows::encode(&meta)));
    write(store, batch, run.version, pending).await
}

/// Writes rows under the owner's row, again while the store does not answer.
async fn write<S: Store>(
    store: &S,
    batch: &str,
    version: u64,
    writes: Vec<(Key, Bytes)>,
) -> Result<(), Fault> {
    let transaction =
        Transaction { checks: vec![(rows::meta(batch), version)], writes, deletes: Vec::new() };
    loop {
        match store.transact(transaction.clone()).await {
            Ok(_) => return Ok(()),
            Err(fault @ Fault::Conflict(_)) => return Err(fault),
            Err(_) => sleep(STORE_RETRY).await,
        }
    }
}

/// Deletes all rows of a batch, the owner's row last.
async fn delete<S: Store>(store: &S, batch: &str, meta: &Meta, version: u64) {
    let ranges = [
        (rows::BODIES, rows::bodies(batch, &meta.writer)),
        (rows::RESULTS, rows::results(batch, 0)),
        (rows::PARTIALS, rows::partials(batch)),
    ];
    let mut keys = Vec::new();
    for (table, range) in ranges {
        let Ok(found) = takeover::read(store, range).await else { return };
        keys.extend(found.into_iter().map(|row| Key { table, part: row.part, key: row.key }));
    }
    keys.push(rows::meta(batch));
    for part in keys.chunks(MAX_RESULTS) {
        let transaction = Transaction {
            checks: vec![(rows::meta(batch), version)],
            writes: Vec::new(),
            deletes: part.to_vec(),
        };
        if let Err(fault) = store.transact(transaction).await {
            // The next round deletes what is left.
            Line::new("cleaning_failed").with("batch", batch).with("reason", fault).info();
            return;
        }
    }
    Line::new("batch_deleted").with("batch", batch).info();
}
