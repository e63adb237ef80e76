//! Start and graceful stop of a gateway.

mod start;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use eyre::WrapErr;
use filbertsail_cluster::config::Snapshot;
use filbertsail_config::settings::Settings;
use filbertsail_routing::policy::{Policy, Production};
use filbertsail_telemetry::event::Line;
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{context::Context, gate::Gate, ports::Agent, router::Router};

/// Time between "not ready" and the end of accepting, for the load balancer to notice.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Running gateway.
#[derive(Debug)]
pub struct Handle {
    /// Callers' port.
    pub callers: SocketAddr,
    /// Admin port.
    pub admin: SocketAddr,
    /// Peer port.
    pub peers: SocketAddr,
    task: JoinHandle<()>,
}

impl Handle {
    /// Waits for the end of a graceful stop.
    ///
    /// # Errors
    /// Fails if a task panicked.
    pub async fn join(self) -> eyre::Result<()> {
        self.task.await.wrap_err("gateway task")
    }
}

/// Starts a gateway; it ends gracefully after `stop`.
///
/// # Errors
/// Fails if a key file cannot be read or a port cannot be bound.
pub async fn start(settings: Settings, stop: CancellationToken) -> eyre::Result<Handle> {
    start_with(settings, Production, stop).await
}

/// Starts a gateway with another routing policy, for comparisons.
///
/// # Errors
/// Fails if a key file cannot be read or a port cannot be bound.
pub async fn start_with<P: Policy + Send + Sync + 'static>(
    settings: Settings,
    policy: P,
    stop: CancellationToken,
) -> eyre::Result<Handle> {
    let parts = start::parts(&settings, policy).await?;
    let (callers, admin, peers) = (parts.callers, parts.admin, parts.peers);
    Line::new("listening")
        .with("gateway", &settings.name)
        .with("callers", callers)
        .with("admin", admin)
        .with("peers", peers)
        .info();
    Ok(Handle { callers, admin, peers, task: tokio::spawn(parts.run(stop)) })
}

/// What a stop needs.
struct Parts {
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
    context: Context,
    gate: Gate,
    agent: Agent,
    agent_stop: CancellationToken,
    listeners: CancellationToken,
    servers: JoinSet<()>,
    admin_stop: CancellationToken,
    admin_server: JoinHandle<()>,
    background: JoinSet<()>,
}

impl Parts {
    /// Serves until `stop`, then ends without interrupting a request.
    async fn run(mut self, stop: CancellationToken) {
        stop.cancelled().await;
        Line::new("draining").info();
        self.gate.stop();
        self.agent.set_draining(true);
        time::sleep(DRAIN_GRACE).await;
        self.listeners.cancel();
        while self.servers.join_next().await.is_some() {}
        self.context.tasks.close();
        self.context.tasks.wait().await;
        self.background.shutdown().await;
        self.agent_stop.cancel();
        self.agent.join().await;
        self.admin_stop.cancel();
        // Fails only if the server panicked.
        let _ = self.admin_server.await;
        Line::new("stopped").info();
    }
}

/// Puts each configuration in force.
async fn follow(mut configs: watch::Receiver<Option<Arc<Snapshot>>>, router: Router, gate: Gate) {
    loop {
        let config = configs.borrow_and_update().clone();
        if let Some(config) = config {
            router.set_config(config).await;
            gate.set_in_force();
        }
        if configs.changed().await.is_err() {
            return;
        }
    }
}
