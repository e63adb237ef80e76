//! The workers of all services as one VM knows them, and the choice among them.
//!
//! Workers come from the registry in the store. What their responses show (load, weight version,
//! speed, failures) is kept until the worker restarts or is removed.

mod backfill;
mod history;
mod item;
mod ramp;
mod request;

use std::{net::SocketAddr, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_collections::{
    HashMap,
    arena::{Arena, Key},
};
use filbertsail_routing::{
    breaker::{Breaker, State},
    pace::Pace,
};

pub use backfill::{Reservation, Room, Run};
pub use item::Requirements;
pub use ramp::{CircuitCause, CircuitChange, Transition};
pub use request::Criteria;

use history::{History, Order};

use crate::{
    batch::{rows::hash32, takeover::Observation},
    dialect::Load,
    weights::{Layout, Target},
};

/// Age up to which a stated load is used. Requests of rollouts last about as long.
const MAX_LOAD_AGE: Duration = Duration::from_secs(2);
/// Weight of the newest event interval in the moving average of a worker.
const INTERVAL_SMOOTHING: f64 = 0.15;
/// Share by which events of a full engine are slower than those of an empty one: with 16 slots, the
/// interval is 37.5 ms beside 4 other requests and 41.8 ms beside 13.
const FULL_LOAD_SLOWDOWN: f64 = 0.2;
/// Age up to which an event interval measured by another VM is used. Workers that become slow stay
/// so for seconds.
const MAX_PEER_INTERVAL_AGE: Duration = Duration::from_secs(20);
/// Time between two computations of the typical event interval of a large service. It changes
/// slowly, and each measurement would trigger a computation.
const TYPICAL_INTERVAL_REFRESH: Duration = Duration::from_millis(100);
/// Number of workers from which a service counts as large.
const LARGE_SERVICE_WORKERS: usize = 64;
/// Time after the return of the store within which entries that lapsed meanwhile come back.
pub const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Entry of a worker in the registry.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Instance identifier; usually a new one after each start.
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    /// Number of requests that it can run concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub draining: bool,
    /// Start time in Unix milliseconds.
    pub started_ms: Option<u64>,
    /// Number of the entry, which increases from its start on.
    pub sequence: Option<u64>,
    /// Weight version of each model.
    pub models: Vec<(String, u64)>,
    /// How much longer it stays slow after its start, as it estimates.
    pub warmup_left: Duration,
    /// Whether the platform may reclaim it at short notice.
    pub is_spot: bool,
    /// Time until it leaves, once it is draining and if it is known.
    pub leaves_in: Option<Duration>,
}

/// State that a worker reports when queried.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Weight version of each model.
    pub models: Vec<(String, u64)>,
    /// Whether a weight load is in progress.
    pub busy: bool,
    /// Number of orders accepted since its start.
    pub accepted_orders: u64,
    /// Start time in Unix milliseconds.
    pub started_ms: Option<u64>,
}

/// What this VM knows of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Registry entry, with newer weight versions from its responses.
    pub entry: Entry,
    /// Number of requests of this VM in flight.
    pub in_flight: u32,
    /// Tokens that these requests are expected to occupy in the KV cache.
    pub reserved_tokens: u64,
    /// Number of requests of other VMs according to the worker, and when it stated it.
    stated_by_worker: Option<(u32, Instant)>,
    /// Requests of other VMs according to these VMs.
    stated_by_peers: Vec<Usage>,
    /// Average milliseconds between two events of a stream, corrected to an otherwise idle worker;
    /// zero before the first measurement.
    pub idle_interval_ms: f64,
    pub breaker: Breaker,
    /// Limit while it starts or recovers.
    pace: Pace,
    /// End of the pause after a refusal.
    pub paused_until: Instant,
    /// Whether its entry disappeared during a store outage or right after it.
    has_lapsed: bool,
}

impl Worker {
    /// Weight version of `model`; nothing if the worker does not serve it.
    #[must_use]
    pub fn version(&self, model: &str) -> Option<u64> {
        self.entry.models.iter().find(|(name, _)| name == model).map(|(_, version)| *version)
    }

    /// Number of requests known to be in progress there, including those of other VMs.
    #[must_use]
    pub fn load(&self, now: Instant) -> u32 {
        self.recent_load(MAX_LOAD_AGE, now)
    }

    /// Like [`Worker::load`], without statements about other VMs that are `max_age` old.
    #[must_use]
    fn recent_load(&self, max_age: Duration, now: Instant) -> u32 {
        let usages = self.stated_by_peers.iter().filter(|usage| now.since(usage.at) < max_age);
        let newest = usages.clone().map(|usage| usage.at).max();
        let of_peers: u32 = usages.map(|usage| usage.in_flight).sum();
        // Uses the newer of the two sources.
        let stated = self.stated_by_worker.filter(|(_, at)| {
            now.since(*at) < max_age && newest.is_none_or(|newest| *at >= newest)
        });
        self.in_flight.saturating_add(stated.map_or(of_peers, |(others, _)| others))
    }

    /// Factor by which `load` concurrent requests slow down the events.
    #[must_use]
    fn slowdown(&self, load: u32) -> f64 {
        1.0 + FULL_LOAD_SLOWDOWN * f64::from(load) / f64::from(self.entry.slots.max(1))
    }

    /// Whether it may get new requests.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        !self.entry.draining && self.breaker.allows_request(now) && now >= self.paused_until
    }
}

/// Requests that another VM has in flight at a worker.
#[derive(Clone, Copy, Debug)]
struct Usage {
    vm: u32,
    in_flight: u32,
    at: Instant,
}

/// Effect of a registry change on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The worker is new.
    Added,
    /// The worker has restarted.
    Restarted,
    /// The worker has begun to shut down.
    Draining,
    /// The worker is no longer registered.
    Removed,
    /// Its entry lapsed during a store outage; the worker is kept for a grace period.
    Lapsed,
    /// The entry is older than what the worker has stated since, and is ignored.
    Outdated,
    /// Nothing relevant has changed.
    Unchanged,
}

/// All workers.
#[derive(Debug, Default)]
pub struct Fleet {
    workers: Arena<Worker>,
    // The keys come from the registry, which only the platform writes, so they are trusted.
    ids: HashMap<String, Key<Worker>>,
    services: HashMap<String, Service>,
    history: History,
    /// Number of other VMs.
    peers: u32,
    transitions: Vec<Transition>,
    circuit_changes: Vec<CircuitChange>,
}

/// Workers of a service.
#[derive(Debug, Default)]
struct Service {
    workers: Vec<Key<Worker>>,
    /// Typical event interval in milliseconds, and when it was computed.
    typical: Option<(f64, Instant)>,
    /// Division of the workers among models.
    layout: Layout,
    /// Moving average of the durations of requests at workers that are not in a ramp; zero before
    /// the first.
    duration_ms: f64,
}

impl Fleet {
    #[must_use]
    pub fn get(&self, key: Key<Worker>) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Key of the worker with identifier `id`.
    #[must_use]
    pub fn key(&self, id: &str) -> Option<Key<Worker>> {
        self.ids.get(id).copied()
    }

    /// Number of workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    pub fn workers_of<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (Key<Worker>, &'a Worker)> {
        let keys = self.services.get(service).map_or(&[][..], |service| &service.workers);
        keys.iter().filter_map(|key| Some((*key, self.workers.get(*key)?)))
    }

    /// Divides the workers of a service among the models of `targets`.
    pub fn divide_workers(&mut self, service: &str, targets: &[Target], now: Instant) {
        let Some(known) = self.services.get_mut(service) else { return };
        let mut layout = std::mem::take(&mut known.layout);
        let members = self
            .workers_of(service)
            .filter(|(_, worker)| !worker.entry.draining)
            .map(|(key, worker)| (key, worker.entry.id.as_str()));
        layout.update(members, targets, now);
        if let Some(known) = self.services.get_mut(service) {
            known.layout = layout;
        }
    }

    /// Identifiers of all entries that are registered as far as is known.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.ids.keys().map(String::as_str).chain(self.history.outdated_ids())
    }

    /// Adds or updates a worker from its registry entry, unless the entry is outdated.
    pub fn apply_entry(&mut self, mut entry: Entry) -> Change {
        let order = self.history.record_entry(&entry);
        if order == Order::Outdated {
            return Change::Outdated;
        }
        entry.draining |= self.history.is_leaving(&entry.id);
        if let Some(key) = self.ids.get(&entry.id).copied()
            && let Some(worker) = self.workers.get_mut(key)
        {
            let is_same = order == Order::Current
                && worker.entry.address == entry.address
                && worker.entry.service == entry.service;
            if is_same {
                let drains = entry.draining && !worker.entry.draining;
                worker.update_entry(entry);
                return if drains { Change::Draining } else { Change::Unchanged };
            }
            self.remove(&entry.id);
            self.add(entry);
            return Change::Restarted;
        }
        self.add(entry);
        Change::Added
    }

    /// Applies outdated entries that stayed registered for so long that they must be current; returns
    /// them with their effects. The registry is known as of `known_at`, and the store has answered
    /// without interruption since `steady_since`.
    pub fn confirm_entries(
        &mut self,
        steady_since: Instant,
        known_at: Instant,
    ) -> Vec<(Entry, Change)> {
        let confirmed = self.history.take_confirmed(steady_since, known_at);
        confirmed.into_iter().map(|entry| (entry.clone(), self.apply_entry(entry))).collect()
    }

    /// Handles the disappearance of the entry of `id`. With `grace`, the entry may have lapsed only
    /// because of a store outage, and the worker is kept for now.
    pub fn remove_entry(&mut self, id: &str, grace: bool, now: Instant) -> Change {
        self.history.record_absence(id);
        let Some(key) = self.ids.get(id).copied() else { return Change::Unchanged };
        if grace && let Some(worker) = self.workers.get_mut(key) {
            worker.has_lapsed = true;
            return Change::Lapsed;
        }
        self.forget(id, now);
        Change::Removed
    }

    /// Removes workers whose lapsed entry has not come back within [`LAPSE_GRACE`] after the store
    /// `returned`; returns their identifiers. An entry may disappear some time after the return, and
    /// its worker leaves as long after that as any other.
    pub fn remove_lapsed(&mut self, returned: Instant, now: Instant) -> Vec<String> {
        if now.since(returned) < LAPSE_GRACE {
            return Vec::new();
        }
        let ids: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_lapsed)
            .map(|(_, worker)| worker.entry.id.clone())
            .collect();
        for id in &ids {
            self.forget(id, now);
        }
        ids
    }

    /// Removes a worker whose entry was removed.
    fn forget(&mut self, id: &str, now: Instant) {
        if let Some((key, worker)) = self.remove(id) {
            self.history.record_removal(key, &worker.entry, now);
        }
    }

    /// Records that a worker stated in a response that it is leaving; returns its identifier if this is
    /// new. Its entry may have been removed meanwhile, or have come back for another key.
    pub fn record_leaving(&mut self, key: Key<Worker>) -> Option<String> {
        let present = self.workers.get(key).map(|worker| worker.entry.id.as_str());
        let id = present.or_else(|| self.history.removed_id(key))?.to_owned();
        if let Some(worker) = self.ids.get(&id).and_then(|key| self.workers.get_mut(*key)) {
            worker.entry.draining = true;
        }
        self.history.record_leaving(&id).then_some(id)
    }

    fn add(&mut self, entry: Entry) {
        let (id, service) = (entry.id.clone(), entry.service.clone());
        let pace = Pace::new(entry.slots);
        let key = self.workers.insert(Worker {
            entry,
            in_flight: 0,
            reserved_tokens: 0,
            stated_by_worker: None,
            stated_by_peers: Vec::new(),
            idle_interval_ms: 0.0,
            breaker: Breaker::default(),
            pace,
            paused_until: Instant::default(),
            has_lapsed: false,
        });
        self.ids.insert(id, key);
        self.services.entry(service).or_default().workers.push(key);
    }

    fn remove(&mut self, id: &str) -> Option<(Key<Worker>, Worker)> {
        let key = self.ids.remove(id)?;
        let worker = self.workers.remove(key)?;
        if let Some(service) = self.services.get_mut(&worker.entry.service) {
            service.workers.retain(|other| *other != key);
        }
        Some((key, worker))
    }

    /// Records a request sent to a worker, expected to occupy `tokens` in the KV cache.
    pub fn record_dispatch(&mut self, key: Key<Worker>, tokens: u64, now: Instant) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.in_flight += 1;
            worker.reserved_tokens = worker.reserved_tokens.saturating_add(tokens);
            let state = worker.breaker.state();
            worker.breaker.record_dispatch(now);
            if worker.breaker.state() != state {
                self.keep_circuit(key, CircuitCause::Probe, now);
            }
        }
    }

    /// Records the end of a request. `jitter`, from 0 to 1, extends the open time of the circuit
    /// breaker.
    pub fn record_completion(
        &mut self,
        key: Key<Worker>,
        tokens: u64,
        end: End,
        now: Instant,
        jitter: f64,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.in_flight = worker.in_flight.saturating_sub(1);
        worker.reserved_tokens = worker.reserved_tokens.saturating_sub(tokens);
        let state = worker.breaker.state();
        match end {
            End::Success | End::Answered { .. } => worker.breaker.record_success(),
            End::Failure => worker.breaker.record_failure(now, jitter),
            End::Refused { pause } => {
                worker.breaker.record_inconclusive(now);
                worker.paused_until = worker.paused_until.max(now.after(pause));
            }
            End::Inconclusive => worker.breaker.record_inconclusive(now),
        }
        let has_changed = worker.breaker.state() != state;
        let has_closed = has_changed && worker.breaker.state() == State::Closed;
        self.record_end(key, end, has_closed, now, jitter);
        if has_changed {
            self.keep_circuit(key, CircuitCause::RequestEnd, now);
        }
    }

    /// Records the load stated in a response.
    pub fn record_load(&mut self, key: Key<Worker>, load: Load, now: Instant) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let total = load.running.saturating_add(load.waiting);
        worker.stated_by_worker = Some((total.saturating_sub(worker.in_flight), now));
        if let Some(percent) = load.work_time_percent {
            worker.pace.record_work_time(percent);
        }
    }

    /// Records the weight version stated in a response or an event.
    pub fn record_version(&mut self, key: Key<Worker>, model: &str, version: u64) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.raise_version(model, version);
    }

    /// Records the time between two events of a stream under the current load of the worker.
    pub fn record_interval(&mut self, key: Key<Worker>, interval_ms: f64, now: Instant) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let idle_interval_ms = interval_ms / worker.slowdown(worker.load(now));
        if worker.idle_interval_ms == 0.0 {
            worker.idle_interval_ms = idle_interval_ms;
        }
        worker.idle_interval_ms +=
            INTERVAL_SMOOTHING * (idle_interval_ms - worker.idle_interval_ms);
        let service = worker.entry.service.clone();
        self.refresh_typical_interval(&service, now);
        self.record_progress(key, idle_interval_ms, now);
    }

    /// Expected milliseconds between two events of a stream at a worker with `more` requests than
    /// now; zero if no interval is known for any worker of its service.
    #[must_use]
    pub fn expected_interval_ms(&self, key: Key<Worker>, more: u32, now: Instant) -> f64 {
        let Some(worker) = self.get(key) else { return 0.0 };
        let typical = self.typical_interval_ms(&worker.entry.service);
        let idle_interval_ms =
            if worker.idle_interval_ms > 0.0 { worker.idle_interval_ms } else { typical };
        idle_interval_ms * worker.slowdown(worker.load(now).saturating_add(more))
    }

    /// What this VM knows of the workers that it uses, for the other VMs.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn observations(&self) -> Vec<Observation> {
        let used = |worker: &&Worker| worker.idle_interval_ms > 0.0 || worker.in_flight > 0;
        self.workers
            .iter()
            .map(|(_, worker)| worker)
            .filter(used)
            .map(|worker| Observation {
                worker: hash32(&worker.entry.id),
                pace_ms: worker.idle_interval_ms.round().min(f64::from(u16::MAX)) as u16,
                in_flight: u16::try_from(worker.in_flight).unwrap_or(u16::MAX),
            })
            .collect()
    }

    /// Merges the observations that the VM with hash `vm` made at `at`.
    pub fn record_observations(
        &mut self,
        vm: u32,
        observations: &[Observation],
        at: Instant,
        now: Instant,
    ) {
        let observations: HashMap<u32, &Observation> =
            observations.iter().map(|observation| (observation.worker, observation)).collect();
        for (_, worker) in self.workers.iter_mut() {
            let Some(observation) = observations.get(&hash32(&worker.entry.id)) else { continue };
            // Measurements of this VM are newer while it has requests there.
            let is_newer = worker.in_flight == 0 && observation.in_flight > 0;
            if is_newer && observation.pace_ms > 0 && now.since(at) < MAX_PEER_INTERVAL_AGE {
                worker.idle_interval_ms = f64::from(observation.pace_ms);
            }
            worker
                .stated_by_peers
                .retain(|usage| usage.vm != vm && now.since(usage.at) < MAX_LOAD_AGE);
            worker.stated_by_peers.push(Usage {
                vm,
                in_flight: u32::from(observation.in_flight),
                at,
            });
        }
        let services: Vec<String> = self.services.keys().cloned().collect();
        for service in services {
            self.refresh_typical_interval(&service, now);
        }
    }

    /// Event interval of a fast worker of a service, in milliseconds: the lower quartile of those
    /// known, so that it stays valid while up to three quarters are slow; zero if none is known.
    #[must_use]
    pub fn typical_interval_ms(&self, service: &str) -> f64 {
        let typical = self.services.get(service).and_then(|service| service.typical);
        typical.map_or(0.0, |(interval_ms, _)| interval_ms)
    }

    fn refresh_typical_interval(&mut self, service: &str, now: Instant) {
        let Some(known) = self.services.get(service) else { return };
        let is_fresh =
            known.typical.is_some_and(|(_, at)| now.since(at) < TYPICAL_INTERVAL_REFRESH);
        if is_fresh && known.workers.len() >= LARGE_SERVICE_WORKERS {
            return;
        }
        let mut intervals: Vec<f64> = self
            .workers_of(service)
            .map(|(_, worker)| worker.idle_interval_ms)
            .filter(|interval| *interval > 0.0)
            .collect();
        let quartile = intervals.len() / 4;
        if intervals.is_empty() {
            return;
        }
        let (_, typical, _) = intervals.select_nth_unstable_by(quartile, f64::total_cmp);
        let typical = *typical;
        if let Some(known) = self.services.get_mut(service) {
            known.typical = Some((typical, now));
        }
    }
}

impl Worker {
    fn update_entry(&mut self, entry: Entry) {
        self.pace.set_max_limit(entry.slots);
        let known = std::mem::replace(&mut self.entry, entry).models;
        // The registry lags behind the responses of the worker.
        for (model, version) in known {
            self.raise_version(&model, version);
        }
        self.has_lapsed = false;
    }

    fn raise_version(&mut self, model: &str, version: u64) {
        match self.entry.models.iter_mut().find(|(name, _)| name == model) {
            Some((_, known)) => *known = version.max(*known),
            None => self.entry.models.push((model.to_owned(), version)),
        }
    }
}

/// How a request ended, as far as its worker is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Complete response.
    Success,
    /// Complete response to a forwarded request after a time that can be compared with that of
    /// others of its service.
    Answered {
        /// Time from dispatch to the complete response.
        took: Duration,
    },
    /// No response, or a truncated or invalid one.
    Failure,
    /// Refused by the worker.
    Refused {
        /// Pause before the worker gets new requests.
        pause: Duration,
    },
    /// Cancelled by the caller or by this VM, or failed for a reason unrelated to the worker.
    Inconclusive,
}
