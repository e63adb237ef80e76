//! Selection of the slots to start.
//!
//! A round starts early enough to be complete when it is due, and late enough for fresh samples:
//! once the remaining time falls below a multiple of the estimated time. The multiple increases
//! with the weight of trainer idle time in the deployment.

mod demand;
mod naive;
mod quota;

use std::time::Duration;

use filbertsail_clock::Instant;

pub use demand::Demand;
pub use quota::{Share, quota};

use crate::{policy::Policy, round::Key};

/// Lead time, as a multiple of the estimated time, if only staleness has weight.
const MIN_LEAD_FACTOR: f64 = 1.5;
/// Added to the multiple if only idle time has weight.
const IDLE_LEAD_FACTOR: f64 = 4.5;

/// Scheduling state of a round.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub step: u64,
    /// Slots with neither a sample nor a running attempt.
    pub open_slots: Vec<Key>,
    pub running_attempts: usize,
    /// Number of slots without a sample.
    pub missing_samples: usize,
    /// Time at which the trainer needs the batch.
    pub due_at: Instant,
    /// Whether a fetch is waiting for the batch.
    pub is_awaited: bool,
    /// Oldest weight version that will not be stale at delivery.
    pub min_version: Option<u64>,
}

/// Conditions common to all rounds of a trainer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Maximum number of concurrent attempts.
    pub quota: usize,
    /// Newest weight version reported by a live worker.
    pub newest_version: Option<u64>,
    /// Typical duration of an attempt, once known.
    pub sample_time: Option<Duration>,
    /// Relative weight of trainer idle time against staleness, from 0 to 1.
    pub idle_share: f64,
}

/// Attempt to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    pub step: u64,
    /// Slot to fill.
    pub key: Key,
    /// Minimum weight version.
    pub min_version: Option<u64>,
}

/// Attempts to start now, within the quota.
#[must_use]
pub fn plan(policy: Policy, jobs: &[Job], conditions: &Conditions, now: Instant) -> Vec<Start> {
    if !policy.overlaps_rounds() {
        return naive::plan(jobs, conditions);
    }
    let running: usize = jobs.iter().map(|job| job.running_attempts).sum();
    let free_attempts = conditions.quota.saturating_sub(running);
    let mut startable: Vec<&Job> =
        jobs.iter().filter(|job| may_start(job, conditions, now)).collect();
    startable.sort_by_key(|job| (!job.is_awaited, job.step));
    startable.iter().flat_map(|job| starts(job)).take(free_attempts).collect()
}

fn starts(job: &Job) -> impl Iterator<Item = Start> {
    job.open_slots.iter().map(|key| Start {
        step: job.step,
        key: *key,
        min_version: job.min_version,
    })
}

fn may_start(job: &Job, conditions: &Conditions, now: Instant) -> bool {
    let is_fresh = match (job.min_version, conditions.newest_version) {
        (Some(min), Some(newest)) => newest >= min,
        _ => true,
    };
    // A round with running attempts continues: a pause would only age its samples.
    is_fresh
        && (job.is_awaited
            || job.running_attempts > 0
            || is_lead_time_reached(job, conditions, now))
}

fn is_lead_time_reached(job: &Job, conditions: &Conditions, now: Instant) -> bool {
    let Some(sample_time) = conditions.sample_time else { return true };
    now.after(lead_time(job, conditions, sample_time)) >= job.due_at
}

fn lead_time(job: &Job, conditions: &Conditions, sample_time: Duration) -> Duration {
    let passes = job.missing_samples.div_ceil(conditions.quota.max(1));
    let passes = u32::try_from(passes).unwrap_or(u32::MAX);
    // One more pass allows for the stragglers at the end of a round.
    let estimated_time = sample_time.saturating_mul(passes.saturating_add(1));
    estimated_time
        .mul_f64(IDLE_LEAD_FACTOR.mul_add(conditions.idle_share.clamp(0.0, 1.0), MIN_LEAD_FACTOR))
}
