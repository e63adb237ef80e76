//! Starts, hedges and replacements of samples.
//!
//! A hedge is a second attempt at a sample whose first attempt is much slower than usual.

use std::{
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};

use filbertsail_api::trainer::ScoreRequest;
use filbertsail_clock::{Instant, Source};
use filbertsail_ports::{object::Store, table::Table};
use filbertsail_rollout::{
    round::{Attempt, Finish, Key},
    scheduler::{self, Conditions, Job, Start},
    straggler,
};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::{
    Frame,
    frame::{Dispatch, Survey},
};

use super::{Event, active::Running, attempt, score, store, term::Term};
use crate::gateways::Gateways;

/// Time between two surveys of the workers.
const SURVEY_INTERVAL: Duration = Duration::from_millis(500);
const SURVEY_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed attempt; doubles with each consecutive failure.
const FAILURE_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Weight of the newest sample in the moving average of the sample time.
const SAMPLE_TIME_SMOOTHING: f64 = 0.1;

impl<T: Table, S: Store, G: Gateways, C: Source> Term<T, S, G, C> {
    /// Queries a gateway for the state of the workers, once per survey interval.
    pub(super) fn survey_workers(&mut self) {
        let now = self.context.clock.now();
        let due = self.surveyed_at.is_none_or(|at| now.since(at) >= SURVEY_INTERVAL);
        if self.surveying || !due {
            return;
        }
        (self.surveying, self.surveyed_at) = (true, Some(now));
        let gateways = self.context.gateways.clone();
        let service = self.config.borrow().service.clone();
        self.spawn(async move {
            let reply = gateways.call_unary(Survey { service }.into(), SURVEY_TIMEOUT).await;
            Event::Surveyed(match reply {
                Ok(Frame::Workers(workers)) => Some(workers),
                _ => None,
            })
        });
    }

    /// Newest weight version that a usable worker reports.
    fn newest_version(&self) -> Option<u64> {
        let usable = self.workers.workers.iter().filter(|worker| worker.live && !worker.leaving);
        usable.filter_map(|worker| worker.weight_version).max()
    }

    /// Drops samples that are expected to be too old at delivery, early enough to replace them.
    pub(super) fn replace_stale_samples(&mut self) {
        let (true, Some(newest)) =
            (self.context.policy.replaces_before_fetch(), self.newest_version())
        else {
            return;
        };
        for (step, active) in &mut self.active_rounds {
            let Some(version) = self.forecast.expected_version(*step) else { continue };
            if self.ledger.is_settled(*step) || !active.can_replace(version, newest) {
                continue;
            }
            let dropped = active.drop_stale(version);
            if !dropped.is_empty() {
                self.context.metrics.count_replaced(&self.trainer, dropped.len());
                Line::new("samples_replaced")
                    .with("trainer", &self.trainer)
                    .with("step", step)
                    .with("samples", dropped.len())
                    .with("expected_version", version)
                    .info();
            }
        }
    }

    /// Starts the samples that the scheduler chooses, then hedges for stragglers.
    pub(super) fn start_samples(&mut self) {
        let now = self.context.clock.now();
        // Samples are also started while the table is down; their results stay useful either way.
        let may_act = self.is_held() || self.may_act_without_table();
        if !may_act || self.draining || now < self.paused_until {
            return;
        }
        let jobs: Vec<Job> = self.scheduler_jobs();
        let conditions = self.scheduler_conditions(&jobs);
        for start in scheduler::plan(self.context.policy, &jobs, &conditions, now) {
            self.start_attempt(start, None);
        }
        if self.context.policy.hedges() {
            self.start_hedges(now, conditions.quota);
        }
    }

    fn scheduler_jobs(&self) -> Vec<Job> {
        let now = self.context.clock.now();
        let unsettled =
            self.active_rounds.iter().filter(|(step, _)| !self.ledger.is_settled(**step));
        let job = unsettled.map(|(step, active)| Job {
            step: *step,
            open_slots: active.round.open_slots().collect(),
            running_attempts: active.round.running_attempts(),
            missing_samples: active.round.slots().filter(|(_, slot)| slot.sample.is_none()).count(),
            // A round without a forecast starts at once.
            due_at: self
                .demand
                .expected_fetch_at(*step)
                .unwrap_or(now)
                .min(active.round.spec().due_at),
            is_awaited: self.pending_fetches.iter().any(|pending| pending.fetch.step == *step),
            min_version: self.forecast.min_useful_version(*step, active.posted.staleness_bound),
        });
        job.collect()
    }

    fn scheduler_conditions(&self, jobs: &[Job]) -> Conditions {
        let usable = self.workers.workers.iter().filter(|worker| worker.live && !worker.leaving);
        let (capacity, busy) = usable.fold((0, 0), |(capacity, busy), worker| {
            (capacity + worker.capacity, busy + worker.running + worker.queued)
        });
        let idle = capacity.saturating_sub(busy);
        let running = jobs.iter().map(|job| job.running_attempts).sum();
        let config = self.config.borrow();
        Conditions {
            quota: scheduler::quota(capacity, idle, running, &config.shares),
            newest_version: self.newest_version(),
            sample_time: self.mean_sample_time,
            idle_share: config.idle_share,
        }
    }

    fn start_hedges(&mut self, now: Instant, quota: usize) {
        let running: usize =
            self.active_rounds.values().map(|active| active.round.running_attempts()).sum();
        let mut free_quota = quota.saturating_sub(running);
        let steps: Vec<u64> = self.active_rounds.keys().copied().collect();
        for step in steps {
            let active = &self.active_rounds[&step];
            let stragglers = straggler::find(&active.round, now);
            let (max_tokens, staleness_bound) =
                (active.posted.max_tokens, active.posted.staleness_bound);
            for key in stragglers {
                let active = &self.active_rounds[&step];
                let first = active.round.slot(key).attempts[0].id;
                let tokens = active.running.get(&first).map_or(0, Running::tokens);
                let cost = self.hedge_budget.cost(tokens, max_tokens);
                if free_quota == 0 || !self.hedge_budget.reserve(cost) {
                    return;
                }
                free_quota -= 1;
                if let Some(active) = self.active_rounds.get_mut(&step) {
                    active.reserved_tokens.insert(key, cost);
                }
                let min_version = self.forecast.min_useful_version(step, staleness_bound);
                self.start_attempt(Start { step, key, min_version }, Some(first));
            }
        }
    }

    fn request_id(&self, step: u64, key: Key, attempt: u64) -> String {
        format!("{}/{step}/{key}/{}.{attempt}", self.trainer, self.epoch)
    }

    /// Starts an attempt. For a hedge, `first` is the ID of the first attempt.
    fn start_attempt(&mut self, start: Start, first: Option<u64>) {
        let Start { step, key, min_version } = start;
        self.last_attempt_id += 1;
        let (attempt, hedge) = (self.last_attempt_id, first.is_some());
        if hedge {
            self.context.metrics.count_hedge(&self.trainer);
        }
        // The gateway of the first attempt knows its worker and sends the hedge to another one.
        let running = first.and_then(|first| self.active_rounds[&step].running.get(&first));
        let first_gateway = running.and_then(|running| running.gateway);
        let gateway = first_gateway.or_else(|| self.context.gateways.choose());
        let avoid = first.map(|first| self.request_id(step, key, first)).into_iter().collect();
        let config = self.config.borrow().clone();
        let active = &self.active_rounds[&step];
        let dispatch = Dispatch {
            request_id: self.request_id(step, key, attempt),
            service: config.service,
            team: config.team,
            trainer: self.trainer.clone(),
            prompt: active.posted.prompts[key.group as usize].clone(),
            max_tokens: active.posted.max_tokens,
            priority: config.priority,
            deadline_ms: u64::try_from(config.timeout.as_millis()).unwrap_or(u64::MAX),
            min_version,
            avoid,
        };
        Line::new("sample_started")
            .with("request", &dispatch.request_id)
            .with("min_version", min_version.unwrap_or(0))
            .with("reason", if hedge { "straggler" } else { "open" })
            .info();
        let tokens = Arc::new(AtomicU32::new(0));
        let (gateways, counter) = (self.context.gateways.clone(), tokens.clone());
        let abort = self.spawn(async move {
            let result = attempt::run(gateways, gateway, dispatch, counter).await;
            Event::Attempt(attempt::Outcome { step, key, attempt, result })
        });
        let started_at = self.context.clock.now();
        if let Some(active) = self.active_rounds.get_mut(&step) {
            active.round.start_attempt(key, Attempt { id: attempt, started_at, hedge, tokens: 0 });
            active.running.insert(attempt, Running { abort, tokens, gateway });
        }
    }

    /// Handles the end of an attempt.
    pub(super) fn attempt_ended(&mut self, outcome: attempt::Outcome) {
        let attempt::Outcome { step, key, attempt, result } = outcome;
        let Some(active) = self.active_rounds.get_mut(&step) else { return };
        let Some(running) = active.running.remove(&attempt) else { return };
        let is_hedged = active.round.slot(key).attempts.len() > 1;
        match result {
            Ok((sample, worker)) => {
                self.consecutive_failures = 0;
                self.attempt_succeeded(step, key, attempt, sample, &worker);
            }
            Err(reason) => {
                self.context.metrics.count_attempt(&self.trainer, "failed");
                active.round.fail_attempt(key, attempt);
                if is_hedged {
                    let reserved = active.reserved_tokens.remove(&key).unwrap_or(0);
                    self.hedge_budget.settle(reserved, running.tokens());
                }
                let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
                self.paused_until =
                    self.context.clock.now().after(FAILURE_BACKOFF * 2_u32.pow(doublings));
                self.consecutive_failures += 1;
                Line::new("sample_failed")
                    .with("request", self.request_id(step, key, attempt))
                    .with("reason", reason)
                    .warn();
            }
        }
        self.start_samples();
    }

    fn attempt_succeeded(
        &mut self,
        step: u64,
        key: Key,
        attempt: u64,
        sample: filbertsail_rollout::round::Sample,
        worker: &str,
    ) {
        let request = self.request_id(step, key, attempt);
        let (tokens, text, took) = (sample.tokens, sample.text.clone(), sample.took);
        let Some(active) = self.active_rounds.get_mut(&step) else { return };
        let Finish::Accepted { losers } = active.round.complete_attempt(key, attempt, sample)
        else {
            return;
        };
        for loser in losers {
            let Some(running) = active.running.remove(&loser) else { continue };
            running.abort.abort();
            let reserved = active.reserved_tokens.remove(&key).unwrap_or(0);
            self.hedge_budget.settle(reserved, running.tokens());
            self.context.metrics.count_tokens(&self.trainer, "lost", running.tokens());
        }
        self.context.metrics.count_attempt(&self.trainer, "whole");
        self.context.metrics.count_tokens(&self.trainer, "won", tokens);
        self.hedge_budget.accepted_tokens += u64::from(tokens);
        self.hedge_budget.accepted_responses += 1;
        if let Some(took) = took {
            self.context.metrics.record_sample_time(&self.trainer, took.as_secs_f64());
            self.mean_sample_time = Some(self.mean_sample_time.map_or(took, |mean| {
                mean.mul_f64(1.0 - SAMPLE_TIME_SMOOTHING) + took.mul_f64(SAMPLE_TIME_SMOOTHING)
            }));
        }
        Line::new("sample_finished")
            .with("request", request)
            .with("worker", worker)
            .with("tokens", tokens)
            .info();
        self.request_score(step, key, text);
    }

    /// Requests the score of a sample, if the round names a scorer.
    pub(super) fn request_score(&mut self, step: u64, key: Key, text: String) {
        let Some(active) = self.active_rounds.get_mut(&step) else { return };
        let Some(scorer) = active.posted.scorer.clone() else { return };
        if !active.scoring.insert((key, text.clone())) {
            return;
        }
        let id = format!("{}/{step}/{key}", self.trainer);
        let prompt = active.posted.prompts[key.group as usize].clone();
        let request = ScoreRequest { id, prompt, text: text.clone() };
        let (http, permits) = (self.context.http.clone(), self.scorer_permits.clone());
        self.spawn(async move {
            let score = score::run(http, permits, scorer, request).await;
            Event::Scored(score::Outcome { step, key, text, score })
        });
    }

    /// Writes new bodies of groups and listings to the object store.
    pub(super) fn store_bodies(&mut self) {
        let mut bodies = Vec::new();
        for (step, active) in &mut self.active_rounds {
            let groups = active.complete_groups(self.draining);
            bodies.extend(groups.into_iter().map(|(object, body)| (*step, object, body)));
            let listing = active.complete_listing(self.epoch);
            bodies.extend(listing.map(|(object, body)| (*step, object, body)));
        }
        for (step, object, body) in bodies {
            let object_store = self.context.store.clone();
            self.spawn(async move {
                store::put(object_store, &object, body).await;
                Event::Stored(store::Outcome { step, object })
            });
        }
    }
}
