//! Scenarios: load with faults and planned changes.

pub mod action;
mod catalogue;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::arrival::Mix;
pub use action::Action;
pub use catalogue::{ALL, named};

/// Load with a schedule of faults and changes.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub name: &'static str,
    /// One-line description.
    pub description: &'static str,
    /// Arrival rate of model requests relative to the capacity of the engines.
    pub load: f64,
    /// Mix of customer request kinds.
    pub mix: Mix,
    /// Whether trainers run.
    pub has_trainers: bool,
    /// Share of samples that are ten times as long.
    pub straggler_share: f64,
    /// Deadline that customers send with each request; if absent, the service timeout applies.
    pub deadline: Option<Duration>,
    /// Default duration of the load.
    pub duration: Duration,
    /// Actions, each with its time as a share of the duration.
    pub actions: Vec<(f64, Action)>,
}

impl Scenario {
    fn new(name: &'static str, description: &'static str) -> Self {
        Self {
            name,
            description,
            load: 0.5,
            mix: Mix::ALL,
            has_trainers: true,
            straggler_share: 0.0,
            deadline: None,
            duration: Duration::from_secs(20),
            actions: Vec::new(),
        }
    }

    fn with_load(self, load: f64) -> Self {
        Self { load, ..self }
    }

    fn with_mix(self, mix: Mix) -> Self {
        Self { mix, ..self }
    }

    fn without_trainers(self) -> Self {
        Self { has_trainers: false, ..self }
    }

    fn with_stragglers(self, straggler_share: f64) -> Self {
        Self { straggler_share, ..self }
    }

    fn with_deadline(self, deadline: Duration) -> Self {
        Self { deadline: Some(deadline), ..self }
    }

    fn with_duration_s(self, seconds: u64) -> Self {
        Self { duration: Duration::from_secs(seconds), ..self }
    }

    fn with_action(mut self, at: f64, action: Action) -> Self {
        self.actions.push((at, action));
        self
    }

    /// Adds the random faults of `everything`: overlapping, each up to twice.
    fn with_random_actions(mut self, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let pairs = action::fault_pairs();
        for _ in 0..2 {
            for (start, end) in &pairs {
                if random.random::<f64>() < 0.6 {
                    let at = random.random_range(0.1..0.6);
                    let index = random.random_range(0..9);
                    self.actions.push((at, start.with_index(index)));
                    self.actions.extend(end.map(|end| (at + 0.15, end.with_index(index))));
                }
            }
        }
        self.actions.sort_by(|a, b| a.0.total_cmp(&b.0));
        self
    }
}
