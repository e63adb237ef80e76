//! Naive policy: one round at a time in step order, started as soon as it is known.

use super::{Conditions, Job, Start};

/// Attempts to start now, within the quota.
pub fn plan(jobs: &[Job], conditions: &Conditions) -> Vec<Start> {
    let Some(job) = jobs.iter().filter(|job| job.missing_samples > 0).min_by_key(|job| job.step)
    else {
        return Vec::new();
    };
    let free_attempts = conditions.quota.saturating_sub(job.running_attempts);
    let starts = job.open_slots.iter().take(free_attempts);
    starts.map(|key| Start { step: job.step, key: *key, min_version: None }).collect()
}
