//! Which worker is asked or ordered next.

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
}

impl View {
    fn version(&self, model: &str) -> Option<u64> {
        self.versions.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }

    /// Model that is furthest behind its target, with the target.
    fn wanted<'a>(&self, targets: &'a [(String, u64)]) -> Option<&'a (String, u64)> {
        let behind = |target: &&(String, u64)| {
            self.version(&target.0).map_or(0, |version| target.1.saturating_sub(version))
        };
        targets.iter().filter(|target| behind(target) > 0).max_by_key(behind)
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
    at: Instant,
}

/// Decides on the orders to the workers of one service while the lease is held. A worker carries
/// out one order at a time, whatever models it serves.
#[derive(Debug, Default)]
pub struct Director {
    workers: HashMap<Key<Worker>, State>,
}

impl Director {
    /// Calls to make now, with the newest version of each model in `targets`.
    pub fn plan(
        &mut self,
        workers: &[View],
        targets: &[(String, u64)],
        now: Instant,
    ) -> Vec<Action> {
        let known: HashSet<Key<Worker>> = workers.iter().map(|worker| worker.key).collect();
        self.workers.retain(|key, _| known.contains(key));
        let width = workers.len().div_ceil(LOADING_PART).max(1);
        let mut loading = 0;
        for view in workers {
            let state = self.workers.entry(view.key).or_default();
            state.observe(view);
            loading += usize::from(state.ordered.is_some() || state.busy);
        }
        let mut order: Vec<(&View, &(String, u64))> =
            workers.iter().filter_map(|view| Some((view, view.wanted(targets)?))).collect();
        order.sort_by_key(|(view, target)| (view.version(&target.0), view.id.as_str()));
        let mut actions = Vec::new();
        for (view, (model, version)) in order {
            let Some(state) = self.workers.get_mut(&view.key) else { continue };
            if state.calling || now < state.not_before {
                continue;
            }
            if let Some(ordered) = &state.ordered {
                if now.since(ordered.at) >= FIRST_LOOK {
                    state.calling = true;
                    actions.push(Action::Report(view.key));
                }
                continue;
            }
            if state.busy || (state.orders.is_none() && loading < width) {
                state.calling = true;
                actions.push(Action::Report(view.key));
                loading += usize::from(!state.busy);
                continue;
            }
            let Some(expected) = state.orders.filter(|_| loading < width) else { continue };
            state.calling = true;
            state.ordered = Some(Ordered { model: model.clone(), version: *version, at: now });
            loading += 1;
            actions.push(Action::Order {
                worker: view.key,
                model: model.clone(),
                version: *version,
                expected,
            });
        }
        actions
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

impl State {
    /// Takes note of an order whose effect shows in the register or in answers.
    fn observe(&mut self, view: &View) {
        let done = self.ordered.as_ref().is_some_and(|ordered| {
            view.version(&ordered.model).is_some_and(|version| version >= ordered.version)
        });
        if done {
            (self.ordered, self.busy) = (None, false);
            self.orders = self.orders.map(|orders| orders + 1);
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
