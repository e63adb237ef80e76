//! Which slots of which rounds start now.
//!
//! Work starts early enough to be on time and late enough to be fresh: a round starts when the time
//! left is near the time it needs, or earlier the more the deployment weighs idle time.

mod naive;
mod need;
mod quota;

use std::time::Duration;

use filbertsail_clock::Instant;

pub use need::Need;
pub use quota::{Claim, quota};

use crate::{policy::Policy, round::Key};

/// Multiple of the estimated time at which a round starts when only staleness counts.
const LEAST_LEAD: f64 = 1.5;
/// Further multiples when only idle time counts.
const IDLE_LEAD: f64 = 4.5;

/// Round as the scheduler sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Step number.
    pub step: u64,
    /// Slots without sample and attempt.
    pub open: Vec<Key>,
    /// Attempts under way.
    pub running: usize,
    /// Slots without a sample that counts.
    pub missing: usize,
    /// Time at which the trainer needs the batch.
    pub due: Instant,
    /// A fetch waits for the batch.
    pub awaited: bool,
    /// Oldest version that will still be useful at delivery.
    pub min_version: Option<u64>,
}

/// Circumstances of a decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// Attempts that may run at a time.
    pub quota: usize,
    /// Newest version that a live worker reports.
    pub newest: Option<u64>,
    /// Usual time of one sample, once known.
    pub sample_time: Option<Duration>,
    /// Share of idle time in the deployment's weighting, 0 to 1.
    pub idle_share: f64,
}

/// Start of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// Step number.
    pub step: u64,
    /// Slot.
    pub key: Key,
    /// Oldest version that may be used.
    pub min_version: Option<u64>,
}

/// Starts for now, at most as many as the quota leaves free.
#[must_use]
pub fn plan(policy: Policy, jobs: &[Job], view: &View, now: Instant) -> Vec<Start> {
    if !policy.overlaps_rounds() {
        return naive::plan(jobs, view);
    }
    let running: usize = jobs.iter().map(|job| job.running).sum();
    let free = view.quota.saturating_sub(running);
    let mut ready: Vec<&Job> = jobs.iter().filter(|job| may_start(job, view, now)).collect();
    ready.sort_by_key(|job| (!job.awaited, job.step));
    ready.iter().flat_map(|job| starts(job)).take(free).collect()
}

fn starts(job: &Job) -> impl Iterator<Item = Start> {
    job.open.iter().map(|key| Start { step: job.step, key: *key, min_version: job.min_version })
}

fn may_start(job: &Job, view: &View, now: Instant) -> bool {
    let fresh = match (job.min_version, view.newest) {
        (Some(min), Some(newest)) => newest >= min,
        _ => true,
    };
    // A round with finished or running samples goes on: stopping midway only ages them.
    fresh && (job.awaited || job.running > 0 || lead_reached(job, view, now))
}

fn lead_reached(job: &Job, view: &View, now: Instant) -> bool {
    let Some(sample_time) = view.sample_time else { return true };
    now.after(lead(job, view, sample_time)) >= job.due
}

fn lead(job: &Job, view: &View, sample_time: Duration) -> Duration {
    let waves = job.missing.div_ceil(view.quota.max(1));
    let waves = u32::try_from(waves).unwrap_or(u32::MAX);
    // One more wave covers the stragglers at the end of a round.
    let needed = sample_time.saturating_mul(waves.saturating_add(1));
    needed.mul_f64(IDLE_LEAD.mul_add(view.idle_share.clamp(0.0, 1.0), LEAST_LEAD))
}
