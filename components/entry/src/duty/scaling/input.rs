//! What the planner needs to know of a service, from the configuration and the registry.

use std::{collections::BTreeMap, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_scaling::{Kind, Limits, Pool, Presence};

use crate::{
    config::{Config, Service},
    fleet::{Fleet, Worker},
};

/// Event interval relative to the typical one from which a worker counts as slow.
const SLOW_RATIO: f64 = 1.5;
/// Time that a step may take. The configuration does not state it; trainers of the known
/// installations wait for 7.5 s.
const STEP_LIMIT: Duration = Duration::from_millis(7_500);

/// Limits on the workers of a service; nothing if they may not be ordered.
pub fn limits(config: &Config, service: &str) -> Option<Limits> {
    let service = config.services.get(service)?;
    let scaling = service.scaling.as_ref()?;
    Some(Limits {
        minimum: scaling.minimum,
        maximum: scaling.maximum.max(scaling.minimum),
        boot_time: scaling.boot_time,
        spot_price: scaling.spot_price,
        zone_prices: scaling.zone_prices.iter().cloned().collect(),
        slots: service.engine.as_ref().map_or(1, |engine| engine.slots),
        step_limit: STEP_LIMIT,
    })
}

/// Workers of a service by pool.
pub fn presence(fleet: &Fleet, service: &str) -> BTreeMap<Pool, Presence> {
    let typical = fleet.typical_interval_ms(service);
    let mut present: BTreeMap<Pool, Presence> = BTreeMap::new();
    for (_, worker) in fleet.workers_of(service) {
        let kind = if worker.entry.is_spot { Kind::Spot } else { Kind::OnDemand };
        let pool = Pool { zone: worker.entry.zone.clone(), kind };
        let presence = present.entry(pool).or_default();
        if worker.entry.draining {
            let is_reclaimed = worker.entry.is_spot || worker.entry.leaves_in.is_some();
            presence.reclaimed += u32::from(is_reclaimed);
            continue;
        }
        presence.ready += 1;
        if worker.idle_interval_ms > 0.0 && typical > 0.0 {
            presence.measured += 1;
            presence.slow_share += slow_share(worker, typical);
        }
    }
    present
}

/// Share of a worker that is missing since it is slow.
fn slow_share(worker: &Worker, typical_ms: f64) -> f64 {
    let ratio = worker.idle_interval_ms / typical_ms;
    if ratio >= SLOW_RATIO { 1.0 - 1.0 / ratio } else { 0.0 }
}

/// Output tokens a second of a full engine, on average over the measured ones; zero if none is.
pub fn engine_rate(fleet: &Fleet, service: &Service, now: Instant) -> f64 {
    let Some(engine) = &service.engine else { return 0.0 };
    let (mut sum, mut measured) = (0.0, 0_u32);
    for (key, worker) in fleet.workers_of(&service.name) {
        if worker.entry.draining || worker.idle_interval_ms <= 0.0 {
            continue;
        }
        let free = worker.entry.slots.saturating_sub(worker.load(now));
        let interval_ms = fleet.expected_interval_ms(key, free, now);
        sum += 1_000.0 / interval_ms.max(1.0);
        measured += 1;
    }
    #[expect(clippy::cast_precision_loss)]
    let tokens = engine.tokens_per_event as f64 * f64::from(engine.slots);
    if measured == 0 { 0.0 } else { sum / f64::from(measured) * tokens }
}
