//! Task that owns the membership view and probes other daemons.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::{Instant, Source};
use filbertsail_ports::budget::Budget;
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

/// Time limit of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Age of the last confirmation of the configuration after which other zones are probed more; above
/// the poll interval and well below the 8 s after which a confirmation no longer counts.
const ALERT_AFTER: Duration = Duration::from_secs(3);
/// Digests sent at a planned stop.
const FAREWELLS: usize = 3;
/// Time limit of the digests at a planned stop.
const FAREWELL_TIMEOUT: Duration = Duration::from_millis(500);

/// Request to the task.
pub(crate) enum Command {
    /// Digest of a peer, to be answered.
    Digest(Digest, oneshot::Sender<Digest>),
    /// Planned stop under way or not.
    Draining(bool),
    /// Configuration version in force.
    ConfigVersion(u64),
}

/// What the task makes known.
pub(crate) struct Output {
    pub(crate) members: watch::Sender<Arc<[State]>>,
    pub(crate) candidates: watch::Sender<Arc<[String]>>,
    pub(crate) majority: watch::Sender<(usize, usize)>,
    pub(crate) heard: mpsc::UnboundedSender<config::task::Command>,
}

pub(crate) struct Task<C> {
    pub(crate) view: View,
    pub(crate) clock: C,
    pub(crate) peers: Pool,
    pub(crate) budget: Option<Budget>,
    pub(crate) metrics: Metrics,
    pub(crate) confirmed: watch::Receiver<Option<(u64, Instant)>>,
    pub(crate) output: Output,
    pub(crate) probes: Probes,
}

/// Probes under way and the state behind their choice.
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
    sent: Instant,
    reply: Option<Digest>,
}

impl<C: Source> Task<C> {
    pub(crate) async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        stop: CancellationToken,
    ) {
        // Without it daemons that start together probe in step.
        let mut pause = self.view.interval().mul_f64(self.probes.rng.random_range(0.0..0.2));
        let mut due = self.clock.now().after(pause);
        loop {
            pause = due.since(self.clock.now());
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(pause) => {
                    self.tick();
                    let jitter = self.probes.rng.random_range(0.8..1.2);
                    due = self.clock.now().after(self.view.interval().mul_f64(jitter));
                }
                Some(probe) = self.probes.calls.join_next() => {
                    if let Ok(probe) = probe {
                        self.finish(probe);
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => break,
                },
            }
        }
        self.say_farewell().await;
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        for member in self.view.expire(now) {
            self.log_change("member_gone", &member);
        }
        let confirmed = *self.confirmed.borrow();
        let recent = confirmed.is_some_and(|(_, at)| now.since(at) < ALERT_AFTER);
        self.view.set_alert(!recent);
        if let Some(target) = self.view.target(&mut self.probes.rng) {
            self.probe(now, target);
        }
        self.publish();
    }

    fn probe(&mut self, now: Instant, target: Target) {
        let digest = self.view.probe(now, &target);
        let digest = self.with_age(digest);
        let peers = self.peers.clone();
        self.probes.calls.spawn(async move {
            let reply = peers.ask(target.address, Frame::Digest(digest), PROBE_TIMEOUT).await;
            let reply = reply.and_then(|frame| Digest::try_from(frame).ok());
            Probe { target, sent: now, reply }
        });
    }

    /// Adds the age of the confirmation of the configuration.
    fn with_age(&self, mut digest: Digest) -> Digest {
        let now = self.clock.now();
        let confirmed = *self.confirmed.borrow();
        digest.confirmed_age_ms = confirmed
            .filter(|(version, _)| *version == self.view.me().config_version)
            .and_then(|(_, at)| u64::try_from(now.since(at).as_millis()).ok());
        digest
    }

    fn finish(&mut self, probe: Probe) {
        let now = self.clock.now();
        let Some(reply) = probe.reply else {
            let suspect = probe.target.name.and_then(|name| self.view.failed(now, &name));
            if let Some(member) = suspect {
                self.log_change("member_suspect", &member);
            }
            return self.publish();
        };
        self.view.answered(now);
        self.hear(&reply, Some(probe.sent));
        self.merge(now, reply);
    }

    /// Passes on what the peer says about its configuration. Only an answer to a call of this
    /// daemon proves an age, since a request may have been on its way for long.
    fn hear(&self, digest: &Digest, sent: Option<Instant>) {
        let Some(peer) = digest.members.first() else { return };
        let age = digest.confirmed_age_ms.map(Duration::from_millis);
        let at = sent.zip(age).map(|(sent, age)| sent.before(age));
        let heard = config::task::Command::Heard { version: peer.config_version, at };
        // Fails only while the daemon stops.
        let _ = self.output.heard.send(heard);
    }

    fn merge(&mut self, now: Instant, digest: Digest) {
        let (view, full) = (digest.view, digest.full);
        for member in self.view.merge(now, digest.members) {
            self.log_change(event_of(member.condition), &member);
        }
        self.view.compare(now, view, full);
        self.publish();
    }

    fn command(&mut self, command: Command) {
        match command {
            Command::Digest(digest, reply) => {
                self.hear(&digest, None);
                let full = digest.full;
                let peer = digest.members.first().map(|member| member.name.clone());
                self.merge(self.clock.now(), digest);
                // Fails only if the caller has given up.
                let answer = self.view.digest(peer.as_deref(), full);
                let _ = reply.send(self.with_age(answer));
            }
            Command::Draining(draining) => self.view.set_draining(draining),
            Command::ConfigVersion(version) => self.view.set_config_version(version),
        }
        self.publish();
    }

    fn publish(&mut self) {
        let states = self.view.states();
        let candidates = |states: &[State]| -> Arc<[String]> {
            let role = self.view.me().role;
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
            if let Some(budget) = &self.budget {
                budget.set_members(live);
            }
            self.metrics.fleet(live, self.budget.as_ref().map_or(0, Budget::limited));
        }
        if let Some(budget) = self.budget.as_ref().filter(|_| self.view.is_settled()) {
            budget.settle(self.output.members.borrow().iter().filter(|state| state.live).count());
        }
        let majority = self.view.majority(self.clock.now());
        self.output.majority.send_if_modified(|current| {
            let changed = *current != majority;
            *current = majority;
            changed
        });
    }

    fn log_change(&self, event: &'static str, member: &Member) {
        self.metrics.member(event);
        Line::new(event)
            .with("member", &member.name)
            .with("zone", &member.zone)
            .with("incarnation", member.incarnation)
            .with("revision", member.revision)
            .info();
    }

    /// Tells a few daemons of the planned stop, so that nobody has to suspect this one.
    async fn say_farewell(&mut self) {
        self.view.leave();
        let mut calls = JoinSet::new();
        for _ in 0..FAREWELLS {
            let Some(target) = self.view.target(&mut self.probes.rng) else { break };
            let digest = self.view.digest(target.name.as_deref(), false);
            let peers = self.peers.clone();
            calls.spawn(async move {
                peers.ask(target.address, Frame::Digest(digest), FAREWELL_TIMEOUT).await
            });
        }
        // Daemons that do not hear of it find out by their probes.
        let _ = timeout(FAREWELL_TIMEOUT, calls.join_all()).await;
    }
}

fn event_of(condition: Condition) -> &'static str {
    match condition {
        Condition::Live => "member_live",
        Condition::Suspect => "member_suspect",
        Condition::Gone => "member_gone",
        Condition::Left => "member_left",
    }
}
