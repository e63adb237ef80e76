//! Named scenarios.

use std::time::Duration;

use filbertsail_standin::fault::Kind;

use super::{Action, Scenario};
use crate::arrival::Mix;

/// Pause of a lease holder; longer than the lease TTL.
const HOLDER_PAUSE: Duration = Duration::from_secs(10);

/// Customer deadline under overload; six times the typical response time.
const CUSTOMER_DEADLINE: Duration = Duration::from_secs(2);

/// Names of all scenarios.
pub const ALL: [&str; 15] = [
    "steady",
    "overload",
    "slow-worker",
    "slow-zone",
    "stragglers",
    "engine-crash",
    "table-outage",
    "lost-answers",
    "paused-holder",
    "failed-swap",
    "leaving-backend",
    "rolling-restart",
    "racing-operators",
    "zone-loss",
    "everything",
];

/// Scenario by name; `seed` selects the faults of `everything`.
#[must_use]
pub fn named(name: &str, seed: u64) -> Option<Scenario> {
    load(name).or_else(|| fault(name)).or_else(|| change(name)).or_else(|| {
        (name == "everything").then(|| {
            Scenario::new(
                "everything",
                "random faults from the seed, overlapping, each up to twice",
            )
            .with_stragglers(0.05)
            .with_duration_s(40)
            .with_random_actions(seed)
        })
    })
}

fn load(name: &str) -> Option<Scenario> {
    Some(match name {
        "steady" => Scenario::new("steady", "half load without faults"),
        "overload" => Scenario::new("overload", "customer load of 1.5 times the engines' capacity")
            .with_load(1.5)
            .with_deadline(CUSTOMER_DEADLINE)
            .with_mix(Mix::MODEL)
            .without_trainers(),
        "slow-worker" => {
            // 0.9 of the throughput of eight engines and a tenth of the ninth.
            Scenario::new("slow-worker", "one engine at a tenth of its speed, load 0.9 of the rest")
                .with_load(0.81)
                .with_mix(Mix::MODEL)
                .without_trainers()
                .with_action(0.0, Action::EngineSpeed(0, 0.1))
        }
        "slow-zone" => Scenario::new("slow-zone", "a zone's workers at a fifth of their speed")
            .with_action(0.2, Action::ZoneSpeed(0, 0.2))
            .with_action(0.8, Action::ZoneSpeed(0, 1.0)),
        "stragglers" => Scenario::new("stragglers", "5% of samples ten times as long")
            .with_load(0.3)
            .with_stragglers(0.05)
            .with_duration_s(40),
        _ => return None,
    })
}

fn fault(name: &str) -> Option<Scenario> {
    Some(match name {
        "engine-crash" => Scenario::new("engine-crash", "an engine crashes and restarts")
            .with_action(0.3, Action::CrashEngine(0))
            .with_action(0.6, Action::RestartEngine(0)),
        "table-outage" => Scenario::new("table-outage", "the table service is down for 60 s")
            .with_duration_s(100)
            .with_action(0.2, Action::TableDown(true))
            .with_action(0.8, Action::TableDown(false)),
        "lost-answers" => Scenario::new("lost-answers", "responses lost before or after effect")
            .with_action(0.1, Action::ResponseFaults(Some(Kind::LostAfter), 0.05))
            .with_action(0.4, Action::ResponseFaults(Some(Kind::LostBefore), 0.05))
            .with_action(0.6, Action::ResponseFaults(Some(Kind::WrongId), 0.05))
            .with_action(0.7, Action::ResponseFaults(Some(Kind::Half), 0.05))
            .with_action(0.8, Action::ResponseFaults(None, 0.0)),
        "paused-holder" => Scenario::new("paused-holder", "lease holders pause past their TTL")
            .with_duration_s(40)
            .with_action(0.1, Action::PauseController(0, HOLDER_PAUSE))
            .with_action(0.4, Action::PauseController(1, HOLDER_PAUSE))
            .with_action(0.7, Action::PauseController(2, HOLDER_PAUSE)),
        "failed-swap" => Scenario::new("failed-swap", "weight swaps fail partway")
            .with_action(0.1, Action::FailNextSwap(0))
            .with_action(0.1, Action::FailNextSwap(3))
            .with_action(0.5, Action::FailNextSwap(0)),
        "zone-loss" => Scenario::new("zone-loss", "a zone fails and recovers")
            .with_duration_s(30)
            .with_action(0.3, Action::ZoneDown(0, true))
            .with_action(0.7, Action::ZoneDown(0, false)),
        _ => return None,
    })
}

fn change(name: &str) -> Option<Scenario> {
    Some(match name {
        "leaving-backend" => Scenario::new("leaving-backend", "workers leave by report or VM list")
            .with_action(0.2, Action::WorkerLeaving(0, true))
            .with_action(0.3, Action::VmListLeaving(0))
            .with_action(0.8, Action::WorkerLeaving(0, false)),
        "rolling-restart" => Scenario::new("rolling-restart", "planned stops of all daemons")
            .with_duration_s(40)
            .with_action(0.1, Action::RollGateway(0))
            .with_action(0.2, Action::RollController(0))
            .with_action(0.3, Action::RollGateway(1))
            .with_action(0.4, Action::RollController(1))
            .with_action(0.5, Action::RollGateway(2))
            .with_action(0.6, Action::RollController(2)),
        "racing-operators" => Scenario::new("racing-operators", "concurrent conflicting changes")
            .with_duration_s(30)
            .with_action(0.2, Action::ConflictingApplies)
            .with_action(0.4, Action::ConflictingApplies)
            .with_action(0.6, Action::ConflictingApplies),
        _ => return None,
    })
}
