//! Which worker is asked or ordered next.
//!
//! Not every worker needs every version. Loads are slow when many run at once, so each version goes
//! to a share of the workers that is enough for its trainer. Where a step may use the version before
//! the newest, those with the version before go on undisturbed, and others load the newest.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, HashSet, arena::Key};

use crate::fleet::{Report, Worker};

/// Part of the workers that load at once; loads get slower beyond about a fifth.
const LOADING_PART: usize = 5;
/// Time from an order to the first look at its result. A load takes about 0.9 s.
const FIRST_LOOK: Duration = Duration::from_millis(920);
/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which a worker that shows no sign of an order is ordered again.
const ORDER_AGAIN: Duration = Duration::from_millis(1_400);
/// Pause after a call that a worker did not answer or refused.
const CALL_RETRY: Duration = Duration::from_millis(700);

/// Worker as the register and its answers show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Worker.
    pub key: Key<Worker>,
    /// Instance identifier.
    pub id: String,
    /// Weight version of each model that it serves.
    pub versions: Vec<(String, u64)>,
    /// Whether it answers, as far as known.
    pub is_usable: bool,
    /// Requests under way.
    pub load: u32,
}

/// Newest version of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Versions by which steps may lag behind the newest; absent if not known yet.
    pub lag: Option<u64>,
}

impl View {
    fn version(&self, model: &str) -> Option<u64> {
        self.versions.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }
}

/// Call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask for the state.
    Report(Key<Worker>),
    /// Order a version.
    Order {
        /// Worker.
        worker: Key<Worker>,
        /// Model.
        model: String,
        /// Version.
        version: u64,
        /// Orders that it must have accepted before.
        expected: u64,
    },
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// State of the worker.
    Report(Report),
    /// The order is being carried out.
    Accepted,
    /// The order already holds.
    Holds,
    /// Another order is in progress, or the number of orders differs.
    Differs,
    /// Refused for another reason.
    Refused,
    /// No answer; an order may still be carried out.
    Silent,
}

impl Reply {
    /// Name for logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Accepted => "accepted",
            Self::Holds => "holds",
            Self::Differs => "differs",
            Self::Refused => "refused",
            Self::Silent => "silent",
        }
    }
}

/// Call whose reply came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Call.
    pub action: Action,
    /// Reply.
    pub reply: Reply,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// Orders accepted so far, as last reported.
    orders: Option<u64>,
    born: Option<u64>,
    /// Order under way, as far as known.
    ordered: Option<Ordered>,
    busy: bool,
    calling: bool,
    not_before: Instant,
}

#[derive(Clone, Debug)]
struct Ordered {
    model: String,
    version: u64,
    /// Orders that the worker had accepted before.
    expected: u64,
    at: Instant,
}

/// Decides on the orders to the workers of one service while the lease is held. A worker carries
/// out one order at a time, whatever models it serves.
#[derive(Debug, Default)]
pub struct Director {
    workers: HashMap<Key<Worker>, State>,
}

impl Director {
    /// Calls to make now.
    pub fn plan(&mut self, workers: &[View], targets: &[Target], now: Instant) -> Vec<Action> {
        let known: HashSet<Key<Worker>> = workers.iter().map(|worker| worker.key).collect();
        self.workers.retain(|key, _| known.contains(key));
        let width = workers.len().div_ceil(LOADING_PART).max(1);
        let mut loading = 0;
        for view in workers {
            let state = self.workers.entry(view.key).or_default();
            state.observe(view);
            loading += usize::from(state.ordered.is_some() || state.busy);
        }
        let mut actions = Vec::new();
        self.look(workers, now, &mut actions);
        for target in self.by_need(workers, targets) {
            for view in self.candidates(workers, targets, target) {
                if loading >= width || self.missing(workers, targets, target) == 0 {
                    break;
                }
                let Some(state) = self.workers.get_mut(&view.key) else { continue };
                if state.calling || now < state.not_before || state.busy || state.ordered.is_some()
                {
                    continue;
                }
                loading += 1;
                state.calling = true;
                let Some(expected) = state.orders else {
                    actions.push(Action::Report(view.key));
                    continue;
                };
                let (model, version) = (target.model.clone(), target.version);
                state.ordered = Some(Ordered { model: model.clone(), version, expected, at: now });
                actions.push(Action::Order { worker: view.key, model, version, expected });
            }
        }
        actions
    }

    /// Asks workers whose order should show by now.
    fn look(&mut self, workers: &[View], now: Instant, actions: &mut Vec<Action>) {
        for view in workers {
            let Some(state) = self.workers.get_mut(&view.key) else { continue };
            let due = match &state.ordered {
                Some(ordered) => now.since(ordered.at) >= FIRST_LOOK,
                None => state.busy,
            };
            if due && !state.calling && now >= state.not_before {
                state.calling = true;
                actions.push(Action::Report(view.key));
            }
        }
    }

    /// Targets, those that lack most workers first.
    fn by_need<'a>(&self, workers: &[View], targets: &'a [Target]) -> Vec<&'a Target> {
        let mut order: Vec<&Target> = targets.iter().collect();
        order.sort_by_key(|target| {
            (std::cmp::Reverse(self.missing(workers, targets, target)), target.model.as_str())
        });
        order
    }

    /// Workers that still need an order for the target.
    fn missing(&self, workers: &[View], targets: &[Target], target: &Target) -> usize {
        let usable = workers.iter().filter(|view| view.is_usable).count();
        let serve = workers.iter().filter(|view| view.is_usable && self.serves(view, target));
        share(usable, targets.len(), target).saturating_sub(serve.count())
    }

    fn serves(&self, view: &View, target: &Target) -> bool {
        let loads = self.workers.get(&view.key).and_then(|state| state.ordered.as_ref());
        let loads = loads.is_some_and(|ordered| {
            ordered.model == target.model && ordered.version >= target.version
        });
        loads || view.version(&target.model).is_some_and(|version| version >= target.version)
    }

    /// Workers that may load the target, best first.
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
            .filter(|view| !self.serves(view, target))
            .collect();
        order.sort_by_key(|view| {
            let behind = view.version(&target.model).map_or(0, |version| target.version - version);
            // With a lag those one version behind still serve; without, they are the ones to renew.
            let last = if lags { behind == 1 } else { behind > 1 };
            let hosted = targets.iter().filter(|other| hosts(view, other)).count();
            (last, hosted, view.load, view.id.as_str())
        });
        order
    }

    /// Takes note of a reply.
    pub fn note(&mut self, asked: &Asked, now: Instant) {
        let worker = match asked.action {
            Action::Report(worker) | Action::Order { worker, .. } => worker,
        };
        let Some(state) = self.workers.get_mut(&worker) else { return };
        state.calling = false;
        match &asked.reply {
            Reply::Report(report) => state.reported(report, now),
            Reply::Accepted => {}
            Reply::Holds => state.ordered = None,
            Reply::Differs => {
                (state.ordered, state.orders) = (None, None);
                state.not_before = now.after(LOOK_INTERVAL);
            }
            Reply::Refused => {
                (state.ordered, state.orders) = (None, None);
                state.not_before = now.after(CALL_RETRY);
            }
            Reply::Silent => {
                if matches!(asked.action, Action::Report(_)) {
                    state.ordered = None;
                    state.orders = None;
                }
                state.not_before = now.after(CALL_RETRY);
            }
        }
    }
}

/// Workers that should have the newest version of a model.
fn share(workers: usize, models: usize, target: &Target) -> usize {
    match target.lag {
        // Steps use two versions in turn, so half of the workers for each.
        Some(lag) if lag > 0 => workers.div_ceil(models.max(2)),
        _ => workers.div_ceil(models.max(1)),
    }
}

/// Whether a worker is among those that a model's steps use.
fn hosts(view: &View, target: &Target) -> bool {
    view.version(&target.model).is_some_and(|version| version + 1 >= target.version)
}

impl State {
    /// Takes note of an order whose effect shows in the register or in answers.
    fn observe(&mut self, view: &View) {
        let shows = |ordered: &Ordered| {
            view.version(&ordered.model).is_some_and(|version| version >= ordered.version)
        };
        if let Some(ordered) = self.ordered.take_if(|ordered| shows(ordered)) {
            self.busy = false;
            // A report during the load counts the order already.
            self.orders = self.orders.max(Some(ordered.expected + 1));
        }
    }

    fn reported(&mut self, report: &Report, now: Instant) {
        if self.born != report.born {
            (self.born, self.ordered) = (report.born, None);
        }
        self.orders = Some(report.orders);
        self.busy = report.busy;
        self.not_before = now.after(if report.busy { LOOK_INTERVAL } else { Duration::ZERO });
        let Some(ordered) = &self.ordered else { return };
        let done = report
            .models
            .iter()
            .any(|(name, version)| *name == ordered.model && *version >= ordered.version);
        // Reports lag by some hundred milliseconds, so an order needs time to show.
        if done || (!report.busy && now.since(ordered.at) >= ORDER_AGAIN) {
            self.ordered = None;
        } else {
            self.not_before = now.after(LOOK_INTERVAL);
        }
    }
}
