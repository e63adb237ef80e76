//! Division of the workers of a service among its models.
//!
//! It follows from rows that every VM reads: the registry, the newest versions and the work of the
//! last steps. The VM that orders loads and the VMs that place items therefore compute the same
//! division without a message: which workers load a version next, and which ones a model's items
//! should use first.
//!
//! The workers are ordered by a hash of their identifier, and each model has a section of this ring.
//! Where steps may lag, even versions go to the section and odd ones to the opposite part of the
//! ring, so that the workers with the version before the newest continue undisturbed. A worker that
//! comes or goes shifts each section by one worker.

use std::time::Duration;

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, arena::Key};

use super::Target;
use crate::{batch::rows, fleet::Worker};

/// Difference in workers between a model's exact share and its present one from which the workers
/// are divided again. A smaller one is not worth the loads.
const MIN_SHARE_CHANGE: f64 = 1.0;
/// Time from a publication within which its workers load the version. Three rounds of loads, when a
/// fifth of the workers loads at once; after it, a worker that got no order is used again.
const LOAD_WINDOW: Duration = Duration::from_millis(3_000);
/// The same where successive versions go to the same workers: one round of loads.
const SOLE_LOAD_WINDOW: Duration = Duration::from_millis(1_100);

/// Divides `workers` in proportion to the work of each model: largest remainder, at least one. A
/// model whose work is unknown counts as an average one. Nothing if no work is known.
#[must_use]
#[expect(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub fn divide(workers: usize, work: &[Option<u64>]) -> Option<Vec<usize>> {
    let exact = exact_shares(workers, work)?;
    let mut shares: Vec<usize> = exact.iter().map(|share| (*share as usize).max(1)).collect();
    let missing = |shares: &[usize], index: usize| exact[index] - shares[index] as f64;
    while shares.iter().sum::<usize>() != workers {
        let indexes = 0..shares.len();
        if shares.iter().sum::<usize>() < workers {
            // Of equal ones, the first.
            let next = indexes
                .rev()
                .max_by(|one, other| missing(&shares, *one).total_cmp(&missing(&shares, *other)));
            shares[next?] += 1;
        } else {
            let next = indexes
                .filter(|index| shares[*index] > 1)
                .min_by(|one, other| missing(&shares, *one).total_cmp(&missing(&shares, *other)));
            // There are more models than workers.
            let Some(next) = next else { break };
            shares[next] -= 1;
        }
    }
    Some(shares)
}

#[expect(clippy::cast_precision_loss)]
fn exact_shares(workers: usize, work: &[Option<u64>]) -> Option<Vec<f64>> {
    let known: Vec<f64> = work.iter().flatten().map(|work| *work as f64).collect();
    let sum: f64 = known.iter().sum();
    if sum <= 0.0 {
        return None;
    }
    let mean = sum / known.len() as f64;
    let work: Vec<f64> = work.iter().map(|work| work.map_or(mean, |work| work as f64)).collect();
    let sum: f64 = work.iter().sum();
    Some(work.iter().map(|work| work / sum * workers as f64).collect())
}

/// Whether the steps of a model may use the version before the newest.
fn alternates(target: &Target) -> bool {
    target.lag.is_some_and(|lag| lag > 0)
}

/// Largest number of workers of a model; two successive versions must fit beside each other.
fn share_limit(workers: usize, target: &Target) -> usize {
    if alternates(target) { workers.div_ceil(2) } else { workers }
}

/// Workers of one model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    pub model: String,
    /// Number of its workers.
    pub count: usize,
    /// Newest version of its weights.
    version: u64,
    /// When this VM learned of that version.
    known_at: Instant,
    /// Position of its first worker in the ring.
    first: usize,
    /// Number of workers of all models.
    total: usize,
    /// Whether its steps may use the version before the newest, so that successive versions go to
    /// different workers.
    alternates: bool,
}

impl Section {
    /// Number of workers that should have the newest version, if `usable` workers can serve.
    #[must_use]
    pub fn workers_needed(&self, usable: usize) -> usize {
        (self.count * usable).div_ceil(self.total.max(1))
    }

    /// Whether the newest version goes to the worker at `position`.
    fn loads_at(&self, position: usize) -> bool {
        let is_opposite = self.alternates && self.version % 2 == 1;
        let first = if is_opposite { self.first + self.total / 2 } else { self.first };
        (position + 2 * self.total - first) % self.total.max(1) < self.count
    }
}

/// Division of the workers of a service. It is empty unless at least two models share the workers
/// and the work of a step of one of them is known.
#[derive(Clone, Debug, Default, Display)]
#[display("{}", self.summary())]
pub struct Layout {
    /// Workers, in the order in which they were given.
    members: Vec<Key<Worker>>,
    /// Position of each worker in the ring.
    positions: HashMap<Key<Worker>, usize>,
    targets: Vec<Target>,
    sections: Vec<Section>,
}

impl Layout {
    /// Divides `workers` among the models of `targets`.
    pub fn update<'a>(
        &mut self,
        workers: impl Iterator<Item = (Key<Worker>, &'a str)>,
        targets: &[Target],
        now: Instant,
    ) {
        let workers: Vec<(Key<Worker>, &str)> = workers.collect();
        let is_same = workers.iter().map(|(key, _)| key).eq(&self.members);
        if is_same && targets == self.targets {
            return;
        }
        if !is_same {
            self.members = workers.iter().map(|(key, _)| *key).collect();
            let mut ring: Vec<(u64, &str, Key<Worker>)> =
                workers.iter().map(|(key, id)| (rows::hash(id), *id, *key)).collect();
            ring.sort_unstable_by_key(|(hash, id, _)| (*hash, *id));
            self.positions = ring.iter().zip(0..).map(|((.., key), at)| (*key, at)).collect();
        }
        self.targets = targets.to_vec();
        let mut targets: Vec<&Target> = targets.iter().collect();
        targets.sort_by_key(|target| target.model.as_str());
        let work: Vec<Option<u64>> = targets.iter().map(|target| target.work).collect();
        let shares = self.shares(&targets, workers.len(), &work).filter(|_| targets.len() > 1);
        let Some(shares) = shares else {
            self.sections.clear();
            return;
        };
        let mut next = 0;
        let sections = targets.iter().zip(shares).map(|(target, count)| {
            let first = next % workers.len().max(1);
            next += count;
            let known = self.section(&target.model).filter(|it| it.version == target.version);
            Section {
                model: target.model.clone(),
                count: count.min(share_limit(workers.len(), target)),
                version: target.version,
                known_at: known.map_or(now, |section| section.known_at),
                first,
                total: workers.len(),
                alternates: alternates(target),
            }
        });
        self.sections = sections.collect();
    }

    /// Present shares, or new ones where a model's exact share differs from its present one by a
    /// whole worker.
    #[expect(clippy::cast_precision_loss)]
    fn shares(
        &self,
        targets: &[&Target],
        workers: usize,
        work: &[Option<u64>],
    ) -> Option<Vec<usize>> {
        let exact = exact_shares(workers, work)?;
        let present = &self.sections;
        let is_close = |(section, (target, exact)): (&Section, (&&Target, &f64))| {
            let exact = exact.min(share_limit(workers, target) as f64).max(1.0);
            section.model == target.model
                && section.total == workers
                && section.alternates == alternates(target)
                && (exact - section.count as f64).abs() < MIN_SHARE_CHANGE
        };
        let keeps = present.len() == targets.len()
            && present.iter().zip(targets.iter().zip(&exact)).all(is_close);
        if keeps {
            return Some(present.iter().map(|section| section.count).collect());
        }
        divide(workers, work)
    }

    /// Workers of a model; nothing if the workers are not divided by work.
    #[must_use]
    pub fn section(&self, model: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.model == model)
    }

    /// Whether the newest version of `model` goes to a worker.
    #[must_use]
    pub fn loads(&self, model: &str, worker: Key<Worker>) -> bool {
        let position = self.positions.get(&worker);
        let section = self.section(model);
        section.zip(position).is_some_and(|(section, position)| section.loads_at(*position))
    }

    /// Whether a worker is in the section of another model; never if the workers are not divided.
    #[must_use]
    pub fn is_foreign(&self, model: &str, worker: Key<Worker>) -> bool {
        let position = self.positions.get(&worker);
        let section = self.section(model);
        section.zip(position).is_some_and(|(section, position)| {
            (position + section.total - section.first) % section.total.max(1) >= section.count
        })
    }

    /// Whether a worker that has the version `present` of `model` is about to load a newer one, and
    /// would refuse items of the model meanwhile.
    #[must_use]
    pub fn awaits_load(
        &self,
        model: &str,
        worker: Key<Worker>,
        present: Option<u64>,
        now: Instant,
    ) -> bool {
        let is_due = |section: &Section| {
            // Without alternation, no other worker serves the version before.
            let window = if section.alternates { LOAD_WINDOW } else { SOLE_LOAD_WINDOW };
            present < Some(section.version) && now.since(section.known_at) < window
        };
        self.section(model).is_some_and(is_due) && self.loads(model, worker)
    }

    fn summary(&self) -> String {
        let shares = self.sections.iter().map(|it| format!("{}:{}", it.model, it.count));
        shares.collect::<Vec<_>>().join(",")
    }
}
