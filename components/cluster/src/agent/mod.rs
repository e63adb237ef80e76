//! Part of a daemon that takes part in the fleet.

mod handle;

use std::{net::SocketAddr, sync::Arc};

use filbertsail_clock::{Boot, Source};
use filbertsail_ports::{budget::Budget, table::Table};
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

/// Who the daemon is.
#[derive(Clone)]
pub struct Identity {
    /// Daemon name, unique in the fleet.
    pub name: String,
    /// Role.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Peer port at which others reach it.
    pub address: SocketAddr,
    /// Rises with each start of the daemon, such as its start time.
    pub incarnation: u64,
    /// Cluster key.
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

/// How the daemon takes part.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Peer ports to contact first.
    pub seeds: Vec<SocketAddr>,
    /// Times of leases.
    pub lease: lease::Times,
    /// Budget whose share follows from the number of live daemons.
    pub budget: Option<Budget>,
    /// Where metrics go.
    pub metrics: Option<Registry>,
}

/// Starts the agent with the clock of the VM.
pub fn start<T: Table>(
    identity: Identity,
    settings: Settings,
    table: T,
    stop: CancellationToken,
) -> Handle<T> {
    start_with_clock(identity, settings, table, Boot, stop)
}

/// Starts the agent with any clock.
pub fn start_with_clock<T: Table, C: Source>(
    identity: Identity,
    settings: Settings,
    table: T,
    clock: C,
    stop: CancellationToken,
) -> Handle<T> {
    let (member_in, member_commands) = mpsc::unbounded_channel();
    let (config_in, config_commands) = mpsc::unbounded_channel();
    let (lease_in, lease_commands) = mpsc::unbounded_channel();
    let view = member::view::View::new(identity.member(), settings.seeds);
    let (members, members_out) = watch::channel(view.states());
    let (candidates, candidates_out) = watch::channel(Arc::from([]));
    let (majority, majority_out) = watch::channel((1, 1));
    let (config, config_out) = watch::channel(None);
    let (confirmed, confirmed_out) = watch::channel(None);
    let (ready, ready_out) = watch::channel(false);
    let (reachable, reachable_out) = watch::channel(true);
    let tokens = Arc::new(Tokens::new(&identity.name, identity.incarnation));
    let peers = Pool::new(identity.key.clone(), identity.hello());
    let seed = crate::subset::score(&identity.name, &identity.incarnation.to_string());
    let metrics = Metrics::new(settings.metrics.as_ref());
    let tasks = TaskTracker::new();
    let member = member::task::Task {
        view,
        clock: clock.clone(),
        peers: peers.clone(),
        budget: settings.budget,
        metrics: metrics.clone(),
        confirmed: confirmed_out,
        output: member::task::Output { members, candidates, majority, heard: config_in.clone() },
        probes: member::task::Probes::new(seed),
    };
    // The last digest tells the others of the stop, so leases are released first.
    let farewell = CancellationToken::new();
    tasks.spawn(member.run(member_commands, farewell.clone()));
    let follower = config::task::Task {
        table: table.clone(),
        clock: clock.clone(),
        peers: peers.clone(),
        members: members_out.clone(),
        majority: majority_out.clone(),
        metrics: metrics.clone(),
        output: config::task::Output {
            config,
            confirmed,
            ready,
            reachable,
            version: member_in.clone(),
        },
        work: config::task::Work::new(seed),
    };
    tasks.spawn(follower.run(config_commands, stop.clone()));
    let leases = lease::task::Task {
        name: identity.name,
        incarnation: identity.incarnation,
        times: settings.lease,
        table: table.clone(),
        clock,
        tokens: Arc::clone(&tokens),
        candidates: candidates_out,
        metrics,
        work: lease::task::Work::default(),
    };
    tasks.spawn(async move {
        leases.run(lease_commands, stop).await;
        farewell.cancel();
    });
    tasks.close();
    Handle {
        gate: lease::gate::Gate::new(table.clone()),
        table,
        tokens,
        tasks,
        peers,
        member: member_in,
        follower: config_in,
        leases: lease_in,
        config: config_out,
        members: members_out,
        majority: majority_out,
        ready: ready_out,
        reachable: reachable_out,
    }
}
