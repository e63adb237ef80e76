//! Task of one model service: rolls out new weights to its workers while this controller holds the
//! lease on them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use filbertsail_clock::{Instant, Source};
use filbertsail_cluster::lease::Grant;
use filbertsail_errors::Verdict;
use filbertsail_ports::weight::Store;
use filbertsail_rollout::wave::{self, Pace, Wave, Worker};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::{
    Frame,
    frame::{Order, Outcome, Survey, Workers},
    link,
};
use tokio::{
    sync::{Semaphore, watch},
    task::JoinSet,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{gateways::Gateways, metrics::Metrics};

/// Time between two surveys of the workers; orders are planned at the same interval.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
const SURVEY_TIMEOUT: Duration = Duration::from_secs(5);
/// Age at which the report of a worker is discarded.
const REPORT_MAX_AGE: Duration = Duration::from_secs(10);
const MAX_CONCURRENT_ORDERS: usize = 64;
/// Time between two queries of the latest version from the weight store.
const LATEST_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Configuration of the weight rollout of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    pub service: String,
    /// Whether the engines refuse orders with an old fencing token.
    pub checks_fence: bool,
    /// Limits on the number of workers that swap weights at once.
    pub wave: wave::Limits,
}

/// Dependencies of the task.
#[derive(Clone)]
pub struct Context<W, G, C> {
    /// Client of the weight store.
    pub weights: W,
    /// Client of the gateways.
    pub gateways: G,
    /// Clock that lease deadlines refer to.
    pub clock: C,
    /// Longest time after which an order may still take effect.
    pub order_lifetime: Duration,
    /// Whether the table service answered the last call.
    pub table: watch::Receiver<bool>,
    pub metrics: Metrics,
}

enum Event {
    Latest(Option<u64>),
    Surveyed(Result<Workers, String>),
    Answered(String, Result<Outcome, Failure>),
}

/// Why an order has no outcome.
struct Failure {
    verdict: Verdict,
    reason: String,
}

struct Task<W, G, C> {
    context: Context<W, G, C>,
    config: watch::Receiver<Config>,
    grant: Option<Grant>,
    /// Newest epoch of this controller whose order an engine refused as old; 0 if none.
    superseded_epoch: u64,
    wave: Option<Wave>,
    pace: Pace,
    reports: HashMap<String, Worker>,
    /// Reports from before this time are ignored under the current lease.
    min_report_time: Instant,
    querying_latest: bool,
    surveying: bool,
    latest_queried_at: Option<Instant>,
    completion_logged: bool,
    order_permits: Arc<Semaphore>,
    tasks: JoinSet<Event>,
}

/// Runs the task until `stop` is cancelled, then waits for the orders in flight.
pub async fn run<W: Store, G: Gateways, C: Source>(
    context: Context<W, G, C>,
    config: watch::Receiver<Config>,
    mut grants: watch::Receiver<Option<Grant>>,
    stop: CancellationToken,
) {
    let mut task = Task {
        context,
        config,
        grant: None,
        superseded_epoch: 0,
        wave: None,
        pace: Pace::default(),
        reports: HashMap::new(),
        min_report_time: Instant::default(),
        querying_latest: false,
        surveying: false,
        latest_queried_at: None,
        completion_logged: false,
        order_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
        tasks: JoinSet::new(),
    };
    task.set_grant(*grants.borrow_and_update());
    let mut tick = time::interval(PLAN_INTERVAL);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            changed = grants.changed() => {
                if changed.is_err() { break }
                task.set_grant(*grants.borrow_and_update());
            }
            Some(Ok(event)) = task.tasks.join_next() => task.handle_event(event),
            _ = tick.tick() => task.on_tick(),
        }
    }
    while task.tasks.join_next().await.is_some() {}
}

impl<W: Store, G: Gateways, C: Source> Task<W, G, C> {
    /// Whether the lease may be used past its deadline: while the table does not answer, a takeover
    /// cannot be observed, and if there was one, the engines refuse the old epoch.
    fn may_act_without_table(&self) -> bool {
        self.config.borrow().checks_fence && !*self.context.table.borrow()
    }

    fn set_grant(&mut self, grant: Option<Grant>) {
        if grant.is_none() && self.may_act_without_table() {
            return;
        }
        let epoch = |grant: Option<Grant>| grant.map(|it| it.epoch);
        if epoch(grant) != epoch(self.grant) {
            // Only reports made when no order of an earlier holder can still be in flight show
            // the effect of its orders.
            self.wave = None;
            self.reports.clear();
            let now = self.context.clock.now();
            let waiting = grant.filter(|_| !self.config.borrow().checks_fence);
            self.min_report_time = waiting.map_or(now, |it| it.orders_allowed_from.max(now));
        }
        self.grant = grant;
    }

    /// Lease under which orders may be sent now.
    fn may_order(&self) -> Option<Grant> {
        let checks_fence = self.config.borrow().checks_fence;
        let now = self.context.clock.now();
        let without_table = self.may_act_without_table();
        self.grant.filter(|it| {
            it.epoch > self.superseded_epoch
                && (without_table || it.allows_orders(now, checks_fence))
        })
    }

    fn on_tick(&mut self) {
        let now = self.context.clock.now();
        let without_table = self.may_act_without_table();
        if !self.grant.is_some_and(|it| {
            it.epoch > self.superseded_epoch && (without_table || it.is_valid(now))
        }) {
            return;
        }
        self.query_latest(now);
        self.survey_workers();
        self.plan_orders(now);
    }

    fn query_latest(&mut self, now: Instant) {
        if self.querying_latest
            || self.latest_queried_at.is_some_and(|at| now.since(at) < LATEST_POLL_INTERVAL)
        {
            return;
        }
        (self.querying_latest, self.latest_queried_at) = (true, Some(now));
        let (weights, service) =
            (self.context.weights.clone(), self.config.borrow().service.clone());
        self.tasks.spawn(async move {
            let latest = weights.latest(&service).await;
            Event::Latest(latest.ok().map(|latest| latest.version))
        });
    }

    fn survey_workers(&mut self) {
        if std::mem::replace(&mut self.surveying, true) {
            return;
        }
        let (gateways, service) =
            (self.context.gateways.clone(), self.config.borrow().service.clone());
        self.tasks.spawn(async move {
            let reply = gateways.call_unary(Survey { service }.into(), SURVEY_TIMEOUT).await;
            Event::Surveyed(match reply {
                Ok(Frame::Workers(workers)) => Ok(workers),
                Ok(_) => Err("gateway sent an unexpected reply to a survey".to_owned()),
                Err(error) => Err(error.to_string()),
            })
        });
    }

    fn plan_orders(&mut self, now: Instant) {
        let Some(grant) = self.may_order() else { return };
        self.reports.retain(|_, worker| now.since(worker.reported_at) < REPORT_MAX_AGE);
        let workers: Vec<Worker> = self.reports.values().cloned().collect();
        let config = self.config.borrow().clone();
        let Some(wave) = &mut self.wave else { return };
        let orders = wave.plan(&workers, &config.wave, now);
        self.pace = wave.pace();
        let complete = !workers.is_empty() && wave.is_complete(&workers);
        if complete && !std::mem::replace(&mut self.completion_logged, true) {
            Line::new("weights_rolled_out")
                .with("service", &config.service)
                .with("version", wave.target())
                .with("workers", workers.len())
                .info();
        }
        for order in orders {
            self.send_order(&config, grant, order);
        }
    }

    fn send_order(&mut self, config: &Config, grant: Grant, order: wave::Order) {
        let (gateways, clock) = (self.context.gateways.clone(), self.context.clock.clone());
        let (order_permits, order_lifetime) =
            (self.order_permits.clone(), self.context.order_lifetime);
        let id = format!(
            "{}/{}/{}/{}.{}",
            config.service, order.worker, order.version, grant.epoch, order.attempt
        );
        Line::new("weights_ordered")
            .with("order", &id)
            .with("version", order.version)
            .with("reason", if order.attempt > 1 { "again" } else { "wave" })
            .info();
        let scope = scope(&config.service);
        let (checks_fence, table) = (config.checks_fence, self.context.table.clone());
        self.tasks.spawn(async move {
            // The semaphore is never closed.
            let _permit = order_permits.acquire().await;
            let now = clock.now();
            let without_table = checks_fence && !*table.borrow();
            if !(without_table || grant.is_valid(now)) {
                let (verdict, reason) =
                    (Verdict::NotRun, "lease expired before the order was sent".to_owned());
                return Event::Answered(order.worker, Err(Failure { verdict, reason }));
            }
            let life_ms = u64::try_from(order_lifetime.as_millis()).unwrap_or(u64::MAX);
            let (worker, epoch, load_version) = (order.worker.clone(), grant.epoch, order.version);
            let request = Order { worker, id, load_version, scope, epoch, life_ms };
            let reply = gateways.call_unary(request.into(), order_lifetime).await;
            Event::Answered(
                order.worker,
                match reply {
                    Ok(Frame::Outcome(outcome)) => Ok(outcome),
                    Ok(_) => Err(link::Error::Unexpected.into()),
                    Err(error) => Err(error),
                }
                .map_err(|error| Failure { verdict: error.verdict(), reason: error.to_string() }),
            )
        });
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Latest(latest) => {
                self.querying_latest = false;
                let known = self.wave.as_ref().map(Wave::target);
                if let Some(version) = latest.filter(|it| known.is_none_or(|known| *it > known)) {
                    let pace = self.pace;
                    self.wave.get_or_insert_with(|| Wave::new(version, pace)).retarget(version);
                    self.completion_logged = false;
                }
            }
            Event::Surveyed(workers) => {
                self.surveying = false;
                match workers {
                    Ok(workers) => self.merge_reports(workers),
                    Err(reason) => Line::new("survey_failed").with("reason", reason).warn(),
                }
            }
            Event::Answered(worker, answer) => self.order_answered(&worker, answer),
        }
    }

    fn merge_reports(&mut self, workers: Workers) {
        let now = self.context.clock.now();
        for worker in workers.workers {
            let reported_at = now.before(Duration::from_millis(worker.age_ms));
            let known = self.reports.get(&worker.name);
            let newer = known.is_none_or(|known| known.reported_at <= reported_at);
            if !newer || reported_at < self.min_report_time {
                continue;
            }
            let usable = worker.live && !worker.leaving;
            let (name, zone, version) = (worker.name, worker.zone, worker.weight_version);
            let report = Worker { name: name.clone(), zone, usable, version, reported_at };
            self.reports.insert(name, report);
        }
    }

    fn order_answered(&mut self, worker: &str, answer: Result<Outcome, Failure>) {
        let Some(grant) = self.grant else { return };
        let result = match &answer {
            Ok(outcome) if outcome.accepted => "accepted",
            Ok(_) => "refused",
            Err(_) => "failed",
        };
        self.context.metrics.count_order(&self.config.borrow().service, result);
        match answer {
            Ok(outcome) if outcome.accepted => {}
            Ok(outcome) if outcome.epoch > grant.epoch => {
                self.superseded_epoch = grant.epoch;
                Line::new("weights_superseded")
                    .with("worker", worker)
                    .with("epoch", grant.epoch)
                    .with("seen", outcome.epoch)
                    .warn();
            }
            Ok(_) => self.order_refused(worker, "refused"),
            Err(Failure { verdict: Verdict::NotRun, reason }) => {
                self.order_refused(worker, &reason)
            }
            // The order may have arrived: a report or the swap timeout decides.
            Err(Failure { reason, .. }) => {
                Line::new("order_failed").with("worker", worker).with("reason", reason).warn();
            }
        }
    }

    fn order_refused(&mut self, worker: &str, reason: &str) {
        if let Some(wave) = &mut self.wave {
            wave.cancel_order(worker);
        }
        Line::new("order_failed").with("worker", worker).with("reason", reason).warn();
    }
}

/// Scope of the lease on the weights of a service.
#[must_use]
pub fn scope(service: &str) -> String {
    format!("weights/{service}")
}
