//! Demand for engines, as the owners of batches state it.
//!
//! A step may be owned by a different VM than the step before it, so the cadence of a model's steps
//! is known only from the statements of all owners together.

use std::{collections::BTreeMap, time::Duration};

use filbertsail_clock::Instant;
use serde::{Deserialize, Serialize};

/// Age up to which a statement counts. Owners repeat it every 0.7 s.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(3);
/// Time for which the steps of a model count after the last of them.
const STEP_RETENTION_MS: u64 = 300_000;
/// Number of steps of a model that are kept.
const MAX_STEPS: usize = 8;
/// Shortest interval between two steps that is credible; batches accepted closer together are parts
/// of one step.
const MIN_STEP_INTERVAL_MS: u64 = 1_000;
/// Difference to the store's clock from which a step is of an earlier run of that clock.
const MAX_AHEAD_MS: u64 = 2_000;
/// Share of the time limit of a step in which its work should be done.
const STEP_TIME_SHARE: f64 = 0.5;

/// Step of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Clock of the store at its acceptance, in milliseconds.
    pub accepted_ms: u64,
    /// Expected output tokens of all items.
    pub work: u64,
}

/// Demand for a model at one VM that owns batches.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Service of the engines.
    pub service: String,
    pub model: String,
    /// Items that could start now and wait for an engine.
    pub items_waiting: u32,
    /// Longest wait of these items, in milliseconds.
    pub oldest_wait_ms: u32,
    /// Expected output tokens of waiting items.
    pub work_waiting: u64,
    /// Expected remaining output tokens of running items.
    pub work_running: u64,
    /// Steps that the VM owns.
    pub steps: Vec<Step>,
}

/// Demand of all models of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Summary {
    /// Models of which steps are known.
    pub models: usize,
    pub items_waiting: u32,
    pub oldest_wait: Duration,
    /// Tokens of waiting and running items.
    pub work_left: u64,
    /// Output tokens a second of steps at their cadence.
    pub work_per_s: f64,
    /// Output tokens of one step of each model together.
    pub work_at_once: u64,
    /// Age of the newest statement; absent if there is none.
    pub age: Option<Duration>,
}

impl Summary {
    /// Engines that the work requires without a reserve, if one engine produces `rate` tokens a
    /// second and a step may take `step_limit`; zero if the rate is unknown.
    ///
    /// Load pattern: steps of all models start at the same time.
    #[must_use]
    #[expect(clippy::cast_precision_loss)]
    pub fn engines(&self, rate: f64, step_limit: Duration) -> f64 {
        let seconds = step_limit.as_secs_f64() * STEP_TIME_SHARE;
        if rate <= 0.0 || seconds <= 0.0 {
            return 0.0;
        }
        let at_once = self.work_at_once.max(self.work_left) as f64 / seconds;
        self.work_per_s.max(at_once) / rate
    }
}

/// Statements of all owners about one service.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    owners: BTreeMap<String, (Instant, Vec<Statement>)>,
    /// Steps by model, oldest first.
    steps: BTreeMap<String, Vec<Step>>,
}

impl Demand {
    /// Records the statements that the VM `owner` wrote at `at`, while the clock of the store shows
    /// `store_ms`.
    pub fn record(&mut self, owner: &str, statements: Vec<Statement>, store_ms: u64, at: Instant) {
        if self.owners.get(owner).is_some_and(|(known, _)| *known >= at) {
            return;
        }
        let is_possible = |step: &&Step| step.accepted_ms <= store_ms.saturating_add(MAX_AHEAD_MS);
        for steps in self.steps.values_mut() {
            steps.retain(|step| is_possible(&step));
        }
        for statement in &statements {
            for step in statement.steps.iter().filter(is_possible) {
                self.record_step(&statement.model, *step);
            }
        }
        self.owners.insert(owner.to_owned(), (at, statements));
    }

    fn record_step(&mut self, model: &str, step: Step) {
        let steps = self.steps.entry(model.to_owned()).or_default();
        let near =
            |known: &&mut Step| known.accepted_ms.abs_diff(step.accepted_ms) < MIN_STEP_INTERVAL_MS;
        match steps.iter_mut().find(near) {
            // The same step, or another part of it.
            Some(known) => known.work = known.work.max(step.work),
            None => steps.push(step),
        }
        steps.sort_by_key(|step| step.accepted_ms);
        let excess = steps.len().saturating_sub(MAX_STEPS);
        steps.drain(..excess);
    }

    /// Demand at `now`, at which the clock of the store shows `store_ms`; a step may take
    /// `step_limit`.
    pub fn summary(&mut self, store_ms: u64, step_limit: Duration, now: Instant) -> Summary {
        self.owners.retain(|_, (at, _)| now.since(*at) < MAX_STATEMENT_AGE);
        self.steps.retain(|_, steps| {
            let last = steps.last().map_or(0, |step| step.accepted_ms);
            store_ms.saturating_sub(last) < STEP_RETENTION_MS
        });
        let mut summary = Summary { models: self.steps.len(), ..Summary::default() };
        for (at, statements) in self.owners.values() {
            let age = now.since(*at);
            summary.age = Some(summary.age.map_or(age, |known| known.min(age)));
            for statement in statements {
                summary.items_waiting =
                    summary.items_waiting.saturating_add(statement.items_waiting);
                if statement.items_waiting > 0 {
                    let wait = Duration::from_millis(u64::from(statement.oldest_wait_ms));
                    summary.oldest_wait = summary.oldest_wait.max(wait);
                }
                summary.work_left = summary
                    .work_left
                    .saturating_add(statement.work_waiting)
                    .saturating_add(statement.work_running);
            }
        }
        for steps in self.steps.values() {
            let work = steps.iter().map(|step| step.work).max().unwrap_or(0);
            summary.work_at_once = summary.work_at_once.saturating_add(work);
            summary.work_per_s += work_per_s(steps, work, step_limit);
        }
        summary
    }
}

/// Tokens a second of a model whose steps have `work` tokens. The median interval is not affected
/// by a pause between two steps.
#[expect(clippy::cast_precision_loss)]
fn work_per_s(steps: &[Step], work: u64, step_limit: Duration) -> f64 {
    let mut intervals: Vec<u64> =
        steps.windows(2).map(|pair| pair[1].accepted_ms - pair[0].accepted_ms).collect();
    intervals.sort_unstable();
    let seconds = match intervals.get(intervals.len() / 2) {
        Some(interval_ms) => *interval_ms as f64 / 1_000.0,
        None => step_limit.as_secs_f64(),
    };
    work as f64 / seconds.max(1.0)
}
