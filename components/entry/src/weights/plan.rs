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
    /// Weight version of the model.
    pub version: u64,
}

/// Call to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask for the state.
    Report(Key<Worker>),
    /// Order a version.
    Order {
        /// Worker.
        worker: Key<Worker>,
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
    ordered: Option<(u64, Instant)>,
    busy: bool,
    calling: bool,
    not_before: Instant,
}

/// Decides on the orders to the workers of one model while the lease is held.
#[derive(Debug, Default)]
pub struct Director {
    workers: HashMap<Key<Worker>, State>,
}

impl Director {
    /// Calls to make now, with `target` the newest version.
    pub fn plan(&mut self, workers: &[View], target: u64, now: Instant) -> Vec<Action> {
        let known: HashSet<Key<Worker>> = workers.iter().map(|worker| worker.key).collect();
        self.workers.retain(|key, _| known.contains(key));
        let width = workers.len().div_ceil(LOADING_PART).max(1);
        let mut actions = Vec::new();
        let mut loading = 0;
        for view in workers {
            let state = self.workers.entry(view.key).or_default();
            if state.ordered.is_some_and(|(version, _)| view.version >= version) {
                (state.ordered, state.busy) = (None, false);
                // The accepted order counts.
                state.orders = state.orders.map(|orders| orders + 1);
            }
            loading += usize::from(state.ordered.is_some() || state.busy);
        }
        let mut order: Vec<&View> = workers.iter().filter(|view| view.version < target).collect();
        order.sort_by(|a, b| (a.version, &a.id).cmp(&(b.version, &b.id)));
        for view in order {
            let Some(state) = self.workers.get_mut(&view.key) else { continue };
            if state.calling || now < state.not_before {
                continue;
            }
            if let Some((_, at)) = state.ordered {
                if now.since(at) >= FIRST_LOOK {
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
            state.ordered = Some((target, now));
            loading += 1;
            actions.push(Action::Order { worker: view.key, version: target, expected });
        }
        actions
    }

    /// Takes note of a reply.
    pub fn note(&mut self, asked: &Asked, model: &str, now: Instant) {
        let worker = match asked.action {
            Action::Report(worker) | Action::Order { worker, .. } => worker,
        };
        let Some(state) = self.workers.get_mut(&worker) else { return };
        state.calling = false;
        match &asked.reply {
            Reply::Report(report) => state.reported(report, model, now),
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
    fn reported(&mut self, report: &Report, model: &str, now: Instant) {
        let version =
            report.models.iter().find(|(name, _)| name == model).map_or(0, |(_, version)| *version);
        if self.born != report.born {
            (self.born, self.ordered) = (report.born, None);
        }
        self.orders = Some(report.orders);
        self.busy = report.busy;
        self.not_before = now.after(if report.busy { LOOK_INTERVAL } else { Duration::ZERO });
        let Some((ordered, at)) = self.ordered else { return };
        // Reports lag by some hundred milliseconds, so an order needs time to show.
        if version >= ordered || (!report.busy && now.since(at) >= ORDER_AGAIN) {
            self.ordered = None;
        } else {
            self.not_before = now.after(LOOK_INTERVAL);
        }
    }
}
