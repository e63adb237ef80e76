//! Readiness of the gateway and admission of work.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use http::StatusCode;
use tokio::sync::watch;

use crate::fault::Fault;

/// Readiness of the gateway, cheap to clone.
///
/// A draining gateway is not ready but still admits work, as the load balancer takes a moment to
/// notice. A gateway that cannot confirm its configuration is not ready and rejects work.
#[derive(Clone, Debug)]
pub struct Readiness {
    config_confirmed: watch::Receiver<bool>,
    configured: Arc<AtomicBool>,
    marked_draining: Arc<AtomicBool>,
    stopping: Arc<AtomicBool>,
}

impl Readiness {
    /// Readiness that depends on `config_confirmed`, which the agent keeps up to date.
    #[must_use]
    pub fn new(config_confirmed: watch::Receiver<bool>) -> Self {
        Self {
            config_confirmed,
            configured: Arc::default(),
            marked_draining: Arc::default(),
            stopping: Arc::default(),
        }
    }

    /// Records that the first configuration is active.
    pub fn set_configured(&self) {
        self.configured.store(true, Ordering::Release);
    }

    /// Records whether an operator has marked this gateway as draining.
    pub fn set_marked_draining(&self, marked_draining: bool) {
        self.marked_draining.store(marked_draining, Ordering::Release);
    }

    /// Records the start of a graceful shutdown.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether the gateway is stopping or marked as draining by an operator.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.stopping.load(Ordering::Acquire) || self.marked_draining.load(Ordering::Acquire)
    }

    /// Reason why the load balancer should send no work; `None` if ready.
    #[must_use]
    pub fn unready_reason(&self) -> Option<&'static str> {
        if !self.configured.load(Ordering::Acquire) {
            return Some("no configuration in force");
        }
        if self.is_draining() {
            return Some("draining");
        }
        (!*self.config_confirmed.borrow()).then_some("configuration not confirmed")
    }

    /// Admits work if the gateway is ready or draining.
    ///
    /// # Errors
    /// Fails with the reason why the gateway is not ready.
    pub fn check_admission(&self) -> Result<(), Fault> {
        match self.unready_reason() {
            None => Ok(()),
            Some(_) if self.is_draining() && self.configured.load(Ordering::Acquire) => Ok(()),
            Some(reason) => {
                Err(Fault::not_run(StatusCode::SERVICE_UNAVAILABLE, "not_ready", reason))
            }
        }
    }
}
