//! Start and graceful shutdown of the daemon.

mod handler;

use std::{net::SocketAddr, time::Duration};

use eyre::WrapErr;
use filbertsail_http::server::{self, Limits};
use filbertsail_ports::{duty::Platform, store::Store};
use filbertsail_telemetry::event::Line;
use handler::{Ingress, Readiness, Scrape};
use tokio::{
    net::TcpListener,
    sync::{oneshot, watch},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    access,
    batch::{calls::Calls, listing::Directory, rows, task},
    config,
    dialect::Dialect,
    duty::{self, LEASE_TABLE, USAGE_TABLE, scaling::SCALING_TABLE},
    follow,
    relay::{self, PEERS_TABLE, Peers, Relay, Tables},
    shared::{Identity, Shared, Times},
    stop::Schedule,
    timed::Timed,
    weights,
};

/// Limits of the callers' port before a configuration is known, and of the other ports.
const DEFAULT_LIMITS: Limits = Limits {
    header_timeout: Duration::from_secs(5),
    max_header_bytes: 32 * 1024,
    max_body_bytes: 64 * 1024 * 1024,
    idle_timeout: Duration::from_secs(60),
    stall_timeout: Duration::from_secs(30),
    min_bytes_per_s: 1_024,
    max_connections: 4_096,
};

/// Settings of a daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    pub identity: Identity,
    pub times: Times,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the port for other VMs.
    pub peers: SocketAddr,
    /// Address of the metrics port.
    pub metrics: SocketAddr,
    /// Address of the port for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Duties at the platform; absent if there are none.
    pub duties: Option<duty::Settings>,
}

/// Running daemon.
#[derive(Debug)]
pub struct Handle {
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Bound address of the readiness port.
    pub readiness: SocketAddr,
    pub shared: Shared,
    /// Other VMs, through which the store can be called.
    pub peers: Peers,
    task: tokio::task::JoinHandle<()>,
}

impl Handle {
    /// Waits until the daemon has shut down.
    ///
    /// # Errors
    /// Fails if the daemon's task panicked.
    pub async fn join(self) -> eyre::Result<()> {
        self.task.await.wrap_err("daemon task failed")
    }
}

/// Serves the metrics. If the port is taken, the daemon runs without them.
async fn serve_metrics(shared: &Shared, address: SocketAddr) {
    match TcpListener::bind(address).await {
        Ok(listener) => {
            let handler = Scrape::new(shared.clone());
            tokio::spawn(server::serve(
                listener,
                DEFAULT_LIMITS,
                handler,
                CancellationToken::new(),
            ));
        }
        Err(error) => {
            Line::new("metrics_failed").with("address", address).with("reason", error).error();
        }
    }
}

/// Limits of the callers' port, updated with each configuration.
fn follow_limits(shared: &Shared) -> watch::Receiver<Limits> {
    let (sender, limits) = watch::channel(DEFAULT_LIMITS);
    let mut config = shared.config.subscribe();
    tokio::spawn(async move {
        while config.changed().await.is_ok() {
            let configured = config.borrow_and_update().as_ref().map(|config| config.limits);
            if let Some(configured) = configured {
                sender.send_replace(port_limits(&configured));
            }
        }
    });
    limits
}

/// Limits of the callers' port from the limits of a configuration.
fn port_limits(configured: &config::Limits) -> Limits {
    Limits {
        header_timeout: configured.header_timeout,
        max_header_bytes: configured.header_bytes,
        max_body_bytes: configured.body_bytes,
        idle_timeout: configured.idle_timeout,
        ..DEFAULT_LIMITS
    }
}

/// Tables that relayed calls may access.
const fn relayed_tables<D: Dialect>() -> &'static [&'static str] {
    const {
        &[
            rows::BATCHES_TABLE,
            rows::BODIES_TABLE,
            rows::RESULTS_TABLE,
            rows::PARTIALS_TABLE,
            rows::LOADS_TABLE,
            LEASE_TABLE,
            SCALING_TABLE,
            PEERS_TABLE,
            D::OPERATOR_TABLE,
            D::WORKER_TABLE,
            // Calls name the position of their table, so that new ones go last.
            USAGE_TABLE,
        ]
    }
}

/// Starts a daemon, which shuts down gracefully after `stop` is cancelled.
///
/// # Errors
/// Fails if the metrics cannot be registered, or a port other than that of the metrics cannot be
/// bound.
pub async fn start<D: Dialect, S: Store, P: Platform>(
    settings: Settings,
    store: S,
    platform: P,
    stop: CancellationToken,
) -> eyre::Result<Handle> {
    let shared = Shared::new(settings.identity, settings.times)?;
    let bind = |address: SocketAddr| async move {
        TcpListener::bind(address).await.wrap_err_with(|| format!("cannot bind {address}"))
    };
    let (ingress, readiness) = (bind(settings.callers).await?, bind(settings.readiness).await?);
    let peer_listener = bind(settings.peers).await?;
    let peers = Peers::new(&shared.identity.vm);
    let tables = Tables(relayed_tables::<D>());
    let direct = store;
    let store = Timed::new(Relay::new(direct.clone(), peers.clone(), tables), shared.clone());
    let peers_task = relay::run(
        shared.clone(),
        direct,
        peers.clone(),
        tables,
        peer_listener,
        CancellationToken::new(),
    );
    let peers_task = tokio::spawn(peers_task);
    let (callers, ready) = (ingress.local_addr()?, readiness.local_addr()?);
    Line::new("started")
        .with("vm", &shared.identity.vm)
        .with("zone", &shared.identity.zone)
        .with("incarnation", format!("{:016x}", shared.identity.incarnation))
        .with("callers", callers)
        .with("readiness", ready)
        .info();
    tokio::spawn(follow::operator::<D, _>(shared.clone(), store.clone()));
    tokio::spawn(access::run::<D, _>(shared.clone(), store.clone(), peers.clone()));
    tokio::spawn(follow::workers::<D, _>(shared.clone(), store.clone()));
    let directory = Directory::default();
    let task = task::start::<D, _>(shared.clone(), store.clone(), directory.clone(), peers.clone());
    let weights = tokio::spawn(weights::run::<D, _>(shared.clone(), store.clone(), peers.clone()));
    let duties = settings.duties.map(|duties| {
        let context = duty::Context {
            shared: shared.clone(),
            store: store.clone(),
            peers: peers.clone(),
            platform,
            settings: duties,
        };
        tokio::spawn(duty::run(context))
    });
    let calls = Calls { shared: shared.clone(), store, directory, task: task.clone() };
    let closed = CancellationToken::new();
    let ingress = tokio::spawn(server::serve_with_dynamic_limits(
        ingress,
        None,
        follow_limits(&shared),
        Ingress::<D, Timed<Relay<S>>>::new(calls),
        closed.clone(),
    ));
    serve_metrics(&shared, settings.metrics).await;
    let ready_handler = Readiness::<D>::new(shared.clone());
    let ready_task = tokio::spawn(server::serve(
        readiness,
        DEFAULT_LIMITS,
        ready_handler,
        CancellationToken::new(),
    ));
    let state = shared.clone();
    let run = async move {
        stop.cancelled().await;
        let start = state.now();
        Line::new("stopping").with("vm", &state.identity.vm).info();
        state.stopping.send_replace(true);
        let schedule = Schedule::new(start, state.times.stop_limit);
        state.stop.send_replace(Some(schedule));
        let (done, handed_over) = oneshot::channel();
        // The task lives as long as the process, so the send cannot fail.
        let _ = task.send(task::Command::HandOver(done));
        // A slow store must not keep the port open: requests would be taken that cannot end.
        let port = async {
            sleep(schedule.closes_at.since(state.now())).await;
            closed.cancel();
            ingress.await
        };
        let drain = async {
            // Proceeds in the same way if the handover or the weights task has failed.
            let _ = tokio::join!(handed_over, weights, port);
            state.usage.close();
            if let Some(duties) = duties {
                // A panic in a duty must not prevent the exit.
                let _ = duties.await;
            }
        };
        let finished = timeout(schedule.exits_at.since(start), drain).await.is_ok();
        ready_task.abort();
        peers_task.abort();
        Line::new("stopped")
            .with("vm", &state.identity.vm)
            .with("finished", finished)
            .with("took_ms", state.now().since(start).as_millis())
            .info();
    };
    Ok(Handle { callers, readiness: ready, shared, peers, task: tokio::spawn(run) })
}
