//! Leases, which elect one daemon for each scope of control work.
//!
//! The holder computes its deadline from the time before it sent the renewal, less a margin for
//! clock drift. A contender acquires a lease after it has observed the row unchanged for the full
//! TTL. Clocks of different VMs are never compared.

pub mod elector;
pub mod fence;
pub(crate) mod task;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use derive_more::Debug;
use filbertsail_clock::Instant;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

static NEXT_GUARD_ID: AtomicU64 = AtomicU64::new(0);

/// Table key of the lease row of `scope`.
#[must_use]
pub fn key(scope: &str) -> String {
    format!("lease/{scope}")
}

/// Durations that govern leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time without a renewal after which another daemon may acquire the lease.
    pub ttl: Duration,
    /// Longest time between sending an order and its effect.
    pub order_lifetime: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self { ttl: Duration::from_secs(6), order_lifetime: Duration::from_secs(5) }
    }
}

/// Value of a lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Name of the holding daemon; absent after a release.
    pub holder: Option<String>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Fencing token; rises by one with each change of holder.
    pub epoch: u64,
    /// Time in milliseconds for which the row must be unchanged before another daemon may acquire
    /// the lease.
    pub ttl_ms: u64,
    /// Whether the holder had waited for the orders of earlier holders to expire when it wrote the
    /// row. Until then, no later process of its VM may send orders without a wait of its own.
    #[serde(default)]
    pub ordering: bool,
}

/// Lease as granted to this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token.
    pub epoch: u64,
    /// Time from which the holder may no longer act under the lease.
    pub deadline: Instant,
    /// Time from which orders may go to engines that ignore fencing tokens: by then no order of an
    /// earlier holder can take effect.
    pub orders_allowed_from: Instant,
}

impl Grant {
    /// Whether the holder may act at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.deadline
    }

    /// Whether the holder may send orders at `now` to an engine that validates fencing tokens
    /// (`checks_fence`) or ignores them.
    #[must_use]
    pub fn allows_orders(&self, now: Instant, checks_fence: bool) -> bool {
        self.is_valid(now) && (checks_fence || now >= self.orders_allowed_from)
    }
}

/// Contends for a lease and renews it until dropped, which releases it.
#[derive(Debug)]
pub struct Guard {
    scope: String,
    /// Distinguishes this guard from a later one of the same scope.
    id: u64,
    grant: watch::Receiver<Option<Grant>>,
    #[debug(skip)]
    commands: mpsc::UnboundedSender<task::Command>,
}

impl Guard {
    pub(crate) fn new(scope: &str, commands: mpsc::UnboundedSender<task::Command>) -> Self {
        let (sender, grant) = watch::channel(None);
        let id = NEXT_GUARD_ID.fetch_add(1, Ordering::Relaxed);
        // Fails only if the daemon is stopping.
        let _ = commands.send(task::Command::Contend { scope: scope.to_owned(), id, sender });
        Self { scope: scope.to_owned(), id, grant, commands }
    }

    /// The lease whenever it is held, else `None`.
    #[must_use]
    pub fn grant(&self) -> watch::Receiver<Option<Grant>> {
        self.grant.clone()
    }

    #[must_use]
    pub fn scope(&self) -> &str {
        &self.scope
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // Fails only if the agent has stopped and thereby released the lease.
        let scope = self.scope.clone();
        let _ = self.commands.send(task::Command::Release { scope, id: self.id });
    }
}
