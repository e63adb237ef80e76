//! Naive policy: one round at a time in step order, started as soon as it is known.

use super::{Job, Start, View};

/// Attempts to start now, within the quota.
pub fn plan(jobs: &[Job], view: &View) -> Vec<Start> {
    let Some(job) = jobs.iter().filter(|job| job.missing > 0).min_by_key(|job| job.step) else {
        return Vec::new();
    };
    let free_attempts = view.quota.saturating_sub(job.running);
    let starts = job.open.iter().take(free_attempts);
    starts.map(|key| Start { step: job.step, key: *key, min_version: None }).collect()
}
