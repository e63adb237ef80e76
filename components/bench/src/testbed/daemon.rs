//! Daemon in its own thread and runtime, so that it can be killed and paused like a process.

use std::{net::SocketAddr, pin::Pin, thread, time::Duration};

use derive_more::Display;
use eyre::{WrapErr, eyre};
use filbertsail_config::settings::Settings;
use filbertsail_controller::daemon as controller;
use filbertsail_gateway::daemon as gateway;
use filbertsail_rollout::policy::Policy as RolloutPolicy;
use filbertsail_routing::policy::{LeastReported, Production, Random, RoundRobin};
use tokio::{runtime, sync::oneshot, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::policy::Policy;

/// Role of a daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "snake_case")]
pub enum Role {
    /// Serves requests.
    Gateway,
    /// Runs control tasks under leases.
    Controller,
}

/// Daemon to start.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Role.
    pub role: Role,
    /// Daemon settings.
    pub settings: Settings,
    /// Routing and rollout policy.
    pub policy: Policy,
}

/// Running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Name.
    pub name: String,
    /// Role.
    pub role: Role,
    /// Address of the callers' port; gateways only.
    pub callers: Option<SocketAddr>,
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Address of the peer port.
    pub peers: SocketAddr,
    stop: CancellationToken,
    kill: CancellationToken,
    ended: oneshot::Receiver<()>,
    runtime: runtime::Handle,
}

/// Callers', admin and peer addresses of a daemon.
type Ports = (Option<SocketAddr>, SocketAddr, SocketAddr);

/// Starts a daemon.
///
/// # Errors
/// Fails if the daemon cannot start.
pub async fn start(spec: Spec) -> eyre::Result<Daemon> {
    let (name, role) = (spec.settings.name.clone(), spec.role);
    let (stop, kill) = (CancellationToken::new(), CancellationToken::new());
    let (started, starting) = oneshot::channel();
    let (end, ended) = oneshot::channel();
    let tokens = (stop.clone(), kill.clone());
    thread::Builder::new().name(name.clone()).spawn(move || {
        let runtime = match runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => {
                let _ = started.send(Err(eyre!(error)));
                return;
            }
        };
        let handle = runtime.handle().clone();
        runtime.block_on(run(spec, tokens, (started, end), handle));
        // Drops all tasks and closes all sockets, as the end of a process does.
        runtime.shutdown_background();
    })?;
    let (ports, runtime) = starting.await.wrap_err("daemon thread ended during startup")??;
    let (callers, admin, peers) = ports;
    Ok(Daemon { name, role, callers, admin, peers, stop, kill, ended, runtime })
}

type Started = oneshot::Sender<eyre::Result<(Ports, runtime::Handle)>>;

async fn run(
    spec: Spec,
    (stop, kill): (CancellationToken, CancellationToken),
    (started, end): (Started, oneshot::Sender<()>),
    runtime: runtime::Handle,
) {
    let service = async {
        match launch(spec, stop).await {
            Ok((ports, join)) => {
                let _ = started.send(Ok((ports, runtime)));
                join.await
            }
            Err(error) => {
                let _ = started.send(Err(error));
                Ok(())
            }
        }
    };
    tokio::select! {
        () = kill.cancelled() => {}
        result = service => if result.is_ok() {
            let _ = end.send(());
        }
    }
}

type Join = Pin<Box<dyn Future<Output = eyre::Result<()>>>>;

async fn launch(spec: Spec, stop: CancellationToken) -> eyre::Result<(Ports, Join)> {
    let Spec { role, settings, policy } = spec;
    if role == Role::Controller {
        let rollout = match policy {
            Policy::Naive => RolloutPolicy::Naive,
            _ => RolloutPolicy::Production,
        };
        let handle = controller::start_with(settings, rollout, stop).await?;
        return Ok(((None, handle.admin, handle.peers), Box::pin(handle.join())));
    }
    let handle = match policy {
        Policy::Production | Policy::Naive => gateway::start_with(settings, Production, stop).await,
        Policy::Random => gateway::start_with(settings, Random, stop).await,
        Policy::RoundRobin => gateway::start_with(settings, RoundRobin::default(), stop).await,
        Policy::LeastReported => gateway::start_with(settings, LeastReported, stop).await,
    }?;
    Ok(((Some(handle.callers), handle.admin, handle.peers), Box::pin(handle.join())))
}

impl Daemon {
    /// Stops the daemon as planned; returns whether it exited within `limit`, else kills it.
    pub async fn stop(self, limit: Duration) -> bool {
        self.stop.cancel();
        let ended = matches!(timeout(limit, self.ended).await, Ok(Ok(())));
        self.kill.cancel();
        ended
    }

    /// Ends the daemon at once, without a graceful stop.
    pub fn kill(self) {
        self.kill.cancel();
    }

    /// Blocks the single thread of the daemon's runtime.
    pub fn pause(&self, pause: Duration) {
        self.runtime.spawn(async move { thread::sleep(pause) });
    }
}
