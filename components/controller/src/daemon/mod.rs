//! Start and graceful shutdown of a controller.

mod supervisor;

use std::{
    net::SocketAddr,
    path::Path,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use eyre::{WrapErr, ensure};
use filbertsail_admin::{Health, Measurement, Metered, Probe, View};
use filbertsail_clock::Boot;
use filbertsail_cluster::{agent, lease, member};
use filbertsail_config::settings::Settings;
use filbertsail_http::{client::Client as Http, server, tls, token};
use filbertsail_ports::{
    object,
    rate::{Limiter, Quota},
    table, weight,
};
use filbertsail_rollout::policy::Policy;
use filbertsail_telemetry::metrics::Registry;
use filbertsail_wire::{
    frame::Hello,
    link::{self, auth::Key},
};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tokio_util::sync::CancellationToken;

use crate::{
    gateways::{Gateway, Links},
    metrics::Metrics,
    peers::{Peers, Trainers},
    trainer, weights,
};
use supervisor::Supervisor;

/// Smallest length of the cluster key.
const MIN_KEY_BYTES: usize = 32;
const PROTOCOL_VERSION: u16 = 1;

type Table = table::resolve::Client<table::http::Client>;

/// Handle of a running controller.
#[derive(Debug)]
pub struct Handle {
    /// Address of the admin port.
    pub admin: SocketAddr,
    /// Address of the peer port.
    pub peers: SocketAddr,
    task: JoinHandle<()>,
}

impl Handle {
    /// Waits until the controller has shut down.
    ///
    /// # Errors
    /// Fails if the shutdown task panicked.
    pub async fn join(self) -> eyre::Result<()> {
        self.task.await.wrap_err("controller shutdown task")
    }
}

#[derive(Clone)]
struct Readiness(agent::Handle<Table>);

impl Health for Readiness {
    fn unready_reason(&self) -> Option<String> {
        let ready = *self.0.ready().borrow();
        (!ready).then(|| "no confirmed configuration, or stopping".to_owned())
    }

    fn measurements(&self) -> Vec<Measurement> {
        let known_daemons = self.0.members().borrow().len();
        View { known_daemons, table_reachable: self.0.table_reachable() }.measurements()
    }
}

/// Starts a controller with the production policy. After `stop` is cancelled it shuts down once its
/// leases are released.
///
/// # Errors
/// Fails if the cluster key, tokens or TLS files are invalid or a port cannot be bound.
pub async fn start(settings: Settings, stop: CancellationToken) -> eyre::Result<Handle> {
    start_with(settings, Policy::Production, stop).await
}

/// Starts a controller with the given policy.
///
/// # Errors
/// Fails if the cluster key, tokens or TLS files are invalid or a port cannot be bound.
pub async fn start_with(
    settings: Settings,
    policy: Policy,
    stop: CancellationToken,
) -> eyre::Result<Handle> {
    let key = read_key(&settings.security.cluster_key_file)?;
    let tokens = token::Table::load(&settings.security.tokens_file)?;
    let metrics = Registry::new(&settings.name)?;
    let security = &settings.security;
    let acceptor = tls::Acceptor::load_optional(
        security.tls_cert_file.as_deref(),
        security.tls_key_file.as_deref(),
    )?;
    let instruments = Metrics::new(&metrics);
    let admin = listen(settings.listen.admin).await?;
    let peers = listen(settings.listen.peers).await?;
    let (admin_address, peer_address) = (admin.local_addr()?, peers.local_addr()?);
    let identity = identity(&settings, peer_address, &key);
    let hello = hello(&identity);
    let limiter = limiter(&settings);
    let client = table::http::Client::new(settings.platform.table);
    let table: Table = table::resolve::Client::new(client, limiter.clone());
    let lease_times = lease::Timing::default();
    let seeds = settings.peers.seeds.clone();
    let agent_settings = agent::Settings {
        seeds,
        lease: lease_times,
        limiter: Some(limiter),
        metrics: Some(metrics.clone()),
    };
    // The agent stops after the tasks, so that leases are released when nothing acts under them.
    let agent_stop = CancellationToken::new();
    let agent = agent::start(identity, agent_settings, table.clone(), agent_stop.clone());
    let trainers = Trainers::default();
    let (gateways, known_gateways) = watch::channel(Arc::from([]));
    let gateway_updates = tokio::spawn(update_gateways(agent.members(), gateways));
    let links = Links::new(known_gateways, key.clone(), hello);
    let supervisor = Supervisor {
        agent: agent.clone(),
        trainers: trainers.clone(),
        trainer_context: trainer::Context {
            table,
            store: object::http::Client::new(settings.platform.objects),
            gateways: links.clone(),
            clock: Boot,
            key: key.clone(),
            http: Http::default(),
            policy,
            metrics: instruments.clone(),
        },
        weights_context: weights::Context {
            weights: weight::http::Client::new(settings.platform.weights),
            gateways: links,
            clock: Boot,
            order_lifetime: lease_times.order_lifetime,
            table: agent.watch_table_reachable(),
            metrics: instruments,
        },
    };
    let listeners = CancellationToken::new();
    let handler = Peers { trainers, agent: agent.clone() };
    let peers = tokio::spawn(link::server::serve(peers, key, handler, listeners.clone()));
    let probe = Probe::new(Readiness(agent.clone()), Arc::new(tokens), metrics.clone());
    let probe = Metered::new(probe, "admin", &metrics);
    let limits = server::Limits::default();
    let admin =
        tokio::spawn(server::serve_with_tls(admin, acceptor, limits, probe, listeners.clone()));
    let task = tokio::spawn(async move {
        supervisor.run(&stop).await;
        agent_stop.cancel();
        agent.join().await;
        listeners.cancel();
        gateway_updates.abort();
        let _ = tokio::join!(peers, admin);
    });
    Ok(Handle { admin: admin_address, peers: peer_address, task })
}

/// Publishes the live gateways of the membership that are not draining.
async fn update_gateways(
    mut members: watch::Receiver<Arc<[member::State]>>,
    gateways: watch::Sender<Arc<[Gateway]>>,
) {
    loop {
        let states = members.borrow_and_update().clone();
        let usable = states
            .iter()
            .filter(|state| state.role == member::Role::Gateway && state.live && !state.draining);
        let next: Arc<[Gateway]> = usable
            .map(|state| Gateway { address: state.address, zone: state.zone.clone() })
            .collect();
        gateways.send_if_modified(|known| {
            let changed = *known != next;
            *known = next;
            changed
        });
        if members.changed().await.is_err() {
            return;
        }
    }
}

fn identity(settings: &Settings, address: SocketAddr, key: &Key) -> agent::Identity {
    agent::Identity {
        name: settings.name.clone(),
        role: member::Role::Controller,
        zone: settings.zone.clone(),
        address,
        incarnation: unix_ms(),
        key: key.clone(),
    }
}

fn hello(identity: &agent::Identity) -> Hello {
    Hello {
        protocol: PROTOCOL_VERSION,
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        zone: identity.zone.clone(),
        address: identity.address,
        sent_at_ms: unix_ms(),
        nonce: rand::random(),
    }
}

fn limiter(settings: &Settings) -> Limiter {
    Limiter::new(Quota {
        writes_per_s: settings.platform.table_writes_per_s,
        reads_per_s: settings.platform.table_reads_per_s,
    })
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

async fn listen(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))
}

fn read_key(path: &Path) -> eyre::Result<Key> {
    let context = || format!("cluster key file {}", path.display());
    let text = std::fs::read_to_string(path).wrap_err_with(context)?;
    let bytes = hex::decode(text.trim()).wrap_err_with(context)?;
    ensure!(
        bytes.len() >= MIN_KEY_BYTES,
        "{}: key is shorter than {MIN_KEY_BYTES} bytes",
        context()
    );
    Ok(Key::new(bytes))
}
