//! One term of a lease: the rounds, the ledger and the work in the background.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use filbertsail_api::trainer::Group;
use filbertsail_clock::{Instant, Source};
use filbertsail_cluster::lease::Holding;
use filbertsail_ports::{object::Store, table::Table};
use filbertsail_rollout::{
    ledger::{Entry, Ledger, Table as Reach},
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

use super::{Command, Event, Ports, deliver::Pending, load, ops, refuse, work::Work};
use crate::{gateways::Gateways, plan::Plan};

/// Time between two looks at everything that depends on time.
const TICK: Duration = Duration::from_millis(20);
/// Time between two reads of the rounds.
const REFRESH: Duration = Duration::from_secs(2);
/// Time between two calls to a table that does not answer.
const PROBE: Duration = Duration::from_millis(500);
/// Requests to one scorer under way at a time.
const SCORER_CALLS: usize = 32;

/// What a term leaves to the next one of the same process.
#[derive(Default)]
pub struct Carried {
    /// Batches that may not be recorded.
    pub taken: Vec<Entry>,
    /// Stored groups by step, which no progress row may name yet.
    pub groups: BTreeMap<u64, Vec<(String, Group)>>,
    /// Rounds whose rows the table may not hold yet.
    pub offers: BTreeMap<u64, Offer>,
}

/// State of one term.
pub struct Term<T, S, G, C> {
    pub(super) ports: Ports<T, S, G, C>,
    pub(super) plan: watch::Receiver<Plan>,
    pub(super) trainer: String,
    pub(super) epoch: u64,
    pub(super) holding: Option<Holding>,
    pub(super) ledger: Ledger,
    pub(super) works: BTreeMap<u64, Work>,
    pub(super) batches: BTreeMap<String, Arc<Vec<Group>>>,
    pub(super) pending: Vec<Pending>,
    pub(super) forecast: Forecast,
    pub(super) demand: Demand,
    pub(super) budget: Budget,
    pub(super) workers: Workers,
    pub(super) surveyed_at: Option<Instant>,
    pub(super) surveying: bool,
    pub(super) attempts: u64,
    pub(super) failures: u32,
    pub(super) hold_until: Instant,
    pub(super) sample_time: Option<Duration>,
    pub(super) scorers: Arc<Semaphore>,
    pub(super) reach: Reach,
    pub(super) busy: bool,
    pub(super) lost: bool,
    /// A planned stop is under way: nothing new starts.
    pub(super) draining: bool,
    /// All rounds and manifests have been read once.
    pub(super) loaded: bool,
    pub(super) closed: BTreeSet<u64>,
    pub(super) offers: BTreeMap<u64, Offer>,
    pub(super) carried: BTreeMap<u64, Vec<(String, Group)>>,
    pub(super) named: BTreeSet<u64>,
    pub(super) loading: BTreeSet<u64>,
    next_refresh: Instant,
    next_probe: Instant,
    pub(super) tasks: JoinSet<()>,
    pub(super) sender: mpsc::UnboundedSender<Event>,
    events: mpsc::UnboundedReceiver<Event>,
}

impl<T: Table, S: Store, G: Gateways, C: Source> Term<T, S, G, C> {
    /// Term that starts under `held`, with what an earlier term of this process left.
    pub fn new(
        ports: Ports<T, S, G, C>,
        plan: watch::Receiver<Plan>,
        held: Holding,
        carried: Carried,
    ) -> Self {
        let now = ports.clock.now();
        let (sender, events) = mpsc::unbounded_channel();
        let mut ledger = Ledger::new(held.epoch, []);
        carried.taken.into_iter().for_each(|taken| ledger.record_uncertain_commit(taken));
        let trainer = plan.borrow().trainer.clone();
        let mut term = Self {
            ports,
            plan,
            trainer,
            epoch: held.epoch,
            holding: Some(held),
            ledger,
            works: BTreeMap::new(),
            batches: BTreeMap::new(),
            pending: Vec::new(),
            forecast: Forecast::default(),
            demand: Demand::default(),
            budget: Budget::default(),
            workers: Workers::default(),
            surveyed_at: None,
            surveying: false,
            attempts: 0,
            failures: 0,
            hold_until: now,
            sample_time: None,
            scorers: Arc::new(Semaphore::new(SCORER_CALLS)),
            reach: Reach::Up,
            busy: false,
            lost: false,
            draining: false,
            loaded: false,
            closed: BTreeSet::new(),
            offers: BTreeMap::new(),
            carried: carried.groups,
            named: BTreeSet::new(),
            loading: BTreeSet::new(),
            next_refresh: now,
            next_probe: now,
            tasks: JoinSet::new(),
            sender,
            events,
        };
        carried.offers.into_values().for_each(|offer| term.take_over(offer));
        term
    }

    /// Runs until the lease is lost, or until what is under way at `stop` has ended; returns what
    /// the next term can use.
    pub async fn run(
        mut self,
        holding: &mut watch::Receiver<Option<Holding>>,
        commands: &mut mpsc::Receiver<Command>,
        stop: &CancellationToken,
    ) -> Carried {
        let mut tick = time::interval(TICK);
        tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        while !(self.lost || self.draining && self.is_idle()) {
            tokio::select! {
                () = stop.cancelled(), if !self.draining => self.drain(),
                changed = holding.changed() => {
                    if changed.is_err() { break }
                    self.holding = *holding.borrow_and_update();
                    self.lost |= self.holding.is_some_and(|it| it.epoch != self.epoch);
                }
                command = commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => break,
                },
                Some(event) = self.events.recv() => self.event(event),
                Some(_) = self.tasks.join_next() => {}
                _ = tick.tick() => self.tick(),
            }
        }
        Carried {
            taken: self.ledger.unrecorded_entries(),
            groups: self.works.iter().map(|(step, work)| (*step, work.stored_groups())).collect(),
            offers: self.offers,
        }
    }

    /// Whether this process may act as holder now.
    pub(super) fn is_held(&self) -> bool {
        let now = self.ports.clock.now();
        self.holding.is_some_and(|holding| holding.epoch == self.epoch && holding.is_valid(now))
    }

    /// Whether deliveries may go on by cursor: the table does not answer, so that nobody can have
    /// been seen to take over.
    pub(super) fn is_detached(&self) -> bool {
        self.reach == Reach::Down && self.ports.policy.delivers_without_table()
    }

    /// Spawns background work whose result comes back as an event.
    pub(super) fn spawn<F>(&mut self, work: F) -> tokio::task::AbortHandle
    where
        F: Future<Output = Event> + Send + 'static,
    {
        let sender = self.sender.clone();
        self.tasks.spawn(async move {
            // Fails only after the end of the term.
            let _ = sender.send(work.await);
        })
    }

    /// Ends the start of new work and stores what the next holder can use.
    fn drain(&mut self) {
        self.draining = true;
        self.store_bodies();
    }

    /// Whether nothing is under way that a stop would interrupt.
    fn is_idle(&self) -> bool {
        let mut unsettled = self.works.iter().filter(|(step, _)| !self.ledger.is_settled(**step));
        let quiet = |work: &Work| work.round.running_attempts() == 0 && work.is_stored();
        let noted = |work: &Work| !work.unnoted || self.reach == Reach::Down;
        !self.busy && unsettled.all(|(_, work)| quiet(work) && noted(work))
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Notice(step) => {
                self.named.insert(step);
                self.next_refresh = self.ports.clock.now();
            }
            Command::Offer { offer, reply } => self.offered(offer, reply),
            Command::Fetch { fetch, reply } => match Pending::new(&self.ports, fetch, reply) {
                Ok(pending) => self.accept(pending),
                Err(command) => refuse(command),
            },
        }
    }

    fn accept(&mut self, pending: Pending) {
        self.forecast.record_fetch(pending.fetch.step, pending.fetch.version);
        self.demand.record_fetch(pending.fetch.step, self.ports.clock.now());
        if !self.works.contains_key(&pending.fetch.step) {
            self.named.insert(pending.fetch.step);
            self.next_refresh = self.ports.clock.now();
        }
        self.pending.push(pending);
        self.deliver();
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Attempt(outcome) => self.attempt_ended(outcome),
            Event::Scored(outcome) => {
                if let Some(work) = self.works.get_mut(&outcome.step) {
                    work.scoring.remove(&(outcome.key, outcome.text.clone()));
                    work.round.set_score(outcome.key, &outcome.text, outcome.score);
                }
            }
            Event::Put(outcome) => {
                if let Some(work) = self.works.get_mut(&outcome.step) {
                    work.stored(&outcome.object);
                }
            }
            Event::Table(outcome) => {
                self.busy = false;
                self.table_answered(outcome);
            }
            Event::Loaded(outcome) => self.round_loaded(outcome),
            Event::Entered(step) => {
                self.named.insert(step);
                self.next_refresh = self.ports.clock.now();
            }
            Event::Surveyed(workers) => {
                self.surveying = false;
                if let Some(workers) = workers {
                    self.workers = workers;
                }
            }
        }
        self.advance();
    }

    fn tick(&mut self) {
        self.survey();
        self.replace_ahead();
        self.advance();
        self.schedule();
        self.keep_up();
    }

    /// Moves bodies and deliveries on.
    fn advance(&mut self) {
        self.store_bodies();
        self.deliver();
    }

    /// Reads and writes of the table that are due, least urgent last.
    fn keep_up(&mut self) {
        let now = self.ports.clock.now();
        if self.busy {
            return;
        }
        if self.reach == Reach::Down || !self.is_held() {
            if now >= self.next_probe {
                self.next_probe = now.after(PROBE);
                self.probe();
            }
        } else if now >= self.next_refresh {
            self.next_refresh = now.after(REFRESH);
            self.refresh();
        } else if !self.ledger.pending_record().is_empty() {
            self.record(self.ledger.pending_record());
        } else {
            self.note_progress(now);
        }
    }

    fn round_loaded(&mut self, outcome: load::Outcome) {
        self.loading.remove(&outcome.step);
        if self.closed.contains(&outcome.step) || self.ledger.is_settled(outcome.step) {
            return;
        }
        let Some(posted) = outcome.round else {
            filbertsail_telemetry::event::Line::new("round_without_body")
                .with("trainer", &self.trainer)
                .with("step", outcome.step)
                .error();
            self.closed.insert(outcome.step);
            return;
        };
        let mut work = Work::new(posted, self.ports.clock.now());
        let carried = self.carried.remove(&outcome.step).unwrap_or_default();
        work.unnoted = !carried.is_empty();
        for (object, group) in outcome.groups.into_iter().chain(carried) {
            work.restore(object, group);
        }
        self.works.insert(outcome.step, work);
        self.advance();
        self.schedule();
    }

    /// Takes over what the table says about rounds.
    pub(super) fn rounds_read(&mut self, rows: ops::Rows) {
        self.loaded = true;
        let manifests: BTreeSet<u64> = rows.manifests.iter().map(|taken| taken.step).collect();
        for taken in rows.manifests {
            if !self.ledger.is_settled(taken.step) {
                self.ledger.mark_recorded(taken);
            }
        }
        for (step, round) in rows.rounds {
            self.named.remove(&step);
            self.entered(step, &round);
            let echo = round.cursor.as_ref().and_then(|text| {
                filbertsail_rounds::cursor::Cursor::open(&self.ports.key, &self.trainer, text)
            });
            if let Some(cursor) = echo.filter(|_| !manifests.contains(&step)) {
                self.ledger.apply_cursor(&cursor.into());
            }
            if round.state != row::State::Open || manifests.contains(&step) {
                self.close(step, round.state);
            } else if !self.works.contains_key(&step) && !self.ledger.is_settled(step) {
                self.load(step, round.object);
            }
        }
    }

    pub(super) fn load(&mut self, step: u64, object: String) {
        if !self.loading.insert(step) {
            return;
        }
        let offered = self.offers.contains_key(&step);
        let (table, store) = (self.ports.table.clone(), self.ports.store.clone());
        let table = (!offered).then_some(table);
        let trainer = self.trainer.clone();
        self.spawn(
            async move { Event::Loaded(load::run(table, store, &trainer, step, &object).await) },
        );
    }

    fn close(&mut self, step: u64, state: row::State) {
        if state != row::State::Open {
            self.closed.insert(step);
        }
        self.end_work(step);
    }

    /// Cancels what is under way for a step.
    pub(super) fn end_work(&mut self, step: u64) {
        let Some(work) = self.works.remove(&step) else { return };
        work.running.values().for_each(|running| running.abort.abort());
        work.reserved.values().for_each(|cost| self.budget.settle(*cost, 0));
    }
}
