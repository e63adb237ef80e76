//! Faults and planned changes that a scenario makes.

use std::time::Duration;

use filbertsail_api::vm::State;
use filbertsail_clock::{Boot, Source};
use filbertsail_standin::fault::Kind;

use crate::{
    journal::Leaving,
    world::{World, daemon::Role},
};

/// Longest time for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(60);

/// Change of the world; numbers are indexes into workers or daemons.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// An engine runs at the given share of its speed.
    Speed(usize, f64),
    /// All workers of a zone run at a share of their speed.
    ZoneSpeed(usize, f64),
    /// An engine crashes.
    Crash(usize),
    /// A crashed engine starts on the first weights.
    Restart(usize),
    /// The table service goes down or comes back.
    TableDown(bool),
    /// The object store goes down or comes back.
    ObjectsDown(bool),
    /// Share of calls with a fault at the table service, object store and application servers.
    Answers(Option<Kind>, f64),
    /// A share of scores takes the given time longer.
    Scores(Duration, f64),
    /// A share of an engine's streams breaks off.
    Streams(usize, f64),
    /// The next swap of an engine fails partway.
    FailSwap(usize),
    /// A worker says it is leaving, or stays after all.
    Leaving(usize, bool),
    /// The VM list shows a worker as leaving.
    ListLeaving(usize),
    /// A gateway stops as planned and a new one takes its place.
    RollGateway(usize),
    /// A controller stops as planned and a new one takes its place.
    RollController(usize),
    /// A gateway is killed and a new one takes its place.
    KillGateway(usize),
    /// A controller is killed and a new one takes its place.
    KillController(usize),
    /// A controller freezes, unaware that its leases expire.
    Pause(usize, Duration),
    /// Two operators apply conflicting changes at once.
    Race,
    /// A zone loses its workers and gateways, or its workers come back.
    ZoneDown(usize, bool),
}

impl Action {
    /// The same change at another worker or daemon.
    #[must_use]
    pub fn at(self, index: usize) -> Self {
        match self {
            Self::Speed(_, share) => Self::Speed(index, share),
            Self::Crash(_) => Self::Crash(index),
            Self::Restart(_) => Self::Restart(index),
            Self::Streams(_, share) => Self::Streams(index, share),
            Self::FailSwap(_) => Self::FailSwap(index),
            Self::Leaving(_, leaving) => Self::Leaving(index, leaving),
            Self::RollGateway(_) => Self::RollGateway(index),
            Self::KillGateway(_) => Self::KillGateway(index),
            Self::KillController(_) => Self::KillController(index),
            Self::Pause(_, pause) => Self::Pause(index, pause),
            other => other,
        }
    }

    /// Makes the change.
    ///
    /// # Errors
    /// Fails if a daemon cannot start again.
    pub async fn make(self, world: &World) -> eyre::Result<()> {
        let engines = &world.set.engines;
        match self {
            Self::Speed(index, share) => engines[index % engines.len()].set_slowdown(1.0 / share),
            Self::ZoneSpeed(zone, share) => zone_speed(world, zone, share),
            Self::Crash(index) => engines[index % engines.len()].crash(),
            Self::Restart(index) => engines[index % engines.len()].restart(1),
            Self::TableDown(down) => world.set.table.faults.set_down(down),
            Self::ObjectsDown(down) => world.set.objects.faults.set_down(down),
            Self::Answers(kind, share) => answers(world, kind, share),
            Self::Scores(delay, share) => world.set.scorer.faults.inject_delay(delay, share),
            Self::Streams(index, share) => {
                engines[index % engines.len()].faults.inject(Kind::Half, share);
            }
            Self::FailSwap(index) => engines[index % engines.len()].fail_next_swap(),
            Self::Leaving(index, leaving) => set_leaving(world, index, leaving),
            Self::ListLeaving(index) => list_leaving(world, index),
            Self::RollGateway(index) => roll(world, Role::Gateway, index).await?,
            Self::RollController(index) => roll(world, Role::Controller, index).await?,
            Self::KillGateway(index) => kill(world, Role::Gateway, index).await?,
            Self::KillController(index) => kill(world, Role::Controller, index).await?,
            Self::Pause(index, pause) => {
                let index = world.index(Role::Controller, index).unwrap_or(0);
                world.pause_daemon(&format!("controller-{}", index + 1), pause);
            }
            Self::Race => world.race().await,
            Self::ZoneDown(zone, down) => zone_down(world, zone, down).await?,
        }
        Ok(())
    }
}

/// Faults of `everything` with the changes that end them.
#[must_use]
pub fn pairs() -> Vec<(Action, Option<Action>)> {
    vec![
        (Action::Speed(0, 0.1), Some(Action::Speed(0, 1.0))),
        (Action::Crash(0), Some(Action::Restart(0))),
        (Action::TableDown(true), Some(Action::TableDown(false))),
        (Action::ObjectsDown(true), Some(Action::ObjectsDown(false))),
        (Action::Answers(Some(Kind::LostAfter), 0.05), Some(Action::Answers(None, 0.0))),
        (Action::Scores(Duration::from_secs(2), 0.5), Some(Action::Scores(Duration::ZERO, 0.0))),
        (Action::Streams(0, 0.2), Some(Action::Streams(0, 0.0))),
        (Action::FailSwap(0), None),
        (Action::Leaving(0, true), Some(Action::Leaving(0, false))),
        (Action::RollGateway(0), None),
        (Action::KillGateway(0), None),
        (Action::KillController(0), None),
        (Action::Pause(0, Duration::from_secs(8)), None),
        (Action::Race, None),
    ]
}

fn zone_speed(world: &World, zone: usize, share: f64) {
    let zone = world.zone_of(zone);
    for worker in world.set.inventory.workers.iter().filter(|worker| worker.zone == zone) {
        if let Some(engine) = world.set.engine(&worker.name) {
            engine.set_slowdown(1.0 / share);
        }
        if let Some(service) = world.set.service(&worker.name) {
            service.set_slowdown(1.0 / share);
        }
    }
}

fn answers(world: &World, kind: Option<Kind>, share: f64) {
    let services = world.set.services.iter().map(|service| &service.faults);
    for faults in services.chain([&world.set.table.faults, &world.set.objects.faults]) {
        match kind {
            Some(kind) => faults.inject(kind, share),
            // Ends the fault but not a time down that another action began.
            None => faults.inject(Kind::Slow, 0.0),
        }
    }
}

fn set_leaving(world: &World, index: usize, is_leaving: bool) {
    let engine = &world.set.engines[index % world.set.engines.len()];
    engine.set_leaving(is_leaving);
    note_leaving(world, engine.name(), is_leaving);
}

fn note_leaving(world: &World, name: &str, is_leaving: bool) {
    let now = Boot.now();
    let mut pages = world.journal.write();
    let mut open = pages.leaving.iter_mut().filter(|leaving| leaving.worker == name);
    match (open.find(|leaving| leaving.to.is_none()), is_leaving) {
        (Some(leaving), false) => leaving.to = Some(now),
        (None, true) => {
            pages.leaving.push(Leaving { worker: name.to_owned(), from: now, to: None });
        }
        _ => {}
    }
}

/// Shows a worker as leaving in the VM list only; it counts from when the list shows it.
fn list_leaving(world: &World, index: usize) {
    let names: Vec<_> = world.set.services.iter().map(|service| service.name()).collect();
    let name = names[index % names.len()];
    world.set.vms.set_state(name, State::Leaving);
    let from = Boot.now().after(world.vm_lag());
    let leaving = Leaving { worker: name.to_owned(), from, to: None };
    world.journal.write().leaving.push(leaving);
}

async fn roll(world: &World, role: Role, index: usize) -> eyre::Result<()> {
    let Some(index) = world.index(role, index) else { return Ok(()) };
    world.stop_daemon(&format!("{role}-{}", index + 1), STOP_LIMIT).await;
    world.start_daemon(role, index).await
}

async fn kill(world: &World, role: Role, index: usize) -> eyre::Result<()> {
    /// Time until a new VM takes the place of a lost one.
    const REPLACEMENT: Duration = Duration::from_secs(2);
    let Some(index) = world.index(role, index) else { return Ok(()) };
    world.kill_daemon(&format!("{role}-{}", index + 1));
    tokio::time::sleep(REPLACEMENT).await;
    world.start_daemon(role, index).await
}

async fn zone_down(world: &World, zone: usize, is_down: bool) -> eyre::Result<()> {
    let zone = world.zone_of(zone);
    for worker in world.set.inventory.workers.iter().filter(|worker| worker.zone == zone) {
        if let Some(engine) = world.set.engine(&worker.name) {
            if is_down { engine.crash() } else { engine.restart(1) }
        }
        if let Some(service) = world.set.service(&worker.name) {
            service.faults.set_down(is_down);
        }
    }
    world.zone_daemons(&zone, is_down).await
}
