//! Start and graceful stop of a gateway.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use config::{inventory::Inventory, settings::Settings};
use eyre::{WrapErr, eyre};
use filbertsail_clock as clock;
use filbertsail_config as config;
use filbertsail_http::server;
use filbertsail_routing::policy::{Policy, Production};
use filbertsail_wire::link;
use tokio::{net::TcpListener, sync::watch, task::JoinHandle, time};
use tokio_util::sync::CancellationToken;

use crate::{
    callers::Callers,
    context::Context,
    monitor,
    peer::Peers,
    router::{Router, Setup},
    security::{Tokens, read_key},
};

/// Time between "not ready" and the end of accepting, for the load balancer to notice.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

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

/// Inventory in force, as the gateway follows it.
pub type Inventories = watch::Receiver<Option<Arc<Inventory>>>;

/// Starts a gateway with a source of inventories; ends gracefully after `stop`.
///
/// # Errors
/// Fails if a key file cannot be read or a port cannot be bound.
pub async fn start_with<P: Policy + Send + Sync + 'static>(
    settings: Settings,
    inventories: Inventories,
    policy: P,
    stop: CancellationToken,
) -> eyre::Result<Handle> {
    let key = read_key(&settings.security.cluster_key_file)?;
    let tokens = Tokens::read(&settings.security.tokens_file)?;
    let callers = settings.listen.callers.ok_or_else(|| eyre!("listen.callers is missing"))?;
    let callers = bind(callers).await?;
    let admin = bind(settings.listen.admin).await?;
    let peers = bind(settings.listen.peers).await?;
    let incarnation = incarnation();
    let router = Router::start(Setup {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        policy,
        clock: clock::Boot,
        seed: incarnation,
    });
    let context = Context::new(&settings.name, incarnation, router.clone());
    let (ready, is_ready) = watch::channel(false);
    let addresses = (callers.local_addr()?, admin.local_addr()?, peers.local_addr()?);
    let listeners = CancellationToken::new();
    let handler = Callers { context: context.clone(), tokens, ready: is_ready };
    let limits = server::Limits::default();
    let callers = tokio::spawn(server::serve(callers, limits, handler, listeners.clone()));
    let handler = Peers { context: context.clone() };
    let peers = tokio::spawn(link::server::serve(peers, key, handler, listeners.clone()));
    let background = [
        tokio::spawn(follow(inventories, router.clone(), ready)),
        tokio::spawn(monitor::workers(router)),
    ];
    let task = tokio::spawn(async move {
        stop.cancelled().await;
        time::sleep(DRAIN_GRACE).await;
        listeners.cancel();
        let _ = tokio::join!(callers, peers);
        context.tasks.close();
        context.tasks.wait().await;
        background.iter().for_each(JoinHandle::abort);
        drop(admin);
    });
    let (callers, admin, peers) = addresses;
    Ok(Handle { callers, admin, peers, task })
}

/// Starts a gateway with the production policy.
///
/// # Errors
/// Fails if a key file cannot be read or a port cannot be bound.
pub async fn start_with_inventory(
    settings: Settings,
    inventory: Inventory,
    stop: CancellationToken,
) -> eyre::Result<Handle> {
    let (sender, inventories) = watch::channel(Some(Arc::new(inventory)));
    let handle = start_with(settings, inventories, Production, stop).await;
    drop(sender);
    handle
}

/// Puts each inventory in force.
async fn follow(mut inventories: Inventories, router: Router, ready: watch::Sender<bool>) {
    loop {
        let inventory = inventories.borrow_and_update().clone();
        if let Some(inventory) = inventory {
            router.set_inventory(inventory);
            ready.send_replace(true);
        }
        if inventories.changed().await.is_err() {
            return std::future::pending().await;
        }
    }
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listen on {address}"))
}

/// Rises with each start, as long as the VM's wall clock does not go back.
fn incarnation() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
