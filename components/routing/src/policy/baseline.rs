//! Baseline policies for comparison. They use the same eligibility filter as the production policy.

use std::sync::atomic::{AtomicUsize, Ordering};

use filbertsail_clock::Instant;
use rand::{Rng, RngExt};

use super::{Choice, Policy, Reason, eligible};
use crate::state::{Fleet, Request};

/// Selects an eligible worker at random.
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
        let candidates = eligible(fleet, request, now);
        let worker = *candidates.get(rng.random_range(0..candidates.len().max(1)))?;
        Some(Choice { worker, reason: Reason::Random, candidates: candidates.len() })
    }
}

/// Selects the eligible workers in turn.
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
        let candidates = eligible(fleet, request, now);
        let next = self.0.fetch_add(1, Ordering::Relaxed);
        let worker = *candidates.get(next % candidates.len().max(1))?;
        Some(Choice { worker, reason: Reason::Turn, candidates: candidates.len() })
    }
}

/// Selects the eligible worker with the fewest requests in its last report.
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
        let candidates = eligible(fleet, request, now);
        let load =
            |key| fleet.worker(key).map_or(u32::MAX, |worker| worker.load.reported_requests());
        let worker = candidates.iter().copied().min_by_key(|&key| load(key))?;
        Some(Choice { worker, reason: Reason::Reported, candidates: candidates.len() })
    }
}
