//! Duties of which one VM at a time is in charge.
//!
//! The holder of the [`Lease`] on a duty and subject calls workers or the platform for it. Calls of
//! two holders never overlap: a new holder waits until no call of the earlier one can arrive.

pub mod lease;
pub mod scaling;
pub mod usage;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use filbertsail_ports::{duty::Platform, store::Store};

pub use lease::{LEASE_TABLE, Lease, Throttle};
use tokio::task::JoinSet;
pub use usage::USAGE_TABLE;

use crate::{relay::Peers, shared::Shared};

/// Duty at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Reports of the requests that ran for each workspace.
    Usage,
    /// Orders of workers.
    Scaling,
}

/// Duties at the platform, as the settings state them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub kinds: BTreeSet<Kind>,
    /// Calls a second that the platform accepts from all VMs together.
    pub calls_per_s: f64,
    /// Fixed numbers of workers, by service and zone.
    pub pins: BTreeMap<(String, String), u32>,
    /// Usage reports; absent if the settings state no window.
    pub usage: Option<UsageTimes>,
}

/// Time limits of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageTimes {
    /// Length of a window.
    pub window: Duration,
    /// Time after the end of a window at which its report is due.
    pub due: Duration,
}

/// What the tasks of the duties at the platform share.
#[derive(Clone)]
pub struct Context<S, P> {
    pub shared: Shared,
    pub store: S,
    pub peers: Peers,
    pub platform: P,
    pub settings: Settings,
}

impl<S: Store, P: Platform> Context<S, P> {
    /// Contends for the lease on `scope`.
    #[must_use]
    pub fn lease(&self, scope: String) -> Lease<S> {
        Lease::new(self.shared.clone(), self.store.clone(), self.peers.clone(), scope)
            .with_wait_for_predecessor()
    }

    /// Time limits of usage reports; nothing if the settings do not ask for reports.
    fn usage_times(&self) -> Option<UsageTimes> {
        self.settings.usage.filter(|_| self.settings.kinds.contains(&Kind::Usage))
    }
}

/// Runs the tasks of the duties at the platform until they have stopped with the daemon.
pub async fn run<S: Store, P: Platform>(context: Context<S, P>) {
    let mut tasks = JoinSet::new();
    if let Some(times) = context.usage_times() {
        tasks.spawn(usage::run(context.clone(), times));
    }
    if context.settings.kinds.contains(&Kind::Scaling) {
        tasks.spawn(scaling::run(context.clone()));
    }
    // A panic in one task must not affect the others.
    while tasks.join_next().await.is_some() {}
}
