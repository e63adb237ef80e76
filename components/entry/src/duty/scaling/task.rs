//! Task that holds the lease on the workers of one service and orders them.

use std::{collections::BTreeMap, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_cluster::lease::Grant;
use filbertsail_ports::{
    duty::{Order, Platform},
    store::{Fault, Store, Transaction},
};
use filbertsail_scaling::{
    Change, Demand, Input, Kind, Plan, Planner, Pool, Presence, Reason, Row, State, Summary,
};
use filbertsail_telemetry::event::Line;
use tokio::time::{sleep, timeout};

use super::{
    calls::{Calls, Ended},
    input,
    rows::{self, Statements},
};
use crate::{
    batch::{
        rows::{decode, hash32},
        takeover::{self, read_range},
    },
    duty::{Context, Lease},
    shared::Shared,
};

/// Time between two planning rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two reads of the demand. Owners write it every 0.7 s.
const DEMAND_INTERVAL: Duration = Duration::from_millis(400);
/// Time between two reads of the orders. A write that an earlier holder sent under its lease may
/// take effect late.
const ORDERS_INTERVAL: Duration = Duration::from_secs(5);
/// Timeout of a read of the demand; the lease must be renewed meanwhile.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout of a read or write of the orders, after which they are read again.
const ORDERS_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two reports that too few workers run and none can be ordered.
const SHORTAGE_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Order of a pool with the version of its row, zero if it is not stored.
type Stored = BTreeMap<Pool, (Row, u64)>;

/// Task of one service.
pub struct Task<S, P> {
    context: Context<S, P>,
    shared: Shared,
    lease: Lease<S>,
    service: String,
    pins: BTreeMap<String, u32>,
    planner: Planner,
    demand: Demand,
    /// Orders as stored; absent until they have been read under the present lease.
    orders: Option<Stored>,
    orders_read_at: Instant,
    demand_read_at: Instant,
    shortage_reported_at: Option<Instant>,
    calls: Calls<P>,
}

impl<S: Store, P: Platform> Task<S, P> {
    pub fn new(context: Context<S, P>, service: String) -> Self {
        let pins = context.settings.pins.iter().filter(|((name, _), _)| *name == service);
        Self {
            lease: context.lease(format!("scaling/{service}")),
            shared: context.shared.clone(),
            pins: pins.map(|((_, zone), count)| (zone.clone(), *count)).collect(),
            calls: Calls::new(context.shared.clone(), context.platform.clone()),
            context,
            service,
            planner: Planner::default(),
            demand: Demand::default(),
            orders: None,
            orders_read_at: Instant::default(),
            demand_read_at: Instant::default(),
            shortage_reported_at: None,
        }
    }

    pub async fn run(mut self) {
        let mut stopping = self.shared.stopping.subscribe();
        let mut could_order = false;
        while !*stopping.borrow() {
            // Without limits in the configuration, the lease is left to expire.
            let grant = if self.is_scaled() { self.lease.step().await } else { None };
            let now = self.shared.now();
            let may_order = grant.filter(|grant| grant.allows_orders(now, false));
            match may_order {
                Some(grant) => self.round(grant).await,
                None if could_order => self.forget(),
                None => {}
            }
            could_order = may_order.is_some();
            let ended = tokio::select! {
                () = sleep(ROUND_INTERVAL) => None,
                Some(ended) = self.calls.next() => Some(ended),
                _ = stopping.wait_for(|stopping| *stopping) => None,
            };
            if let Some(ended) = ended {
                self.record_outcome(&ended, may_order).await;
            }
        }
        // The next holder waits for the lifetime of an order from the release on.
        while let Some(ended) = self.calls.next().await {
            let grant = self.lease.step().await;
            self.record_outcome(&ended, grant).await;
        }
        self.lease.release().await;
    }

    /// Whether the configuration allows orders.
    fn is_scaled(&self) -> bool {
        let config = self.shared.config();
        config.is_some_and(|config| input::limits(&config, &self.service).is_some())
    }

    /// Forgets what another holder may change meanwhile.
    fn forget(&mut self) {
        (self.planner, self.demand, self.orders) = (Planner::default(), Demand::default(), None);
        self.shared.metrics.set_workers_wanted(&self.service, 0);
        for kind in Kind::ALL {
            self.shared.metrics.set_workers(&self.service, &kind.to_string(), 0, 0);
        }
    }

    async fn round(&mut self, grant: Grant) {
        let now = self.shared.now();
        let is_known = *self.shared.fleet_changed.borrow() > 0;
        let has_outage = self.shared.link.borrow().lost.is_some();
        let Some(config) = self.shared.config().filter(|_| is_known && !has_outage) else { return };
        let Some(limits) = input::limits(&config, &self.service) else { return };
        let Some(service) = config.services.get(&self.service) else { return };
        if now.since(self.demand_read_at) >= DEMAND_INTERVAL {
            self.demand_read_at = now;
            self.read_demand().await;
        }
        let is_old = now.since(self.orders_read_at) >= ORDERS_INTERVAL && self.calls.is_idle();
        if self.orders.is_none() || is_old {
            self.read_orders().await;
        }
        let Some(orders) = &self.orders else { return };
        let now = self.shared.now();
        let rows: BTreeMap<Pool, Row> =
            orders.iter().map(|(pool, (row, _))| (pool.clone(), *row)).collect();
        let (present, engine_rate) = {
            let fleet = self.shared.fleet();
            let engine_rate = input::engine_rate(&fleet, service, now);
            (input::presence(&fleet, &self.service), engine_rate)
        };
        let store_ms = self.shared.link.borrow().store_ms(now);
        let summary = self.demand.summary(store_ms, limits.step_limit, now);
        let plan = self.planner.plan(
            &Input {
                limits: &limits,
                present: &present,
                rows: &rows,
                demand: &summary,
                engine_rate,
                pins: &self.pins,
            },
            now,
        );
        for change in &plan.changes {
            self.log_change(change, &plan, &summary, engine_rate, grant);
        }
        self.report_shortage(&plan, &summary, now);
        let changes = plan.changes.iter().map(|change| (change.pool.clone(), change.row)).collect();
        self.store(changes, grant).await;
        self.record_metrics(&plan, &present);
        let services = config.services.values().filter(|service| service.scaling.is_some()).count();
        self.send_open(grant, services);
    }

    /// Sends the orders whose outcome is not known.
    fn send_open(&mut self, grant: Grant, services: usize) {
        let Some(orders) = &self.orders else { return };
        let rate = (self.context.settings.calls_per_s, services);
        for (pool, (row, _)) in orders.iter().filter(|(_, (row, _))| row.state == State::Open) {
            let order = Order {
                service: self.service.clone(),
                zone: pool.zone.clone(),
                count: row.count,
                is_spot: pool.kind == Kind::Spot,
            };
            self.calls.start(pool, order, grant, rate, self.shared.now());
        }
    }

    /// Stores the outcome of a call. Without a valid lease the row stays open, and the next holder
    /// repeats the call.
    async fn record_outcome(&mut self, ended: &Ended, grant: Option<Grant>) {
        let now = self.shared.now();
        // Under another epoch, the row may hold a later order.
        let grant = grant.filter(|grant| grant.epoch == ended.epoch);
        let (Some(outcome), Some(grant)) = (ended.outcome, grant) else { return };
        let row = self.orders.as_ref().and_then(|orders| orders.get(&ended.pool));
        let Some((row, _)) = row.copied() else { return };
        if row.state == State::Open && row.count == ended.count {
            self.store(vec![(ended.pool.clone(), row.with_outcome(outcome, now))], grant).await;
        }
    }

    /// Writes rows that nobody else has changed. After any other outcome all rows are read again.
    async fn store(&mut self, changes: Vec<(Pool, Row)>, grant: Grant) {
        let now = self.shared.now();
        let Some(orders) = self.orders.as_mut().filter(|_| !changes.is_empty()) else { return };
        if !grant.is_valid(now) {
            return;
        }
        let link = *self.shared.link.borrow();
        let mut transaction = Transaction::default();
        for (pool, row) in &changes {
            let key = rows::order_key(&self.service, pool);
            let version = orders.get(pool).map_or(0, |(_, version)| *version);
            transaction.checks.push((key.clone(), version));
            transaction.writes.push((key, rows::encode_order(row, grant.epoch, &link, now)));
        }
        let written = timeout(ORDERS_TIMEOUT, self.context.store.transact(transaction)).await;
        match written.unwrap_or_else(|_| Err(Fault::Unknown("no answer in time".to_owned()))) {
            Ok(commit) => {
                let stored = changes.into_iter().map(|(pool, row)| (pool, (row, commit.version)));
                orders.extend(stored);
            }
            Err(fault) => {
                self.orders = None;
                self.log_rows_failed("write", &fault);
            }
        }
    }

    async fn read_orders(&mut self) {
        let read = read_range(&self.context.store, rows::orders_range(&self.service));
        let read = timeout(ORDERS_TIMEOUT, read).await;
        let now = self.shared.now();
        let link = *self.shared.link.borrow();
        let found = match read
            .unwrap_or_else(|_| Err(Fault::Unavailable("no answer in time".to_owned())))
        {
            Ok(found) => found,
            Err(fault) => {
                self.orders = None;
                return self.log_rows_failed("read", &fault);
            }
        };
        let mut orders = Stored::new();
        for row in found {
            let value = row.value.as_deref().unwrap_or_default();
            let decoded = rows::decode_pool(&self.service, &row.key)
                .and_then(|pool| Ok((pool, rows::decode_order(value, &link, now)?)));
            match decoded {
                Ok((pool, order)) => {
                    orders.insert(pool, (order, row.version));
                }
                Err(error) => {
                    // Without this row, an order could be for fewer workers than run.
                    Line::new("row_corrupt").with("row", row.key).with("reason", error).error();
                    self.orders = None;
                    return;
                }
            }
        }
        self.orders_read_at = now;
        self.orders = Some(orders);
    }

    /// Reads the demand that owners state, and their worker observations.
    async fn read_demand(&mut self) {
        let store = &self.context.store;
        let runs_batches = *self.shared.runs_batches.borrow();
        let observations = async {
            // A VM that runs batches reads them anyway.
            if runs_batches { Vec::new() } else { takeover::read_observations(store).await }
        };
        let demand = timeout(DEMAND_TIMEOUT, read_range(store, rows::demand_range()));
        let (observations, demand) = tokio::join!(observations, demand);
        let now = self.shared.now();
        let link = *self.shared.link.borrow();
        for (vm, observations) in observations {
            let at = link.local_time(observations.at_ms, now);
            let workers = &observations.workers;
            self.shared.fleet().record_observations(hash32(&vm), workers, at, now);
        }
        // An older demand is used until it expires, and the log shows its age.
        let Ok(Ok(demand)) = demand else { return };
        let store_ms = link.store_ms(now);
        for row in demand {
            match decode::<Statements>(row.value.as_deref().unwrap_or_default()) {
                Ok(mut stated) => {
                    stated.statements.retain(|statement| statement.service == self.service);
                    let at = rows::decode_time(stated.at_ms, &link, now);
                    self.demand.record(&row.key, stated.statements, store_ms, at);
                }
                Err(error) => {
                    Line::new("row_corrupt").with("vm", row.key).with("reason", error).error();
                }
            }
        }
    }

    fn record_metrics(&self, plan: &Plan, present: &BTreeMap<Pool, Presence>) {
        let metrics = &self.shared.metrics;
        metrics.set_workers_wanted(&self.service, plan.wanted);
        for kind in Kind::ALL {
            let orders = self.orders.iter().flatten().filter(|(pool, _)| pool.kind == kind);
            let ordered = orders.map(|(_, (row, _))| row.count).sum();
            let ready = present.iter().filter(|(pool, _)| pool.kind == kind);
            let ready = ready.map(|(_, presence)| presence.ready).sum();
            metrics.set_workers(&self.service, &kind.to_string(), ordered, ready);
        }
    }

    fn log_change(
        &self,
        change: &Change,
        plan: &Plan,
        demand: &Summary,
        engine_rate: f64,
        grant: Grant,
    ) {
        let Change { pool, row, reason } = change;
        let is_missing = *reason == Reason::Missing;
        let name = if is_missing { "workers_missing" } else { "workers_planned" };
        let line = Line::new(name)
            .with("service", &self.service)
            .with("zone", &pool.zone)
            .with("kind", pool.kind)
            .with("reason", reason)
            .with("state", row.state)
            .with("count", row.count)
            .with("previous", row.previous)
            .with("epoch", grant.epoch)
            .with("wanted", plan.wanted)
            .with("needed", format!("{:.1}", plan.needed))
            .with("ready", plan.ready)
            .with("coming", plan.coming)
            .with("floor", plan.floor)
            .with("engine_rate", format!("{engine_rate:.0}"));
        let line = with_demand(line, demand);
        if is_missing { line.warn() } else { line.info() }
    }

    /// Reports that workers are short and none can be ordered.
    fn report_shortage(&mut self, plan: &Plan, demand: &Summary, now: Instant) {
        let is_short = plan.ready + plan.coming < plan.wanted && plan.changes.is_empty();
        let is_due =
            self.shortage_reported_at.is_none_or(|at| now.since(at) >= SHORTAGE_REPORT_INTERVAL);
        if is_short && is_due {
            self.shortage_reported_at = Some(now);
            let line = Line::new("workers_short")
                .with("service", &self.service)
                .with("wanted", plan.wanted)
                .with("ready", plan.ready)
                .with("coming", plan.coming);
            with_demand(line, demand).warn();
        }
    }

    fn log_rows_failed(&self, call: &str, fault: &Fault) {
        Line::new("scaling_rows_failed")
            .with("service", &self.service)
            .with("call", call)
            .with("reason", fault)
            .info();
    }
}

/// Adds the demand and its age to a line.
fn with_demand(line: Line, demand: &Summary) -> Line {
    let age = demand.age.map_or("unknown".to_owned(), |age| age.as_millis().to_string());
    line.with("models", demand.models)
        .with("items_waiting", demand.items_waiting)
        .with("oldest_wait_ms", demand.oldest_wait.as_millis())
        .with("work_per_s", format!("{:.0}", demand.work_per_s))
        .with("demand_age_ms", age)
}
