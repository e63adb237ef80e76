//! State shared by all requests of a gateway.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use filbertsail_clock::{Boot, Instant, Source as _};
use tokio_util::task::TaskTracker;

use crate::{metrics::Metrics, router::Router};

/// State shared by all requests of a gateway, cheap to clone.
#[derive(Clone, Debug)]
pub struct Context {
    pub router: Router,
    /// Tasks that may outlive their caller; a graceful shutdown waits for them.
    pub tasks: TaskTracker,
    pub metrics: Metrics,
    id_prefix: Arc<str>,
    request_count: Arc<AtomicU64>,
}

impl Context {
    /// Context of the gateway `name`; `incarnation` distinguishes its restarts.
    #[must_use]
    pub fn new(name: &str, incarnation: u64, router: Router, metrics: Metrics) -> Self {
        Self {
            router,
            tasks: TaskTracker::new(),
            metrics,
            id_prefix: format!("{name}-{incarnation:x}").into(),
            request_count: Arc::default(),
        }
    }

    /// Creates a request identifier that is unique in the fleet.
    #[must_use]
    pub fn request_id(&self) -> String {
        let number = self.request_count.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.id_prefix)
    }

    /// Current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        Boot.now()
    }

    /// Time until `deadline`, zero if it has passed.
    #[must_use]
    pub fn time_left(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }
}
