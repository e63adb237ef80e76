//! Agent that makes a daemon a member of the fleet: membership, configuration and leases.

mod handle;

use std::{net::SocketAddr, sync::Arc};

use filbertsail_clock::{Boot, Source};
use filbertsail_ports::{rate::Limiter, table::Table};
use filbertsail_telemetry::metrics::Registry;
use filbertsail_wire::{
    frame::{Condition, Hello, Member, Role},
    link::auth::Key,
};
use tokio::sync::{mpsc, watch};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{config, lease, member, metrics::Metrics, peers::Pool, token::Tokens};

pub use handle::Handle;

/// Version of the peer protocol.
const PROTOCOL: u16 = 1;

/// Identity of the daemon within the fleet.
#[derive(Clone)]
pub struct Identity {
    /// Daemon name, unique in the fleet.
    pub name: String,
    pub role: Role,
    pub zone: String,
    /// Address at which other daemons reach its peer port.
    pub address: SocketAddr,
    /// Number that rises with each start of the daemon, such as its start time.
    pub incarnation: u64,
    /// Key with which daemons authenticate each other.
    pub key: Key,
}

impl Identity {
    fn hello(&self) -> Hello {
        Hello {
            protocol: PROTOCOL,
            name: self.name.clone(),
            incarnation: self.incarnation,
            zone: self.zone.clone(),
            address: self.address,
            sent_at_ms: 0,
            nonce: [0; 16],
        }
    }

    fn member(&self) -> Member {
        Member {
            name: self.name.clone(),
            role: self.role,
            zone: self.zone.clone(),
            address: self.address,
            incarnation: self.incarnation,
            revision: 0,
            condition: Condition::Live,
            draining: false,
            config_version: 0,
        }
    }
}

/// Settings of the agent.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Peer ports of the daemons to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Durations that govern leases.
    pub lease: lease::Timing,
    /// Rate limiter of table calls; its rate is divided by the number of live daemons.
    pub limiter: Option<Limiter>,
    /// Registry for the metrics of the agent; without it none are recorded.
    pub metrics: Option<Registry>,
}

/// Starts the agent with the boot-time clock of the VM.
pub fn start<T: Table>(
    identity: Identity,
    settings: Settings,
    table: T,
    stop: CancellationToken,
) -> Handle<T> {
    start_with_clock(identity, settings, table, Boot, stop)
}

/// Starts the agent with the given clock.
pub fn start_with_clock<T: Table, C: Source>(
    identity: Identity,
    settings: Settings,
    table: T,
    clock: C,
    stop: CancellationToken,
) -> Handle<T> {
    let (member_commands_tx, member_commands_rx) = mpsc::unbounded_channel();
    let (config_commands_tx, config_commands_rx) = mpsc::unbounded_channel();
    let (lease_commands_tx, lease_commands_rx) = mpsc::unbounded_channel();
    let view = member::view::View::new(identity.member(), settings.seeds);
    let (members, members_rx) = watch::channel(view.states());
    let (candidates, candidates_rx) = watch::channel(Arc::from([]));
    let (reachable_and_known, reachable_and_known_rx) = watch::channel((1, 1));
    let (config, config_rx) = watch::channel(None);
    let (confirmed, confirmed_rx) = watch::channel(None);
    let (ready, ready_rx) = watch::channel(false);
    let (table_reachable, table_reachable_rx) = watch::channel(true);
    let tokens = Arc::new(Tokens::new(&identity.name, identity.incarnation));
    let peers = Pool::new(identity.key.clone(), identity.hello());
    let seed = crate::subset::score(&identity.name, &identity.incarnation.to_string());
    let metrics = Metrics::new(settings.metrics.as_ref());
    let tasks = TaskTracker::new();
    let member = member::task::Task {
        view,
        clock: clock.clone(),
        peers: peers.clone(),
        limiter: settings.limiter,
        metrics: metrics.clone(),
        confirmed: confirmed_rx,
        output: member::task::Output {
            members,
            candidates,
            reachable_and_known,
            config_commands: config_commands_tx.clone(),
        },
        probes: member::task::Probes::new(seed),
    };
    // Membership stops last: its final digests announce the stop, and leases are released first.
    let membership_stop = CancellationToken::new();
    tasks.spawn(member.run(member_commands_rx, membership_stop.clone()));
    let follower = config::task::Task {
        table: table.clone(),
        clock: clock.clone(),
        peers: peers.clone(),
        members: members_rx.clone(),
        reachable_and_known: reachable_and_known_rx.clone(),
        metrics: metrics.clone(),
        output: config::task::Output {
            config,
            confirmed,
            ready,
            table_reachable,
            member_commands: member_commands_tx.clone(),
        },
        work: config::task::Work::new(seed),
    };
    tasks.spawn(follower.run(config_commands_rx, stop.clone()));
    let leases = lease::task::Task {
        name: identity.name,
        incarnation: identity.incarnation,
        timing: settings.lease,
        table: table.clone(),
        clock,
        tokens: Arc::clone(&tokens),
        candidates: candidates_rx,
        metrics,
        work: lease::task::Work::default(),
    };
    tasks.spawn(async move {
        leases.run(lease_commands_rx, stop).await;
        membership_stop.cancel();
    });
    tasks.close();
    Handle {
        fence: lease::fence::Fence::new(table.clone()),
        table,
        tokens,
        tasks,
        peers,
        member_commands: member_commands_tx,
        config_commands: config_commands_tx,
        lease_commands: lease_commands_tx,
        config: config_rx,
        members: members_rx,
        reachable_and_known: reachable_and_known_rx,
        ready: ready_rx,
        table_reachable: table_reachable_rx,
    }
}
