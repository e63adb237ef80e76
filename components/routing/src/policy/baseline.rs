//! Baselines for comparison. They filter like the production policy and differ in the choice.

use std::sync::atomic::{AtomicUsize, Ordering};

use filbertsail_clock::Instant;
use rand::{Rng, RngExt};

use super::{Choice, Policy, Reason, eligible};
use crate::state::{Fleet, Request};

/// Any eligible worker.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Policy for Random {
    fn choose<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        now: Instant,
        rng: &mut R,
    ) -> Option<Choice> {
        let found = eligible(fleet, request, now);
        let worker = *found.get(rng.random_range(0..found.len().max(1)))?;
        Some(Choice { worker, reason: Reason::Random, candidates: found.len() })
    }
}

/// Eligible workers in turn.
#[derive(Debug, Default)]
pub struct RoundRobin(AtomicUsize);

impl Policy for RoundRobin {
    fn choose<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        now: Instant,
        _rng: &mut R,
    ) -> Option<Choice> {
        let found = eligible(fleet, request, now);
        let turn = self.0.fetch_add(1, Ordering::Relaxed);
        let worker = *found.get(turn % found.len().max(1))?;
        Some(Choice { worker, reason: Reason::Turn, candidates: found.len() })
    }
}

/// Eligible worker with the least load by its last report, uncorrected.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastReported;

impl Policy for LeastReported {
    fn choose<R: Rng>(
        &self,
        fleet: &Fleet,
        request: &Request<'_>,
        now: Instant,
        _rng: &mut R,
    ) -> Option<Choice> {
        let found = eligible(fleet, request, now);
        let load = |key| fleet.worker(key).map_or(u32::MAX, |it| it.load.reported_requests());
        let worker = found.iter().copied().min_by_key(|&key| load(key))?;
        Some(Choice { worker, reason: Reason::Reported, candidates: found.len() })
    }
}
