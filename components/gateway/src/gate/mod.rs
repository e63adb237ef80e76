//! Whether the gateway admits work.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::StatusCode;
use tokio::sync::watch;

use crate::fault::Fault;

/// Whether the gateway admits work, cheap to clone.
///
/// A gateway that drains is not ready but still admits work: the load balancer needs a moment to
/// notice. One that cannot confirm its configuration is not ready and refuses work.
#[derive(Clone, Debug)]
pub struct Gate {
    ready: watch::Receiver<bool>,
    in_force: Arc<AtomicBool>,
    marked: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

impl Gate {
    /// Gate that follows the agent's readiness.
    #[must_use]
    pub fn new(ready: watch::Receiver<bool>) -> Self {
        Self { ready, in_force: Arc::default(), marked: Arc::default(), stopping: Arc::default() }
    }

    /// Notes that the first inventory is in force.
    pub fn set_in_force(&self) {
        self.in_force.store(true, Ordering::Release);
    }

    /// Notes an operator's mark or its end.
    pub fn set_marked(&self, marked: bool) {
        self.marked.store(marked, Ordering::Release);
    }

    /// Notes the start of a planned stop.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether a planned stop or an operator's mark is in force.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stopping.load(Ordering::Acquire) || self.marked.load(Ordering::Acquire)
    }

    /// Why the load balancer should send no work; `None` if it should.
    #[must_use]
    pub fn unready(&self) -> Option<&'static str> {
        if !self.in_force.load(Ordering::Acquire) {
            return Some("no configuration in force");
        }
        if self.is_draining() {
            return Some("draining");
        }
        (!*self.ready.borrow()).then_some("configuration not confirmed")
    }

    /// Refuses work unless the gateway is ready or draining.
    ///
    /// # Errors
    /// Fails with the reason.
    pub fn admit(&self) -> Result<(), Fault> {
        match self.unready() {
            None => Ok(()),
            Some(_) if self.is_draining() && self.in_force.load(Ordering::Acquire) => Ok(()),
            Some(reason) => {
                Err(Fault::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", reason))
            }
        }
    }
}
