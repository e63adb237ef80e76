//! Daemons in this process.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use eyre::{WrapErr, eyre};
use filbertsail_api::{
    admin::Apply,
    table::{Commit, Page, Query, Row, Scan, Transaction},
};
use filbertsail_cluster::{
    agent::{self, Handle, Identity, Settings},
    lease::Guard,
};
use filbertsail_ports::{
    rate::{Limiter, Quota},
    table::{Error, Table, http, resolve},
};
use filbertsail_standin::{server::Location, table as standin};
use filbertsail_wire::{
    Frame,
    frame::{Hello, Role},
    link::{
        auth::Key,
        server::{Handler, Sender, serve},
    },
};
use serde::Serialize;
use tokio::{net::TcpListener, time::timeout};
use tokio_util::sync::CancellationToken;

/// Availability zones over which the daemons are spread.
const ZONES: usize = 13;
/// Lease scopes, which every controller contends for.
const SCOPES: usize = 13;
/// Time limit for daemons to meet.
const MEET_TIMEOUT: Duration = Duration::from_secs(120);

/// Smallest inventory.
pub const INVENTORY: &str = r#"
worker = []

[deployment]
name = "capacity"
staleness_weight = 1.0
idle_weight = 1.0

[[zone]]
name = "zone-0"
region = "region-0"

[[service]]
name = "engines"
kind = "model"
"#;

/// Table client of a daemon.
pub type Client = resolve::Client<Counted>;

/// Table client that counts calls and the JSON bytes of requests and answers.
#[derive(Clone, Debug)]
pub struct Counted {
    inner: http::Client,
    calls: Arc<Counters>,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    bytes: AtomicU64,
}

/// Calls to the table so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    /// Reads and scans.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// JSON bytes.
    pub bytes: u64,
}

impl Counters {
    fn add(&self, values: &[&dyn erased::Size]) {
        let bytes = values.iter().map(|value| value.size()).sum::<u64>();
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

mod erased {
    use super::Serialize;

    /// Value with a size as JSON.
    pub trait Size {
        fn size(&self) -> u64;
    }

    impl<T: Serialize> Size for T {
        fn size(&self) -> u64 {
            serde_json::to_vec(self).map_or(0, |bytes| bytes.len() as u64)
        }
    }
}

impl Table for Counted {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let result = self.inner.transact(transaction.clone()).await;
        self.calls.add(&[&transaction, &result.as_ref().ok()]);
        result
    }

    async fn read(&self, query: Query) -> Result<Vec<Row>, Error> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let result = self.inner.read(query.clone()).await;
        self.calls.add(&[&query, &result.as_ref().ok()]);
        result
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let result = self.inner.scan(scan.clone()).await;
        self.calls.add(&[&scan, &result.as_ref().ok()]);
        result
    }
}

#[derive(Clone)]
struct Peers(Handle<Client>);

impl Handler for Peers {
    async fn handle(&self, _caller: Hello, request: Frame, mut replies: Sender) {
        let reply = self.0.answer(request).await;
        // The caller may have given up.
        let _ = replies.send(reply).await;
    }
}

/// Running daemons and their table.
pub struct Fleet {
    /// Agents of the daemons.
    pub agents: Vec<Handle<Client>>,
    leases: Vec<Guard>,
    calls: Arc<Counters>,
    stop: CancellationToken,
    table_stop: CancellationToken,
}

impl Fleet {
    /// Starts `count` daemons, of which every second is a controller.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened.
    pub async fn start(count: usize) -> eyre::Result<Self> {
        let table_stop = CancellationToken::new();
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = standin::Options::default();
        let table = standin::start(local, options, Location::default(), table_stop.clone())?;
        let mut fleet = Self {
            agents: Vec::new(),
            leases: Vec::new(),
            calls: Arc::default(),
            stop: CancellationToken::new(),
            table_stop,
        };
        let mut seeds = Vec::new();
        for index in 0..count {
            let listener = TcpListener::bind(local).await.wrap_err("bind a peer port")?;
            let address = listener.local_addr()?;
            if seeds.len() < 3 {
                seeds.push(address);
            }
            fleet.add(index, listener, address, &seeds, table.address);
        }
        Ok(fleet)
    }

    fn add(
        &mut self,
        index: usize,
        listener: TcpListener,
        address: SocketAddr,
        seeds: &[SocketAddr],
        table: SocketAddr,
    ) {
        let role = if index.is_multiple_of(2) { Role::Gateway } else { Role::Controller };
        let identity = Identity {
            name: format!("daemon-{index}"),
            role,
            zone: format!("zone-{}", (index / 2) % ZONES),
            address,
            incarnation: 1,
            key: Key::new(vec![7; 32]),
        };
        let key = identity.key.clone();
        let inner = Counted { inner: http::Client::new(table), calls: Arc::clone(&self.calls) };
        let limiter = Limiter::new(Quota { writes_per_s: 300.0, reads_per_s: 2_000.0 });
        let client = resolve::Client::new(inner, limiter.clone());
        let settings =
            Settings { seeds: seeds.to_vec(), limiter: Some(limiter), ..Settings::default() };
        let agent = agent::start(identity, settings, client, self.stop.clone());
        tokio::spawn(serve(listener, key, Peers(agent.clone()), self.stop.clone()));
        if role == Role::Controller {
            let leases =
                (0..SCOPES).map(|scope| agent.contend_for_lease(&format!("trainer/{scope}")));
            self.leases.extend(leases);
        }
        self.agents.push(agent);
    }

    /// Applies a first configuration.
    ///
    /// # Errors
    /// Fails if it is not accepted.
    pub async fn apply(&self) -> eyre::Result<()> {
        let request = Apply {
            author: "bench".to_owned(),
            expect_version: None,
            text: INVENTORY.to_owned(),
            wait_ms: Some(0),
        };
        let agent = self.agents.first().ok_or_else(|| eyre!("no daemons"))?;
        agent.apply(request).await.wrap_err("apply the configuration")?;
        Ok(())
    }

    /// Waits until every daemon sees all others.
    ///
    /// # Errors
    /// Fails if they have not met in time.
    pub async fn meet(&self) -> eyre::Result<()> {
        let count = self.agents.len();
        for agent in &self.agents {
            let mut members = agent.members();
            let met = members
                .wait_for(|members| members.iter().filter(|member| member.live).count() == count);
            timeout(MEET_TIMEOUT, met).await.wrap_err("daemons have not met")??;
        }
        Ok(())
    }

    /// Calls to the table so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Calls {
            reads: get(&self.calls.reads),
            writes: get(&self.calls.writes),
            bytes: get(&self.calls.bytes),
        }
    }

    /// Stops all daemons as planned.
    pub async fn stop(self) {
        self.stop.cancel();
        for agent in &self.agents {
            agent.join().await;
        }
        self.table_stop.cancel();
    }
}
