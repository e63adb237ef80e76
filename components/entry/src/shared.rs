//! What the tasks of a daemon share.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_collections::HashMap;
use tokio::sync::watch;

use crate::{channel::Pool, config::Config, fleet::Fleet, metrics::Metrics};

/// Time after the store's return within which entries that lapsed meanwhile are seen to vanish.
const LAPSE_WINDOW: Duration = Duration::from_millis(1_500);

/// Identity of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// VM name.
    pub vm: String,
    /// Number drawn at the start of the process.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
}

/// Times that the installation guarantees or asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time after which the process is killed when it was asked to stop.
    pub stop_limit: Duration,
    /// Time for which the results of a batch stay readable after it was accepted.
    pub retention: Duration,
    /// Least time between orders of two holders to one worker.
    pub order_gap: Duration,
}

/// State of the connection to the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    /// When the store was lost; absent while it answers.
    pub lost: Option<Instant>,
    /// When it answered again after it was last lost, or for the first time.
    pub regained: Option<Instant>,
    /// When it answered again after it was last lost; absent if it never was.
    pub returned: Option<Instant>,
    /// Steady clock of the store in milliseconds, and when it was read.
    pub clock: Option<(u64, Instant)>,
}

impl Link {
    /// Steady clock of the store at `now`, in milliseconds.
    #[must_use]
    pub fn store_ms(&self, now: Instant) -> u64 {
        self.clock.map_or(0, |(ms, at)| ms + millis(now.since(at)))
    }

    /// Point in time of this VM at which the store's clock stood at `ms`.
    #[must_use]
    pub fn local(&self, ms: u64, now: Instant) -> Instant {
        now.before(Duration::from_millis(self.store_ms(now).saturating_sub(ms)))
    }

    /// Whether an entry that vanishes at `now` may have lapsed only because the store was away. The
    /// first contact of a process is no return.
    #[must_use]
    pub fn may_have_lapsed(&self, now: Instant) -> bool {
        self.lost.is_some() || self.returned.is_some_and(|at| now.since(at) < LAPSE_WINDOW)
    }
}

/// Whole milliseconds of a duration.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// State shared by the tasks of a daemon, cheap to clone.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Identity.
    pub identity: Arc<Identity>,
    /// Times of the installation.
    pub times: Times,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Connections to workers.
    pub pool: Pool,
    /// Configuration in force.
    pub config: Arc<watch::Sender<Option<Arc<Config>>>>,
    /// Newest weight version by model.
    pub versions: Arc<watch::Sender<HashMap<String, u64>>>,
    /// Versions by which the steps of a model may lag behind the newest, as last submitted.
    pub lags: Arc<watch::Sender<HashMap<String, u64>>>,
    /// Connection to the store.
    pub link: Arc<watch::Sender<Link>>,
    /// Whether this VM runs batches.
    pub runs_batches: Arc<watch::Sender<bool>>,
    /// Whether the process was asked to stop.
    pub stopping: Arc<watch::Sender<bool>>,
    /// Counts changes of the workers; zero until the register has been read.
    pub fleet_changed: Arc<watch::Sender<u64>>,
    fleet: Arc<Mutex<Fleet>>,
}

impl Shared {
    /// State of a daemon that knows nothing yet.
    ///
    /// # Errors
    /// Fails if the metrics cannot be set up.
    pub fn new(identity: Identity, times: Times) -> eyre::Result<Self> {
        Ok(Self {
            metrics: Metrics::new(&identity.vm)?,
            identity: Arc::new(identity),
            times,
            pool: Pool::default(),
            config: Arc::new(watch::channel(None).0),
            versions: Arc::new(watch::channel(HashMap::default()).0),
            lags: Arc::new(watch::channel(HashMap::default()).0),
            link: Arc::new(watch::channel(Link::default()).0),
            runs_batches: Arc::new(watch::channel(false).0),
            stopping: Arc::new(watch::channel(false).0),
            fleet_changed: Arc::new(watch::channel(0).0),
            fleet: Arc::default(),
        })
    }

    /// Present time.
    #[must_use]
    pub fn now(&self) -> Instant {
        Boot.now()
    }

    /// Workers; held only for the length of a decision, never across an await.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Configuration in force.
    #[must_use]
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Whether callers may be sent here: the configuration and the workers are known, the store
    /// answers, and the process was not asked to stop. Callers with batches are better served by a VM that reaches
    /// the store; when none does, the load balancer uses them all.
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
