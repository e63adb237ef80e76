//! Task that owns the batches of this VM.

mod handover;
mod items;
mod ownership;
mod results;

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::{
    HashMap,
    arena::{Arena, Key as Handle},
};
use filbertsail_ports::store::{Commit, Fault, Store};
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

use super::{
    Meta, Owner,
    attempt::Finish,
    board::Boards,
    rows,
    run::Run,
    takeover::{Adoption, Due, RENEW_INTERVAL, Register, Sights},
};
use crate::{
    config::{Config, Engine},
    dialect::Dialect,
    follow::{self, News},
    relay::Peers,
    shared::Shared,
};

/// Time between two looks for finished items that are to be listed.
const STORE_INTERVAL: Duration = Duration::from_millis(40);
/// Pause of the feed of owners' rows at a VM that runs batches: the next one must begin at once.
const OWNER_PAUSE: Duration = Duration::from_millis(20);
/// Pause of that feed elsewhere. Every owner renews its row more than once a second, and each news
/// costs every VM a call; an idle VM only takes over what has stood still for seconds.
const IDLE_PAUSE: Duration = Duration::from_millis(200);
/// Time between two looks at slow runs and lost owners.
const TICK: Duration = Duration::from_millis(250);
/// Pause before a store call is repeated.
const STORE_RETRY: Duration = Duration::from_millis(150);
/// Most results in one transaction.
const MAX_RESULTS: usize = 60;

/// Message to the task.
#[derive(Debug)]
pub enum Command {
    /// A batch is owned by this VM.
    Adopt(Box<Adoption>),
    /// A claim failed.
    Unclaimed(String),
    /// This VM has renewed its own row and may claim these batches of silent owners; none if the
    /// renewal failed.
    Proved(Vec<Due>),
    /// The caller has ended a batch.
    End {
        /// Batch.
        batch: String,
        /// Owner's row that says so.
        meta: Box<Meta>,
        /// Its version.
        version: u64,
    },
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
    /// A worker has accepted an item that runs elsewhere.
    Admitted {
        /// Batch.
        run: Handle<Run>,
        /// Item.
        item: usize,
        /// Attempt.
        attempt: u64,
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
    /// What other VMs know of the workers was read.
    Sights(Vec<(String, Sights)>),
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
    peers: Peers,
    me: Owner,
    failed_proofs: u32,
    commands: mpsc::UnboundedSender<Command>,
    runs: Arena<Run>,
    names: HashMap<String, Handle<Run>>,
    register: Register,
    attempts: u64,
    renewed: Option<Instant>,
    ticked: Instant,
    stored: Instant,
    cleaned: Instant,
    leaving: bool,
    dialect: std::marker::PhantomData<D>,
}

/// Starts the task; returns the way to it.
pub fn start<D: Dialect, S: Store>(
    shared: Shared,
    store: S,
    boards: Boards,
    peers: Peers,
) -> mpsc::UnboundedSender<Command> {
    let (commands, receiver) = mpsc::unbounded_channel();
    let identity = &shared.identity;
    let me = Owner { vm: identity.vm.clone(), incarnation: identity.incarnation };
    let task = Task::<D, S> {
        shared: shared.clone(),
        store: store.clone(),
        boards,
        peers,
        failed_proofs: 0,
        register: Register::new(me.clone()),
        me,
        commands: commands.clone(),
        runs: Arena::default(),
        names: HashMap::default(),
        attempts: 0,
        renewed: None,
        ticked: Instant::default(),
        stored: Instant::default(),
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
            pause: OWNER_PAUSE,
            idle_pause: IDLE_PAUSE,
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
                () = sleep(pause) => {}
            }
            let runs = !self.runs.is_empty();
            self.shared
                .runs_batches
                .send_if_modified(|known| std::mem::replace(known, runs) != runs);
            let now = self.shared.now();
            if now.since(self.stored) >= STORE_INTERVAL {
                self.stored = now;
                self.store_all(now);
            }
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
            Command::Proved(silent) => self.proved(silent),
            Command::End { batch, meta, version } => {
                // The feed may lag behind, and an open row would be claimed again.
                let now = self.shared.now();
                self.register.note(&batch, (*meta).clone(), version, now);
                self.boards.set_meta(&batch, Some(*meta));
                self.end(&batch);
            }
            Command::Finished { run, item, attempt, finish } => {
                self.finished(run, item, attempt, finish);
            }
            Command::Admitted { run, item, attempt } => self.admitted(run, item, attempt),
            Command::Stored { run, result } => self.stored(run, result),
            Command::Saved { run, items } => self.saved(run, &items),
            Command::News(news) => self.news(news),
            Command::Sights(sights) => self.sights(&sights),
            Command::HandOver(done) => self.hand_over(done),
        }
    }

    fn named(&self, key: Handle<Run>) -> Option<(String, &Run)> {
        let run = self.runs.get(key)?;
        Some((run.batch.clone(), run))
    }

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

    /// Frees the memory of batches that are complete and whose caller does not come back.
    fn drop_complete(&mut self, now: Instant) {
        let retention = self.shared.times.retention;
        let old: Vec<String> = self
            .names
            .iter()
            .filter(|(_, key)| {
                self.runs
                    .get(**key)
                    .is_some_and(|run| run.is_listed() && now.since(run.accepted) > retention)
            })
            .map(|(batch, _)| batch.clone())
            .collect();
        for batch in old {
            self.drop_run(&batch);
        }
    }
}

/// Engine of a service; one without stated properties takes any number of items.
fn engine(config: &Config, service: &str) -> Engine {
    let engine = config.services.get(service).and_then(|service| service.engine.clone());
    engine.unwrap_or(Engine { slots: 1, kv_tokens: u64::MAX / 2, stride: 1, models: Vec::new() })
}
