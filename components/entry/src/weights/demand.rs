//! Work that the steps of each model bring.
//!
//! Load pattern: four trainers share the engines, and a step of one is 1,120 events of work while
//! that of another is 2,889. Every VM learns the work from the owners' rows, which it follows
//! anyway, so that the holder of the weight lease knows it without running a batch.

use std::collections::BTreeMap;

/// Number of steps whose mean is used. Steps of one trainer differ by several percent.
const STEPS: usize = 4;
/// Time without a step, relative to the other models, after which a model counts as idle. Trainers
/// submit a step every few seconds.
const IDLE_AFTER_MS: u64 = 60_000;
/// Limit of the models, since their names come from callers.
const MAX_MODELS: usize = 64;

/// Work of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Hash of its batch.
    pub batch: u64,
    /// Monotonic clock of the store at the submission, in milliseconds.
    pub accepted_ms: u64,
    /// Expected output tokens.
    pub work: u64,
    /// Weight versions by which its samples may lag behind the newest one.
    pub lag: Option<u64>,
}

/// Last steps of each model.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// Steps of each model, newest first.
    models: BTreeMap<String, Vec<Step>>,
}

impl Demand {
    /// Records a step; returns whether it is new.
    pub fn record(&mut self, model: &str, step: Step) -> bool {
        if !self.models.contains_key(model) && self.models.len() >= MAX_MODELS {
            let oldest = self.models.iter().min_by_key(|(_, steps)| newest_ms(steps));
            let Some(oldest) = oldest.map(|(model, _)| model.clone()) else { return false };
            self.models.remove(&oldest);
        }
        let steps = self.models.entry(model.to_owned()).or_default();
        if steps.iter().any(|known| known.batch == step.batch) {
            return false;
        }
        steps.push(step);
        // The hash makes the order equal on all VMs.
        steps.sort_unstable_by_key(|step| std::cmp::Reverse((step.accepted_ms, step.batch)));
        steps.truncate(STEPS);
        steps.contains(&step)
    }

    /// Mean work of the last steps of a model, 0 if it is idle; absent if no step is known.
    #[must_use]
    pub fn work(&self, model: &str) -> Option<u64> {
        let steps = self.models.get(model)?;
        let newest = self.models.values().map(|steps| newest_ms(steps)).max()?;
        if newest.saturating_sub(newest_ms(steps)) > IDLE_AFTER_MS {
            return Some(0);
        }
        let sum = steps.iter().map(|step| step.work).fold(0, u64::saturating_add);
        Some(sum / u64::try_from(steps.len()).unwrap_or(1).max(1))
    }

    /// Largest lag of the last steps of a model. The VM that accepts a step right after a
    /// publication may not know the newest version yet, and then records no lag.
    #[must_use]
    pub fn lag(&self, model: &str) -> Option<u64> {
        self.models.get(model)?.iter().filter_map(|step| step.lag).max()
    }
}

fn newest_ms(steps: &[Step]) -> u64 {
    steps.first().map_or(0, |step| step.accepted_ms)
}
