//! Monitoring of backend servers: load reports, cache events and the VM list.

use std::{collections::HashMap, time::Duration};

use filbertsail_api::engine::{CacheEvents, Change, Load};
use filbertsail_clock::{self as clock, Source as _};
use filbertsail_config::inventory::Kind;
use filbertsail_ports::vm;
use filbertsail_routing::{prefix, state::Report};
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use tokio::{
    task::JoinSet,
    time::{self, MissedTickBehavior},
};

use crate::{
    backend::{Call, Server, body},
    router::{CacheEvent, Router, Source, Target},
};

/// Interval of load reports with up to [`MAX_FAST_WORKERS`] workers.
const FAST_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of load reports beyond that. A leaving worker must get no new work after 3 s.
const SLOW_REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Largest number of workers polled at the fast interval, to bound the traffic of reports.
const MAX_FAST_WORKERS: usize = 16;
/// Timeout of a load report or cache event request.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between reads of the VM list.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Monitors the workers of the active inventory; stops when the future is dropped.
pub async fn watch_workers(router: Router) {
    let mut targets = router.targets();
    loop {
        let mut tasks = JoinSet::new();
        {
            let targets = targets.borrow_and_update();
            let fast = targets.len() <= MAX_FAST_WORKERS;
            let interval = if fast { FAST_REPORT_INTERVAL } else { SLOW_REPORT_INTERVAL };
            for target in targets.iter() {
                tasks.spawn(watch_worker(router.clone(), target.clone(), interval));
            }
        }
        if targets.changed().await.is_err() {
            return;
        }
    }
}

async fn watch_worker(router: Router, target: Target, interval: Duration) {
    let mut interval = time::interval(interval);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut last_event = 0;
    let mut incarnation = None;
    loop {
        interval.tick().await;
        if !target.service.reports_load {
            continue;
        }
        let path = match target.service.kind {
            Kind::Model => "/v1/load",
            Kind::Application => "/load",
        };
        let load: Result<Load, bool> = fetch(&target.server, path.to_owned()).await;
        match load {
            Ok(load) => {
                if incarnation.replace(load.incarnation) != Some(load.incarnation) {
                    // A restarted engine numbers its events from the beginning.
                    last_event = 0;
                }
                router.record_report(&target.name, to_report(&load));
            }
            Err(reached) => router.record_contact(&target.name, reached),
        }
        if target.service.kind == Kind::Model {
            let path = format!("/v1/cache-events?after={last_event}");
            let events: Result<CacheEvents, bool> = fetch(&target.server, path).await;
            if let Ok(events) = events {
                last_event = events.next;
                forward_events(&router, &target.name, events);
            }
        }
    }
}

fn to_report(load: &Load) -> Report {
    Report {
        measured_at: clock::Boot.now().before(Duration::from_millis(load.age_ms)),
        incarnation: load.incarnation,
        running: load.running,
        queued: load.queued,
        capacity: load.capacity,
        weight_version: load.weight_version,
        leaving: load.leaving,
    }
}

fn forward_events(router: &Router, worker: &str, events: CacheEvents) {
    let changes = events.events.into_iter().map(|event| CacheEvent {
        seq: event.seq,
        change: match event.change {
            Change::Stored => prefix::Change::Stored,
            Change::Evicted => prefix::Change::Evicted,
        },
        prefix: event.prefix,
    });
    router.record_cache_events(worker, changes.collect(), events.next);
}

/// Body of a successful `GET`; the error states whether the server responded at all.
async fn fetch<T: DeserializeOwned>(server: &Server, path: String) -> Result<T, bool> {
    let call = Call {
        method: Method::GET,
        path,
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        idempotent: true,
        time_left: REPORT_TIMEOUT,
    };
    let exchange = async {
        let response = server.send(&call).await.map_err(|_| false)?;
        let (head, received) = body::read(response).await.map_err(|_| true)?;
        match received {
            body::Received::Buffered(bytes) if head.status == StatusCode::OK => {
                serde_json::from_slice(&bytes).map_err(|_| true)
            }
            _ => Err(true),
        }
    };
    time::timeout(REPORT_TIMEOUT, exchange).await.unwrap_or(Err(false))
}

/// Polls the VM list; while it is unavailable, the last known state remains in effect.
pub async fn watch_vm_list<L: vm::List>(router: Router, list: L) {
    let mut interval = time::interval(VM_LIST_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if let Ok(list) = list.read().await {
            router.set_leaving(Source::VmList, leaving_workers(&list, &router));
        }
    }
}

/// Names of the workers whose VM is leaving, matched by VM name or address.
fn leaving_workers(list: &filbertsail_api::vm::List, router: &Router) -> Vec<String> {
    let targets = router.targets();
    let targets = targets.borrow();
    let by_address: HashMap<String, &str> =
        targets.iter().map(|it| (it.server.address.to_string(), &*it.name)).collect();
    list.vms
        .iter()
        .filter(|vm| vm.state == filbertsail_api::vm::State::Leaving)
        .flat_map(|vm| [Some(vm.name.as_str()), by_address.get(&vm.address).copied()])
        .flatten()
        .map(str::to_owned)
        .collect()
}
