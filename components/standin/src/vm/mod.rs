//! VM list that shows changes with a delay.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use filbertsail_api::vm::{Entry, List as Snapshot, State};
use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_http::Body;
use http::{Request, Response, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::{
    fault,
    server::{self, Closed, Handler, Location, json, text},
};

#[derive(Debug)]
struct History {
    versions: Vec<(Instant, Vec<Entry>)>,
    delay: Duration,
}

impl History {
    /// List that callers see at `now`, with the time of its last change.
    fn visible_at(&self, now: Instant) -> &(Instant, Vec<Entry>) {
        let limit = now.before(self.delay);
        let index = self.versions.iter().rposition(|(at, _)| *at <= limit).unwrap_or(0);
        &self.versions[index]
    }
}

/// Handle of a running VM list.
#[derive(Clone, Debug)]
pub struct List {
    /// Listen address.
    pub address: SocketAddr,
    /// Fault injector.
    pub faults: fault::Injector,
    history: Arc<Mutex<History>>,
}

#[derive(Clone, Debug)]
struct Server(Arc<Mutex<History>>);

/// Starts a VM list that shows changes after `delay`.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    vms: Vec<Entry>,
    delay: Duration,
    location: Location,
    stop: CancellationToken,
) -> eyre::Result<List> {
    let history = History { versions: vec![(Boot.now(), vms)], delay };
    let history = Arc::new(Mutex::new(history));
    let faults = fault::Injector::new(3);
    let address = server::start(address, location, faults.clone(), Server(history.clone()), stop)?;
    Ok(List { address, faults, history })
}

impl List {
    fn change(&self, edit: impl FnOnce(&mut Vec<Entry>)) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let mut vms = history.versions.last().map(|(_, vms)| vms.clone()).unwrap_or_default();
        edit(&mut vms);
        history.versions.push((Boot.now(), vms));
    }

    /// Sets the state of a VM.
    pub fn set_state(&self, name: &str, state: State) {
        self.change(|vms| {
            vms.iter_mut().filter(|vm| vm.name == name).for_each(|vm| vm.state = state);
        });
    }

    /// Removes a VM.
    pub fn remove(&self, name: &str) {
        self.change(|vms| vms.retain(|vm| vm.name != name));
    }

    /// Adds a VM.
    pub fn add(&self, vm: Entry) {
        self.change(|vms| vms.push(vm));
    }
}

impl Handler for Server {
    async fn handle(
        &self,
        request: Request<Bytes>,
        fault: Option<fault::Kind>,
    ) -> Result<Response<Body>, Closed> {
        if request.uri().path() != "/v1/vms" {
            return Ok(text(StatusCode::NOT_FOUND, "no such path"));
        }
        let now = Boot.now();
        let history = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_stale = fault == Some(fault::Kind::Stale);
        let (_, vms) = if is_stale { &history.versions[0] } else { history.visible_at(now) };
        let as_of_ms = u64::try_from(history.delay.as_millis()).unwrap_or(u64::MAX);
        Ok(json(StatusCode::OK, &Snapshot { as_of_ms, vms: vms.clone() }))
    }
}
