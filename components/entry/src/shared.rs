//! State shared by the tasks of a daemon.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::{Boot, Instant, Source, remote};
use filbertsail_collections::{HashMap, arena::Key};
use filbertsail_telemetry::event::Line;
use tokio::sync::watch;

use crate::{
    access,
    admission::Controllers,
    batch::{Meta, rows},
    channel::Pool,
    config::Config,
    dialect::Answer,
    duty::usage::Meter,
    fleet::{Fleet, Worker},
    foreign::{Budget, Requests},
    metrics::Metrics,
    stop::{Durations, Schedule},
    weights::{Demand, Step, Target},
};

/// Time after a store outage within which the feed delivers deletions of entries that lapsed
/// meanwhile.
const LAPSE_WINDOW: Duration = Duration::from_millis(1_500);

/// Identity of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the VM.
    pub vm: String,
    /// Random number of the process.
    pub incarnation: u64,
    pub zone: String,
}

/// Time limits that the installation guarantees or requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time between the request to stop and the kill of the process.
    pub stop_limit: Duration,
    /// How long the results of a batch stay readable after its acceptance.
    pub retention: Duration,
    /// Least time between orders to one worker by successive lease holders.
    pub order_gap: Duration,
    /// Time after which a withdrawn key must not work anywhere; absent if that is not required.
    pub revocation: Option<Duration>,
    /// Time within which a new configuration is in force on VMs that reach the store.
    pub config_apply: Duration,
}

/// State of the connection to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// Start of the current outage; absent while the store answers.
    pub lost: Option<Instant>,
    /// When it first answered, or answered again after the last outage.
    pub regained: Option<Instant>,
    /// End of the last outage; absent before the first one.
    pub returned: Option<Instant>,
    /// Monotonic clock of the store.
    pub clock: remote::Clock,
}

impl Link {
    /// Monotonic clock of the store at `now`, in milliseconds; zero before the first contact.
    #[must_use]
    pub fn store_ms(&self, now: Instant) -> u64 {
        unsigned(self.clock.ms(now))
    }

    /// Time stamp in milliseconds of the store's clock for what happens at `now`. It is not earlier
    /// than the true time, so that nothing ends before its time limit; zero before the first contact.
    #[must_use]
    pub fn stamp_ms(&self, now: Instant) -> u64 {
        unsigned(self.clock.latest_ms(now))
    }

    /// Time that has passed for certain since the time stamp `ms` of the store's clock.
    #[must_use]
    pub fn age(&self, ms: u64, now: Instant) -> Duration {
        Duration::from_millis(unsigned(self.clock.earliest_ms(now)).saturating_sub(ms))
    }

    /// Local time at which the store's clock showed `ms`.
    #[must_use]
    pub fn local_time(&self, ms: u64, now: Instant) -> Instant {
        now.before(Duration::from_millis(self.store_ms(now).saturating_sub(ms)))
    }

    /// Whether an entry that disappears at `now` may have lapsed only because of a store outage.
    /// The first contact of a process does not end an outage.
    #[must_use]
    pub fn may_have_lapsed(&self, now: Instant) -> bool {
        self.lost.is_some() || self.returned.is_some_and(|at| now.since(at) < LAPSE_WINDOW)
    }
}

/// Time of the store's clock; zero if it is unknown or before the clock's start.
fn unsigned(ms: Option<i64>) -> u64 {
    ms.and_then(|ms| u64::try_from(ms).ok()).unwrap_or(0)
}

/// Converts to whole milliseconds; saturates.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// State shared by the tasks of a daemon, cheap to clone.
#[derive(Clone, Debug)]
pub struct Shared {
    pub identity: Arc<Identity>,
    pub times: Times,
    pub metrics: Metrics,
    /// Idle connections to workers.
    pub pool: Pool,
    /// Connections for weight orders; none is kept.
    pub order_pool: Pool,
    /// Bodies of workers' responses that are being read.
    pub foreign: Budget,
    /// Bodies of requests that are being handled.
    pub requests: Requests,
    /// State of the access checks.
    pub access: access::State,
    /// Requests that workers began, for usage reports.
    pub usage: Meter,
    /// Admission to plain services.
    pub admission: Controllers,
    /// Active configuration.
    pub config: Arc<watch::Sender<Option<Arc<Config>>>>,
    /// Newest weight version of each model.
    pub newest_versions: Arc<watch::Sender<HashMap<String, u64>>>,
    /// How many versions the steps of a model may lag behind the newest, as last submitted.
    pub version_lags: Arc<watch::Sender<HashMap<String, u64>>>,
    /// Work of the last steps of models that share workers.
    pub demand: Arc<watch::Sender<Demand>>,
    /// State of the connection to the store.
    pub link: Arc<watch::Sender<Link>>,
    /// Whether this VM currently runs batches.
    pub runs_batches: Arc<watch::Sender<bool>>,
    /// Whether the VMs that run batches state their demand for workers.
    pub states_demand: Arc<watch::Sender<bool>>,
    /// Whether the process was asked to stop.
    pub stopping: Arc<watch::Sender<bool>>,
    /// Times of the stop, once the process was asked to.
    pub stop: Arc<watch::Sender<Option<Schedule>>>,
    /// Usual durations of requests.
    pub durations: Durations,
    /// Number of changes of the fleet; zero until the registry has been read.
    pub fleet_changed: Arc<watch::Sender<u64>>,
    fleet: Arc<Mutex<Fleet>>,
}

impl Shared {
    /// Creates the state of a daemon that has not read the store yet.
    ///
    /// # Errors
    /// Fails if the metrics cannot be registered.
    pub fn new(identity: Identity, times: Times) -> eyre::Result<Self> {
        Ok(Self {
            metrics: Metrics::new(&identity.vm)?,
            identity: Arc::new(identity),
            times,
            access: access::State::new(times.revocation),
            pool: Pool::default(),
            order_pool: Pool::default().resetting(),
            foreign: Budget::default(),
            requests: Requests::default(),
            usage: Meter::default(),
            admission: Controllers::default(),
            config: Arc::new(watch::channel(None).0),
            newest_versions: Arc::new(watch::channel(HashMap::default()).0),
            version_lags: Arc::new(watch::channel(HashMap::default()).0),
            demand: Arc::new(watch::channel(Demand::default()).0),
            link: Arc::new(watch::channel(Link::default()).0),
            runs_batches: Arc::new(watch::channel(false).0),
            states_demand: Arc::new(watch::channel(false).0),
            stopping: Arc::new(watch::channel(false).0),
            stop: Arc::new(watch::channel(None).0),
            durations: Durations::default(),
            fleet_changed: Arc::new(watch::channel(0).0),
            fleet: Arc::default(),
        })
    }

    #[must_use]
    pub fn now(&self) -> Instant {
        Boot.now()
    }

    /// Locks the fleet. The guard must not be held across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what a response states about its worker: its load, and whether it is leaving.
    pub fn record_answer(&self, worker: Key<Worker>, answer: &Answer) {
        let now = self.now();
        let mut fleet = self.fleet();
        if let Some(load) = answer.load {
            fleet.record_load(worker, load, now);
        }
        if answer.is_leaving
            && let Some(id) = fleet.record_leaving(worker)
        {
            let is_registered = fleet.key(&id).is_some();
            drop(fleet);
            Line::new("worker_leaving")
                .with("worker", id)
                .with("source", "response")
                .with("registered", is_registered)
                .info();
            self.fleet_changed.send_modify(|count| *count += 1);
        }
    }

    /// Records the work of a batch for the division of workers among models.
    pub fn record_step(&self, batch: &str, meta: &Meta) {
        if meta.work == 0 {
            return;
        }
        let step = Step {
            batch: rows::hash(batch),
            accepted_ms: meta.accepted_ms,
            work: meta.work,
            lag: meta.lag,
        };
        self.demand.send_if_modified(|demand| demand.record(&meta.model, step));
    }

    /// Versions that the workers of `models` should load; models without a known version are left
    /// out.
    #[must_use]
    pub fn weight_targets(&self, models: &[String]) -> Vec<Target> {
        let (versions, lags) = (self.newest_versions.borrow(), self.version_lags.borrow());
        let demand = self.demand.borrow();
        let known = models.iter().filter_map(|model| Some((model, *versions.get(model)?)));
        known
            .map(|(model, version)| Target {
                model: model.clone(),
                version,
                lag: demand.lag(model).max(lags.get(model).copied()),
                work: demand.work(model),
            })
            .collect()
    }

    /// Divides the workers of each service that several models share, for the placement of items.
    pub fn divide_workers(&self, config: &Config, now: Instant) {
        for service in config.services.values() {
            let Some(engine) = service.engine.as_ref().filter(|it| it.models.len() > 1) else {
                continue;
            };
            let targets = self.weight_targets(&engine.models);
            self.fleet().divide_workers(&service.name, &targets, now);
        }
    }

    /// Active configuration; nothing before it has been read.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Whether the load balancer may send requests here: the configuration and the workers are
    /// known, the store answers, and the process is not stopping. Batches are better served by a VM
    /// that reaches the store; if none does, the load balancer uses all VMs.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let link = *self.link.borrow();
        self.config.borrow().is_some()
            && *self.fleet_changed.borrow() > 0
            && link.regained.is_some()
            && link.lost.is_none()
            && !*self.stopping.borrow()
    }
}
