//! Engines of a service by pool, and the changes of one round.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use filbertsail_clock::Instant;

use super::{Change, Input, Presence, REFUSAL_RETRY, Reason, price};
use crate::order::{Kind, Pool, Row, State};

/// A zone with fewer than this share of its engines is down if the other zones are not.
const DOWN_SHARE: f64 = 0.5;
/// Least share of the engines of the other zones that is present if one zone is down. With fewer,
/// the registry rather than the zone may be affected.
const OTHERS_UP_SHARE: f64 = 0.75;

/// Largest number of engines that are ordered again at a time where they were before. They are a
/// surplus until as many are removed elsewhere.
const MAX_RETURN: u32 = 4;
/// Time after an order of fewer engines for which those that leave may still show in the registry.
const DECREASE_TIME: Duration = Duration::from_secs(20);

/// Engines of a service by pool, as the changes of this round leave them.
pub struct Shape<'a> {
    input: &'a Input<'a>,
    now: Instant,
    rows: BTreeMap<Pool, Row>,
    reasons: BTreeMap<Pool, Reason>,
    zones: BTreeSet<String>,
    /// Whether a zone without rows has no engines, and not only a registry that lacks them.
    knows_all_zones: bool,
    is_disturbed: bool,
}

impl<'a> Shape<'a> {
    pub fn new(input: &'a Input<'a>, knows_all_zones: bool, now: Instant) -> Self {
        let zones = input
            .present
            .keys()
            .chain(input.rows.keys())
            .map(|pool| pool.zone.clone())
            .chain(input.limits.zone_prices.keys().cloned())
            .collect();
        Self {
            input,
            now,
            rows: input.rows.clone(),
            reasons: BTreeMap::new(),
            zones,
            knows_all_zones,
            is_disturbed: false,
        }
    }

    /// Rows that differ from the stored ones.
    pub fn into_changes(self) -> Vec<Change> {
        let changed = |(pool, reason): (Pool, Reason)| {
            let row = *self.rows.get(&pool)?;
            (self.input.rows.get(&pool) != Some(&row)).then_some(Change { pool, row, reason })
        };
        self.reasons.into_iter().filter_map(changed).collect()
    }

    /// Engines that run.
    pub fn ready(&self) -> u32 {
        self.input.present.values().map(|presence| presence.ready).sum()
    }

    /// Engines that were ordered and should appear. Those of a zone that is down are not counted:
    /// whether it comes back is not known.
    pub fn coming(&self) -> u32 {
        let coming = |(pool, row): (&Pool, &Row)| {
            if self.is_down(&pool.zone) { 0 } else { row.coming(self.presence(pool).ready) }
        };
        self.rows.iter().map(coming).sum()
    }

    /// Engines found before the first order.
    pub fn floor(&self) -> u32 {
        self.rows.values().map(|row| row.floor).sum()
    }

    /// Engines ordered in all pools.
    pub fn ordered(&self) -> u32 {
        self.rows.values().map(|row| row.count).sum()
    }

    /// Whether no order is in progress.
    pub fn is_settled(&self) -> bool {
        self.rows.values().all(|row| row.state == State::Settled)
    }

    /// Whether engines were reclaimed or ordered, or did not appear.
    pub fn is_disturbed(&self) -> bool {
        self.is_disturbed
    }

    fn presence(&self, pool: &Pool) -> Presence {
        self.input.present.get(pool).copied().unwrap_or_default()
    }

    fn change(&mut self, pool: &Pool, row: Row, reason: Reason) {
        self.rows.insert(pool.clone(), row);
        self.reasons.insert(pool.clone(), reason);
    }

    /// Updates the rows from the registry: engines found without an order, orders that arrived or
    /// are overdue, and engines that are reclaimed.
    pub fn record_registry(&mut self) {
        for (pool, presence) in self.input.present {
            let known = self.rows.get(pool).copied();
            match known {
                None if presence.ready > 0 => {
                    self.change(pool, Row::adopted(presence.ready), Reason::Found);
                }
                // The registry was not complete when the first engines were found.
                Some(row) if row.ordered_at.is_none() && presence.ready > row.count => {
                    let refused_at = row.refused_at;
                    let row = Row { refused_at, ..Row::adopted(presence.ready) };
                    self.change(pool, row, Reason::Found);
                }
                // An order took effect whose repetition was refused.
                Some(row)
                    if row.state == State::Settled
                        && presence.ready > row.count
                        && !self.is_decreasing(&row) =>
                {
                    let (count, previous) = (presence.ready, presence.ready);
                    self.change(pool, Row { count, previous, ..row }, Reason::Found);
                }
                _ => {}
            }
        }
        for (pool, row) in self.rows.clone() {
            let presence = self.presence(&pool);
            // Engines may also leave since fewer were ordered.
            if presence.reclaimed > 0 && presence.ready < row.count {
                self.is_disturbed = true;
                // The platform has just taken engines back there.
                if pool.kind == Kind::Spot && !row.is_refused(REFUSAL_RETRY / 2, self.now) {
                    let state = if row.state == State::Open { State::Open } else { State::Settled };
                    let row = Row { state, refused_at: Some(self.now), ..row };
                    self.change(&pool, row, Reason::Reclaimed);
                }
            } else if row.state == State::Accepted && presence.ready >= row.count {
                self.change(&pool, Row { state: State::Settled, ..row }, Reason::Arrived);
            } else if row.is_overdue(self.input.limits, self.now) {
                self.is_disturbed = true;
                if row.is_repeated {
                    let refused_at = Some(self.now);
                    let row = Row { state: State::Settled, refused_at, ..row };
                    self.change(&pool, row, Reason::Missing);
                } else {
                    let previous = row.previous;
                    let row = row.with_order(row.count, self.now);
                    let row = Row { is_repeated: true, previous, ..row };
                    self.change(&pool, row, Reason::Repeated);
                }
            }
        }
    }

    /// Orders the fixed numbers.
    pub fn apply_pins(&mut self) {
        let limits = self.input.limits;
        for (zone, count) in self.input.pins {
            let count = (*count).clamp(limits.minimum, limits.maximum);
            for kind in Kind::ALL {
                let pool = Pool { zone: zone.clone(), kind };
                let target = if kind == Kind::OnDemand { count } else { 0 };
                let row = self.rows.get(&pool).copied().unwrap_or(Row::adopted(0));
                if row.count != target {
                    self.order(&pool, target, Reason::Pinned);
                }
            }
        }
    }

    /// Orders the least number of engines of a zone, and no more than its largest number.
    pub fn apply_limits(&mut self) {
        let limits = self.input.limits;
        for zone in self.zones.clone() {
            let on_demand = Pool { zone: zone.clone(), kind: Kind::OnDemand };
            let mut excess = self.zone_total(&zone).saturating_sub(limits.maximum);
            // Engines that were lost or refused are in the rows, but do not run.
            let shortfall = limits.minimum.saturating_sub(self.zone_expected(&zone));
            if shortfall > 0 && !self.is_pinned(&zone) {
                let row = self.rows.get(&on_demand).copied().unwrap_or(Row::adopted(0));
                let least = self.expected(&on_demand) + shortfall;
                // Those of the earlier count may run unseen, unless the platform has refused them.
                let was_refused = row.refused_at.is_some() && row.refused_at >= row.ordered_at;
                let count = if was_refused { least } else { least.max(row.count) };
                self.order(&on_demand, count, Reason::Limit);
            }
            for pool in [Pool { zone: zone.clone(), kind: Kind::Spot }, on_demand] {
                let part = excess.min(self.size(&pool));
                if part > 0 && self.order(&pool, self.size(&pool) - part, Reason::Limit) {
                    excess -= part;
                }
            }
        }
    }

    /// Orders lost engines again where they were, until `wanted` engines run or are to appear.
    pub fn restore(&mut self, wanted: u32) {
        for (pool, row) in self.rows.clone() {
            let ready = self.presence(&pool).ready;
            if row.state == State::Settled
                && ready < row.count
                && self.ready() + self.coming() < wanted
            {
                self.order(&pool, row.count, Reason::Lost);
            }
        }
    }

    /// Orders engines until `wanted` run or are to appear. Spot engines are added only beyond `base`
    /// on-demand engines, so that a step does not depend on them.
    pub fn grow(&mut self, wanted: u32, base: u32) {
        let mut total = self.ready() + self.coming();
        let mut added: BTreeMap<Pool, u32> = BTreeMap::new();
        while total < wanted {
            let on_demand: u32 = self.zones.iter().map(|zone| self.on_demand(zone, &added)).sum();
            let Some(pool) = self.cheapest(on_demand >= base, &added) else { break };
            *added.entry(pool).or_default() += 1;
            total += 1;
        }
        for (pool, more) in added {
            self.order(&pool, self.size(&pool) + more, Reason::Short);
        }
    }

    /// Orders engines again, a few at a time, in the pool that lacks most of those it had before the
    /// first order, as far as other pools have more than theirs. Returns whether it did.
    ///
    /// Load pattern: a zone comes back after its engines were replaced in other zones.
    pub fn return_some(&mut self) -> bool {
        let is_open = |pool: &Pool| !self.is_pinned(&pool.zone);
        let beyond = self.rows.iter().filter(|(pool, _)| is_open(pool));
        let beyond: u32 = beyond.map(|(_, row)| row.count.saturating_sub(row.floor)).sum();
        let lacking = self.rows.iter().filter(|(pool, row)| {
            pool.kind == Kind::OnDemand
                && row.floor > row.count
                && is_open(pool)
                && !self.is_down(&pool.zone)
                && !row.is_refused(REFUSAL_RETRY, self.now)
        });
        let Some((pool, row)) = lacking.max_by_key(|(_, row)| row.floor - row.count) else {
            return false;
        };
        let free = self.input.limits.maximum.saturating_sub(self.zone_total(&pool.zone));
        let more = (row.floor - row.count).min(beyond).min(free).min(MAX_RETURN);
        let (pool, count) = (pool.clone(), row.count + more);
        more > 0 && self.order(&pool, count, Reason::Returned)
    }

    /// Removes engines of a pool, so that `needed` engines are left; returns whether there is such a
    /// pool. Engines that never appeared go first and together, then single spot engines, then those
    /// beyond the number before the first order.
    pub fn remove_some(&mut self, needed: u32) -> bool {
        let can_spare_ready = self.ready() > needed;
        let minimum = self.input.limits.minimum;
        let candidates = self.rows.iter().filter(|(pool, row)| {
            let is_missing = self.presence(pool).ready < row.count;
            self.size(pool) > 0
                && (is_missing || can_spare_ready)
                && !self.is_pinned(&pool.zone)
                && !row.is_refused(REFUSAL_RETRY, self.now)
                && self.zone_total(&pool.zone) > minimum
        });
        let key = |(pool, row): &(&Pool, &Row)| {
            let is_missing = self.presence(pool).ready < row.count;
            let cost = f64::from(self.size(pool)) * price(self.input.limits, pool);
            ((is_missing, pool.kind == Kind::Spot, row.count > row.floor), cost)
        };
        let best = candidates.max_by(|one, other| {
            let ((one, cost), (other, other_cost)) = (key(one), key(other));
            one.cmp(&other).then(cost.total_cmp(&other_cost))
        });
        let Some(pool) = best.map(|(pool, _)| pool.clone()) else { return false };
        let (size, ready) = (self.size(&pool), self.presence(&pool).ready);
        let count = if ready < size {
            let beside = self.zone_total(&pool.zone) - size;
            ready.max(minimum.saturating_sub(beside))
        } else {
            size - 1
        };
        if !self.order(&pool, count, Reason::Surplus) {
            return false;
        }
        self.lower_floor(&pool);
        true
    }

    /// Lowers the floor to the number of engines ordered. Engines that moved to other zones still
    /// count there, so the part of a pool may exceed its count.
    fn lower_floor(&mut self, preferred: &Pool) {
        if self.floor() <= self.ordered() {
            return;
        }
        let parts = self.rows.iter().filter(|(_, row)| row.floor > 0);
        let largest = parts.max_by_key(|(pool, row)| (*pool == preferred, row.floor));
        if let Some((pool, row)) = largest.map(|(pool, row)| (pool.clone(), *row)) {
            let reason = self.reasons.get(&pool).copied().unwrap_or(Reason::Surplus);
            self.change(&pool, Row { floor: row.floor - 1, ..row }, reason);
        }
    }

    /// Orders `count` engines in a pool unless an order is open or the pool was refused lately.
    /// Returns whether it did.
    fn order(&mut self, pool: &Pool, count: u32, reason: Reason) -> bool {
        let row = self.rows.get(pool).copied().unwrap_or(Row::adopted(0));
        let is_more = count >= row.count && count > self.presence(pool).ready;
        let changes_nothing = count == row.count && !is_more;
        // Fewer engines may be refused as well, while fewer than ordered run.
        let is_refused = row.is_refused(REFUSAL_RETRY, self.now);
        let is_allowed = reason == Reason::Pinned || self.is_known(&pool.zone);
        if row.state == State::Open || changes_nothing || is_refused || !is_allowed {
            return false;
        }
        // The least number is ordered for as long as a zone has none, and must not prevent removals.
        self.is_disturbed |= is_more && reason != Reason::Limit;
        self.change(pool, row.with_order(count, self.now), reason);
        true
    }

    /// Cheapest pool that can take one more engine; engines are spread over the zones.
    fn cheapest(&self, allows_spot: bool, added: &BTreeMap<Pool, u32>) -> Option<Pool> {
        let limits = self.input.limits;
        let has_spot = limits.spot_price.is_some_and(|price| price < 1.0);
        let mut best: Option<((bool, f64), Pool)> = None;
        for zone in &self.zones {
            let added_there: u32 =
                added.iter().filter(|(pool, _)| pool.zone == *zone).map(|(_, more)| *more).sum();
            let total = self.zone_total(zone) + added_there;
            let is_closed = self.is_pinned(zone) || self.is_down(zone) || !self.is_known(zone);
            if is_closed || total >= limits.maximum {
                continue;
            }
            for kind in Kind::ALL {
                let pool = Pool { zone: zone.clone(), kind };
                let is_spot = kind == Kind::Spot;
                let row = self.rows.get(&pool).copied().unwrap_or(Row::adopted(0));
                if (is_spot && !(has_spot && allows_spot))
                    || row.state == State::Open
                    || row.is_refused(REFUSAL_RETRY, self.now)
                {
                    continue;
                }
                // Spot engines of a zone are reclaimed together, so they are spread by themselves.
                let beside = match kind {
                    Kind::Spot => self.size(&pool) + added.get(&pool).copied().unwrap_or(0),
                    Kind::OnDemand => total,
                };
                let key = (!is_spot, f64::from(beside + 1) * price(limits, &pool));
                let is_better = best.as_ref().is_none_or(|((least_kind, least_cost), _)| {
                    (key.0, key.1) < (*least_kind, *least_cost)
                });
                if is_better {
                    best = Some((key, pool));
                }
            }
        }
        best.map(|(_, pool)| pool)
    }

    /// Engines of a pool that run or were ordered.
    fn size(&self, pool: &Pool) -> u32 {
        let ordered = self.rows.get(pool).map_or(0, |row| row.count);
        // An order for fewer engines may not show yet.
        let is_settled = self.rows.get(pool).is_none_or(|row| row.state == State::Settled);
        if is_settled { ordered.max(self.presence(pool).ready) } else { ordered }
    }

    /// Engines of a pool that run or are to appear.
    fn expected(&self, pool: &Pool) -> u32 {
        let ready = self.presence(pool).ready;
        ready + self.rows.get(pool).map_or(0, |row| row.coming(ready))
    }

    fn zone_expected(&self, zone: &str) -> u32 {
        let expected = |kind| self.expected(&Pool { zone: zone.to_owned(), kind });
        Kind::ALL.into_iter().map(expected).sum()
    }

    /// Whether fewer engines were ordered and those that leave may still show.
    fn is_decreasing(&self, row: &Row) -> bool {
        row.previous > row.count
            && row.ordered_at.is_some_and(|at| self.now.since(at) < DECREASE_TIME)
    }

    fn zone_total(&self, zone: &str) -> u32 {
        let size = |kind| self.size(&Pool { zone: zone.to_owned(), kind });
        Kind::ALL.into_iter().map(size).sum()
    }

    /// On-demand engines of a zone that run or are to appear.
    fn on_demand(&self, zone: &str, added: &BTreeMap<Pool, u32>) -> u32 {
        let pool = Pool { zone: zone.to_owned(), kind: Kind::OnDemand };
        let is_down = self.is_down(zone);
        let there = if is_down { self.presence(&pool).ready } else { self.expected(&pool) };
        there + added.get(&pool).copied().unwrap_or(0)
    }

    /// Whether an order in a zone cannot be for fewer engines than run there unseen.
    fn is_known(&self, zone: &str) -> bool {
        self.knows_all_zones || self.input.rows.keys().any(|pool| pool.zone == zone)
    }

    fn is_pinned(&self, zone: &str) -> bool {
        self.input.pins.contains_key(zone)
    }

    /// Whether a zone has lost most of its engines while the other zones have theirs.
    ///
    /// Load pattern: all engines of a zone fail, and nothing shows whether it will come back.
    fn is_down(&self, zone: &str) -> bool {
        let (mut there, mut others) = ((0, 0), (0, 0));
        for (pool, row) in self.input.rows {
            let (ready, count) = if pool.zone == zone { &mut there } else { &mut others };
            let present = self.presence(pool).ready;
            // Engines that were just ordered are not lost.
            *count += if row.state == State::Settled { row.count } else { row.previous };
            *ready += present.min(row.count);
        }
        there.1 > 0
            && f64::from(there.0) < f64::from(there.1) * DOWN_SHARE
            && f64::from(others.0) >= f64::from(others.1) * OTHERS_UP_SHARE
            && others.1 > 0
    }
}
