//! Evacuation of items from workers that are about to leave.
//!
//! Load pattern: the platform reclaims all spot workers of a zone in the middle of a step, with a
//! notice of about two seconds. Items that end in time stay. The others move while their workers
//! still run, the most urgent and longest first, as long as other workers have free slots; what is
//! left would be interrupted and wait for a slot behind them.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, arena::Key};

use super::{
    execution::{Execution, Phase},
    plan,
};
use crate::{
    config::Config,
    fleet::{Fleet, Worker},
};

/// Time before a worker leaves in which an item should have ended. Estimates of lengths and event
/// intervals are off by some percent, and the registry reports the notice late.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Workers that are about to leave.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    leaves_at: HashMap<Key<Worker>, Instant>,
}

/// Running item that does not end before its worker leaves; most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evacuee {
    urgency: plan::Urgency,
    /// Expected remaining tokens, inverted so that the longest items come first.
    shortness: u64,
    /// Index of the execution.
    pub execution: usize,
    /// Index of the item.
    pub item: usize,
}

impl Departures {
    /// Updates the times from the registry. The time left counts from the moment at which it was
    /// first seen, and a later statement can only shorten it.
    pub fn update(&mut self, fleet: &Fleet, services: &[&str], now: Instant) {
        let leaves = |worker: &Worker| worker.entry.draining && worker.entry.leaves_in.is_some();
        self.leaves_at.retain(|worker, _| fleet.get(*worker).is_some_and(leaves));
        for (key, worker) in services.iter().flat_map(|service| fleet.workers_of(service)) {
            let Some(left) = worker.entry.leaves_in.filter(|_| worker.entry.draining) else {
                continue;
            };
            let at = now.after(left);
            self.leaves_at.entry(key).and_modify(|known| *known = at.min(*known)).or_insert(at);
        }
    }

    /// Whether no worker is about to leave.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leaves_at.is_empty()
    }

    /// Time until the worker leaves, if it is about to.
    #[must_use]
    pub fn time_left(&self, worker: Key<Worker>, now: Instant) -> Option<Duration> {
        self.leaves_at.get(&worker).map(|at| at.since(now))
    }

    /// Items to move, most urgent first.
    #[must_use]
    pub fn evacuees(&self, executions: &[&Execution], fleet: &Fleet, now: Instant) -> Vec<Evacuee> {
        let mut evacuees = Vec::new();
        for (index, execution) in executions.iter().enumerate() {
            for (item, state) in execution.states.iter().enumerate() {
                let Phase::Running(assignment) = &state.phase else { continue };
                let Some(left) = self.time_left(assignment.worker, now) else { continue };
                if assignment.successor.is_some()
                    || ends_within(execution, item, assignment.worker, left, fleet, now)
                {
                    continue;
                }
                evacuees.push(Evacuee {
                    urgency: plan::urgency(execution, item),
                    shortness: u64::MAX - plan::remaining_tokens(execution, item),
                    execution: index,
                    item,
                });
            }
        }
        evacuees.sort_unstable();
        evacuees
    }
}

/// Whether an item is expected to end on its worker within `left`, with a margin.
#[expect(clippy::cast_precision_loss)]
fn ends_within(
    execution: &Execution,
    item: usize,
    worker: Key<Worker>,
    left: Duration,
    fleet: &Fleet,
    now: Instant,
) -> bool {
    let interval_ms = fleet.expected_interval_ms(worker, 0, now);
    let events =
        plan::remaining_tokens(execution, item) as f64 / execution.tokens_per_event.max(1) as f64;
    // Without a known interval, the item may run for any time.
    interval_ms > 0.0
        && events * interval_ms <= left.saturating_sub(END_MARGIN).as_secs_f64() * 1_000.0
}

/// Placement on a worker that stays; nothing if none has a free slot, or if the route has left the
/// service of the present worker: the item may run on there, but must not start there anew.
#[must_use]
pub fn place_evacuee(
    execution: &Execution,
    item: usize,
    from: Key<Worker>,
    (config, engine): (&Config, &crate::config::Engine),
    zone: &str,
    fleet: &Fleet,
    now: Instant,
) -> Option<plan::Placement> {
    let service = &fleet.get(from)?.entry.service;
    let route = execution.route(item, config)?;
    if !route.targets.iter().any(|target| target.service == *service) {
        return None;
    }
    // A running item goes before those that wait for an engine.
    let scope = plan::Scope { service, zone, engine, reservations: &[] };
    let placement = plan::place_item(execution, item, &scope, fleet, now)?;
    (placement.worker != from).then_some(placement)
}
