//! Construction of a gateway's components.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use eyre::{WrapErr, eyre};
use filbertsail_admin as admin;
use filbertsail_claims as claims;
use filbertsail_clock::Boot;
use filbertsail_cluster::{agent, subset};
use filbertsail_config::settings::Settings;
use filbertsail_http::{server, tls, token};
use filbertsail_ports::{object, rate, table, vm};
use filbertsail_rounds::holder;
use filbertsail_routing::policy::Policy;
use filbertsail_telemetry::metrics::Registry;
use filbertsail_wire::{
    frame::{Hello, Role},
    link,
};
use tokio::{net::TcpListener, task::JoinSet, time};
use tokio_util::sync::CancellationToken;

use super::{Components, apply_configs};
use crate::{
    callers::Callers,
    context::Context,
    drain_marks,
    fleet::Fleet,
    metrics::Metrics,
    monitor,
    peer::Peers,
    ports::{Agent, Claims, Members, Rounds, Table},
    readiness::Readiness,
    router::{Router, Setup},
    security::read_cluster_key,
};

/// Mean interval between removals of old claims.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);

pub(super) async fn build<P: Policy + Send + Sync + 'static>(
    settings: &Settings,
    policy: P,
) -> eyre::Result<Components> {
    let key = read_cluster_key(&settings.security.cluster_key_file)?;
    let tokens = Arc::new(token::Table::load(&settings.security.tokens_file)?);
    let security = &settings.security;
    let acceptor = tls::Acceptor::load_optional(
        security.tls_cert_file.as_deref(),
        security.tls_key_file.as_deref(),
    )?;
    let metrics = Registry::new(&settings.name)?;
    let callers_address =
        settings.listen.callers.ok_or_else(|| eyre!("setting listen.callers is missing"))?;
    let callers_port = bind(callers_address).await?;
    let admin_port = bind(settings.listen.admin).await?;
    let peers_port = bind(settings.listen.peers).await?;
    let peers = peers_port.local_addr()?;
    let incarnation = incarnation();
    let table = table_client(settings);
    let objects = object::http::Client::new(settings.platform.objects);
    let identity = agent::Identity {
        name: settings.name.clone(),
        role: Role::Gateway,
        zone: settings.zone.clone(),
        address: peers,
        incarnation,
        key: key.clone(),
    };
    let agent_stop = CancellationToken::new();
    let agent_settings = agent::Settings {
        seeds: settings.peers.seeds.clone(),
        limiter: Some(table.limiter().clone()),
        metrics: Some(metrics.clone()),
        ..agent::Settings::default()
    };
    let agent = agent::start(identity, agent_settings, table.clone(), agent_stop.clone());
    let request_metrics = Metrics::new(&metrics);
    let router = Router::start(Setup {
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        policy,
        clock: Boot,
        seed: incarnation,
        metrics: request_metrics.clone(),
    });
    let context = Context::new(&settings.name, incarnation, router.clone(), request_metrics);
    let readiness = Readiness::new(agent.ready());
    let members = Members(agent.clone());
    let claims: Claims = claims::Claims::start(claims::Context {
        owner: settings.name.clone(),
        incarnation,
        table: table.clone(),
        objects: objects.clone(),
        members: members.clone(),
        clock: Boot,
    });
    let hello = hello(settings, peers, incarnation);
    let holder = holder::Client::new(table.clone(), members, key.clone(), hello);
    let rounds = Rounds::new(table.clone(), objects.clone(), holder, tokens.clone(), key.clone());
    let handler = Callers {
        context: context.clone(),
        tokens: tokens.clone(),
        readiness: readiness.clone(),
        claims,
        objects,
        rounds,
    };
    let listener_stop = CancellationToken::new();
    let limits = server::Limits::default();
    let (callers, admin) = (callers_port.local_addr()?, admin_port.local_addr()?);
    let mut servers = JoinSet::new();
    let handler = admin::Metered::new(handler, "callers", &metrics);
    let stop = listener_stop.clone();
    servers.spawn(server::serve_with_tls(callers_port, acceptor.clone(), limits, handler, stop));
    let handler =
        Peers { context: context.clone(), readiness: readiness.clone(), agent: agent.clone() };
    servers.spawn(link::server::serve(peers_port, key, handler, listener_stop.clone()));
    let fleet = Fleet {
        name: settings.name.as_str().into(),
        incarnation,
        router: router.clone(),
        agent: agent.clone(),
        table: table.clone(),
        readiness: readiness.clone(),
        drain_commands: Arc::default(),
    };
    let handler = admin::Handler::new(fleet, tokens, metrics.clone());
    let handler = admin::Metered::new(handler, "admin", &metrics);
    let admin_stop = CancellationToken::new();
    let admin_server = tokio::spawn(server::serve_with_tls(
        admin_port,
        acceptor,
        limits,
        handler,
        admin_stop.clone(),
    ));
    let mut background = JoinSet::new();
    background.spawn(apply_configs(agent.config(), router.clone(), readiness.clone()));
    background.spawn(monitor::watch_workers(router.clone()));
    let vms = vm::http::Client::new(settings.platform.vms);
    background.spawn(monitor::watch_vm_list(router.clone(), vms));
    let name = settings.name.clone();
    background.spawn(drain_marks::watch(
        table.clone(),
        router,
        name,
        readiness.clone(),
        agent.clone(),
    ));
    background.spawn(sweep_claims(table, agent.clone(), settings.name.clone(), incarnation));
    Ok(Components {
        callers,
        admin,
        peers,
        context,
        readiness,
        agent,
        agent_stop,
        listener_stop,
        servers,
        admin_stop,
        admin_server,
        background,
    })
}

fn table_client(settings: &Settings) -> Table {
    let quota = rate::Quota {
        writes_per_s: settings.platform.table_writes_per_s,
        reads_per_s: settings.platform.table_reads_per_s,
    };
    let adapter = table::http::Client::new(settings.platform.table);
    table::resolve::Client::new(adapter, rate::Limiter::new(quota))
}

fn hello(settings: &Settings, address: SocketAddr, incarnation: u64) -> Hello {
    Hello {
        protocol: 1,
        name: settings.name.clone(),
        incarnation,
        zone: settings.zone.clone(),
        address,
        sent_at_ms: 0,
        nonce: rand::random(),
    }
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Incarnation number. Increases with each start unless the VM's wall clock is set back.
fn incarnation() -> u64 {
    u64::try_from(unix_time().as_millis()).unwrap_or(u64::MAX)
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Periodically removes old claims, on the single gateway that ranks first among the live ones.
async fn sweep_claims(table: Table, agent: Agent, name: String, incarnation: u64) {
    for number in 0u64.. {
        let jitter = rand::random_range(0.5..1.5);
        time::sleep(SWEEP_INTERVAL.mul_f64(jitter)).await;
        if !ranks_first(&agent, &name) {
            continue;
        }
        let token = format!("{name}-{incarnation:x}-sweep-{number:x}");
        // If this sweep fails, the next one removes the same claims.
        let _ = claims::sweep::remove_expired(&table, &token, unix_time().as_secs()).await;
    }
}

fn ranks_first(agent: &Agent, name: &str) -> bool {
    let members = agent.members().borrow().clone();
    let gateways = members.iter().filter(|it| it.live && it.role == Role::Gateway);
    let others = gateways.map(|it| it.name.as_str()).filter(|other| *other != name);
    subset::rank(claims::row::PREFIX, name, others) == 0
}
