//! Task that holds the lease on usage reports and calls the platform.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_cluster::lease::Grant;
use filbertsail_ports::{
    duty::{Fault, Platform},
    store::Store,
};
use filbertsail_telemetry::event::Line;
use filbertsail_usage::{
    Report, Schedule, Window,
    report::{Event, Limits, Moment},
};
use tokio::{task::JoinSet, time::sleep};

use super::{super::Context, clock::Clock, steps::Steps};
use crate::duty::Lease;

/// Scope of the lease.
const SCOPE: &str = "usage";
/// Time between two looks at the lease and the next step.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Result of a step in progress.
enum Done {
    Report(Event),
    /// Time until the next confirmation; absent if the time is not agreed.
    Clock(Option<Duration>),
}

/// Reports of this VM while it holds the lease.
pub(super) struct Reporter<S, P> {
    context: Context<S, P>,
    lease: Lease<S>,
    clock: Clock<S>,
    window: Window,
    limits: Limits,
    report: Report,
    /// Step in progress with the start of the term to which it belongs; at most one.
    step: JoinSet<(Instant, Done)>,
    /// Present epoch, and when this VM last became its holder.
    term: Option<(u64, Instant)>,
    schedule: Schedule,
    steps_started: u64,
}

impl<S: Store, P: Platform> Reporter<S, P> {
    pub fn new(context: Context<S, P>, clock: Clock<S>, window: Window, due: Duration) -> Self {
        let limits = Limits { window, due, calls_per_s: context.settings.calls_per_s };
        Self {
            lease: context.lease(SCOPE.to_owned()),
            context,
            clock,
            window,
            limits,
            report: Report::new(limits),
            step: JoinSet::new(),
            term: None,
            schedule: Schedule::default(),
            steps_started: 0,
        }
    }

    pub async fn run(mut self) {
        let mut stopping = self.context.shared.stopping.subscribe();
        while !*stopping.borrow() {
            let grant = self.lease.step().await;
            self.follow_term(grant);
            while let Some(done) = self.step.try_join_next() {
                self.record(done);
            }
            if let Some(grant) = grant
                && self.step.is_empty()
            {
                self.start_step(grant);
            }
            tokio::select! {
                () = sleep(ROUND_INTERVAL) => {}
                Some(done) = self.step.join_next() => self.record(done),
                _ = stopping.wait_for(|stopping| *stopping) => {}
            }
        }
        // The next holder waits for the lifetime of a call from the release on.
        while self.step.join_next().await.is_some() {}
        self.lease.release().await;
        self.context.shared.metrics.set_usage_age(0.0);
    }

    /// Starts anew with each term: another holder may have acted in between.
    fn follow_term(&mut self, grant: Option<Grant>) {
        let epoch = grant.map(|grant| grant.epoch);
        if epoch == self.term.map(|(epoch, _)| epoch) {
            return;
        }
        let now = self.context.shared.now();
        self.term = epoch.map(|epoch| (epoch, now));
        self.report = Report::new(self.limits);
        self.schedule = Schedule::new(self.clock.restarts(), now);
        self.context.shared.metrics.set_usage_age(0.0);
    }

    fn start_step(&mut self, grant: Grant) {
        let now = self.context.shared.now();
        let Some((_, since)) = self.term else { return };
        let (has_agreement, restarts) =
            (self.clock.agreement(now).is_some(), self.clock.restarts());
        if let Some(waited) = self.schedule.begin(has_agreement, restarts, now) {
            let clock = self.clock.clone();
            self.step
                .spawn(async move { (since, Done::Clock(clock.agree(waited, restarts).await)) });
            return;
        }
        let Some(moment) = self.moment(now, grant) else { return };
        let age = self.report.age(moment.true_ms).unwrap_or_default();
        self.context.shared.metrics.set_usage_age(age.as_secs_f64());
        if let Some(action) = self.report.next(moment) {
            self.steps_started += 1;
            let steps = Steps {
                shared: self.context.shared.clone(),
                store: self.context.store.clone(),
                platform: self.context.platform.clone(),
                window: self.window,
                grant,
                age,
                number: self.steps_started,
            };
            self.step.spawn(async move { (since, Done::Report(steps.perform(action).await)) });
        }
    }

    /// What the next step is decided on; nothing without an agreed time.
    fn moment(&self, now: Instant, grant: Grant) -> Option<Moment> {
        let agreement = self.clock.agreement(now)?;
        let true_time = self.clock.mapping(now)?;
        let link = *self.context.shared.link.borrow();
        let of_store = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX) + agreement.offset_ms;
        let returned = link.returned.map_or(i64::MIN, &true_time);
        Some(Moment {
            now,
            true_ms: true_time(now),
            writable_since_ms: of_store(agreement.agreed_ms).max(returned),
            started_ms: of_store(agreement.started_ms),
            vms: self.context.peers.len() + 1,
            may_call: grant.allows_orders(now, false),
        })
    }

    fn record(&mut self, done: Result<(Instant, Done), tokio::task::JoinError>) {
        let now = self.context.shared.now();
        let Some((_, term)) = self.term else { return };
        // A step that panicked has an unknown outcome.
        let (since, done) = done.unwrap_or((term, Done::Report(Event::Failed)));
        if since != term {
            return;
        }
        match done {
            Done::Clock(interval) => self.schedule.record(interval, now),
            Done::Report(event) => {
                let window = self.report.window();
                let is_refused =
                    matches!(event, Event::Sent(Err(Fault::Invalid(_) | Fault::SoldOut)));
                self.report.record(event, now);
                if is_refused && self.report.is_given_up() {
                    Line::new("usage_report_abandoned").with("window", window.unwrap_or(0)).error();
                }
            }
        }
    }
}
