//! Handle to a running agent.

use std::{sync::Arc, time::Duration};

use filbertsail_api::admin::{Applied, Apply};
use filbertsail_collections::HashSet;
use filbertsail_ports::table::Table;
use filbertsail_telemetry::event::Line;
use filbertsail_wire::frame::{Config, Done, Fault, Frame, Pull};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::{Instant, sleep},
};
use tokio_util::task::TaskTracker;

use crate::{
    config::{self, Snapshot, apply},
    lease::{self, fence::Fence},
    member::{self, State},
    peers::Pool,
    token::Tokens,
};

/// Longest time to wait for daemons to confirm a version, unless the operator sets another.
const DEFAULT_WAIT: Duration = Duration::from_secs(8);
/// Time between two rounds of queries for the active version.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout of one query for the active version.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of concurrent queries for the active version.
const CONFIRM_CALLS: usize = 32;

/// Handle to a running agent, cheap to clone.
#[derive(Clone)]
pub struct Handle<T> {
    pub(super) table: T,
    pub(super) tokens: Arc<Tokens>,
    pub(super) tasks: TaskTracker,
    pub(super) peers: Pool,
    pub(super) fence: Fence<T>,
    pub(super) member_commands: mpsc::UnboundedSender<member::task::Command>,
    pub(super) config_commands: mpsc::UnboundedSender<config::task::Command>,
    pub(super) lease_commands: mpsc::UnboundedSender<lease::task::Command>,
    pub(super) config: watch::Receiver<Option<Arc<Snapshot>>>,
    pub(super) members: watch::Receiver<Arc<[State]>>,
    pub(super) reachable_and_known: watch::Receiver<(usize, usize)>,
    pub(super) ready: watch::Receiver<bool>,
    pub(super) table_reachable: watch::Receiver<bool>,
}

impl<T: Table> Handle<T> {
    /// Active configuration.
    #[must_use]
    pub fn config(&self) -> watch::Receiver<Option<Arc<Snapshot>>> {
        self.config.clone()
    }

    /// Known daemons, this one first.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<[State]>> {
        self.members.clone()
    }

    /// Whether the daemon may serve: it has a configuration that is confirmed or may be used
    /// unconfirmed, and no graceful shutdown is in progress.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Whether the table service answered the last poll of the configuration.
    #[must_use]
    pub fn table_reachable(&self) -> bool {
        *self.table_reachable.borrow()
    }

    /// Watches whether the table service answered the last poll of the configuration.
    #[must_use]
    pub fn watch_table_reachable(&self) -> watch::Receiver<bool> {
        self.table_reachable.clone()
    }

    /// Starts a graceful shutdown, which ends readiness, or cancels it.
    pub fn set_draining(&self, draining: bool) {
        // Both fail only if the daemon is stopping.
        let _ = self.member_commands.send(member::task::Command::Draining(draining));
        let _ = self.config_commands.send(config::task::Command::Draining(draining));
    }

    /// Contends for the lease of `scope` until the guard is dropped.
    #[must_use]
    pub fn contend_for_lease(&self, scope: &str) -> lease::Guard {
        lease::Guard::new(scope, self.lease_commands.clone())
    }

    /// Validates the epochs of orders that this daemon relays.
    #[must_use]
    pub fn fence(&self) -> &Fence<T> {
        &self.fence
    }

    /// Waits until all leases are released and the tasks have ended after the stop token was
    /// cancelled.
    pub async fn join(&self) {
        self.tasks.wait().await;
    }

    /// Answers a `Digest`, `Hint` or `Pull` request of a peer; any other gets a `Fault`.
    pub async fn answer(&self, request: Frame) -> Frame {
        let reply = match request {
            Frame::Digest(digest) => {
                let (sender, reply) = oneshot::channel();
                let command = member::task::Command::Digest(digest, sender);
                let sent = self.member_commands.send(command).is_ok();
                if sent { reply.await.ok().map(Frame::Digest) } else { None }
            }
            Frame::Hint(hint) => {
                let command =
                    config::task::Command::VersionReported { version: hint.version, at: None };
                self.config_commands.send(command).ok().map(|()| Frame::Done(Done))
            }
            Frame::Pull(pull) => {
                let (sender, reply) = oneshot::channel();
                let sent =
                    self.config_commands.send(config::task::Command::Pull(pull, sender)).is_ok();
                if sent { reply.await.ok().map(Frame::Config) } else { None }
            }
            _ => Some(fault("unsupported", "frame is not for the agent")),
        };
        reply.unwrap_or_else(|| fault("stopping", "daemon is stopping"))
    }

    /// Writes a configuration as the next version and waits until it is active on all live daemons
    /// or the wait time is over.
    ///
    /// # Errors
    /// See [`apply::Error`]; only after [`apply::Error::Unknown`] may it have been accepted.
    pub async fn apply(&self, request: Apply) -> Result<Applied, apply::Error> {
        let (reachable, known) = *self.reachable_and_known.borrow();
        if 2 * reachable <= known {
            return Err(apply::Error::Minority { reachable, known });
        }
        let until = request.wait_ms.map_or(DEFAULT_WAIT, Duration::from_millis);
        let until = Instant::now() + until;
        let snapshot = apply::write(&self.table, &request, self.tokens.next()).await;
        let snapshot = snapshot.inspect_err(|error| {
            let author = &request.author;
            Line::new("config_refused").with("author", author).with("reason", error).warn();
        })?;
        Line::new("config_accepted")
            .with("version", snapshot.version)
            .with("digest", &snapshot.digest)
            .with("author", &request.author)
            .info();
        let (version, digest) = (snapshot.version, snapshot.digest.clone());
        // Fails only if the daemon is stopping.
        let _ = self.config_commands.send(config::task::Command::Wrote(Arc::new(snapshot)));
        Ok(self.wait_for_confirmations(version, digest, until).await)
    }

    /// Queries every live daemon until `version` is active on all or `until` has passed.
    ///
    /// Digests would spread the versions too slowly, since each carries few entries.
    async fn wait_for_confirmations(
        &self,
        version: u64,
        digest: String,
        until: Instant,
    ) -> Applied {
        let mut confirmed = HashSet::default();
        loop {
            let states = Arc::clone(&self.members.borrow());
            let live = states.iter().filter(|state| state.live);
            let unconfirmed: Vec<_> =
                live.filter(|state| !confirmed.contains(&state.name)).cloned().collect();
            let own_version = self.config.borrow().as_ref().map_or(0, |config| config.version);
            for name in self.query_versions(unconfirmed, own_version, version).await {
                confirmed.insert(name);
            }
            let live: Vec<_> = states.iter().filter(|state| state.live).collect();
            let unconfirmed: Vec<_> =
                live.iter().filter(|state| !confirmed.contains(&state.name)).collect();
            if unconfirmed.is_empty() || Instant::now() >= until {
                let to_u32 = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
                return Applied {
                    confirmed: to_u32(live.len() - unconfirmed.len()),
                    digest,
                    live: to_u32(live.len()),
                    unconfirmed: unconfirmed.iter().map(|state| state.name.clone()).collect(),
                    version,
                };
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Names of the daemons in `unconfirmed` on which `version` or a later one is active.
    async fn query_versions(
        &self,
        mut unconfirmed: Vec<State>,
        own_version: u64,
        version: u64,
    ) -> Vec<String> {
        let own_name = self.members.borrow().first().map(|state| state.name.clone());
        let mut confirmed = Vec::new();
        let mut calls = JoinSet::new();
        while !unconfirmed.is_empty() || !calls.is_empty() {
            if calls.len() < CONFIRM_CALLS
                && let Some(state) = unconfirmed.pop()
            {
                if own_name.as_ref() == Some(&state.name) {
                    confirmed.extend((own_version >= version).then_some(state.name));
                    continue;
                }
                let peers = self.peers.clone();
                calls.spawn(async move {
                    // No version is newer, so the reply omits the text.
                    let pull = Frame::Pull(Pull { have: u64::MAX });
                    let reply = peers.call(state.address, pull, CONFIRM_TIMEOUT).await;
                    let config = reply.and_then(|frame| Config::try_from(frame).ok());
                    (state.name, config.map_or(0, |config| config.version))
                });
            } else if let Some(Ok((name, peer_version))) = calls.join_next().await {
                confirmed.extend((peer_version >= version).then_some(name));
            }
        }
        confirmed
    }
}

fn fault(code: &str, message: &str) -> Frame {
    Frame::Fault(Fault {
        code: code.to_owned(),
        message: message.to_owned(),
        verdict: filbertsail_errors::Verdict::NotRun,
    })
}
