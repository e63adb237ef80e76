//! Leases on scopes of control work.
//!
//! The holder counts its deadline from before it sent the renewal, less a margin for clock rate
//! error. A contender takes a lease after it has itself seen the row unchanged for the full TTL.
//! No clock is compared with that of another VM.

pub mod gate;
pub mod machine;
pub(crate) mod task;

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use derive_more::Debug;
use filbertsail_clock::Instant;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, watch};

static NEXT_GUARD: AtomicU64 = AtomicU64::new(0);

/// Key of the row of a scope.
#[must_use]
pub fn key(scope: &str) -> String {
    format!("lease/{scope}")
}

/// Times of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time after which a silent holder may be replaced.
    pub ttl: Duration,
    /// Longest time for which an order may take effect after it was sent.
    pub order_life: Duration,
}

impl Default for Times {
    fn default() -> Self {
        Self { ttl: Duration::from_secs(6), order_life: Duration::from_secs(5) }
    }
}

/// Value of a lease row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Value {
    /// Daemon name; absent after a release.
    pub holder: Option<String>,
    /// Incarnation of the holder.
    pub incarnation: u64,
    /// Fencing number; rises by one with each change of holder.
    pub epoch: u64,
    /// Time in milliseconds for which the row must be unchanged before it may be taken.
    pub ttl_ms: u64,
    /// Whether the holder may have given orders already.
    #[serde(default)]
    pub ordering: bool,
}

/// Lease that is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holding {
    /// Fencing number.
    pub epoch: u64,
    /// Time from which nothing may be done under the lease.
    pub deadline: Instant,
    /// Time from which orders may go to engines that ignore fencing numbers: no order of an
    /// earlier holder takes effect any more.
    pub orders_from: Instant,
}

impl Holding {
    /// Whether the holder may act at `now`.
    #[must_use]
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.deadline
    }

    /// Whether the holder may give orders at `now` to an engine that does or does not check
    /// fencing numbers.
    #[must_use]
    pub fn may_order(&self, now: Instant, checks_fence: bool) -> bool {
        self.is_valid(now) && (checks_fence || now >= self.orders_from)
    }
}

/// Wish for a lease; it is given up on drop.
#[derive(Debug)]
pub struct Guard {
    scope: String,
    /// Tells this guard from a later one of the same scope.
    id: u64,
    holding: watch::Receiver<Option<Holding>>,
    #[debug(skip)]
    commands: mpsc::UnboundedSender<task::Command>,
}

impl Guard {
    pub(crate) fn new(scope: &str, commands: mpsc::UnboundedSender<task::Command>) -> Self {
        let (sender, holding) = watch::channel(None);
        let id = NEXT_GUARD.fetch_add(1, Ordering::Relaxed);
        // Fails only while the daemon stops.
        let _ = commands.send(task::Command::Want { scope: scope.to_owned(), id, sender });
        Self { scope: scope.to_owned(), id, holding, commands }
    }

    /// Lease while it is held.
    #[must_use]
    pub fn holding(&self) -> watch::Receiver<Option<Holding>> {
        self.holding.clone()
    }

    /// Scope.
    #[must_use]
    pub fn scope(&self) -> &str {
        &self.scope
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        // Fails only if the agent has stopped, which released the lease.
        let scope = self.scope.clone();
        let _ = self.commands.send(task::Command::GiveUp { scope, id: self.id });
    }
}
