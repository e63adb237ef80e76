//! Scenarios: load and faults by time.

pub mod action;
mod catalogue;

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::arrival::Mix;
pub use action::Action;
pub use catalogue::{ALL, named};

/// Load with faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    /// Arrival rate of model requests relative to the capacity of the engines.
    pub load: f64,
    /// Kinds of customer requests.
    pub mix: Mix,
    /// Trainers run.
    pub trainers: bool,
    /// Share of samples that are ten times as long.
    pub stragglers: f64,
    /// Time that customers allow per request; the service's own limit if absent.
    pub deadline: Option<Duration>,
    /// Usual duration.
    pub duration: Duration,
    /// Faults by share of the duration.
    pub faults: Vec<(f64, Action)>,
}

impl Scenario {
    fn new(name: &'static str, about: &'static str) -> Self {
        Self {
            name,
            about,
            load: 0.5,
            mix: Mix::ALL,
            trainers: true,
            stragglers: 0.0,
            deadline: None,
            duration: Duration::from_secs(20),
            faults: Vec::new(),
        }
    }

    fn load(self, load: f64) -> Self {
        Self { load, ..self }
    }

    fn mix(self, mix: Mix) -> Self {
        Self { mix, ..self }
    }

    fn without_trainers(self) -> Self {
        Self { trainers: false, ..self }
    }

    fn stragglers(self, stragglers: f64) -> Self {
        Self { stragglers, ..self }
    }

    fn deadline(self, deadline: Duration) -> Self {
        Self { deadline: Some(deadline), ..self }
    }

    fn lasting(self, seconds: u64) -> Self {
        Self { duration: Duration::from_secs(seconds), ..self }
    }

    fn with(mut self, at: f64, action: Action) -> Self {
        self.faults.push((at, action));
        self
    }

    /// Draws the faults of `everything`: several at once, each possibly twice.
    fn draw(mut self, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let pairs = action::pairs();
        for _ in 0..2 {
            for (begin, end) in &pairs {
                if random.random::<f64>() < 0.6 {
                    let at = random.random_range(0.1..0.6);
                    let worker = random.random_range(0..9);
                    self.faults.push((at, begin.at(worker)));
                    self.faults.extend(end.map(|end| (at + 0.15, end.at(worker))));
                }
            }
        }
        self.faults.sort_by(|a, b| a.0.total_cmp(&b.0));
        self
    }
}
