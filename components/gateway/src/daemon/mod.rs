//! Start and graceful shutdown of a gateway daemon.

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

use crate::{context::Context, ports::Agent, readiness::Readiness, router::Router};

/// Time between turning "not ready" and closing the listeners, for the load balancer to notice.
pub const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Handle of a running gateway.
#[derive(Debug)]
pub struct Handle {
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Address of the peer port.
    pub peers: SocketAddr,
    task: JoinHandle<()>,
}

impl Handle {
    /// Waits until the gateway has stopped.
    ///
    /// # Errors
    /// Fails if a task panicked.
    pub async fn join(self) -> eyre::Result<()> {
        self.task.await.wrap_err("gateway task panicked")
    }
}

/// Starts a gateway, which shuts down gracefully once `stop` is cancelled.
///
/// # Errors
/// Fails if a file named in the settings cannot be loaded or a port cannot be bound.
pub async fn start(settings: Settings, stop: CancellationToken) -> eyre::Result<Handle> {
    start_with(settings, Production, stop).await
}

/// Starts a gateway with a given routing policy, to compare policies.
///
/// # Errors
/// Fails if a file named in the settings cannot be loaded or a port cannot be bound.
pub async fn start_with<P: Policy + Send + Sync + 'static>(
    settings: Settings,
    policy: P,
    stop: CancellationToken,
) -> eyre::Result<Handle> {
    let components = start::build(&settings, policy).await?;
    let (callers, admin, peers) = (components.callers, components.admin, components.peers);
    Line::new("listening")
        .with("gateway", &settings.name)
        .with("callers", callers)
        .with("admin", admin)
        .with("peers", peers)
        .info();
    Ok(Handle { callers, admin, peers, task: tokio::spawn(components.run(stop)) })
}

/// Components that a graceful shutdown stops.
struct Components {
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
    context: Context,
    readiness: Readiness,
    agent: Agent,
    agent_stop: CancellationToken,
    listener_stop: CancellationToken,
    servers: JoinSet<()>,
    admin_stop: CancellationToken,
    admin_server: JoinHandle<()>,
    background: JoinSet<()>,
}

impl Components {
    /// Serves until `stop` is cancelled, then shuts down without interrupting a request.
    async fn run(mut self, stop: CancellationToken) {
        stop.cancelled().await;
        Line::new("draining").info();
        self.readiness.begin_stop();
        self.agent.set_draining(true);
        time::sleep(DRAIN_GRACE).await;
        self.listener_stop.cancel();
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

/// Applies each configuration to the router as it becomes active.
async fn apply_configs(
    mut configs: watch::Receiver<Option<Arc<Snapshot>>>,
    router: Router,
    readiness: Readiness,
) {
    loop {
        let config = configs.borrow_and_update().clone();
        if let Some(config) = config {
            router.set_config(config).await;
            readiness.set_configured();
        }
        if configs.changed().await.is_err() {
            return;
        }
    }
}
