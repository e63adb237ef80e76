//! Starts, second starts and replacements of samples.

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

use super::{Event, attempt, score, store, term::Term, work::Running};
use crate::gateways::Gateways;

/// Time between two surveys of the workers.
const SURVEY_PERIOD: Duration = Duration::from_millis(500);
const SURVEY_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed attempt, doubled with each further failure in a row.
const PAUSE: Duration = Duration::from_millis(50);
const MAX_PAUSE_DOUBLINGS: u32 = 5;
/// Weight of the newest sample in the usual sample time.
const TIME_WEIGHT: f64 = 0.1;

impl<T: Table, S: Store, G: Gateways, C: Source> Term<T, S, G, C> {
    /// Asks a gateway for the workers, now and then.
    pub(super) fn survey(&mut self) {
        let now = self.ports.clock.now();
        let due = self.surveyed_at.is_none_or(|at| now.since(at) >= SURVEY_PERIOD);
        if self.surveying || !due {
            return;
        }
        (self.surveying, self.surveyed_at) = (true, Some(now));
        let gateways = self.ports.gateways.clone();
        let service = self.plan.borrow().service.clone();
        self.spawn(async move {
            let reply = gateways.ask(Survey { service }.into(), SURVEY_TIMEOUT).await;
            Event::Surveyed(match reply {
                Ok(Frame::Workers(workers)) => Some(workers),
                _ => None,
            })
        });
    }

    /// Newest version that a worker reports.
    fn newest(&self) -> Option<u64> {
        let usable = self.workers.workers.iter().filter(|worker| worker.live && !worker.leaving);
        usable.filter_map(|worker| worker.weight_version).max()
    }

    /// Drops samples that will be too old at delivery while there is time to replace them.
    pub(super) fn replace_ahead(&mut self) {
        let (true, Some(newest)) = (self.ports.policy.replaces_before_fetch(), self.newest())
        else {
            return;
        };
        for (step, work) in &mut self.works {
            let Some(version) = self.forecast.expected_version(*step) else { continue };
            if self.ledger.is_settled(*step) || !work.replaceable(version, newest) {
                continue;
            }
            let dropped = work.drop_stale(version);
            if !dropped.is_empty() {
                self.ports.metrics.replaced(&self.trainer, dropped.len());
                Line::new("samples_replaced")
                    .with("trainer", &self.trainer)
                    .with("step", step)
                    .with("samples", dropped.len())
                    .with("expected_version", version)
                    .info();
            }
        }
    }

    /// Starts what the scheduler chooses, then second starts for stragglers.
    pub(super) fn schedule(&mut self) {
        let now = self.ports.clock.now();
        // Work continues while the table is down; its results are worth keeping either way.
        let acts = self.is_held() || self.is_detached();
        if !acts || self.draining || now < self.hold_until {
            return;
        }
        let jobs: Vec<Job> = self.jobs();
        let conditions = self.view(&jobs);
        for start in scheduler::plan(self.ports.policy, &jobs, &conditions, now) {
            self.start(start, None);
        }
        if self.ports.policy.hedges() {
            self.hedge(now, conditions.quota);
        }
    }

    fn jobs(&self) -> Vec<Job> {
        let now = self.ports.clock.now();
        let unsettled = self.works.iter().filter(|(step, _)| !self.ledger.is_settled(**step));
        let job = unsettled.map(|(step, work)| Job {
            step: *step,
            open_slots: work.round.open_slots().collect(),
            running_attempts: work.round.running_attempts(),
            missing_samples: work.round.slots().filter(|(_, slot)| slot.sample.is_none()).count(),
            // Without a forecast the round starts at once.
            due_at: self
                .demand
                .expected_fetch_at(*step)
                .unwrap_or(now)
                .min(work.round.spec().due_at),
            is_awaited: self.pending.iter().any(|pending| pending.fetch.step == *step),
            min_version: self.forecast.min_useful_version(*step, work.posted.staleness_bound),
        });
        job.collect()
    }

    fn view(&self, jobs: &[Job]) -> Conditions {
        let usable = self.workers.workers.iter().filter(|worker| worker.live && !worker.leaving);
        let (capacity, busy) = usable.fold((0, 0), |(capacity, busy), worker| {
            (capacity + worker.capacity, busy + worker.running + worker.queued)
        });
        let idle = capacity.saturating_sub(busy);
        let running = jobs.iter().map(|job| job.running_attempts).sum();
        let plan = self.plan.borrow();
        Conditions {
            quota: scheduler::quota(capacity, idle, running, &plan.claims),
            newest_version: self.newest(),
            sample_time: self.sample_time,
            idle_share: plan.idle_share,
        }
    }

    fn hedge(&mut self, now: Instant, quota: usize) {
        let running: usize = self.works.values().map(|work| work.round.running_attempts()).sum();
        let mut free = quota.saturating_sub(running);
        let steps: Vec<u64> = self.works.keys().copied().collect();
        for step in steps {
            let work = &self.works[&step];
            let slow = straggler::find(&work.round, now);
            let (max_tokens, bound) = (work.posted.max_tokens, work.posted.staleness_bound);
            for key in slow {
                let work = &self.works[&step];
                let first = work.round.slot(key).attempts[0].id;
                let tokens = work.running.get(&first).map_or(0, Running::tokens);
                let cost = self.budget.cost(tokens, max_tokens);
                if free == 0 || !self.budget.reserve(cost) {
                    return;
                }
                free -= 1;
                if let Some(work) = self.works.get_mut(&step) {
                    work.reserved.insert(key, cost);
                }
                let min_version = self.forecast.min_useful_version(step, bound);
                self.start(Start { step, key, min_version }, Some(first));
            }
        }
    }

    fn request_id(&self, step: u64, key: Key, attempt: u64) -> String {
        format!("{}/{step}/{key}/{}.{attempt}", self.trainer, self.epoch)
    }

    /// Starts an attempt; for a second start `first` is the number of the first one.
    fn start(&mut self, start: Start, first: Option<u64>) {
        let Start { step, key, min_version } = start;
        self.attempts += 1;
        let (attempt, hedge) = (self.attempts, first.is_some());
        if hedge {
            self.ports.metrics.second_start(&self.trainer);
        }
        // The gateway of the first attempt knows its worker and gives the second start to another.
        let running = first.and_then(|first| self.works[&step].running.get(&first));
        let near = running.and_then(|running| running.gateway);
        let gateway = near.or_else(|| self.ports.gateways.choose());
        let avoid = first.map(|first| self.request_id(step, key, first)).into_iter().collect();
        let plan = self.plan.borrow().clone();
        let work = &self.works[&step];
        let dispatch = Dispatch {
            request_id: self.request_id(step, key, attempt),
            service: plan.service,
            team: plan.team,
            trainer: self.trainer.clone(),
            prompt: work.posted.prompts[key.group as usize].clone(),
            max_tokens: work.posted.max_tokens,
            priority: plan.priority,
            deadline_ms: u64::try_from(plan.timeout.as_millis()).unwrap_or(u64::MAX),
            min_version,
            avoid,
        };
        Line::new("sample_started")
            .with("request", &dispatch.request_id)
            .with("min_version", min_version.unwrap_or(0))
            .with("reason", if hedge { "straggler" } else { "open" })
            .info();
        let tokens = Arc::new(AtomicU32::new(0));
        let (gateways, counter) = (self.ports.gateways.clone(), tokens.clone());
        let abort = self.spawn(async move {
            let result = attempt::run(gateways, gateway, dispatch, counter).await;
            Event::Attempt(attempt::Outcome { step, key, attempt, result })
        });
        let started = self.ports.clock.now();
        if let Some(work) = self.works.get_mut(&step) {
            work.round.start_attempt(key, Attempt { id: attempt, started, hedge, tokens: 0 });
            work.running.insert(attempt, Running { abort, tokens, gateway });
        }
    }

    /// Decides on a finished or failed attempt.
    pub(super) fn attempt_ended(&mut self, outcome: attempt::Outcome) {
        let attempt::Outcome { step, key, attempt, result } = outcome;
        let Some(work) = self.works.get_mut(&step) else { return };
        let Some(running) = work.running.remove(&attempt) else { return };
        let pair = work.round.slot(key).attempts.len() > 1;
        match result {
            Ok((sample, worker)) => {
                self.failures = 0;
                self.won(step, key, attempt, sample, &worker);
            }
            Err(reason) => {
                self.ports.metrics.sample(&self.trainer, "failed");
                work.round.fail_attempt(key, attempt);
                if pair {
                    let reserved = work.reserved.remove(&key).unwrap_or(0);
                    self.budget.settle(reserved, running.tokens());
                }
                let doublings = self.failures.min(MAX_PAUSE_DOUBLINGS);
                self.hold_until = self.ports.clock.now().after(PAUSE * 2_u32.pow(doublings));
                self.failures += 1;
                Line::new("sample_failed")
                    .with("request", self.request_id(step, key, attempt))
                    .with("reason", reason)
                    .warn();
            }
        }
        self.schedule();
    }

    fn won(
        &mut self,
        step: u64,
        key: Key,
        attempt: u64,
        sample: filbertsail_rollout::round::Sample,
        worker: &str,
    ) {
        let request = self.request_id(step, key, attempt);
        let (tokens, text, took) = (sample.tokens, sample.text.clone(), sample.took);
        let Some(work) = self.works.get_mut(&step) else { return };
        let Finish::Accepted { losers } = work.round.complete_attempt(key, attempt, sample) else {
            return;
        };
        for loser in losers {
            let Some(running) = work.running.remove(&loser) else { continue };
            running.abort.abort();
            let reserved = work.reserved.remove(&key).unwrap_or(0);
            self.budget.settle(reserved, running.tokens());
            self.ports.metrics.tokens(&self.trainer, "lost", running.tokens());
        }
        self.ports.metrics.sample(&self.trainer, "whole");
        self.ports.metrics.tokens(&self.trainer, "won", tokens);
        self.budget.accepted_tokens += u64::from(tokens);
        self.budget.accepted_responses += 1;
        if let Some(took) = took {
            self.ports.metrics.sample_time(&self.trainer, took.as_secs_f64());
            self.sample_time = Some(self.sample_time.map_or(took, |usual| {
                usual.mul_f64(1.0 - TIME_WEIGHT) + took.mul_f64(TIME_WEIGHT)
            }));
        }
        Line::new("sample_finished")
            .with("request", request)
            .with("worker", worker)
            .with("tokens", tokens)
            .info();
        self.score(step, key, text);
    }

    /// Sends a sample to its scorer, if the round names one.
    pub(super) fn score(&mut self, step: u64, key: Key, text: String) {
        let Some(work) = self.works.get_mut(&step) else { return };
        let Some(scorer) = work.posted.scorer.clone() else { return };
        if !work.scoring.insert((key, text.clone())) {
            return;
        }
        let id = format!("{}/{step}/{key}", self.trainer);
        let prompt = work.posted.prompts[key.group as usize].clone();
        let request = ScoreRequest { id, prompt, text: text.clone() };
        let (http, limit) = (self.ports.http.clone(), self.scorers.clone());
        self.spawn(async move {
            let score = score::run(http, limit, scorer, request).await;
            Event::Scored(score::Outcome { step, key, text, score })
        });
    }

    /// Sends complete bodies to the object store.
    pub(super) fn store_bodies(&mut self) {
        let mut bodies = Vec::new();
        for (step, work) in &mut self.works {
            let groups = work.complete_groups(self.draining);
            bodies.extend(groups.into_iter().map(|(object, body)| (*step, object, body)));
            let listing = work.complete_listing(self.epoch);
            bodies.extend(listing.map(|(object, body)| (*step, object, body)));
        }
        for (step, object, body) in bodies {
            let port = self.ports.store.clone();
            self.spawn(async move {
                store::put(port, &object, body).await;
                Event::Put(store::Outcome { step, object })
            });
        }
    }
}
