//! Planner of the engines of one service.
//!
//! An engine second costs little beside a late step, so engines are added at once and removed
//! slowly. The number of engines found at the start is the floor. It is stored with the orders, so
//! neither a new holder nor a restart of all VMs loses it.

mod level;
mod shape;

use std::{collections::BTreeMap, time::Duration};

use derive_more::Display;
use filbertsail_clock::Instant;

use crate::{
    demand::Summary,
    order::{Kind, Pool, Row, State},
};
use level::Level;
use shape::Shape;

/// Time beyond the start of an engine within which the registry should show it.
const BOOT_MARGIN: Duration = Duration::from_secs(2);
/// Time after which a pool that was refused is tried again.
const REFUSAL_RETRY: Duration = Duration::from_secs(20);
/// Time after a loss, a reclaim, a refusal or an order in which no engine is removed.
const CALM_TIME: Duration = Duration::from_secs(60);
/// Time after the first engines were found in which nothing is ordered: an order for those found so
/// far could be for fewer than run.
const SETTLING_TIME: Duration = Duration::from_secs(5);
/// Time for which a surplus must last before an engine is removed.
const SURPLUS_TIME: Duration = Duration::from_secs(30);
/// Time between two removals.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// Limits on the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Least number of engines in each zone, of both kinds together.
    pub minimum: u32,
    /// Largest number of engines in each zone, of both kinds together.
    pub maximum: u32,
    /// Time from an order until a new engine takes requests.
    pub boot_time: Duration,
    /// Price of a spot engine relative to an on-demand engine; absent if there are none.
    pub spot_price: Option<f64>,
    /// Price of an engine by zone; 1 for others.
    pub zone_prices: BTreeMap<String, f64>,
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Time that a step may take.
    pub step_limit: Duration,
}

impl Limits {
    /// Time within which an accepted order should show in the registry.
    fn arrival_time(&self) -> Duration {
        self.boot_time + BOOT_MARGIN
    }
}

/// Engines of a pool according to the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Presence {
    /// Engines that take requests or will after their warm-up.
    pub ready: u32,
    /// Engines whose speed is known.
    pub measured: u32,
    /// Engines that are missing because of slowness, summed over the measured ones: half an engine
    /// for one at half speed.
    pub slow_share: f64,
    /// Engines that are being reclaimed.
    pub reclaimed: u32,
}

/// What a decision is based on.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    pub limits: &'a Limits,
    /// Engines by pool; pools without engines may be missing.
    pub present: &'a BTreeMap<Pool, Presence>,
    /// Stored orders.
    pub rows: &'a BTreeMap<Pool, Row>,
    pub demand: &'a Summary,
    /// Output tokens a second of a full engine of usual speed; zero if unknown.
    pub engine_rate: f64,
    /// Fixed number of engines by zone.
    pub pins: &'a BTreeMap<String, u32>,
}

/// Why a row changes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// Engines were found without an order.
    #[display("found")]
    Found,
    /// The registry shows an order.
    #[display("arrived")]
    Arrived,
    /// Engines have disappeared.
    #[display("lost")]
    Lost,
    /// The registry does not show an order in time; it is sent once more.
    #[display("repeated")]
    Repeated,
    /// The registry does not show an order that was sent twice.
    #[display("missing")]
    Missing,
    /// Engines are reclaimed.
    #[display("reclaimed")]
    Reclaimed,
    /// More engines are needed.
    #[display("short")]
    Short,
    /// Engines are ordered again where they were before a loss.
    #[display("returned")]
    Returned,
    /// Fewer engines are needed.
    #[display("surplus")]
    Surplus,
    /// The zone has fewer or more engines than allowed.
    #[display("limit")]
    Limit,
    /// The number is fixed.
    #[display("pinned")]
    Pinned,
}

/// New content of a row; an open one is sent to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub pool: Pool,
    pub row: Row,
    pub reason: Reason,
}

/// Decision of one round, with the figures behind it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub changes: Vec<Change>,
    /// Engines of all pools that should run.
    pub wanted: u32,
    /// Engines that the work requires, with a reserve.
    pub needed: f64,
    /// Engines that run.
    pub ready: u32,
    /// Engines that were ordered and should appear.
    pub coming: u32,
    pub floor: u32,
}

/// Planner of the engines of one service while this VM holds the lease.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    level: Level,
    /// Last loss, reclaim, refusal or order.
    disturbed_at: Option<Instant>,
    /// When engines were first found, while their number may still rise.
    settling_since: Option<Instant>,
    surplus_since: Option<Instant>,
    removed_at: Option<Instant>,
}

impl Planner {
    /// Decides on changes of the rows.
    pub fn plan(&mut self, input: &Input<'_>, now: Instant) -> Plan {
        let mut shape = Shape::new(input, self.level.lasting(now).is_some(), now);
        if shape.ready() == 0 && input.rows.is_empty() {
            // Nothing is known yet, and an order might be for fewer engines than run.
            return Plan::default();
        }
        shape.record_registry();
        let settling_since = match self.settling_since {
            None if input.rows.is_empty() => Some(now),
            known => known.filter(|since| now.since(*since) < SETTLING_TIME),
        };
        self.settling_since = settling_since;
        let floor = shape.floor();
        let level = self.level.update(input, shape.ready(), shape.coming(), floor, now);
        if settling_since.is_none() {
            shape.apply_pins();
            shape.apply_limits();
            shape.restore(level.wanted);
            shape.grow(level.wanted, level.base);
        }
        if shape.is_disturbed() || shape.ready() < level.wanted {
            self.disturbed_at = Some(now);
        }
        self.shrink(&mut shape, now);
        Plan {
            wanted: level.wanted,
            needed: level.needed,
            ready: shape.ready(),
            coming: shape.coming(),
            floor,
            changes: shape.into_changes(),
        }
    }

    /// Removes engines if a surplus has lasted. Without one, and after a calm time, engines return to
    /// where they were.
    fn shrink(&mut self, shape: &mut Shape<'_>, now: Instant) {
        let needed = self.level.lasting(now);
        let is_calm = self.disturbed_at.is_none_or(|at| now.since(at) >= CALM_TIME);
        let Some(needed) = needed.filter(|_| is_calm) else {
            self.surplus_since = None;
            return;
        };
        if shape.ordered() <= needed {
            self.surplus_since = None;
            if shape.is_settled() && shape.return_some() {
                self.disturbed_at = Some(now);
            }
            return;
        }
        let since = *self.surplus_since.get_or_insert(now);
        let is_due = shape.is_settled()
            && now.since(since) >= SURPLUS_TIME
            && self.removed_at.is_none_or(|at| now.since(at) >= REMOVAL_INTERVAL);
        if is_due && shape.remove_some(needed) {
            self.removed_at = Some(now);
        }
    }
}

impl Row {
    /// Whether the registry should have shown the accepted order by now.
    fn is_overdue(&self, limits: &Limits, now: Instant) -> bool {
        self.state == State::Accepted
            && self.ordered_at.is_some_and(|at| now.since(at) >= limits.arrival_time())
    }
}

/// Price of an engine of a pool.
fn price(limits: &Limits, pool: &Pool) -> f64 {
    let zone = limits.zone_prices.get(&pool.zone).copied().unwrap_or(1.0);
    match pool.kind {
        Kind::OnDemand => zone,
        Kind::Spot => zone * limits.spot_price.unwrap_or(1.0),
    }
}
