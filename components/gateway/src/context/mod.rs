//! What all requests of a gateway share.

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

/// What all requests of a gateway share, cheap to clone.
#[derive(Clone, Debug)]
pub struct Context {
    /// Routing task.
    pub router: Router,
    /// Work that outlives its caller; a graceful stop waits for it.
    pub tasks: TaskTracker,
    /// Metrics of the request path.
    pub metrics: Metrics,
    identity: Arc<str>,
    counter: Arc<AtomicU64>,
}

impl Context {
    /// Context of the gateway `name` in its `incarnation`.
    #[must_use]
    pub fn new(name: &str, incarnation: u64, router: Router, metrics: Metrics) -> Self {
        Self {
            router,
            tasks: TaskTracker::new(),
            metrics,
            identity: format!("{name}-{incarnation:x}").into(),
            counter: Arc::default(),
        }
    }

    /// New request identifier, unique in the fleet.
    #[must_use]
    pub fn request_id(&self) -> String {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number:x}", self.identity)
    }

    /// Present time.
    #[must_use]
    pub fn now(&self) -> Instant {
        Boot.now()
    }

    /// Time left until `deadline`.
    #[must_use]
    pub fn time_left(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }
}
