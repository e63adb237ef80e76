//! Decides which worker to query or order next.
//!
//! Not every worker needs every version. Loads are slow when many run at once, so each version is
//! loaded by just enough workers for its trainer. Where a step may use the version before the
//! newest, the workers that have it keep serving, and others load the newest.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, HashSet, arena::Key};

use super::Layout;
use crate::fleet::{Report, Worker};

/// One worker in this many loads at a time; loads slow down when more than about a fifth run at
/// once.
const WORKERS_PER_CONCURRENT_LOAD: usize = 5;
/// Time from an order to the first report query. A load takes about 0.9 s.
const FIRST_QUERY_DELAY: Duration = Duration::from_millis(920);
/// Time between two report queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which an order that no report shows is sent again.
const REORDER_DELAY: Duration = Duration::from_millis(1_400);
/// Delay after a call that a worker refused or did not answer.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Snapshot of a worker, from the registry and its responses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    pub key: Key<Worker>,
    pub id: String,
    /// Weight version of each model that it serves.
    pub versions: Vec<(String, u64)>,
    /// Whether its circuit breaker admits requests.
    pub is_usable: bool,
    /// Requests in flight, including those of other VMs.
    pub load: u32,
}

/// Version that the workers of a model should load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub model: String,
    pub version: u64,
    /// How many versions steps may lag behind the newest; absent until known.
    pub lag: Option<u64>,
    /// Work of a step of the model; absent until known.
    pub work: Option<u64>,
}

impl View {
    fn version(&self, model: &str) -> Option<u64> {
        self.versions.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }
}

/// Call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Query its state.
    Query(Key<Worker>),
    /// Order it to load a version.
    Order {
        worker: Key<Worker>,
        model: String,
        /// Version to load.
        version: u64,
        /// Number of orders that it must have accepted before.
        expected_orders: u64,
    },
}

/// Result of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// State of the worker.
    Report(Report),
    /// The load has started.
    Accepted,
    /// The version is already loaded.
    AlreadyLoaded,
    /// Another load is in progress, or the worker has accepted a different number of orders.
    Conflict,
    /// Refused for another reason.
    Refused,
    /// No response in time; an order may still be executed.
    NoResponse,
}

impl Reply {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Accepted => "accepted",
            Self::AlreadyLoaded => "holds",
            Self::Conflict => "differs",
            Self::Refused => "refused",
            Self::NoResponse => "silent",
        }
    }
}

/// Call with its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exchange {
    pub action: Action,
    pub reply: Reply,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Number of accepted orders, as last reported.
    accepted_orders: Option<u64>,
    started_ms: Option<u64>,
    /// Order whose result is not known yet.
    pending: Option<Pending>,
    busy: bool,
    has_call_in_flight: bool,
    not_before: Instant,
}

#[derive(Clone, Debug)]
struct Pending {
    model: String,
    version: u64,
    /// Number of orders that the worker had accepted before.
    expected_orders: u64,
    at: Instant,
}

/// Plans the calls to the workers of one service while this VM holds the lease. A worker executes
/// one order at a time, whatever models it serves.
#[derive(Debug, Default)]
pub struct Planner {
    workers: HashMap<Key<Worker>, State>,
    layout: Layout,
}

impl Planner {
    /// Returns the calls to make now.
    pub fn plan(&mut self, workers: &[View], targets: &[Target], now: Instant) -> Vec<Action> {
        let known: HashSet<Key<Worker>> = workers.iter().map(|worker| worker.key).collect();
        self.workers.retain(|key, _| known.contains(key));
        self.layout.update(workers.iter().map(|view| (view.key, view.id.as_str())), targets, now);
        let max_loading = workers.len().div_ceil(WORKERS_PER_CONCURRENT_LOAD).max(1);
        let mut loading = 0;
        for view in workers {
            let state = self.workers.entry(view.key).or_default();
            state.clear_if_loaded(view);
            loading += usize::from(state.pending.is_some() || state.busy);
        }
        let mut actions = Vec::new();
        self.query_due(workers, now, &mut actions);
        for target in self.by_shortage(workers, targets) {
            for view in self.candidates(workers, targets, target) {
                if loading >= max_loading || self.shortage(workers, targets, target) == 0 {
                    break;
                }
                let Some(state) = self.workers.get_mut(&view.key) else { continue };
                if state.has_call_in_flight
                    || now < state.not_before
                    || state.busy
                    || state.pending.is_some()
                {
                    continue;
                }
                loading += 1;
                state.has_call_in_flight = true;
                let Some(expected_orders) = state.accepted_orders else {
                    actions.push(Action::Query(view.key));
                    continue;
                };
                let (model, version) = (target.model.clone(), target.version);
                state.pending =
                    Some(Pending { model: model.clone(), version, expected_orders, at: now });
                actions.push(Action::Order { worker: view.key, model, version, expected_orders });
            }
        }
        actions
    }

    /// Division of the workers among the models.
    #[must_use]
    pub fn layout(&self) -> &Layout {
        &self.layout
    }

    /// Queries the workers whose order should have taken effect by now.
    fn query_due(&mut self, workers: &[View], now: Instant, actions: &mut Vec<Action>) {
        for view in workers {
            let Some(state) = self.workers.get_mut(&view.key) else { continue };
            let due = match &state.pending {
                Some(pending) => now.since(pending.at) >= FIRST_QUERY_DELAY,
                None => state.busy,
            };
            if due && !state.has_call_in_flight && now >= state.not_before {
                state.has_call_in_flight = true;
                actions.push(Action::Query(view.key));
            }
        }
    }

    /// Targets, the one that needs most further workers first.
    fn by_shortage<'a>(&self, workers: &[View], targets: &'a [Target]) -> Vec<&'a Target> {
        let mut order: Vec<&Target> = targets.iter().collect();
        order.sort_by_key(|target| {
            let shortage = self.shortage(workers, targets, target);
            // Shares by work differ in size, and the model with the least part of its share waits
            // most.
            let share = self.layout.section(&target.model).map_or(1, |section| section.count);
            (std::cmp::Reverse(shortage * 1_000 / share.max(1)), target.model.as_str())
        });
        order
    }

    /// Number of workers that still need an order for the target.
    fn shortage(&self, workers: &[View], targets: &[Target], target: &Target) -> usize {
        let usable = workers.iter().filter(|view| view.is_usable).count();
        let serve = workers.iter().filter(|view| view.is_usable && self.has_or_loads(view, target));
        let needed = match self.layout.section(&target.model) {
            Some(section) => section.workers_needed(usable),
            None => workers_needed(usable, targets.len(), target),
        };
        needed.saturating_sub(serve.count())
    }

    fn has_or_loads(&self, view: &View, target: &Target) -> bool {
        let loads = self.workers.get(&view.key).and_then(|state| state.pending.as_ref());
        let loads = loads.is_some_and(|pending| {
            pending.model == target.model && pending.version >= target.version
        });
        loads || view.version(&target.model).is_some_and(|version| version >= target.version)
    }

    /// Workers that may load the target, preferred ones first.
    fn candidates<'a>(
        &self,
        workers: &'a [View],
        targets: &[Target],
        target: &Target,
    ) -> Vec<&'a View> {
        let lags = target.lag.is_some_and(|lag| lag > 0);
        let mut order: Vec<&View> = workers
            .iter()
            .filter(|view| view.is_usable && view.version(&target.model).is_some())
            .filter(|view| !self.has_or_loads(view, target))
            .collect();
        order.sort_by_key(|view| {
            let behind = view.version(&target.model).map_or(0, |version| target.version - version);
            // Where steps may lag, workers one version behind still serve and load last; otherwise
            // they load first. Those who place items expect the loads where the layout has them.
            let last = if lags { behind == 1 } else { behind > 1 };
            let models_in_use = targets.iter().filter(|other| is_in_use(view, other)).count();
            (
                last,
                !self.layout.loads(&target.model, view.key),
                models_in_use,
                view.load,
                view.id.as_str(),
            )
        });
        order
    }

    /// Records the reply to a call.
    pub fn record_reply(&mut self, exchange: &Exchange, now: Instant) {
        let worker = match exchange.action {
            Action::Query(worker) | Action::Order { worker, .. } => worker,
        };
        let Some(state) = self.workers.get_mut(&worker) else { return };
        state.has_call_in_flight = false;
        match &exchange.reply {
            Reply::Report(report) => state.record_report(report, now),
            Reply::Accepted => {}
            Reply::AlreadyLoaded => state.pending = None,
            Reply::Conflict => {
                (state.pending, state.accepted_orders) = (None, None);
                state.not_before = now.after(QUERY_INTERVAL);
            }
            Reply::Refused => {
                (state.pending, state.accepted_orders) = (None, None);
                state.not_before = now.after(CALL_RETRY_DELAY);
            }
            Reply::NoResponse => {
                if matches!(exchange.action, Action::Query(_)) {
                    state.pending = None;
                    state.accepted_orders = None;
                }
                state.not_before = now.after(CALL_RETRY_DELAY);
            }
        }
    }
}

/// Number of workers that should have the newest version of a model while the work of the steps is
/// unknown.
fn workers_needed(workers: usize, models: usize, target: &Target) -> usize {
    match target.lag {
        // Steps alternate between two versions, so each gets half of the workers.
        Some(lag) if lag > 0 => workers.div_ceil(models.max(2)),
        _ => workers.div_ceil(models.max(1)),
    }
}

/// Whether the steps of a model may use a worker.
fn is_in_use(view: &View, target: &Target) -> bool {
    view.version(&target.model).is_some_and(|version| version.saturating_add(1) >= target.version)
}

impl State {
    /// Clears an order whose version appears in the registry or in a response.
    fn clear_if_loaded(&mut self, view: &View) {
        let shows = |pending: &Pending| {
            view.version(&pending.model).is_some_and(|version| version >= pending.version)
        };
        if let Some(pending) = self.pending.take_if(|pending| shows(pending)) {
            self.busy = false;
            // A report taken during the load already counts the order.
            self.accepted_orders =
                self.accepted_orders.max(Some(pending.expected_orders.saturating_add(1)));
        }
    }

    fn record_report(&mut self, report: &Report, now: Instant) {
        if self.started_ms != report.started_ms {
            (self.started_ms, self.pending) = (report.started_ms, None);
        }
        self.accepted_orders = Some(report.accepted_orders);
        self.busy = report.busy;
        self.not_before = now.after(if report.busy { QUERY_INTERVAL } else { Duration::ZERO });
        let Some(pending) = &self.pending else { return };
        let done = report
            .models
            .iter()
            .any(|(name, version)| *name == pending.model && *version >= pending.version);
        // Reports lag by a few hundred milliseconds, so a new order may not be visible yet.
        if done || (!report.busy && now.since(pending.at) >= REORDER_DELAY) {
            self.pending = None;
        } else {
            self.not_before = now.after(QUERY_INTERVAL);
        }
    }
}
