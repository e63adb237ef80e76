//! Task that runs the batches owned by this VM.

mod demand;
mod evacuation;
mod handover;
mod items;
mod ownership;
mod results;
mod rewards;

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
    evacuation::Departures,
    execution::Execution,
    listing::Directory,
    reward, rows,
    takeover::{Acquisition, HEARTBEAT_INTERVAL, Observations, Registry, Target},
};
use crate::{
    config::{Config, Engine},
    dialect::Dialect,
    fleet::Reservation,
    follow::{self, Update},
    relay::Peers,
    shared::Shared,
};

/// Interval of checks for finished results to store.
const FLUSH_INTERVAL: Duration = Duration::from_millis(40);
/// Delay between reads of the `batches` feed on a VM that runs batches, where the next batch must
/// start at once.
const BUSY_FEED_DELAY: Duration = Duration::from_millis(20);
/// Delay between reads of that feed on an idle VM. Heartbeats arrive more than once a second and
/// each read costs a store call, while an idle VM only takes over batches that stalled for seconds.
const IDLE_FEED_DELAY: Duration = Duration::from_millis(200);
/// Interval of checks for slow attempts, failed owners and expired rows.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a store call is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Limit of results, or of other rows of a batch, in one transaction.
const MAX_RESULTS_PER_TRANSACTION: usize = 60;

/// Message to the task.
#[derive(Debug)]
pub enum Command {
    /// This VM owns a batch and may start it.
    Acquired(Box<Acquisition>),
    /// A batch could not be claimed.
    ClaimFailed(String),
    /// This VM has written its own heartbeat and may claim these batches of silent owners; empty if
    /// the write failed.
    SilenceConfirmed(Vec<Target>),
    /// The caller ended a batch.
    EndBatch {
        batch: String,
        /// Owner's row with the end of the batch.
        meta: Box<Meta>,
        /// Version of that row.
        row_version: u64,
    },
    /// An attempt of an item ended.
    AttemptEnded {
        execution: Handle<Execution>,
        /// Index of the item.
        item: usize,
        /// Number of the attempt.
        attempt: u64,
        finish: Finish,
    },
    /// A worker admitted the successor of a running attempt.
    SuccessorAdmitted {
        execution: Handle<Execution>,
        /// Index of the item.
        item: usize,
        /// Number of the attempt.
        attempt: u64,
    },
    /// An attempt at an item's reward call ended.
    CallEnded {
        execution: Handle<Execution>,
        /// Index of the item.
        item: usize,
        /// Number of the attempt.
        attempt: u64,
        finish: reward::attempt::Finish,
    },
    /// A transaction with results finished.
    ResultsStored { execution: Handle<Execution>, result: Result<Commit, Fault> },
    /// Rows of the `batches` table changed.
    RowsChanged(Update),
    /// Worker observations of other VMs were read.
    ObservationsRead(Vec<(String, Observations)>),
    /// A transaction with partial outputs finished.
    PartialsSaved {
        execution: Handle<Execution>,
        /// Saved items; empty on failure.
        items: Vec<results::Saved>,
    },
    /// Hands all batches over to other VMs and replies when done.
    HandOver(oneshot::Sender<()>),
}

/// State of the task.
pub struct Task<D, S> {
    shared: Shared,
    store: S,
    directory: Directory,
    peers: Peers,
    local_owner: Owner,
    failed_confirmations: u32,
    commands: mpsc::UnboundedSender<Command>,
    executions: Arena<Execution>,
    execution_keys: HashMap<String, Handle<Execution>>,
    registry: Registry,
    last_attempt: u64,
    /// Usual times of reward calls, by route.
    call_paces: HashMap<String, reward::Pace>,
    /// Workers that are about to leave.
    departures: Departures,
    /// Engines reserved in the last round of dispatch.
    reservations: Vec<Reservation>,
    heartbeat_at: Option<Instant>,
    /// Time as of which the rows of the `batches` table are known.
    rows_known_at: Option<Instant>,
    /// Whether a batch has started since the last dispatch of items. The heartbeat follows the
    /// dispatch, so that the observations beside it count the items of the new step. Other owners
    /// would send to the same workers until the next one.
    must_announce: bool,
    ticked_at: Instant,
    flushed_at: Instant,
    divided_at: Instant,
    cleaned_at: Instant,
    is_leaving: bool,
    dialect: std::marker::PhantomData<D>,
}

/// Starts the task and the feed of the `batches` table; returns the sender for commands.
pub fn start<D: Dialect, S: Store>(
    shared: Shared,
    store: S,
    directory: Directory,
    peers: Peers,
) -> mpsc::UnboundedSender<Command> {
    let (commands, receiver) = mpsc::unbounded_channel();
    let identity = &shared.identity;
    let local_owner = Owner { vm: identity.vm.clone(), incarnation: identity.incarnation };
    let task = Task::<D, S> {
        shared: shared.clone(),
        store: store.clone(),
        directory,
        peers,
        failed_confirmations: 0,
        registry: Registry::new(local_owner.clone()),
        local_owner,
        commands: commands.clone(),
        executions: Arena::default(),
        execution_keys: HashMap::default(),
        last_attempt: 0,
        call_paces: HashMap::default(),
        departures: Departures::default(),
        reservations: Vec::new(),
        heartbeat_at: None,
        rows_known_at: None,
        must_announce: false,
        ticked_at: Instant::default(),
        flushed_at: Instant::default(),
        divided_at: Instant::default(),
        cleaned_at: Instant::default(),
        is_leaving: false,
        dialect: std::marker::PhantomData,
    };
    tokio::spawn(task.run(receiver));
    let sender = commands.clone();
    tokio::spawn(async move {
        let table = follow::Table {
            name: rows::BATCHES_TABLE,
            parts: rows::batches_parts(),
            tracks_outages: false,
            busy_delay: BUSY_FEED_DELAY,
            idle_delay: IDLE_FEED_DELAY,
            wait: follow::WAIT,
        };
        // The receiver lives as long as the process.
        follow::follow(shared, store, table, move |update| {
            let _ = sender.send(Command::RowsChanged(update));
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
            let pause = if self.executions.is_empty() { TICK_INTERVAL } else { FLUSH_INTERVAL };
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
            let is_active = !self.executions.is_empty();
            self.shared
                .runs_batches
                .send_if_modified(|known| std::mem::replace(known, is_active) != is_active);
            let now = self.shared.now();
            if now.since(self.flushed_at) >= FLUSH_INTERVAL {
                self.flushed_at = now;
                self.flush_all_results(now);
            }
            if now.since(self.ticked_at) >= TICK_INTERVAL {
                self.ticked_at = now;
                self.tick(now);
            }
            self.evacuate_items(now);
            self.dispatch_items(now);
            if std::mem::take(&mut self.must_announce) {
                self.send_heartbeat(now);
            }
            self.dispatch_calls(now);
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Acquired(acquisition) => self.start_batch(*acquisition),
            Command::ClaimFailed(batch) => self.registry.release_claim(&batch),
            Command::SilenceConfirmed(presumed) => self.silence_confirmed(presumed),
            Command::EndBatch { batch, meta, row_version } => {
                // The feed may lag behind; without this row the batch would be claimed again.
                let now = self.shared.now();
                self.registry.record_batch(&batch, (*meta).clone(), row_version, now);
                self.directory.set_meta(&batch, Some(*meta));
                self.end_batch(&batch);
            }
            Command::AttemptEnded { execution, item, attempt, finish } => {
                self.attempt_ended(execution, item, attempt, finish);
            }
            Command::SuccessorAdmitted { execution, item, attempt } => {
                self.successor_admitted(execution, item, attempt)
            }
            Command::CallEnded { execution, item, attempt, finish } => {
                self.call_ended(execution, item, attempt, finish);
            }
            Command::ResultsStored { execution, result } => self.results_stored(execution, result),
            Command::PartialsSaved { execution, items } => self.partials_saved(execution, &items),
            Command::RowsChanged(update) => self.rows_changed(update),
            Command::ObservationsRead(observations) => self.record_observations(&observations),
            Command::HandOver(done) => self.hand_over(done),
        }
    }

    fn execution(&self, key: Handle<Execution>) -> Option<(String, &Execution)> {
        let execution = self.executions.get(key)?;
        Some((execution.batch.clone(), execution))
    }

    fn tick(&mut self, now: Instant) {
        if self.is_leaving {
            return;
        }
        if !self.executions.is_empty()
            && self.heartbeat_at.is_none_or(|at| now.since(at) >= HEARTBEAT_INTERVAL)
        {
            self.send_heartbeat(now);
        }
        self.give_up_overdue_items(now);
        self.move_slow_items(now);
        self.save_partials(now);
        self.drop_expired(now);
        self.claim_due_batches(now);
        self.delete_expired_rows(now);
    }

    /// Drops batches that are complete, past their retention and not ended by the caller.
    fn drop_expired(&mut self, now: Instant) {
        let retention = self.shared.times.retention;
        let old: Vec<String> = self
            .execution_keys
            .iter()
            .filter(|(_, key)| {
                self.executions.get(**key).is_some_and(|execution| {
                    execution.is_fully_stored() && now.since(execution.accepted_at) > retention
                })
            })
            .map(|(batch, _)| batch.clone())
            .collect();
        for batch in old {
            self.drop_execution(&batch);
        }
    }
}

/// Engine of a service; without a configured engine, memory is unlimited.
fn engine(config: &Config, service: &str) -> Engine {
    let engine = config.services.get(service).and_then(|service| service.engine.clone());
    engine.unwrap_or(Engine {
        slots: 1,
        kv_tokens: u64::MAX / 2,
        tokens_per_event: 1,
        models: Vec::new(),
    })
}
