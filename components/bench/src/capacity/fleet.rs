//! Fleet of daemon agents in this process.

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

/// Number of availability zones over which the daemons are spread.
const ZONE_COUNT: usize = 13;
/// Number of lease scopes; every controller contends for all of them.
const LEASE_SCOPE_COUNT: usize = 13;
/// Time limit for all daemons to see each other as live.
const MEMBERSHIP_TIMEOUT: Duration = Duration::from_secs(120);

/// Minimal valid inventory.
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
pub type Client = resolve::Client<CountingTable>;

/// Table client that counts calls and the JSON bytes of requests and responses.
#[derive(Clone, Debug)]
pub struct CountingTable {
    inner: http::Client,
    calls: Arc<CallCounters>,
}

#[derive(Debug, Default)]
struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    bytes: AtomicU64,
}

/// Number and size of table calls so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    /// Reads and scans.
    pub reads: u64,
    /// Transactions.
    pub writes: u64,
    /// JSON bytes of requests and responses.
    pub bytes: u64,
}

impl CallCounters {
    fn add_bytes(&self, values: &[&dyn encoded::EncodedSize]) {
        let bytes = values.iter().map(|value| value.encoded_size()).sum::<u64>();
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }
}

mod encoded {
    use super::Serialize;

    /// Value with a JSON-encoded size in bytes.
    pub trait EncodedSize {
        fn encoded_size(&self) -> u64;
    }

    impl<T: Serialize> EncodedSize for T {
        fn encoded_size(&self) -> u64 {
            serde_json::to_vec(self).map_or(0, |bytes| bytes.len() as u64)
        }
    }
}

impl Table for CountingTable {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let result = self.inner.transact(transaction.clone()).await;
        self.calls.add_bytes(&[&transaction, &result.as_ref().ok()]);
        result
    }

    async fn read(&self, query: Query) -> Result<Vec<Row>, Error> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let result = self.inner.read(query.clone()).await;
        self.calls.add_bytes(&[&query, &result.as_ref().ok()]);
        result
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let result = self.inner.scan(scan.clone()).await;
        self.calls.add_bytes(&[&scan, &result.as_ref().ok()]);
        result
    }
}

#[derive(Clone)]
struct PeerHandler(Handle<Client>);

impl Handler for PeerHandler {
    async fn handle(&self, _caller: Hello, request: Frame, mut replies: Sender) {
        let reply = self.0.answer(request).await;
        // The caller may no longer wait for the reply.
        let _ = replies.send(reply).await;
    }
}

/// Running daemon agents and their table.
pub struct Fleet {
    /// Agents of the daemons in order of their number.
    pub agents: Vec<Handle<Client>>,
    leases: Vec<Guard>,
    calls: Arc<CallCounters>,
    stop: CancellationToken,
    table_stop: CancellationToken,
}

impl Fleet {
    /// Starts `count` daemons, alternating between gateways and controllers.
    ///
    /// # Errors
    /// Fails if a port cannot be bound.
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
            let listener = TcpListener::bind(local).await.wrap_err("failed to bind a peer port")?;
            let address = listener.local_addr()?;
            if seeds.len() < 3 {
                seeds.push(address);
            }
            fleet.start_daemon(index, listener, address, &seeds, table.address);
        }
        Ok(fleet)
    }

    fn start_daemon(
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
            zone: format!("zone-{}", (index / 2) % ZONE_COUNT),
            address,
            incarnation: 1,
            key: Key::new(vec![7; 32]),
        };
        let key = identity.key.clone();
        let inner =
            CountingTable { inner: http::Client::new(table), calls: Arc::clone(&self.calls) };
        let limiter = Limiter::new(Quota { writes_per_s: 300.0, reads_per_s: 2_000.0 });
        let client = resolve::Client::new(inner, limiter.clone());
        let settings =
            Settings { seeds: seeds.to_vec(), limiter: Some(limiter), ..Settings::default() };
        let agent = agent::start(identity, settings, client, self.stop.clone());
        tokio::spawn(serve(listener, key, PeerHandler(agent.clone()), self.stop.clone()));
        if role == Role::Controller {
            let leases = (0..LEASE_SCOPE_COUNT)
                .map(|scope| agent.contend_for_lease(&format!("trainer/{scope}")));
            self.leases.extend(leases);
        }
        self.agents.push(agent);
    }

    /// Applies the first configuration.
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
        agent.apply(request).await.wrap_err("failed to apply the first configuration")?;
        Ok(())
    }

    /// Waits until every daemon sees all others as live.
    ///
    /// # Errors
    /// Fails if they do not within 120 s.
    pub async fn wait_for_members(&self) -> eyre::Result<()> {
        let count = self.agents.len();
        for agent in &self.agents {
            let mut members = agent.members();
            let all_live = members
                .wait_for(|members| members.iter().filter(|member| member.live).count() == count);
            timeout(MEMBERSHIP_TIMEOUT, all_live)
                .await
                .wrap_err("not all daemons see each other as live")??;
        }
        Ok(())
    }

    /// Table calls of all daemons so far.
    #[must_use]
    pub fn calls(&self) -> Calls {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Calls {
            reads: get(&self.calls.reads),
            writes: get(&self.calls.writes),
            bytes: get(&self.calls.bytes),
        }
    }

    /// Stops all daemons as planned, then the table.
    pub async fn stop(self) {
        self.stop.cancel();
        for agent in &self.agents {
            agent.join().await;
        }
        self.table_stop.cancel();
    }
}
