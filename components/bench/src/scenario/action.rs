//! Faults and planned changes of a scenario.

use std::time::Duration;

use filbertsail_api::vm::State;
use filbertsail_clock::{Boot, Source};
use filbertsail_standin::fault::Kind;

use crate::{
    journal::Leaving,
    testbed::{Testbed, daemon::Role},
};

/// Time limit of a graceful shutdown.
const STOP_TIMEOUT: Duration = Duration::from_secs(60);

/// Fault or change; a `usize` is the index of a worker, daemon or zone and wraps around.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// An engine runs at a share of its normal speed.
    EngineSpeed(usize, f64),
    /// All workers of a zone run at a share of their normal speed.
    ZoneSpeed(usize, f64),
    /// An engine crashes.
    CrashEngine(usize),
    /// A crashed engine restarts with weight version 1.
    RestartEngine(usize),
    /// The table service goes down (`true`) or recovers.
    TableDown(bool),
    /// The object store goes down (`true`) or recovers.
    ObjectsDown(bool),
    /// A share of calls to the table service, object store and application servers fails; `None`
    /// ends the fault.
    ResponseFaults(Option<Kind>, f64),
    /// A share of scoring calls is delayed.
    SlowScores(Duration, f64),
    /// A share of the streams of an engine is cut off.
    BreakStreams(usize, f64),
    /// The next weight swap of an engine fails partway.
    FailNextSwap(usize),
    /// An engine reports that it is leaving (`true`) or no longer leaving.
    WorkerLeaving(usize, bool),
    /// The VM list shows an application server as leaving.
    VmListLeaving(usize),
    /// Graceful shutdown and replacement of a gateway.
    RollGateway(usize),
    /// Graceful shutdown and replacement of a controller.
    RollController(usize),
    /// Kill and replacement of a gateway.
    KillGateway(usize),
    /// Kill and replacement of a controller.
    KillController(usize),
    /// A controller is paused, so that its leases expire unnoticed.
    PauseController(usize, Duration),
    /// Two operators apply conflicting configurations concurrently.
    ConflictingApplies,
    /// All workers and daemons of a zone fail (`true`) or are started again.
    ZoneDown(usize, bool),
}

impl Action {
    /// Same action at another worker or daemon; only for the indexed actions in [`fault_pairs`].
    #[must_use]
    pub fn with_index(self, index: usize) -> Self {
        match self {
            Self::EngineSpeed(_, share) => Self::EngineSpeed(index, share),
            Self::CrashEngine(_) => Self::CrashEngine(index),
            Self::RestartEngine(_) => Self::RestartEngine(index),
            Self::BreakStreams(_, share) => Self::BreakStreams(index, share),
            Self::FailNextSwap(_) => Self::FailNextSwap(index),
            Self::WorkerLeaving(_, leaving) => Self::WorkerLeaving(index, leaving),
            Self::RollGateway(_) => Self::RollGateway(index),
            Self::KillGateway(_) => Self::KillGateway(index),
            Self::KillController(_) => Self::KillController(index),
            Self::PauseController(_, pause) => Self::PauseController(index, pause),
            other => other,
        }
    }

    /// Executes the action.
    ///
    /// # Errors
    /// Fails if a replacement daemon cannot start.
    pub async fn execute(self, testbed: &Testbed) -> eyre::Result<()> {
        let engines = &testbed.standins.engines;
        match self {
            Self::EngineSpeed(index, share) => {
                engines[index % engines.len()].set_slowdown(1.0 / share)
            }
            Self::ZoneSpeed(zone, share) => set_zone_speed(testbed, zone, share),
            Self::CrashEngine(index) => engines[index % engines.len()].crash(),
            Self::RestartEngine(index) => engines[index % engines.len()].restart(1),
            Self::TableDown(down) => testbed.standins.table.faults.set_down(down),
            Self::ObjectsDown(down) => testbed.standins.objects.faults.set_down(down),
            Self::ResponseFaults(kind, share) => set_response_faults(testbed, kind, share),
            Self::SlowScores(delay, share) => {
                testbed.standins.scorer.faults.inject_delay(delay, share)
            }
            Self::BreakStreams(index, share) => {
                engines[index % engines.len()].faults.inject(Kind::Half, share);
            }
            Self::FailNextSwap(index) => engines[index % engines.len()].fail_next_swap(),
            Self::WorkerLeaving(index, leaving) => set_worker_leaving(testbed, index, leaving),
            Self::VmListLeaving(index) => set_vm_list_leaving(testbed, index),
            Self::RollGateway(index) => stop_and_start(testbed, Role::Gateway, index).await?,
            Self::RollController(index) => stop_and_start(testbed, Role::Controller, index).await?,
            Self::KillGateway(index) => kill_and_start(testbed, Role::Gateway, index).await?,
            Self::KillController(index) => kill_and_start(testbed, Role::Controller, index).await?,
            Self::PauseController(index, pause) => {
                let index = testbed.daemon_index(Role::Controller, index).unwrap_or(0);
                testbed.pause_daemon(&format!("controller-{}", index + 1), pause);
            }
            Self::ConflictingApplies => testbed.apply_conflicting().await,
            Self::ZoneDown(zone, down) => set_zone_down(testbed, zone, down).await?,
        }
        Ok(())
    }
}

/// Faults of `everything`, each with the action that ends it.
#[must_use]
pub fn fault_pairs() -> Vec<(Action, Option<Action>)> {
    vec![
        (Action::EngineSpeed(0, 0.1), Some(Action::EngineSpeed(0, 1.0))),
        (Action::CrashEngine(0), Some(Action::RestartEngine(0))),
        (Action::TableDown(true), Some(Action::TableDown(false))),
        (Action::ObjectsDown(true), Some(Action::ObjectsDown(false))),
        (
            Action::ResponseFaults(Some(Kind::LostAfter), 0.05),
            Some(Action::ResponseFaults(None, 0.0)),
        ),
        (
            Action::SlowScores(Duration::from_secs(2), 0.5),
            Some(Action::SlowScores(Duration::ZERO, 0.0)),
        ),
        (Action::BreakStreams(0, 0.2), Some(Action::BreakStreams(0, 0.0))),
        (Action::FailNextSwap(0), None),
        (Action::WorkerLeaving(0, true), Some(Action::WorkerLeaving(0, false))),
        (Action::RollGateway(0), None),
        (Action::KillGateway(0), None),
        (Action::KillController(0), None),
        (Action::PauseController(0, Duration::from_secs(8)), None),
        (Action::ConflictingApplies, None),
    ]
}

fn set_zone_speed(testbed: &Testbed, zone: usize, share: f64) {
    let zone = testbed.zone_of(zone);
    for worker in testbed.standins.inventory.workers.iter().filter(|worker| worker.zone == zone) {
        if let Some(engine) = testbed.standins.engine(&worker.name) {
            engine.set_slowdown(1.0 / share);
        }
        if let Some(service) = testbed.standins.service(&worker.name) {
            service.set_slowdown(1.0 / share);
        }
    }
}

fn set_response_faults(testbed: &Testbed, kind: Option<Kind>, share: f64) {
    let services = testbed.standins.services.iter().map(|service| &service.faults);
    for faults in services.chain([&testbed.standins.table.faults, &testbed.standins.objects.faults])
    {
        match kind {
            Some(kind) => faults.inject(kind, share),
            // Ends the fault without ending an outage that another action started.
            None => faults.inject(Kind::Slow, 0.0),
        }
    }
}

fn set_worker_leaving(testbed: &Testbed, index: usize, is_leaving: bool) {
    let engine = &testbed.standins.engines[index % testbed.standins.engines.len()];
    engine.set_leaving(is_leaving);
    record_leaving(testbed, engine.name(), is_leaving);
}

fn record_leaving(testbed: &Testbed, name: &str, is_leaving: bool) {
    let now = Boot.now();
    let mut history = testbed.journal.write();
    let mut entries = history.leaving.iter_mut().filter(|leaving| leaving.worker == name);
    match (entries.find(|leaving| leaving.ended_at.is_none()), is_leaving) {
        (Some(leaving), false) => leaving.ended_at = Some(now),
        (None, true) => {
            history.leaving.push(Leaving {
                worker: name.to_owned(),
                started_at: now,
                ended_at: None,
            });
        }
        _ => {}
    }
}

/// Marks an application server as leaving in the VM list only, which shows it after its lag.
fn set_vm_list_leaving(testbed: &Testbed, index: usize) {
    let names: Vec<_> = testbed.standins.services.iter().map(|service| service.name()).collect();
    let name = names[index % names.len()];
    testbed.standins.vms.set_state(name, State::Leaving);
    let started_at = Boot.now().after(testbed.vm_list_lag());
    let leaving = Leaving { worker: name.to_owned(), started_at, ended_at: None };
    testbed.journal.write().leaving.push(leaving);
}

async fn stop_and_start(testbed: &Testbed, role: Role, index: usize) -> eyre::Result<()> {
    let Some(index) = testbed.daemon_index(role, index) else { return Ok(()) };
    testbed.stop_daemon(&format!("{role}-{}", index + 1), STOP_TIMEOUT).await;
    testbed.start_daemon(role, index).await
}

async fn kill_and_start(testbed: &Testbed, role: Role, index: usize) -> eyre::Result<()> {
    /// Time until a new VM replaces a lost one.
    const REPLACEMENT_DELAY: Duration = Duration::from_secs(2);
    let Some(index) = testbed.daemon_index(role, index) else { return Ok(()) };
    testbed.kill_daemon(&format!("{role}-{}", index + 1));
    tokio::time::sleep(REPLACEMENT_DELAY).await;
    testbed.start_daemon(role, index).await
}

async fn set_zone_down(testbed: &Testbed, zone: usize, is_down: bool) -> eyre::Result<()> {
    let zone = testbed.zone_of(zone);
    for worker in testbed.standins.inventory.workers.iter().filter(|worker| worker.zone == zone) {
        if let Some(engine) = testbed.standins.engine(&worker.name) {
            if is_down { engine.crash() } else { engine.restart(1) }
        }
        if let Some(service) = testbed.standins.service(&worker.name) {
            service.faults.set_down(is_down);
        }
    }
    testbed.set_zone_daemons_down(&zone, is_down).await
}
