//! Calls with open orders: one at a time for each pool, within the rate of the platform.

use std::{collections::BTreeMap, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_cluster::lease::Grant;
use filbertsail_ports::duty::{Fault, Holder, Order, Platform};
use filbertsail_scaling::{Outcome, Pool};
use filbertsail_telemetry::event::Line;
use tokio::{task::JoinSet, time::timeout};

use crate::shared::Shared;

/// Timeout of a call, which the lease must cover: a later effect could follow a call of the next
/// holder. The client does not send a request after this time either, also if the VM was suspended.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Share of the calls that the platform accepts. The rest is for other duties.
const RATE_SHARE: f64 = 0.5;
/// First pause before a call is repeated; it doubles with each further one.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Limit of the doublings of that pause, to 8 s.
const MAX_DELAY_DOUBLINGS: u32 = 4;

/// Pause before the next call for a pool.
#[derive(Clone, Copy, Debug, Default)]
struct Pause {
    until: Instant,
    failures: u32,
}

/// Call that has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    pub pool: Pool,
    pub count: u32,
    /// Epoch of the lease under which it was sent.
    pub epoch: u64,
    /// Absent if the call must be repeated.
    pub outcome: Option<Outcome>,
}

/// Calls in progress and the pauses between them.
pub struct Calls<P> {
    shared: Shared,
    platform: P,
    /// Calls in progress, with whether they were sent.
    running: JoinSet<(Ended, bool)>,
    /// Pools with a call in progress.
    busy: Vec<Pool>,
    pauses: BTreeMap<Pool, Pause>,
    /// Epoch of the lease under which these failures happened.
    epoch: u64,
    next_at: Instant,
}

impl<P: Platform> Calls<P> {
    pub fn new(shared: Shared, platform: P) -> Self {
        Self {
            shared,
            platform,
            running: JoinSet::new(),
            busy: Vec::new(),
            pauses: BTreeMap::new(),
            epoch: 0,
            next_at: Instant::default(),
        }
    }

    /// Whether no call is in progress.
    pub fn is_idle(&self) -> bool {
        self.busy.is_empty()
    }

    /// Starts a call if neither a pause nor the rate forbids it; `services` share `calls_per_s`.
    pub fn start(
        &mut self,
        pool: &Pool,
        order: Order,
        grant: Grant,
        (calls_per_s, services): (f64, usize),
        now: Instant,
    ) {
        if grant.epoch != self.epoch {
            // The failures may have been those of a link that has come back with the lease.
            self.pauses.clear();
            self.epoch = grant.epoch;
        }
        let paused = self.pauses.get(pool).is_some_and(|pause| now < pause.until);
        if paused || now < self.next_at || self.busy.contains(pool) || calls_per_s <= 0.0 {
            return;
        }
        #[expect(clippy::cast_precision_loss)]
        let interval_s = services.max(1) as f64 / (calls_per_s * RATE_SHARE);
        self.next_at = now.after(Duration::from_secs_f64(interval_s.min(60.0)));
        self.busy.push(pool.clone());
        let holder = Holder { vm: self.shared.identity.vm.clone(), epoch: grant.epoch };
        let (shared, platform, pool) = (self.shared.clone(), self.platform.clone(), pool.clone());
        self.running.spawn(async move {
            let result = call(&shared, &platform, &holder, &order, grant).await;
            let outcome = match &result {
                Some(Ok(())) => Some(Outcome::Accepted),
                Some(Err(Fault::SoldOut | Fault::Invalid(_))) => Some(Outcome::Refused),
                Some(Err(Fault::Refused(_) | Fault::Unknown(_))) | None => None,
            };
            (Ended { pool, count: order.count, epoch: grant.epoch, outcome }, result.is_some())
        });
    }

    /// Waits for the end of a call; nothing if none is in progress.
    pub async fn next(&mut self) -> Option<Ended> {
        let (ended, is_sent) = loop {
            match self.running.join_next().await? {
                Ok(ended) => break ended,
                // A call that panicked has an unknown outcome.
                Err(_) if self.running.is_empty() => self.busy.clear(),
                Err(_) => {}
            }
        };
        self.busy.retain(|busy| *busy != ended.pool);
        let now = self.shared.now();
        if ended.outcome.is_some() {
            self.pauses.remove(&ended.pool);
        } else if is_sent && ended.epoch == self.epoch {
            let pause = self.pauses.entry(ended.pool.clone()).or_default();
            let delay = RETRY_DELAY * 2_u32.pow(pause.failures.min(MAX_DELAY_DOUBLINGS));
            *pause = Pause { until: now.after(delay), failures: pause.failures + 1 };
            // The platform limits the calls of all duties together.
            self.next_at = self.next_at.max(now.after(RETRY_DELAY));
        }
        Some(ended)
    }
}

/// Sends an order; nothing if the lease no longer covers the call, which is no failure of the
/// platform.
async fn call<P: Platform>(
    shared: &Shared,
    platform: &P,
    holder: &Holder,
    order: &Order,
    grant: Grant,
) -> Option<Result<(), Fault>> {
    let start = shared.now();
    if !grant.allows_orders(start, false) || grant.deadline.since(start) < CALL_TIMEOUT {
        return None;
    }
    let ended = timeout(CALL_TIMEOUT, platform.order_workers(holder, order)).await;
    let result = ended.unwrap_or_else(|_| Err(Fault::Unknown("no answer in time".to_owned())));
    let outcome = match &result {
        Ok(()) => "accepted",
        Err(Fault::SoldOut) => "sold_out",
        Err(Fault::Invalid(_)) => "invalid",
        Err(Fault::Refused(_)) => "refused",
        Err(Fault::Unknown(_)) => "unknown",
    };
    shared.metrics.count_worker_order(outcome);
    let line = Line::new("workers_ordered")
        .with("service", &order.service)
        .with("zone", &order.zone)
        .with("spot", order.is_spot)
        .with("count", order.count)
        .with("epoch", holder.epoch)
        .with("took_ms", shared.now().since(start).as_millis())
        .with("outcome", outcome);
    match &result {
        Ok(()) => line.info(),
        Err(fault @ Fault::Invalid(_)) => line.with("reason", fault).error(),
        Err(fault) => line.with("reason", fault).warn(),
    }
    Some(result)
}
