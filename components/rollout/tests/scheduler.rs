//! Compares the scheduler with a reference model, and with the naive policy in virtual time.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_rollout::{
    policy::Policy,
    round::Key,
    scheduler::{Conditions, Job, Start, plan},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use rand_chacha::{
    ChaCha8Rng,
    rand_core::{Rng, SeedableRng},
};

const NOW: Instant = Instant::from_millis(1_000_000);

fn job() -> impl Strategy<Value = Job> {
    let counts = (0..6_u32, 0..4_usize, any::<bool>());
    (0..8_u64, counts, 0..400_u64, prop::option::of(0..6_u64)).prop_map(
        |(step, (open, running, awaited), due_s, min_version)| Job {
            step,
            open_slots: (0..open).map(|slot| Key { group: 0, slot }).collect(),
            running_attempts: running,
            missing_samples: open as usize + running,
            due_at: NOW.after(Duration::from_secs(due_s)),
            is_awaited: awaited,
            min_version,
        },
    )
}

fn conditions() -> impl Strategy<Value = Conditions> {
    let sample_time = prop::option::of((1..40_u64).prop_map(Duration::from_secs));
    (0..12_usize, prop::option::of(0..6_u64), sample_time, 0.0..1.0_f64).prop_map(
        |(quota, newest_version, sample_time, idle_share)| Conditions {
            quota,
            newest_version,
            sample_time,
            idle_share,
        },
    )
}

/// Reference model: starts the first slot of the most urgent startable round, one at a time.
fn reference_plan(jobs: &[Job], conditions: &Conditions) -> Vec<Start> {
    let mut jobs = jobs.to_vec();
    let mut starts = Vec::new();
    let running: usize = jobs.iter().map(|job| job.running_attempts).sum();
    while running + starts.len() < conditions.quota {
        let mut best: Option<usize> = None;
        for (index, job) in jobs.iter().enumerate() {
            let urgency = |job: &Job| (job.is_awaited, std::cmp::Reverse(job.step));
            let is_better = best.is_none_or(|best| urgency(job) > urgency(&jobs[best]));
            if !job.open_slots.is_empty() && may_start(job, conditions) && is_better {
                best = Some(index);
            }
        }
        let Some(best) = best else { break };
        let key = jobs[best].open_slots.remove(0);
        starts.push(Start { step: jobs[best].step, key, min_version: jobs[best].min_version });
    }
    starts
}

fn may_start(job: &Job, conditions: &Conditions) -> bool {
    if let (Some(min), Some(newest)) = (job.min_version, conditions.newest_version)
        && newest < min
    {
        return false;
    }
    let Some(sample) = conditions.sample_time else { return true };
    let waves = job.missing_samples.div_ceil(conditions.quota.max(1)) + 1;
    let estimated_secs = sample.as_secs_f64() * f64::from(u32::try_from(waves).expect("fits"));
    let remaining_secs = job.due_at.since(NOW).as_secs_f64();
    job.is_awaited
        || job.running_attempts > 0
        || estimated_secs * (1.5 + 4.5 * conditions.idle_share) >= remaining_secs
}

/// Guards against starts beyond the quota, of the wrong round, or with stale weights.
#[test]
fn can_agree_with_the_reference_model() {
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let config = Config { cases: 5_000, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let cases = (prop::collection::vec(job(), 0..5), conditions());
    let result = runner.run(&cases, |(mut jobs, conditions)| {
        jobs.sort_by_key(|job| job.step);
        jobs.dedup_by_key(|job| job.step);
        let starts = plan(Policy::Production, &jobs, &conditions, NOW);
        prop_assert_eq!(starts, reference_plan(&jobs, &conditions));
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// Idle time of a trainer over five rounds posted at once, with one slow sample per round.
fn idle_time(policy: Policy, seed: u64) -> Duration {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let second = Duration::from_secs(1);
    let mut now = Instant::from_millis(1_000);
    let mut open: Vec<Vec<Key>> = vec![(0..16).map(|slot| Key { group: 0, slot }).collect(); 5];
    let mut running: Vec<(u64, Instant)> = Vec::new();
    let (mut step, mut idle, mut training) = (0, Duration::ZERO, Instant::default());
    while step < 5 {
        running.retain(|(_, end)| *end > now);
        let count = |step: u64| running.iter().filter(|(of, _)| *of == step).count();
        let jobs: Vec<Job> = (0_u64..)
            .zip(&open)
            .skip(step)
            .map(|(of, open)| Job {
                step: of,
                open_slots: open.clone(),
                running_attempts: count(of),
                missing_samples: open.len() + count(of),
                due_at: Instant::from_millis(1_000)
                    .after(second * 30 * u32::try_from(of).expect("fits")),
                is_awaited: of == step as u64 && training <= now,
                min_version: None,
            })
            .collect();
        if training <= now && jobs[0].missing_samples == 0 {
            (step, training) = (step + 1, now.after(second * 20));
            continue;
        }
        idle += if training <= now { second } else { Duration::ZERO };
        let sample_time = Some(second * 8);
        let conditions =
            Conditions { quota: 8, newest_version: None, sample_time, idle_share: 0.7 };
        for start in plan(policy, &jobs, &conditions, now) {
            let slow = start.key.slot == 15;
            let length = 6 + rng.next_u64() % 5 + if slow { 30 } else { 0 };
            let of = usize::try_from(start.step).expect("fits");
            open[of].retain(|key| *key != start.key);
            running.push((start.step, now.after(Duration::from_secs(length))));
        }
        now = now.after(second);
    }
    idle
}

/// Guards against concurrent rounds that leave the trainer idle for longer than sequential ones.
#[test]
fn can_reduce_idle_time_with_concurrent_rounds() {
    for seed in 1..=5 {
        let (production, naive) =
            (idle_time(Policy::Production, seed), idle_time(Policy::Naive, seed));
        println!("seed {seed}: idle {production:?} of {naive:?}");
        assert!(production < naive, "seed {seed}: {production:?} against {naive:?}");
    }
}
