//! Task of one model service: rolls out new weights while the lease is held.

use std::{collections::HashMap, sync::Arc, time::Duration};

use filbertsail_clock::{Instant, Source};
use filbertsail_cluster::lease::Holding;
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

/// Time between two looks at the workers.
const TICK: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a report says nothing about a worker.
const REPORT_LIFE: Duration = Duration::from_secs(10);
/// Orders under way at a time.
const PARALLEL_ORDERS: usize = 64;
/// Time between two questions to the weight store, per service.
const LATEST_PERIOD: Duration = Duration::from_secs(1);

/// What the configuration says about the weights of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Service name.
    pub service: String,
    /// Workers refuse orders that carry an old fencing number.
    pub checks_fence: bool,
    /// Limits on a wave.
    pub wave: wave::Limits,
}

/// What the task works with.
#[derive(Clone)]
pub struct Ports<W, G, C> {
    /// Weight store.
    pub weights: W,
    /// Gateways.
    pub gateways: G,
    /// Clock of the lease deadlines.
    pub clock: C,
    /// Longest time for which an order may take effect.
    pub order_life: Duration,
    /// Whether the table service answered last.
    pub table: watch::Receiver<bool>,
    /// Metrics.
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
    ports: Ports<W, G, C>,
    rules: watch::Receiver<Rules>,
    holding: Option<Holding>,
    /// Epoch under which an engine refused an order as old.
    lost: u64,
    wave: Option<Wave>,
    pace: Pace,
    reports: HashMap<String, Worker>,
    /// Time of the earliest report that counts in this term.
    reports_from: Instant,
    asking: bool,
    surveying: bool,
    latest_at: Option<Instant>,
    done: bool,
    orders: Arc<Semaphore>,
    tasks: JoinSet<Event>,
}

/// Runs the task until `stop`; orders under way are then waited for.
pub async fn run<W: Store, G: Gateways, C: Source>(
    ports: Ports<W, G, C>,
    rules: watch::Receiver<Rules>,
    mut holding: watch::Receiver<Option<Holding>>,
    stop: CancellationToken,
) {
    let mut task = Task {
        ports,
        rules,
        holding: None,
        lost: 0,
        wave: None,
        pace: Pace::default(),
        reports: HashMap::new(),
        reports_from: Instant::default(),
        asking: false,
        surveying: false,
        latest_at: None,
        done: false,
        orders: Arc::new(Semaphore::new(PARALLEL_ORDERS)),
        tasks: JoinSet::new(),
    };
    task.hold(*holding.borrow_and_update());
    let mut tick = time::interval(TICK);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            changed = holding.changed() => {
                if changed.is_err() { break }
                task.hold(*holding.borrow_and_update());
            }
            Some(Ok(event)) = task.tasks.join_next() => task.event(event),
            _ = tick.tick() => task.tick(),
        }
    }
    while task.tasks.join_next().await.is_some() {}
}

impl<W: Store, G: Gateways, C: Source> Task<W, G, C> {
    /// Whether the lease may be used past its deadline: nobody can be seen to take it while the table
    /// does not answer, and if somebody has taken it after all, the engines refuse the old epoch.
    fn is_detached(&self) -> bool {
        self.rules.borrow().checks_fence && !*self.ports.table.borrow()
    }

    fn hold(&mut self, holding: Option<Holding>) {
        if holding.is_none() && self.is_detached() {
            return;
        }
        let epoch = |holding: Option<Holding>| holding.map(|it| it.epoch);
        if epoch(holding) != epoch(self.holding) {
            // What an earlier holder ordered is learnt from reports that were made when none of its
            // orders was on its way any more.
            self.wave = None;
            self.reports.clear();
            let now = self.ports.clock.now();
            let waits = holding.filter(|_| !self.rules.borrow().checks_fence);
            self.reports_from = waits.map_or(now, |it| it.orders_from.max(now));
        }
        self.holding = holding;
    }

    /// Lease under which orders may be given now.
    fn may_order(&self) -> Option<Holding> {
        let checks = self.rules.borrow().checks_fence;
        let now = self.ports.clock.now();
        let detached = self.is_detached();
        self.holding.filter(|it| it.epoch > self.lost && (detached || it.may_order(now, checks)))
    }

    fn tick(&mut self) {
        let now = self.ports.clock.now();
        let detached = self.is_detached();
        if !self.holding.is_some_and(|it| it.epoch > self.lost && (detached || it.is_valid(now))) {
            return;
        }
        self.ask_latest(now);
        self.survey();
        self.plan(now);
    }

    fn ask_latest(&mut self, now: Instant) {
        if self.asking || self.latest_at.is_some_and(|at| now.since(at) < LATEST_PERIOD) {
            return;
        }
        (self.asking, self.latest_at) = (true, Some(now));
        let (weights, service) = (self.ports.weights.clone(), self.rules.borrow().service.clone());
        self.tasks.spawn(async move {
            let latest = weights.latest(&service).await;
            Event::Latest(latest.ok().map(|latest| latest.version))
        });
    }

    fn survey(&mut self) {
        if std::mem::replace(&mut self.surveying, true) {
            return;
        }
        let (gateways, service) =
            (self.ports.gateways.clone(), self.rules.borrow().service.clone());
        self.tasks.spawn(async move {
            let reply = gateways.ask(Survey { service }.into(), CALL_TIMEOUT).await;
            Event::Surveyed(match reply {
                Ok(Frame::Workers(workers)) => Ok(workers),
                Ok(_) => Err("unexpected reply".to_owned()),
                Err(error) => Err(error.to_string()),
            })
        });
    }

    fn plan(&mut self, now: Instant) {
        let Some(holding) = self.may_order() else { return };
        self.reports.retain(|_, worker| now.since(worker.reported_at) < REPORT_LIFE);
        let workers: Vec<Worker> = self.reports.values().cloned().collect();
        let rules = self.rules.borrow().clone();
        let Some(wave) = &mut self.wave else { return };
        let orders = wave.plan(&workers, &rules.wave, now);
        self.pace = wave.pace();
        let complete = !workers.is_empty() && wave.is_complete(&workers);
        if complete && !std::mem::replace(&mut self.done, true) {
            Line::new("weights_rolled_out")
                .with("service", &rules.service)
                .with("version", wave.target())
                .with("workers", workers.len())
                .info();
        }
        for order in orders {
            self.order(&rules, holding, order);
        }
    }

    fn order(&mut self, rules: &Rules, holding: Holding, order: wave::Order) {
        let (gateways, clock) = (self.ports.gateways.clone(), self.ports.clock.clone());
        let (permits, life) = (self.orders.clone(), self.ports.order_life);
        let id = format!(
            "{}/{}/{}/{}.{}",
            rules.service, order.worker, order.version, holding.epoch, order.attempt
        );
        Line::new("weights_ordered")
            .with("order", &id)
            .with("version", order.version)
            .with("reason", if order.attempt > 1 { "again" } else { "wave" })
            .info();
        let scope = scope(&rules.service);
        let (checks_fence, table) = (rules.checks_fence, self.ports.table.clone());
        self.tasks.spawn(async move {
            // The semaphore is never closed.
            let _permit = permits.acquire().await;
            let now = clock.now();
            let detached = checks_fence && !*table.borrow();
            if !(detached || holding.is_valid(now)) {
                let (verdict, reason) = (Verdict::NotRun, "lease expired".to_owned());
                return Event::Answered(order.worker, Err(Failure { verdict, reason }));
            }
            let life_ms = u64::try_from(life.as_millis()).unwrap_or(u64::MAX);
            let (worker, epoch, load_version) =
                (order.worker.clone(), holding.epoch, order.version);
            let request = Order { worker, id, load_version, scope, epoch, life_ms };
            let reply = gateways.ask(request.into(), life).await;
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

    fn event(&mut self, event: Event) {
        match event {
            Event::Latest(latest) => {
                self.asking = false;
                let known = self.wave.as_ref().map(Wave::target);
                if let Some(version) = latest.filter(|it| known.is_none_or(|known| *it > known)) {
                    let pace = self.pace;
                    self.wave.get_or_insert_with(|| Wave::new(version, pace)).retarget(version);
                    self.done = false;
                }
            }
            Event::Surveyed(workers) => {
                self.surveying = false;
                match workers {
                    Ok(workers) => self.report(workers),
                    Err(reason) => Line::new("survey_failed").with("reason", reason).warn(),
                }
            }
            Event::Answered(worker, answer) => self.answered(&worker, answer),
        }
    }

    fn report(&mut self, workers: Workers) {
        let now = self.ports.clock.now();
        for worker in workers.workers {
            let reported_at = now.before(Duration::from_millis(worker.age_ms));
            let known = self.reports.get(&worker.name);
            let newer = known.is_none_or(|known| known.reported_at <= reported_at);
            if !newer || reported_at < self.reports_from {
                continue;
            }
            let usable = worker.live && !worker.leaving;
            let (name, zone, version) = (worker.name, worker.zone, worker.weight_version);
            let report = Worker { name: name.clone(), zone, usable, version, reported_at };
            self.reports.insert(name, report);
        }
    }

    fn answered(&mut self, worker: &str, answer: Result<Outcome, Failure>) {
        let Some(holding) = self.holding else { return };
        let result = match &answer {
            Ok(outcome) if outcome.accepted => "accepted",
            Ok(_) => "refused",
            Err(_) => "failed",
        };
        self.ports.metrics.order(&self.rules.borrow().service, result);
        match answer {
            Ok(outcome) if outcome.accepted => {}
            Ok(outcome) if outcome.epoch > holding.epoch => {
                self.lost = holding.epoch;
                Line::new("weights_superseded")
                    .with("worker", worker)
                    .with("epoch", holding.epoch)
                    .with("seen", outcome.epoch)
                    .warn();
            }
            Ok(_) => self.refused(worker, "refused"),
            Err(Failure { verdict: Verdict::NotRun, reason }) => self.refused(worker, &reason),
            // The order may have arrived: only a report or the swap time limit tells.
            Err(Failure { reason, .. }) => {
                Line::new("order_failed").with("worker", worker).with("reason", reason).warn();
            }
        }
    }

    fn refused(&mut self, worker: &str, reason: &str) {
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
