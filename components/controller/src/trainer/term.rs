//! State of a trainer task during one term, which lasts as long as this process holds the lease
//! under one epoch: the active rounds, the delivery ledger and the background tasks.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use filbertsail_api::trainer::Group;
use filbertsail_clock::{Instant, Source};
use filbertsail_cluster::lease::Grant;
use filbertsail_ports::{object::Store, table::Table};
use filbertsail_rollout::{
    ledger::{Entry, Ledger, Table as TableState},
    scheduler::Demand,
    staleness::Forecast,
    straggler::Budget,
};
use filbertsail_rounds::row;
use filbertsail_wire::frame::{Offer, Workers};
use tokio::{
    sync::{Semaphore, mpsc, watch},
    task::JoinSet,
    time,
};
use tokio_util::sync::CancellationToken;

use super::{Command, Context, Event, active, deliver::Pending, load, refuse_command, table};
use crate::{config, gateways::Gateways};

/// Time between two checks of schedules, deadlines and due table calls.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two reads of the rounds and manifests.
const REFRESH_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two probes of a table that does not answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of concurrent requests to scorers.
const MAX_SCORER_REQUESTS: usize = 32;

/// State that a term leaves to the next one in the same process.
#[derive(Default)]
pub struct Carryover {
    /// Delivered batches that may not be recorded yet.
    pub unrecorded_entries: Vec<Entry>,
    /// Stored groups by step that the progress rows may not list yet.
    pub groups: BTreeMap<u64, Vec<(String, Group)>>,
    /// Offered rounds by step whose rows may not be written yet.
    pub unrecorded_offers: BTreeMap<u64, Offer>,
}

/// State of one term.
pub struct Term<T, S, G, C> {
    pub(super) context: Context<T, S, G, C>,
    pub(super) config: watch::Receiver<config::Trainer>,
    pub(super) trainer: String,
    pub(super) epoch: u64,
    pub(super) grant: Option<Grant>,
    pub(super) ledger: Ledger,
    pub(super) active_rounds: BTreeMap<u64, active::Round>,
    pub(super) batch_cache: BTreeMap<String, Arc<Vec<Group>>>,
    pub(super) pending_fetches: Vec<Pending>,
    pub(super) forecast: Forecast,
    pub(super) demand: Demand,
    pub(super) hedge_budget: Budget,
    pub(super) workers: Workers,
    pub(super) surveyed_at: Option<Instant>,
    pub(super) surveying: bool,
    pub(super) last_attempt_id: u64,
    pub(super) consecutive_failures: u32,
    pub(super) paused_until: Instant,
    pub(super) mean_sample_time: Option<Duration>,
    pub(super) scorer_permits: Arc<Semaphore>,
    pub(super) table_state: TableState,
    pub(super) table_call_running: bool,
    pub(super) lease_lost: bool,
    /// A graceful shutdown is in progress: no new sample starts.
    pub(super) draining: bool,
    /// Whether all rounds and manifests have been read once.
    pub(super) rows_loaded: bool,
    /// Steps whose round was closed or has no readable body.
    pub(super) closed_steps: BTreeSet<u64>,
    pub(super) unrecorded_offers: BTreeMap<u64, Offer>,
    pub(super) carried_groups: BTreeMap<u64, Vec<(String, Group)>>,
    /// Steps whose rows the next refresh reads one by one.
    pub(super) steps_to_read: BTreeSet<u64>,
    pub(super) loading_steps: BTreeSet<u64>,
    next_refresh: Instant,
    next_probe: Instant,
    pub(super) tasks: JoinSet<()>,
    pub(super) event_sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
}

impl<T: Table, S: Store, G: Gateways, C: Source> Term<T, S, G, C> {
    /// Term of the lease in `grant`, with the state of an earlier term of this process.
    pub fn new(
        context: Context<T, S, G, C>,
        config: watch::Receiver<config::Trainer>,
        grant: Grant,
        carryover: Carryover,
    ) -> Self {
        let now = context.clock.now();
        let (event_sender, events) = mpsc::unbounded_channel();
        let mut ledger = Ledger::new(grant.epoch, []);
        carryover
            .unrecorded_entries
            .into_iter()
            .for_each(|entry| ledger.record_uncertain_commit(entry));
        let trainer = config.borrow().name.clone();
        let mut term = Self {
            context,
            config,
            trainer,
            epoch: grant.epoch,
            grant: Some(grant),
            ledger,
            active_rounds: BTreeMap::new(),
            batch_cache: BTreeMap::new(),
            pending_fetches: Vec::new(),
            forecast: Forecast::default(),
            demand: Demand::default(),
            hedge_budget: Budget::default(),
            workers: Workers::default(),
            surveyed_at: None,
            surveying: false,
            last_attempt_id: 0,
            consecutive_failures: 0,
            paused_until: now,
            mean_sample_time: None,
            scorer_permits: Arc::new(Semaphore::new(MAX_SCORER_REQUESTS)),
            table_state: TableState::Up,
            table_call_running: false,
            lease_lost: false,
            draining: false,
            rows_loaded: false,
            closed_steps: BTreeSet::new(),
            unrecorded_offers: BTreeMap::new(),
            carried_groups: carryover.groups,
            steps_to_read: BTreeSet::new(),
            loading_steps: BTreeSet::new(),
            next_refresh: now,
            next_probe: now,
            tasks: JoinSet::new(),
            event_sender,
            events,
        };
        carryover.unrecorded_offers.into_values().for_each(|offer| term.accept_offer(offer));
        term
    }

    /// Runs until the lease is lost, or after `stop` until running attempts and writes have ended.
    /// Returns the state for the next term.
    pub async fn run(
        mut self,
        grants: &mut watch::Receiver<Option<Grant>>,
        commands: &mut mpsc::Receiver<Command>,
        stop: &CancellationToken,
    ) -> Carryover {
        let mut tick = time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !(self.lease_lost || self.draining && self.is_drained()) {
            tokio::select! {
                () = stop.cancelled(), if !self.draining => self.start_draining(),
                changed = grants.changed() => {
                    if changed.is_err() { break }
                    self.grant = *grants.borrow_and_update();
                    self.lease_lost |= self.grant.is_some_and(|it| it.epoch != self.epoch);
                }
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
                Some(event) = self.events.recv() => self.handle_event(event),
                Some(_) = self.tasks.join_next() => {}
                _ = tick.tick() => self.on_tick(),
            }
        }
        Carryover {
            unrecorded_entries: self.ledger.unrecorded_entries(),
            groups: self
                .active_rounds
                .iter()
                .map(|(step, active)| (*step, active.stored_groups()))
                .collect(),
            unrecorded_offers: self.unrecorded_offers,
        }
    }

    /// Whether this process holds the lease of this term and the lease has not expired.
    pub(super) fn is_held(&self) -> bool {
        let now = self.context.clock.now();
        self.grant.is_some_and(|grant| grant.epoch == self.epoch && grant.is_valid(now))
    }

    /// Whether the term may continue without a valid lease and deliver by cursor: while the table
    /// does not answer, a takeover cannot have been observed.
    pub(super) fn may_act_without_table(&self) -> bool {
        self.table_state == TableState::Down && self.context.policy.delivers_without_table()
    }

    /// Spawns a background task whose result comes back as an event.
    pub(super) fn spawn<F>(&mut self, task: F) -> tokio::task::AbortHandle
    where
        F: Future<Output = Event> + Send + 'static,
    {
        let event_sender = self.event_sender.clone();
        self.tasks.spawn(async move {
            // Fails only after the end of the term.
            let _ = event_sender.send(task.await);
        })
    }

    /// Stops starting samples and stores the groups that the next holder can use.
    fn start_draining(&mut self) {
        self.draining = true;
        self.store_bodies();
    }

    /// Whether no attempt or write is in flight that a stop would interrupt.
    fn is_drained(&self) -> bool {
        let mut unsettled =
            self.active_rounds.iter().filter(|(step, _)| !self.ledger.is_settled(**step));
        let is_idle =
            |active: &active::Round| active.round.running_attempts() == 0 && active.is_stored();
        let is_progress_written = |active: &active::Round| {
            !active.progress_changed || self.table_state == TableState::Down
        };
        !self.table_call_running
            && unsettled.all(|(_, active)| is_idle(active) && is_progress_written(active))
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Notice(step) => {
                self.steps_to_read.insert(step);
                self.next_refresh = self.context.clock.now();
            }
            Command::Offer { offer, reply } => self.handle_offer(offer, reply),
            Command::Fetch { fetch, reply } => match Pending::new(&self.context, fetch, reply) {
                Ok(pending) => self.accept_fetch(pending),
                Err(command) => refuse_command(command),
            },
        }
    }

    fn accept_fetch(&mut self, pending: Pending) {
        self.forecast.record_fetch(pending.fetch.step, pending.fetch.version);
        self.demand.record_fetch(pending.fetch.step, self.context.clock.now());
        if !self.active_rounds.contains_key(&pending.fetch.step) {
            self.steps_to_read.insert(pending.fetch.step);
            self.next_refresh = self.context.clock.now();
        }
        self.pending_fetches.push(pending);
        self.answer_fetches();
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Attempt(outcome) => self.attempt_ended(outcome),
            Event::Scored(outcome) => {
                if let Some(active) = self.active_rounds.get_mut(&outcome.step) {
                    active.scoring.remove(&(outcome.key, outcome.text.clone()));
                    active.round.set_score(outcome.key, &outcome.text, outcome.score);
                }
            }
            Event::Stored(outcome) => {
                if let Some(active) = self.active_rounds.get_mut(&outcome.step) {
                    active.mark_stored(&outcome.object);
                }
            }
            Event::Table(outcome) => {
                self.table_call_running = false;
                self.table_call_ended(outcome);
            }
            Event::Loaded(outcome) => self.round_loaded(outcome),
            Event::RowWritten(step) => {
                self.steps_to_read.insert(step);
                self.next_refresh = self.context.clock.now();
            }
            Event::Surveyed(workers) => {
                self.surveying = false;
                if let Some(workers) = workers {
                    self.workers = workers;
                }
            }
        }
        self.store_and_answer();
    }

    fn on_tick(&mut self) {
        self.survey_workers();
        self.replace_stale_samples();
        self.store_and_answer();
        self.start_samples();
        self.start_table_call();
    }

    /// Stores new bodies and answers fetches.
    fn store_and_answer(&mut self) {
        self.store_bodies();
        self.answer_fetches();
    }

    /// Starts the most urgent table call that is due, if none is running.
    fn start_table_call(&mut self) {
        let now = self.context.clock.now();
        if self.table_call_running {
            return;
        }
        if self.table_state == TableState::Down || !self.is_held() {
            if now >= self.next_probe {
                self.next_probe = now.after(PROBE_INTERVAL);
                self.probe_table();
            }
        } else if now >= self.next_refresh {
            self.next_refresh = now.after(REFRESH_INTERVAL);
            self.refresh_rows();
        } else if !self.ledger.pending_record().is_empty() {
            self.record_deliveries(self.ledger.pending_record());
        } else {
            self.write_progress(now);
        }
    }

    fn round_loaded(&mut self, outcome: load::Outcome) {
        self.loading_steps.remove(&outcome.step);
        if self.closed_steps.contains(&outcome.step) || self.ledger.is_settled(outcome.step) {
            return;
        }
        let Some(posted) = outcome.round else {
            filbertsail_telemetry::event::Line::new("round_without_body")
                .with("trainer", &self.trainer)
                .with("step", outcome.step)
                .error();
            self.closed_steps.insert(outcome.step);
            return;
        };
        let mut active = active::Round::new(posted, self.context.clock.now());
        let carried = self.carried_groups.remove(&outcome.step).unwrap_or_default();
        active.progress_changed = !carried.is_empty();
        for (object, group) in outcome.groups.into_iter().chain(carried) {
            active.restore(object, group);
        }
        self.active_rounds.insert(outcome.step, active);
        self.store_and_answer();
        self.start_samples();
    }

    /// Applies the rows of rounds and manifests that were read.
    pub(super) fn rows_read(&mut self, rows: table::Rows) {
        self.rows_loaded = true;
        let manifests: BTreeSet<u64> = rows.manifests.iter().map(|entry| entry.step).collect();
        for entry in rows.manifests {
            if !self.ledger.is_settled(entry.step) {
                self.ledger.mark_recorded(entry);
            }
        }
        for (step, round) in rows.rounds {
            self.steps_to_read.remove(&step);
            self.row_written(step, &round);
            let cursor = round.cursor.as_ref().and_then(|text| {
                filbertsail_rounds::cursor::Cursor::verify(&self.context.key, &self.trainer, text)
            });
            if let Some(cursor) = cursor.filter(|_| !manifests.contains(&step)) {
                self.ledger.apply_cursor(&cursor.into());
            }
            if round.state != row::State::Open || manifests.contains(&step) {
                self.close_round(step, round.state);
            } else if !self.active_rounds.contains_key(&step) && !self.ledger.is_settled(step) {
                self.load_round(step, round.object);
            }
        }
    }

    pub(super) fn load_round(&mut self, step: u64, object: String) {
        if !self.loading_steps.insert(step) {
            return;
        }
        let is_offered = self.unrecorded_offers.contains_key(&step);
        let (table, store) = (self.context.table.clone(), self.context.store.clone());
        let table = (!is_offered).then_some(table);
        let trainer = self.trainer.clone();
        self.spawn(
            async move { Event::Loaded(load::run(table, store, &trainer, step, &object).await) },
        );
    }

    fn close_round(&mut self, step: u64, state: row::State) {
        if state != row::State::Open {
            self.closed_steps.insert(step);
        }
        self.drop_round(step);
    }

    /// Removes an active round and cancels its attempts.
    pub(super) fn drop_round(&mut self, step: u64) {
        let Some(active) = self.active_rounds.remove(&step) else { return };
        active.running.values().for_each(|running| running.abort.abort());
        active.reserved_tokens.values().for_each(|cost| self.hedge_budget.settle(*cost, 0));
    }
}
