//! Daemon in a thread and runtime of its own, so that it can be killed and frozen like a process.

use std::{net::SocketAddr, pin::Pin, thread, time::Duration};

use derive_more::Display;
use eyre::{WrapErr, eyre};
use filbertsail_config::settings::Settings;
use filbertsail_controller::daemon as controller;
use filbertsail_gateway::daemon as gateway;
use filbertsail_rollout::policy::Policy as Plan;
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
    /// Runs leased control work.
    Controller,
}

/// What to start.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Role.
    pub role: Role,
    /// Settings.
    pub settings: Settings,
    /// Policy.
    pub policy: Policy,
}

/// Running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Name.
    pub name: String,
    /// Role.
    pub role: Role,
    /// Callers' port of a gateway.
    pub callers: Option<SocketAddr>,
    /// Admin port.
    pub admin: SocketAddr,
    /// Peer port.
    pub peers: SocketAddr,
    stop: CancellationToken,
    kill: CancellationToken,
    ended: oneshot::Receiver<()>,
    runtime: runtime::Handle,
}

/// Ports of a daemon.
type Ports = (Option<SocketAddr>, SocketAddr, SocketAddr);

/// Starts a daemon.
///
/// # Errors
/// Fails if the daemon does.
pub async fn start(shape: Shape) -> eyre::Result<Daemon> {
    let (name, role) = (shape.settings.name.clone(), shape.role);
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
        runtime.block_on(run(shape, tokens, (started, end), handle));
        // Drops all tasks and closes all sockets, as the end of a process does.
        runtime.shutdown_background();
    })?;
    let (ports, runtime) = starting.await.wrap_err("daemon thread ended")??;
    let (callers, admin, peers) = ports;
    Ok(Daemon { name, role, callers, admin, peers, stop, kill, ended, runtime })
}

type Started = oneshot::Sender<eyre::Result<(Ports, runtime::Handle)>>;

async fn run(
    shape: Shape,
    (stop, kill): (CancellationToken, CancellationToken),
    (started, end): (Started, oneshot::Sender<()>),
    runtime: runtime::Handle,
) {
    let service = async {
        match launch(shape, stop).await {
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

async fn launch(shape: Shape, stop: CancellationToken) -> eyre::Result<(Ports, Join)> {
    let Shape { role, settings, policy } = shape;
    if role == Role::Controller {
        let plan = match policy {
            Policy::Naive => Plan::Naive,
            _ => Plan::Production,
        };
        let handle = controller::start_with(settings, plan, stop).await?;
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
    /// Ends the daemon as planned; whether it exited within `limit`.
    pub async fn stop(self, limit: Duration) -> bool {
        self.stop.cancel();
        let ended = matches!(timeout(limit, self.ended).await, Ok(Ok(())));
        self.kill.cancel();
        ended
    }

    /// Kills the daemon.
    pub fn kill(self) {
        self.kill.cancel();
    }

    /// Freezes the daemon.
    pub fn pause(&self, pause: Duration) {
        self.runtime.spawn(async move { thread::sleep(pause) });
    }
}
