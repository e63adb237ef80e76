//! Number of engines that a service needs in all zones together.

use std::time::Duration;

use filbertsail_clock::Instant;

use super::Input;
use crate::peak::Peak;

/// Share of the engines that the steps should use at most, since lengths are estimates and engines
/// are not evenly filled.
const TARGET_UTILIZATION: f64 = 0.75;
/// Wait from which items show that engines are short.
const SHORT_WAIT: Duration = Duration::from_millis(400);
/// Time for which waits, slowness or a need must last before engines are added: engines are slow for
/// fractions of a second now and then, and all slots are taken when a step starts.
const SIGN_TIME: Duration = Duration::from_millis(1_000);
/// Largest share of the present engines that is added at once because items wait.
const MAX_PRESSURE_SHARE: f64 = 0.25;
/// Limit of engines added because items wait, relative to the floor and the work of the steps. Waits
/// beyond it have another cause than too few engines.
const PRESSURE_CEILING: f64 = 1.25;
/// Time constant with which lasting slowness becomes usual; a quarter of the engines is always
/// slower than the others.
const USUAL_SLOWNESS_TIME: Duration = Duration::from_secs(60);
/// Least slowness beyond the usual, in engines, that is compensated.
const MIN_SLOW_ENGINES: f64 = 1.0;
/// Time whose largest need is kept up.
const WANTED_WINDOW: Duration = Duration::from_secs(120);
/// Time for which the work must have left a clear surplus before the floor is given up.
const FLOOR_WINDOW: Duration = Duration::from_secs(300);
/// Share of the largest need that must be exceeded for a surplus to be clear.
const CLEAR_SURPLUS: f64 = 1.5;

/// Figures of one round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figures {
    /// Engines that should run.
    pub wanted: u32,
    /// On-demand engines that must run before spot engines are added.
    pub base: u32,
    /// Engines that the work requires, with a reserve.
    pub needed: f64,
}

/// Need of a service over time.
#[derive(Clone, Debug)]
pub struct Level {
    wanted_peak: Peak,
    needed_peak: Peak,
    /// Negative need, whose peak is the least need.
    need_trough: Peak,
    waiting_since: Option<Instant>,
    /// Number of engines that waits called for, and when.
    pressure: Option<(f64, Instant)>,
    /// Slowness that is usual, in engines, and when it was last updated.
    usual_slowness: Option<(f64, Instant)>,
    slow_since: Option<Instant>,
}

impl Default for Level {
    fn default() -> Self {
        Self {
            wanted_peak: Peak::new(WANTED_WINDOW),
            needed_peak: Peak::new(FLOOR_WINDOW),
            need_trough: Peak::new(SIGN_TIME),
            waiting_since: None,
            pressure: None,
            usual_slowness: None,
            slow_since: None,
        }
    }
}

impl Level {
    /// Computes the need at `now`.
    pub fn update(
        &mut self,
        input: &Input<'_>,
        ready: u32,
        coming: u32,
        floor: u32,
        now: Instant,
    ) -> Figures {
        let work = input.demand.engines(input.engine_rate, input.limits.step_limit);
        let needed = self.lasting_need(work / TARGET_UTILIZATION, now);
        self.needed_peak.record(needed, now);
        let is_work_known = input.demand.models > 0 && needed > 0.0;
        let kept = match self.needed_peak.get(now) {
            Some(peak) if is_work_known => f64::from(floor).min((peak * CLEAR_SURPLUS).ceil()),
            _ => f64::from(floor),
        };
        let slow = self.slow_engines(input, now);
        // Losing all spot engines at once leaves what the steps need, with the reserve.
        let least = (kept + slow).max(needed);
        let most = least.max(f64::from(floor)) * PRESSURE_CEILING;
        let pressure = self.pressure(input, f64::from(ready), f64::from(coming), most, now);
        let wanted = least.max(pressure).ceil();
        self.wanted_peak.record(wanted, now);
        Figures { wanted: count(wanted), base: count(least.ceil()), needed }
    }

    /// Largest number wanted lately; nothing until it is known for long enough.
    pub fn lasting(&self, now: Instant) -> Option<u32> {
        self.wanted_peak.get(now).map(count)
    }

    /// Least need of the last second, zero until that is known.
    ///
    /// Load pattern: all engines are slow for fractions of a second, and the rate that is expected of
    /// them follows at once.
    fn lasting_need(&mut self, needed: f64, now: Instant) -> f64 {
        self.need_trough.record(-needed, now);
        self.need_trough.get(now).map_or(0.0, |trough| -trough)
    }

    /// Engines to compensate slowness beyond the usual.
    ///
    /// Load pattern: a third of the engines becomes slow.
    fn slow_engines(&mut self, input: &Input<'_>, now: Instant) -> f64 {
        let (mut ready, mut measured, mut share) = (0, 0, 0.0);
        for presence in input.present.values() {
            ready += presence.ready;
            measured += presence.measured;
            share += presence.slow_share;
        }
        if measured == 0 || measured * 2 < ready {
            self.slow_since = None;
            return 0.0;
        }
        let slowness = share / f64::from(measured) * f64::from(ready);
        let (usual, at) = self.usual_slowness.unwrap_or((slowness, now));
        let weight = now.since(at).as_secs_f64() / USUAL_SLOWNESS_TIME.as_secs_f64();
        let usual = usual + (slowness - usual) * weight.min(1.0);
        self.usual_slowness = Some((usual, now));
        let excess = slowness - usual;
        if excess < MIN_SLOW_ENGINES {
            self.slow_since = None;
            return 0.0;
        }
        let since = *self.slow_since.get_or_insert(now);
        if now.since(since) >= SIGN_TIME { excess.ceil() } else { 0.0 }
    }

    /// Engines that waiting items call for, `most` at most.
    fn pressure(
        &mut self,
        input: &Input<'_>,
        ready: f64,
        coming: f64,
        most: f64,
        now: Instant,
    ) -> f64 {
        let demand = input.demand;
        if demand.items_waiting == 0 || demand.oldest_wait < SHORT_WAIT {
            self.waiting_since = None;
        }
        // Engines of an earlier decision must show their effect first.
        let is_due =
            self.pressure.is_none_or(|(_, at)| now.since(at) >= input.limits.arrival_time());
        if demand.items_waiting > 0 && demand.oldest_wait >= SHORT_WAIT {
            let since = *self.waiting_since.get_or_insert(now);
            if is_due && now.since(since) >= SIGN_TIME {
                let full = f64::from(demand.items_waiting) / f64::from(input.limits.slots.max(1));
                let extra = full.min(ready * MAX_PRESSURE_SHARE).ceil().max(1.0);
                self.pressure = Some(((ready + coming + extra).min(most), now));
                return (ready + coming + extra).min(most);
            }
        }
        self.pressure.filter(|_| !is_due).map_or(0.0, |(engines, _)| engines)
    }
}

/// Converts to a whole number; saturates.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn count(engines: f64) -> u32 {
    engines.max(0.0) as u32
}
