//! Access to the agent.

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
    lease::{self, gate::Gate},
    member::{self, State},
    peers::Pool,
    token::Tokens,
};

/// Longest time to wait for daemons to confirm, if the operator states none.
const DEFAULT_WAIT: Duration = Duration::from_secs(8);

/// Time between two rounds of questions for the version in force.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(300);
/// Time limit of one question.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);
/// Questions at a time.
const CONFIRM_CALLS: usize = 32;

/// Access to the agent, cheap to clone.
#[derive(Clone)]
pub struct Handle<T> {
    pub(super) table: T,
    pub(super) tokens: Arc<Tokens>,
    pub(super) tasks: TaskTracker,
    pub(super) peers: Pool,
    pub(super) gate: Gate<T>,
    pub(super) member: mpsc::UnboundedSender<member::task::Command>,
    pub(super) follower: mpsc::UnboundedSender<config::task::Command>,
    pub(super) leases: mpsc::UnboundedSender<lease::task::Command>,
    pub(super) config: watch::Receiver<Option<Arc<Snapshot>>>,
    pub(super) members: watch::Receiver<Arc<[State]>>,
    pub(super) majority: watch::Receiver<(usize, usize)>,
    pub(super) ready: watch::Receiver<bool>,
    pub(super) reachable: watch::Receiver<bool>,
}

impl<T: Table> Handle<T> {
    /// Configuration in force.
    #[must_use]
    pub fn config(&self) -> watch::Receiver<Option<Arc<Snapshot>>> {
        self.config.clone()
    }

    /// Daemons known, this one first.
    #[must_use]
    pub fn members(&self) -> watch::Receiver<Arc<[State]>> {
        self.members.clone()
    }

    /// Whether the daemon may serve: it has a configuration, which is confirmed or which it may
    /// go on with, and no planned stop is under way.
    #[must_use]
    pub fn ready(&self) -> watch::Receiver<bool> {
        self.ready.clone()
    }

    /// Whether the table service answered the last poll.
    #[must_use]
    pub fn table_reachable(&self) -> bool {
        *self.reachable.borrow()
    }

    /// Whether the table service answered last, with its changes.
    #[must_use]
    pub fn table(&self) -> watch::Receiver<bool> {
        self.reachable.clone()
    }

    /// Marks the start of a planned stop, which ends readiness, or takes the mark back.
    pub fn set_draining(&self, draining: bool) {
        // Both fail only while the daemon stops.
        let _ = self.member.send(member::task::Command::Draining(draining));
        let _ = self.follower.send(config::task::Command::Draining(draining));
    }

    /// Contends for the lease of `scope` until the guard is dropped.
    #[must_use]
    pub fn lease(&self, scope: &str) -> lease::Guard {
        lease::Guard::new(scope, self.leases.clone())
    }

    /// Check of orders that this daemon relays.
    #[must_use]
    pub fn gate(&self) -> &Gate<T> {
        &self.gate
    }

    /// Waits until all leases are released and the tasks have ended after a stop.
    pub async fn join(&self) {
        self.tasks.wait().await;
    }

    /// Answers a `Digest`, `Hint` or `Pull` of a peer.
    pub async fn answer(&self, request: Frame) -> Frame {
        let reply = match request {
            Frame::Digest(digest) => {
                let (sender, reply) = oneshot::channel();
                let command = member::task::Command::Digest(digest, sender);
                let sent = self.member.send(command).is_ok();
                if sent { reply.await.ok().map(Frame::Digest) } else { None }
            }
            Frame::Hint(hint) => {
                let heard = config::task::Command::Heard { version: hint.version, at: None };
                self.follower.send(heard).ok().map(|()| Frame::Done(Done))
            }
            Frame::Pull(pull) => {
                let (sender, reply) = oneshot::channel();
                let sent = self.follower.send(config::task::Command::Pull(pull, sender)).is_ok();
                if sent { reply.await.ok().map(Frame::Config) } else { None }
            }
            _ => Some(fault("unsupported", "frame is not for the agent")),
        };
        reply.unwrap_or_else(|| fault("stopping", "daemon is stopping"))
    }

    /// Accepts a configuration and waits until all live daemons have it in force or the wait is
    /// over.
    ///
    /// # Errors
    /// See [`apply::Error`]; only [`apply::Error::Unknown`] leaves open whether it was accepted.
    pub async fn apply(&self, request: Apply) -> Result<Applied, apply::Error> {
        let (seen, known) = *self.majority.borrow();
        if 2 * seen <= known {
            return Err(apply::Error::Minority { seen, known });
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
        // Fails only while the daemon stops.
        let _ = self.follower.send(config::task::Command::Wrote(Arc::new(snapshot)));
        Ok(self.confirmations(version, digest, until).await)
    }

    /// Asks every live daemon for its version until all have it in force or the wait is over.
    ///
    /// Digests carry versions too slowly for that, since each daemon passes on few entries.
    async fn confirmations(&self, version: u64, digest: String, until: Instant) -> Applied {
        let mut done = HashSet::default();
        loop {
            let states = Arc::clone(&self.members.borrow());
            let live = states.iter().filter(|state| state.live);
            let open: Vec<_> = live.filter(|state| !done.contains(&state.name)).cloned().collect();
            let own = self.config.borrow().as_ref().map_or(0, |config| config.version);
            for name in self.ask_versions(open, own, version).await {
                done.insert(name);
            }
            let live: Vec<_> = states.iter().filter(|state| state.live).collect();
            let open: Vec<_> = live.iter().filter(|state| !done.contains(&state.name)).collect();
            if open.is_empty() || Instant::now() >= until {
                let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
                return Applied {
                    confirmed: count(live.len() - open.len()),
                    digest,
                    live: count(live.len()),
                    unconfirmed: open.iter().map(|state| state.name.clone()).collect(),
                    version,
                };
            }
            sleep(CONFIRM_INTERVAL).await;
        }
    }

    /// Names of those daemons that have `version` or a later one in force.
    async fn ask_versions(&self, mut open: Vec<State>, own: u64, version: u64) -> Vec<String> {
        let me = self.members.borrow().first().map(|me| me.name.clone());
        let mut done = Vec::new();
        let mut calls = JoinSet::new();
        while !open.is_empty() || !calls.is_empty() {
            if calls.len() < CONFIRM_CALLS
                && let Some(state) = open.pop()
            {
                if me.as_ref() == Some(&state.name) {
                    done.extend((own >= version).then_some(state.name));
                    continue;
                }
                let peers = self.peers.clone();
                calls.spawn(async move {
                    // No version is newer, so the answer leaves out the text.
                    let pull = Frame::Pull(Pull { have: u64::MAX });
                    let reply = peers.ask(state.address, pull, CONFIRM_TIMEOUT).await;
                    let config = reply.and_then(|frame| Config::try_from(frame).ok());
                    (state.name, config.map_or(0, |config| config.version))
                });
            } else if let Some(Ok((name, theirs))) = calls.join_next().await {
                done.extend((theirs >= version).then_some(name));
            }
        }
        done
    }
}

fn fault(code: &str, message: &str) -> Frame {
    Frame::Fault(Fault {
        code: code.to_owned(),
        message: message.to_owned(),
        verdict: filbertsail_errors::Verdict::NotRun,
    })
}
