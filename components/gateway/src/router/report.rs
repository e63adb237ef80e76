//! Monitoring input and state queries of the routing task.

use filbertsail_api::admin::{Answer, Backend, Candidate, Question};
use filbertsail_clock::{self as clock, Instant};
use filbertsail_config::inventory::Class;
use filbertsail_routing::{
    breaker,
    pace::Change,
    policy::{self, Eligibility, Policy},
    state::Request,
};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::frame;

use super::{CacheEvent, task::Task};
use crate::prompt;

impl<P: Policy, C: clock::Source> Task<P, C> {
    pub(super) fn record_contact(&mut self, worker: &str, reached: bool) {
        let Some(key) = self.fleet.worker_key(worker) else { return };
        if let Some(worker) = self.fleet.worker_mut(key) {
            worker.failed_contacts =
                if reached { 0 } else { worker.failed_contacts.saturating_add(1) };
            let live = worker.is_reachable();
            self.set_server_live(key, live);
        }
    }

    pub(super) fn record_cache_events(&mut self, worker: &str, events: &[CacheEvent], next: u64) {
        let Some(key) = self.fleet.worker_key(worker) else { return };
        if let Some(worker) = self.fleet.worker_mut(key) {
            for event in events {
                worker.prefixes.apply(event.seq, event.change, &event.prefix);
            }
            worker.prefixes.sync(next);
        }
    }

    pub(super) fn worker_states(&self, service: &str) -> Vec<frame::Worker> {
        let now = self.setup.clock.now();
        let Some(service) = self.fleet.service_key(service) else { return Vec::new() };
        let workers = self.fleet.workers().filter(|(_, worker)| worker.service == service);
        workers
            .map(|(_, worker)| {
                let report = worker.load.report();
                frame::Worker {
                    name: worker.name.clone(),
                    zone: self.fleet.zone(worker.zone).name.clone(),
                    live: worker.is_reachable(),
                    leaving: worker.departure.any(),
                    running: report.map_or(0, |report| report.running),
                    queued: report.map_or(0, |report| report.queued),
                    capacity: report.map_or(0, |report| report.capacity),
                    weight_version: worker.weight_version(now),
                    age_ms: report.map_or(u64::MAX, |report| {
                        u64::try_from(now.since(report.measured_at).as_millis()).unwrap_or(u64::MAX)
                    }),
                }
            })
            .collect()
    }

    pub(super) fn backends(&self) -> Vec<Backend> {
        let now = self.setup.clock.now();
        self.fleet
            .workers()
            .map(|(_, worker)| Backend {
                name: worker.name.clone(),
                service: self
                    .fleet
                    .service(worker.service)
                    .map_or_else(String::new, |service| service.config.name.clone()),
                zone: self.fleet.zone(worker.zone).name.clone(),
                live: worker.is_reachable(),
                leaving: worker.departure.any(),
                circuit: match worker.breaker.state() {
                    breaker::State::Closed => "closed",
                    breaker::State::Open { .. } => "open",
                    breaker::State::HalfOpen { .. } => "half_open",
                }
                .to_owned(),
                in_flight: worker.load.in_flight(),
                limit: worker.pace.limit(now),
                weight_version: worker.weight_version(now),
            })
            .collect()
    }

    /// Logs the ramps that began or ended, and counts those in progress.
    pub(super) fn report_ramps(&mut self, now: Instant) {
        self.fleet.expire_ramps(now);
        self.setup.metrics.set_worker_ramps(self.fleet.ramps(now));
        for (key, change) in self.fleet.take_ramp_changes() {
            let Some(worker) = self.fleet.worker(key) else { continue };
            let line = Line::new("worker_ramp").with("worker", &worker.name);
            match change {
                Change::Began(cause) => line.with("state", "began").with("cause", cause).info(),
                Change::Ended { cause, took, falls } => line
                    .with("state", "ended")
                    .with("cause", cause)
                    .with("took_ms", took.as_millis())
                    .with("falls", falls)
                    .info(),
            }
        }
    }

    pub(super) fn explain(&mut self, question: &Question) -> Option<Answer> {
        let now = self.setup.clock.now();
        let prefixes = question.prompt.as_deref().map(prompt::prefix_hashes).unwrap_or_default();
        let request = Request {
            service: self.fleet.service_key(&question.service)?,
            class: match question.class.as_deref() {
                Some("rollout") => Class::Rollout,
                _ => Class::Customer,
            },
            min_version: question.min_version,
            prefixes: &prefixes,
            excluded: &[],
        };
        let choice = self.setup.policy.choose(&self.fleet, &request, now, &mut self.rng);
        let eligibilities = policy::explain(&self.fleet, &request, now);
        let chosen = choice.and_then(|choice| self.fleet.worker(choice.worker));
        Some(Answer {
            candidates: eligibilities.iter().filter_map(|it| self.to_candidate(it)).collect(),
            chosen: chosen.map(|worker| worker.name.clone()),
            reason: choice.map_or_else(
                || "no_eligible_worker".to_owned(),
                |choice| choice.reason.to_string(),
            ),
        })
    }

    fn to_candidate(&self, eligibility: &Eligibility) -> Option<Candidate> {
        let worker = self.fleet.worker(eligibility.worker)?;
        Some(Candidate {
            name: worker.name.clone(),
            zone: self.fleet.zone(worker.zone).name.clone(),
            eligible: eligibility.exclusion.is_none(),
            expected_wait_ms: Some(eligibility.expected_wait_ms),
            reason: eligibility
                .exclusion
                .map_or_else(|| "eligible".to_owned(), |exclusion| exclusion.to_string()),
        })
    }
}
