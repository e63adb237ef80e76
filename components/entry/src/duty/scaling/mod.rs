//! Orders of workers at the platform.
//!
//! The holder of the lease on a service plans for all of its zones. An order is a row before it is a
//! call, and the call is repeated unchanged until its outcome is known, by whichever VM holds the
//! lease. The platform checks no fencing token, so one lease covers all zones of a service: its
//! epochs never go back in any of them.

pub mod calls;
mod input;
pub mod rows;
mod task;

use std::time::Duration;

use filbertsail_collections::HashSet;
use filbertsail_ports::{duty::Platform, store::Store};
use filbertsail_telemetry::event::Line;
use tokio::time::sleep;

pub use rows::SCALING_TABLE;
use task::Task;

use super::Context;
use crate::shared::Shared;

/// Time between two checks for new services.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Runs one task per service with limits on its workers until the daemon stops.
pub async fn run<S: Store, P: Platform>(context: Context<S, P>) {
    for ((service, zone), count) in &context.settings.pins {
        Line::new("scaling_pinned")
            .with("service", service)
            .with("zone", zone)
            .with("count", count)
            .info();
    }
    let shared = context.shared.clone();
    shared.states_demand.send_replace(true);
    let mut stopping = shared.stopping.subscribe();
    let mut started: HashSet<String> = HashSet::default();
    let mut tasks = Vec::new();
    while !*stopping.borrow() {
        for service in services(&shared) {
            if started.insert(service.clone()) {
                tasks.push(tokio::spawn(Task::new(context.clone(), service).run()));
            }
        }
        tokio::select! {
            () = sleep(SERVICE_CHECK_INTERVAL) => {}
            _ = stopping.wait_for(|stopping| *stopping) => {}
        }
    }
    for task in tasks {
        // A panic in one task must not affect the others.
        let _ = task.await;
    }
}

/// Names of the services whose workers may be ordered.
fn services(shared: &Shared) -> Vec<String> {
    let Some(config) = shared.config() else { return Vec::new() };
    let services = config.services.values().filter(|service| service.scaling.is_some());
    services.map(|service| service.name.clone()).collect()
}
