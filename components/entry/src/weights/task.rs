//! Tasks that hold the weight leases and call the workers.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_clock::running;
use filbertsail_cluster::lease::Grant;
use filbertsail_collections::{HashSet, arena::Key};
use filbertsail_http::{Body, status::is_final};
use filbertsail_ports::store::Store;
use filbertsail_telemetry::event::Line;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::{
    sync::mpsc,
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{Action, Exchange, Planner, Reply, Target, View};
use crate::{
    channel::{Matching, Terms},
    config::{Kind, Service},
    dialect::{Dialect, Order, Swap},
    duty::Lease,
    fleet::Worker,
    relay::Peers,
    shared::Shared,
};

/// Time between two planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a call to a worker. These calls need no slot, so a busy worker answers them too.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest body of a reply; a report names each running request.
const MAX_REPLY_BYTES: usize = 256 * 1024;
/// Time between two checks for new services.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs one task per service with models until the daemon stops.
pub async fn run<D: Dialect, S: Store>(shared: Shared, store: S, peers: Peers) {
    let mut started: HashSet<String> = HashSet::default();
    let mut config = shared.config.subscribe();
    let mut tasks = Vec::new();
    let mut stopping = shared.stopping.subscribe();
    while !*stopping.borrow() {
        for service in services(&shared) {
            if started.insert(service.clone()) {
                let task = Task::<D, S>::new(shared.clone(), store.clone(), peers.clone(), service);
                tasks.push(tokio::spawn(task.run()));
            }
        }
        tokio::select! {
            _ = config.changed() => {}
            _ = stopping.wait_for(|stopping| *stopping) => {}
        }
        sleep(SERVICE_CHECK_INTERVAL.min(ROUND_INTERVAL)).await;
    }
    for task in tasks {
        // A panic in one task must not affect the others.
        let _ = task.await;
    }
}

/// Names of the services whose workers load weights.
fn services(shared: &Shared) -> Vec<String> {
    let Some(config) = shared.config() else { return Vec::new() };
    let loads_weights = |service: &&Service| {
        service.engine.as_ref().is_some_and(|engine| !engine.models.is_empty())
    };
    config.services.values().filter(loads_weights).map(|service| service.name.clone()).collect()
}

struct Task<D, S> {
    shared: Shared,
    lease: Lease<S>,
    service: String,
    planner: Planner,
    /// Division of the workers among the models, as last logged.
    logged_shares: String,
    replies: (mpsc::UnboundedSender<Exchange>, mpsc::UnboundedReceiver<Exchange>),
    /// Calls in progress, each for [`CALL_TIMEOUT`] at most.
    calls: JoinSet<()>,
    dialect: std::marker::PhantomData<D>,
}

impl<D: Dialect, S: Store> Task<D, S> {
    fn new(shared: Shared, store: S, peers: Peers, service: String) -> Self {
        let lease = Lease::new(shared.clone(), store, peers, format!("weights/{service}"));
        Self {
            shared,
            lease,
            service,
            planner: Planner::default(),
            logged_shares: String::new(),
            replies: mpsc::unbounded_channel(),
            calls: JoinSet::new(),
            dialect: std::marker::PhantomData,
        }
    }

    async fn run(mut self) {
        let mut stopping = self.shared.stopping.subscribe();
        let mut could_order = false;
        while !*stopping.borrow() {
            let grant = self.lease.step().await;
            while let Ok(exchange) = self.replies.1.try_recv() {
                self.record_reply(&exchange);
            }
            while self.calls.try_join_next().is_some() {}
            let now = self.shared.now();
            let may_order = grant.filter(|grant| grant.allows_orders(now, false));
            if may_order.is_none() && could_order {
                // Another holder may send orders meanwhile, which makes the recorded state invalid.
                self.planner = Planner::default();
            }
            could_order = may_order.is_some();
            if let Some(grant) = may_order {
                self.plan_calls(grant);
            }
            tokio::select! {
                () = sleep(ROUND_INTERVAL) => {}
                Some(exchange) = self.replies.1.recv() => self.record_reply(&exchange),
                _ = stopping.wait_for(|stopping| *stopping) => {}
            }
        }
        // The next holder waits for the lifetime of an order from the release on.
        while self.calls.join_next().await.is_some() {}
        self.lease.release().await;
    }

    fn record_reply(&mut self, exchange: &Exchange) {
        let now = self.shared.now();
        if let (&Action::Query(worker), Reply::Report(report)) = (&exchange.action, &exchange.reply)
        {
            let mut fleet = self.shared.fleet();
            for (model, version) in &report.models {
                fleet.record_version(worker, model, *version);
            }
        }
        self.planner.record_reply(exchange, now);
    }

    fn plan_calls(&mut self, grant: Grant) {
        let now = self.shared.now();
        let Some(config) = self.shared.config() else { return };
        let models = config.services.get(&self.service).and_then(|it| it.engine.as_ref());
        let models = models.map_or(&[][..], |engine| engine.models.as_slice());
        let targets = self.shared.weight_targets(models);
        let views: Vec<View> = {
            let fleet = self.shared.fleet();
            fleet
                .workers_of(&self.service)
                .filter(|(_, worker)| !worker.entry.draining)
                .map(|(key, worker)| View {
                    key,
                    id: worker.entry.id.clone(),
                    versions: worker.entry.models.clone(),
                    is_usable: worker.breaker.allows_request(now),
                    load: worker.load(now),
                })
                .collect()
        };
        let actions = self.planner.plan(&views, &targets, now);
        self.log_shares(&targets, grant);
        for action in actions {
            self.call(action, grant);
        }
    }

    /// Logs how the workers are divided among the models after each change.
    fn log_shares(&mut self, targets: &[Target], grant: Grant) {
        let shares = self.planner.layout().to_string();
        if shares == self.logged_shares {
            return;
        }
        let work =
            targets.iter().map(|target| format!("{}:{}", target.model, target.work.unwrap_or(0)));
        Line::new("shares_changed")
            .with("service", &self.service)
            .with("workers", &shares)
            .with("work", work.collect::<Vec<_>>().join(","))
            .with("epoch", grant.epoch)
            .info();
        self.logged_shares = shares;
    }

    fn call(&mut self, action: Action, grant: Grant) {
        let worker = match &action {
            Action::Query(worker) | Action::Order { worker, .. } => *worker,
        };
        let entry = self.shared.fleet().get(worker).map(|worker| worker.entry.clone());
        let Some(entry) = entry else { return };
        let (request, line) = match &action {
            Action::Query(_) => (D::report_request(entry.address, &entry.id), None),
            Action::Order { model, version, expected_orders, .. } => {
                let order = Order {
                    instance: &entry.id,
                    model,
                    version: *version,
                    swap: self.swap(),
                    holder: &self.shared.identity.vm,
                    epoch: grant.epoch,
                    expected_orders: Some(*expected_orders),
                };
                let line = Line::new("order_sent")
                    .with("worker", &entry.id)
                    .with("model", model)
                    .with("version", version)
                    .with("expected", expected_orders)
                    .with("epoch", grant.epoch);
                (D::order_request(entry.address, &order), Some(line))
            }
        };
        let (shared, replies) = (self.shared.clone(), self.replies.0.clone());
        self.calls.spawn(async move {
            let now = shared.now();
            // The lease may have expired since the call was planned, and must not before it ends.
            let may_order = grant.allows_orders(now, false);
            let exchange = call::<D>(&shared, (worker, entry.address), request, line.is_some());
            let reply = match &line {
                Some(_) if !may_order => Reply::Refused,
                Some(_) => {
                    let limit = CALL_TIMEOUT.min(grant.deadline.since(now));
                    timeout(limit, exchange).await.unwrap_or(Reply::NoResponse)
                }
                None => running::timeout(CALL_TIMEOUT, exchange).await.unwrap_or_else(|_| {
                    shared.pool.close_idle_since(entry.address, now);
                    Reply::NoResponse
                }),
            };
            if let Some(line) = line {
                shared.metrics.count_order(reply.name());
                line.with("reply", reply.name()).info();
            }
            // Fails only if the task has stopped.
            let _ = replies.send(Exchange { action, reply });
        });
    }

    /// Running requests finish first where a route requires all events of a result from one
    /// version.
    fn swap(&self) -> Swap {
        let config = self.shared.config();
        let needs_single_version = config.is_some_and(|config| {
            config.routes.iter().any(|route| {
                route.kind == Kind::Batch
                    && route.single_version
                    && route.targets.iter().any(|target| target.service == self.service)
            })
        });
        if needs_single_version { Swap::Wait } else { Swap::Keep }
    }
}

async fn call<D: Dialect>(
    shared: &Shared,
    (worker, address): (Key<Worker>, SocketAddr),
    request: Request<Bytes>,
    is_order: bool,
) -> Reply {
    let request = request.map(Body::full);
    let method = request.method().clone();
    let exchange = async {
        let now = shared.now();
        // An earlier report is out of date at worst; each order names what it expects.
        let matching = if is_order { Matching::Order } else { Matching::Content };
        let terms = Terms { idempotent: !is_order, matching };
        // An order must not arrive after its time limit, when another holder may have sent one.
        let pool = if is_order { &shared.order_pool } else { &shared.pool };
        let (response, channel) = pool.send(address, request, terms, now).await.ok()?;
        let (head, body) = response.into_parts();
        // Whether the order was accepted is unknown then.
        if !is_final(head.status, &method, &HeaderMap::new()) {
            Line::new("reply_invalid")
                .with("address", address)
                .with("status", head.status.as_u16())
                .with("order", is_order)
                .warn();
            return None;
        }
        let answer = D::decode_answer(&head.headers);
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await.ok()?.to_bytes();
        let is_report = D::decode_report(&body).is_ok();
        if answer.id.is_some() || (is_order && is_report) {
            Line::new("reply_misdirected").with("address", address).with("order", is_order).warn();
            return None;
        }
        if head.status != StatusCode::MISDIRECTED_REQUEST {
            shared.record_answer(worker, &answer);
        }
        // No connection serves two orders in succession.
        if is_report {
            shared.pool.keep(channel, answer.keep_alive, shared.now());
        }
        Some((head.status.as_u16(), body))
    };
    let Some((status, body)) = exchange.await else { return Reply::NoResponse };
    match (status, is_order) {
        (200, false) => match D::decode_report(&body) {
            Ok(report) => Reply::Report(report),
            Err(error) => {
                Line::new("report_malformed").with("address", address).with("reason", error).warn();
                Reply::Refused
            }
        },
        (202, true) => Reply::Accepted,
        (200, true) => Reply::AlreadyLoaded,
        (409, true) => Reply::Conflict,
        _ => Reply::Refused,
    }
}
