//! Task that owns the membership view and probes other daemons.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::{Instant, Source};
use filbertsail_ports::rate::Limiter;
use filbertsail_telemetry::event::Line;
use filbertsail_wire::frame::{Condition, Digest, Frame, Member};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use super::{
    State,
    view::{Target, View},
};
use crate::{config, metrics::Metrics, peers::Pool};

const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Age of the last confirmation of the configuration from which probes are sent faster and more of
/// them to remote zones; above the poll interval and well below the 8 s for which a confirmation is
/// valid.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(3);
/// Digests that announce a graceful shutdown.
const LEAVE_DIGESTS: usize = 3;
/// Timeout for announcing a graceful shutdown.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Command to the task.
pub(crate) enum Command {
    /// Digest received from a peer, and where to send the reply.
    Digest(Digest, oneshot::Sender<Digest>),
    /// Whether a graceful shutdown is in progress.
    Draining(bool),
    /// Active configuration version.
    ConfigVersion(u64),
}

/// Channels on which the task publishes its state.
pub(crate) struct Output {
    pub(crate) members: watch::Sender<Arc<[State]>>,
    pub(crate) candidates: watch::Sender<Arc<[String]>>,
    pub(crate) reachable_and_known: watch::Sender<(usize, usize)>,
    pub(crate) config_commands: mpsc::UnboundedSender<config::task::Command>,
}

pub(crate) struct Task<C> {
    pub(crate) view: View,
    pub(crate) clock: C,
    pub(crate) peers: Pool,
    pub(crate) limiter: Option<Limiter>,
    pub(crate) metrics: Metrics,
    pub(crate) confirmed: watch::Receiver<Option<(u64, Instant)>>,
    pub(crate) output: Output,
    pub(crate) probes: Probes,
}

/// Probes in flight and the random source for targets and jitter.
pub(crate) struct Probes {
    rng: StdRng,
    calls: JoinSet<Probe>,
}

impl Probes {
    pub(crate) fn new(seed: u64) -> Self {
        Self { rng: StdRng::seed_from_u64(seed), calls: JoinSet::new() }
    }
}

struct Probe {
    target: Target,
    sent_at: Instant,
    reply: Option<Digest>,
}

impl<C: Source> Task<C> {
    pub(crate) async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        stop: CancellationToken,
    ) {
        // A random start keeps daemons that start together from probing at the same times.
        let mut pause = self.view.probe_interval().mul_f64(self.probes.rng.random_range(0.0..0.2));
        let mut due = self.clock.now().after(pause);
        loop {
            pause = due.since(self.clock.now());
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(pause) => {
                    self.probe_next();
                    let jitter = self.probes.rng.random_range(0.8..1.2);
                    due = self.clock.now().after(self.view.probe_interval().mul_f64(jitter));
                }
                Some(probe) = self.probes.calls.join_next() => {
                    if let Ok(probe) = probe {
                        self.on_probe_result(probe);
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
            }
        }
        self.announce_leave().await;
    }

    fn probe_next(&mut self) {
        let now = self.clock.now();
        for member in self.view.expire(now) {
            self.log_change("member_gone", &member);
        }
        let confirmed = *self.confirmed.borrow();
        let recent = confirmed.is_some_and(|(_, at)| now.since(at) < UNCONFIRMED_AFTER);
        self.view.set_unconfirmed(!recent);
        if let Some(target) = self.view.next_target(&mut self.probes.rng) {
            self.probe(now, target);
        }
        self.publish();
    }

    fn probe(&mut self, now: Instant, target: Target) {
        let digest = self.view.probe_digest(now, &target);
        let digest = self.with_confirmation_age(digest);
        let peers = self.peers.clone();
        self.probes.calls.spawn(async move {
            let reply = peers.call(target.address, Frame::Digest(digest), PROBE_TIMEOUT).await;
            let reply = reply.and_then(|frame| Digest::try_from(frame).ok());
            Probe { target, sent_at: now, reply }
        });
    }

    /// Adds the age of the configuration's last confirmation.
    fn with_confirmation_age(&self, mut digest: Digest) -> Digest {
        let now = self.clock.now();
        let confirmed = *self.confirmed.borrow();
        digest.confirmed_age_ms = confirmed
            .filter(|(version, _)| *version == self.view.local().config_version)
            .and_then(|(_, at)| u64::try_from(now.since(at).as_millis()).ok());
        digest
    }

    fn on_probe_result(&mut self, probe: Probe) {
        let now = self.clock.now();
        let Some(reply) = probe.reply else {
            let suspect = probe.target.name.and_then(|name| self.view.on_probe_failed(now, &name));
            if let Some(member) = suspect {
                self.log_change("member_suspect", &member);
            }
            return self.publish();
        };
        self.view.on_probe_answered(now);
        self.forward_version(&reply, Some(probe.sent_at));
        self.merge(now, reply);
    }

    /// Forwards the peer's configuration version to the configuration task. The age of its
    /// confirmation is valid only in a reply to this daemon, since a request may have been delayed.
    fn forward_version(&self, digest: &Digest, sent_at: Option<Instant>) {
        let Some(peer) = digest.members.first() else { return };
        let age = digest.confirmed_age_ms.map(Duration::from_millis);
        let at = sent_at.zip(age).map(|(sent_at, age)| sent_at.before(age));
        let command = config::task::Command::VersionReported { version: peer.config_version, at };
        // Fails only if the daemon is stopping.
        let _ = self.output.config_commands.send(command);
    }

    fn merge(&mut self, now: Instant, digest: Digest) {
        let (view, full) = (digest.view, digest.full);
        for member in self.view.merge(now, digest.members) {
            self.log_change(event_name(member.condition), &member);
        }
        self.view.compare_hash(now, view, full);
        self.publish();
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::Digest(digest, reply) => {
                self.forward_version(&digest, None);
                let full = digest.full;
                let peer = digest.members.first().map(|member| member.name.clone());
                self.merge(self.clock.now(), digest);
                // Fails only if the caller no longer waits.
                let answer = self.view.digest(peer.as_deref(), full);
                let _ = reply.send(self.with_confirmation_age(answer));
            }
            Command::Draining(draining) => self.view.set_draining(draining),
            Command::ConfigVersion(version) => self.view.set_config_version(version),
        }
        self.publish();
    }

    fn publish(&mut self) {
        let states = self.view.states();
        let candidates = |states: &[State]| -> Arc<[String]> {
            let role = self.view.local().role;
            let able = states.iter().filter(|state| state.role == role && state.live);
            able.filter(|state| !state.draining).map(|state| state.name.clone()).collect()
        };
        let changed = self.output.members.send_if_modified(|current| {
            let changed = **current != *states;
            if changed {
                *current = Arc::clone(&states);
            }
            changed
        });
        if changed {
            self.output.candidates.send_replace(candidates(&states));
            let live = states.iter().filter(|state| state.live).count();
            if let Some(limiter) = &self.limiter {
                limiter.set_live_members(live);
            }
            self.metrics
                .record_members(live, self.limiter.as_ref().map_or(0, Limiter::refused_calls));
        }
        if let Some(limiter) = self.limiter.as_ref().filter(|_| self.view.is_converged()) {
            limiter.set_converged_members(
                self.output.members.borrow().iter().filter(|state| state.live).count(),
            );
        }
        let reachable_and_known = self.view.reachable_and_known(self.clock.now());
        self.output.reachable_and_known.send_if_modified(|current| {
            let changed = *current != reachable_and_known;
            *current = reachable_and_known;
            changed
        });
    }

    fn log_change(&self, event: &'static str, member: &Member) {
        self.metrics.count_member_event(event);
        Line::new(event)
            .with("member", &member.name)
            .with("zone", &member.zone)
            .with("incarnation", member.incarnation)
            .with("revision", member.revision)
            .info();
    }

    /// Announces the graceful shutdown to a few daemons, so that they do not suspect this one.
    async fn announce_leave(&mut self) {
        self.view.leave();
        let mut calls = JoinSet::new();
        for _ in 0..LEAVE_DIGESTS {
            let Some(target) = self.view.next_target(&mut self.probes.rng) else { break };
            let digest = self.view.digest(target.name.as_deref(), false);
            let peers = self.peers.clone();
            calls.spawn(async move {
                peers.call(target.address, Frame::Digest(digest), LEAVE_TIMEOUT).await
            });
        }
        // Daemons that miss the announcement detect the stop by failed probes.
        let _ = timeout(LEAVE_TIMEOUT, calls.join_all()).await;
    }
}

fn event_name(condition: Condition) -> &'static str {
    match condition {
        Condition::Live => "member_live",
        Condition::Suspect => "member_suspect",
        Condition::Gone => "member_gone",
        Condition::Left => "member_left",
    }
}
