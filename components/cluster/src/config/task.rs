//! Task that keeps the active configuration up to date.

use std::{sync::Arc, time::Duration};

use filbertsail_api::table::{Query, Row};
use filbertsail_clock::{Instant, Source};
use filbertsail_ports::table::Table;
use filbertsail_telemetry::event::Line;
use filbertsail_wire::frame::{Config, Frame, Hint, Pull};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use serde::de::DeserializeOwned;
use tokio::{
    sync::{mpsc, oneshot, watch},
    task::JoinSet,
    time::sleep,
};
use tokio_util::sync::CancellationToken;

use super::{HEAD, Head, Snapshot, Version, follower::Follower, key};
use crate::{
    member::{self, State},
    metrics::Metrics,
    peers::Pool,
};

/// Longest time between two polls of the head row; the shortest is half of it.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(2_500);
/// Longest delay of the poll after a hint, so that not all daemons read the table at once.
const MAX_HINT_DELAY: Duration = Duration::from_millis(400);
/// Time between two checks of readiness.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Peers that receive a hint of a new version.
const HINT_FANOUT: usize = 3;
/// Random peers asked for their configuration at a time.
const PULL_FANOUT: usize = 3;
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Command to the task.
pub(crate) enum Command {
    /// A peer knows `version`; `at` is when it was the highest, if known.
    VersionReported { version: u64, at: Option<Instant> },
    /// Request of a peer for the configuration, and where to send the reply.
    Pull(Pull, oneshot::Sender<Config>),
    /// This daemon wrote a new version.
    Wrote(Arc<Snapshot>),
    /// Whether a graceful shutdown is in progress.
    Draining(bool),
}

/// Result of a table or peer call.
enum Outcome {
    /// Head as read at `sent_at`, and its snapshot if newer than the active one.
    Polled { sent_at: Instant, head: Option<Head>, snapshot: Option<Arc<Snapshot>> },
    /// The table could not be read or its rows are invalid.
    Failed(String),
    /// Configuration of a peer that was asked at `sent_at`.
    Pulled { sent_at: Instant, config: Option<Config> },
    /// A hint was sent to a peer.
    Hinted,
}

/// Channels on which the task publishes its state.
pub(crate) struct Output {
    pub(crate) config: watch::Sender<Option<Arc<Snapshot>>>,
    pub(crate) confirmed: watch::Sender<Option<(u64, Instant)>>,
    pub(crate) ready: watch::Sender<bool>,
    pub(crate) table_reachable: watch::Sender<bool>,
    pub(crate) member_commands: mpsc::UnboundedSender<member::task::Command>,
}

pub(crate) struct Task<T, C> {
    pub(crate) table: T,
    pub(crate) clock: C,
    pub(crate) peers: Pool,
    pub(crate) members: watch::Receiver<Arc<[State]>>,
    pub(crate) reachable_and_known: watch::Receiver<(usize, usize)>,
    pub(crate) metrics: Metrics,
    pub(crate) output: Output,
    pub(crate) work: Work,
}

/// Mutable state of the task.
pub(crate) struct Work {
    follower: Follower,
    rng: StdRng,
    calls: JoinSet<Outcome>,
    poll_at: Instant,
    polling: bool,
    pulling: usize,
    draining: bool,
}

impl Work {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            follower: Follower::default(),
            rng: StdRng::seed_from_u64(seed),
            calls: JoinSet::new(),
            poll_at: Instant::default(),
            polling: false,
            pulling: 0,
            draining: false,
        }
    }
}

impl<T: Table, C: Source> Task<T, C> {
    pub(crate) async fn run(
        mut self,
        mut commands: mpsc::UnboundedReceiver<Command>,
        stop: CancellationToken,
    ) {
        loop {
            self.start_due_poll();
            tokio::select! {
                () = stop.cancelled() => break,
                () = sleep(self.pause()) => {}
                Some(outcome) = self.work.calls.join_next() => {
                    if let Ok(outcome) = outcome {
                        self.on_outcome(outcome);
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => break,
                },
            }
        }
        self.output.ready.send_replace(false);
    }

    fn pause(&self) -> Duration {
        let poll = self.work.poll_at.since(self.clock.now());
        if self.work.polling {
            READINESS_CHECK_INTERVAL
        } else {
            poll.min(READINESS_CHECK_INTERVAL)
        }
    }

    fn start_due_poll(&mut self) {
        let now = self.clock.now();
        if !self.work.polling && now >= self.work.poll_at {
            self.start_poll(now);
        }
        self.output.confirmed.send_replace(self.work.follower.confirmed());
        let (reachable, known) = *self.reachable_and_known.borrow();
        let ready = !self.work.draining && self.work.follower.is_ready(now, 2 * reachable > known);
        let changed = self.output.ready.send_if_modified(|current| {
            let changed = *current != ready;
            *current = ready;
            changed
        });
        if changed {
            Line::new("ready")
                .with("ready", ready)
                .with("confirmed", self.work.follower.is_confirmed(now))
                .with("seen", reachable)
                .with("known", known)
                .info();
        }
    }

    fn start_poll(&mut self, now: Instant) {
        self.work.polling = true;
        let (table, have) = (self.table.clone(), self.work.follower.version());
        self.work.calls.spawn(async move { poll(&table, have, now).await });
    }

    fn schedule_poll(&mut self) {
        let share = self.work.rng.random_range(0.5..1.0);
        self.work.poll_at = self.clock.now().after(MAX_POLL_INTERVAL.mul_f64(share));
    }

    /// Schedules an early poll after a hint of a newer version.
    fn schedule_early_poll(&mut self) {
        let share = self.work.rng.random_range(0.0..1.0);
        let soon = self.clock.now().after(MAX_HINT_DELAY.mul_f64(share));
        self.work.poll_at = self.work.poll_at.min(soon);
    }

    fn on_outcome(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Polled { sent_at, head, snapshot } => {
                self.on_polled();
                self.output.table_reachable.send_replace(true);
                let version = head.map_or(0, |head| head.version);
                if let Some(snapshot) = snapshot {
                    self.activate(snapshot, "table");
                }
                self.work.follower.observe_version(version, Some(sent_at));
            }
            Outcome::Failed(reason) => {
                self.on_polled();
                if self.output.table_reachable.send_replace(false) {
                    Line::new("config_poll_failed").with("reason", reason).warn();
                }
                if self.work.follower.is_behind() || self.work.follower.version() == 0 {
                    self.pull_from_peers();
                }
            }
            Outcome::Pulled { sent_at, config } => {
                self.work.pulling -= 1;
                if let Some(config) = config {
                    self.on_pulled(sent_at, &config);
                }
            }
            Outcome::Hinted => {}
        }
    }

    fn on_polled(&mut self) {
        self.work.polling = false;
        self.schedule_poll();
    }

    fn on_pulled(&mut self, sent_at: Instant, config: &Config) {
        if config.version > self.work.follower.version() && !config.text.is_empty() {
            match Snapshot::parse(config.version, &config.digest, &config.text) {
                Ok(snapshot) => self.activate(Arc::new(snapshot), "peer"),
                Err(reason) => Line::new("config_rejected").with("reason", reason).error(),
            }
        }
        let age = config.confirmed_age_ms.map(Duration::from_millis);
        self.work.follower.observe_version(config.version, age.map(|age| sent_at.before(age)));
    }

    fn activate(&mut self, snapshot: Arc<Snapshot>, source: &'static str) {
        let (version, digest) = (snapshot.version, snapshot.digest.clone());
        if !self.work.follower.activate(snapshot) {
            return;
        }
        self.output.config.send_replace(self.work.follower.active().cloned());
        // Fails only if the daemon is stopping.
        let _ = self.output.member_commands.send(member::task::Command::ConfigVersion(version));
        self.metrics.record_config_version(version, source);
        Line::new("config_in_force")
            .with("version", version)
            .with("digest", digest)
            .with("source", source)
            .info();
        self.send_hints(version);
    }

    fn send_hints(&mut self, version: u64) {
        let members = self.members.borrow().clone();
        let behind: Vec<_> = members
            .iter()
            .skip(1)
            .filter(|member| member.live && member.config_version < version)
            .map(|member| member.address)
            .collect();
        for address in behind.sample(&mut self.work.rng, HINT_FANOUT).copied() {
            let peers = self.peers.clone();
            self.work.calls.spawn(async move {
                peers.call(address, Frame::Hint(Hint { version }), PEER_CALL_TIMEOUT).await;
                Outcome::Hinted
            });
        }
    }

    /// Requests the configuration from a few random peers and one that has the highest version.
    fn pull_from_peers(&mut self) {
        if self.work.pulling > 0 {
            return;
        }
        let members = self.members.borrow().clone();
        let live: Vec<_> = members.iter().skip(1).filter(|member| member.live).collect();
        let mut asked: Vec<_> = live.sample(&mut self.work.rng, PULL_FANOUT).copied().collect();
        asked.extend(live.iter().copied().max_by_key(|member| member.config_version));
        asked.dedup();
        let have = self.work.follower.version();
        for address in asked.iter().map(|member| member.address) {
            let (peers, sent_at) = (self.peers.clone(), self.clock.now());
            self.work.pulling += 1;
            self.work.calls.spawn(async move {
                let reply =
                    peers.call(address, Frame::Pull(Pull { have }), PEER_CALL_TIMEOUT).await;
                let config = reply.and_then(|frame| Config::try_from(frame).ok());
                Outcome::Pulled { sent_at, config }
            });
        }
    }

    fn handle_command(&mut self, command: Command) {
        match command {
            Command::VersionReported { version, at } => {
                self.work.follower.observe_version(version, at);
                if self.work.follower.is_behind() {
                    self.schedule_early_poll();
                }
            }
            Command::Pull(pull, reply) => {
                // Fails only if the caller no longer waits.
                let _ = reply.send(self.answer_pull(&pull));
            }
            Command::Wrote(snapshot) => self.activate(snapshot, "apply"),
            Command::Draining(draining) => self.work.draining = draining,
        }
    }

    fn answer_pull(&self, pull: &Pull) -> Config {
        let now = self.clock.now();
        let follower = &self.work.follower;
        let current = follower.active();
        let newer = current.filter(|current| current.version > pull.have);
        let age = follower.confirmed().map(|(_, at)| now.since(at));
        Config {
            version: follower.version(),
            digest: current.map_or_else(String::new, |current| current.digest.clone()),
            text: newer.map_or_else(String::new, |current| current.text.to_string()),
            confirmed_age_ms: age.and_then(|age| u64::try_from(age.as_millis()).ok()),
        }
    }
}

async fn poll<T: Table>(table: &T, have: u64, sent_at: Instant) -> Outcome {
    let rows = match table.read(Query { keys: vec![HEAD.to_owned()] }).await {
        Ok(rows) => rows,
        Err(error) => return Outcome::Failed(error.to_string()),
    };
    let head = match value::<Head>(&rows) {
        Ok(head) => head,
        Err(error) => return Outcome::Failed(error),
    };
    let Some(newer) = head.as_ref().filter(|head| head.version > have) else {
        return Outcome::Polled { sent_at, head, snapshot: None };
    };
    match read_version(table, newer.version).await {
        Ok(snapshot) => Outcome::Polled { sent_at, head, snapshot: Some(Arc::new(snapshot)) },
        Err(error) => Outcome::Failed(error),
    }
}

async fn read_version<T: Table>(table: &T, version: u64) -> Result<Snapshot, String> {
    let rows = table.read(Query { keys: vec![key(version)] }).await;
    let rows = rows.map_err(|error| error.to_string())?;
    let row = value::<Version>(&rows)?
        .ok_or_else(|| format!("row {} of version {version} is missing", key(version)))?;
    Snapshot::parse(row.version, &row.digest, &row.text)
}

/// Decodes the value of the first row, if any.
pub(super) fn value<V: DeserializeOwned>(rows: &[Row]) -> Result<Option<V>, String> {
    let row = rows.first().map(|row| serde_json::from_value(row.value.clone()));
    row.transpose().map_err(|error| error.to_string())
}
