//! Peers: the other VMs, which register in the store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use derive_more::Debug;
use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;
use filbertsail_ports::store::{Fault, Key, Range, Row, Store, Transaction};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::{
    Frame, frame,
    frame::Hello,
    link::{Error, auth, client::Client, server},
};
use serde::{Deserialize, Serialize};
use tokio::{
    net::TcpListener,
    time::{Instant as TokioInstant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

use super::{Answer, Budget, Call, Tables};
use crate::{
    batch::rows,
    follow::{self, Update},
    shared::{Identity, Shared},
};

/// Table in which VMs register and keep their shared secret.
pub const PEERS_TABLE: &str = "peers";
/// Key of the row with the secret by which peers authenticate.
const SECRET_KEY: &str = "~secret";
const SECRET_BYTES: usize = 32;
/// Time between two refreshes of the row of this VM.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Time without a refresh after which a row is ignored.
const STALE_AFTER: Duration = Duration::from_secs(100);
/// Time without a refresh after which any VM deletes a row.
const DELETE_AFTER: Duration = Duration::from_secs(300);
/// Pause before a failed peer is tried again; doubles with each further call that it does not
/// answer, since the row of a VM that is gone stays for a while.
const FAILED_PEER_PAUSE: Duration = Duration::from_secs(3);
/// Limit of the doublings of that pause.
const MAX_PAUSE_DOUBLINGS: u32 = 4;
/// Largest number of peers tried for one call.
const MAX_PEERS_PER_CALL: usize = 3;
/// Delay before a store call is retried.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Version of the protocol between peers.
const PROTOCOL_VERSION: u16 = 1;

/// Registration of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    address: SocketAddr,
    zone: String,
    incarnation: u64,
    /// Number of refreshes.
    number: u64,
}

/// Another VM, cheap to clone.
#[derive(Clone, Debug)]
pub struct Peer {
    name: String,
    entry: Entry,
    #[debug(skip)]
    client: Client,
    refreshed_at: Instant,
    paused_until: Instant,
    /// Calls without an answer since the last success.
    timeouts: u32,
}

impl Peer {
    /// Makes a store call through the peer.
    ///
    /// # Errors
    /// Fails if the peer does not answer within `limit` or its answer cannot be decoded.
    pub async fn call(&self, call: &Call, limit: Duration) -> Result<Answer, Error> {
        let call = rows::encode(call).to_vec();
        let request = Frame::Relay(frame::Relay { call });
        let reply = self.client.call_unary_within(&request, limit).await?;
        let Frame::Relayed(relayed) = reply else { return Err(Error::Unexpected) };
        rows::decode(&relayed.answer).map_err(|_| Error::Unexpected)
    }
}

/// Peers of a VM, cheap to clone.
#[derive(Clone, Debug)]
pub struct Peers {
    vm: Arc<str>,
    peers: Arc<Mutex<HashMap<String, Peer>>>,
    budget: Arc<Mutex<Budget>>,
}

impl Peers {
    /// Creates an empty set of peers for the VM `vm`.
    #[must_use]
    pub fn new(vm: &str) -> Self {
        Self { vm: vm.into(), peers: Arc::default(), budget: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Number of peers that refresh their rows.
    #[must_use]
    pub fn live_count(&self, now: Instant) -> usize {
        self.lock().values().filter(|peer| now.since(peer.refreshed_at) < STALE_AFTER).count()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether this VM [ranks](ranks_within) within the first `count` of all known VMs.
    #[must_use]
    pub fn ranks_within(&self, scope: &str, count: usize) -> bool {
        ranks_within(scope, &self.vm, self.lock().keys().map(String::as_str), count)
    }

    /// Peers to try for a call, in order, without those that failed recently.
    #[must_use]
    pub fn candidates(&self, now: Instant) -> Vec<Peer> {
        let peers = self.lock();
        let is_usable =
            |peer: &&Peer| now >= peer.paused_until && now.since(peer.refreshed_at) < STALE_AFTER;
        let mut usable_peers: Vec<&Peer> = peers.values().filter(is_usable).collect();
        // VMs try different peers, but each VM always the same ones, to which it has connections.
        let hash = |peer: &&Peer| rows::hash(&format!("{}/{}", self.vm, peer.name));
        usable_peers.sort_by_cached_key(|peer| (peer.paused_until, hash(peer)));
        usable_peers.into_iter().take(MAX_PEERS_PER_CALL).cloned().collect()
    }

    /// Applies a row of the peers' table, which `key` and `hello` serve to connect to its VM.
    pub fn apply_row(&self, key: &auth::Key, hello: &Hello, row: &Row, now: Instant) {
        let Some(value) = &row.value else {
            self.lock().remove(&row.key);
            return;
        };
        let entry: Entry = match rows::decode(value) {
            Ok(entry) => entry,
            Err(error) => {
                return Line::new("row_corrupt")
                    .with("peer", &row.key)
                    .with("reason", error)
                    .error();
            }
        };
        let mut known = self.lock();
        if let Some(peer) = known.get_mut(&row.key)
            && peer.entry.address == entry.address
        {
            (peer.entry, peer.refreshed_at) = (entry, now);
            return;
        }
        match Client::new(entry.address, key, hello) {
            Ok(client) => {
                let (name, paused_until) = (row.key.clone(), Instant::default());
                let peer = Peer {
                    name: name.clone(),
                    entry,
                    client,
                    refreshed_at: now,
                    paused_until,
                    timeouts: 0,
                };
                known.insert(name, peer);
            }
            Err(error) => {
                Line::new("peer_refused").with("peer", &row.key).with("reason", error).warn();
            }
        }
    }

    /// Whether another attempt through a peer is allowed, which it takes.
    #[must_use]
    pub fn may_try(&self, now: Instant) -> bool {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).take(now)
    }

    /// Records that a peer made a call to the store.
    pub fn record_success(&self, peer: &Peer) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).record_success();
        if let Some(known) = self.lock().get_mut(&peer.name) {
            known.timeouts = 0;
        }
    }

    /// Records that a peer is itself refused by the store, or did not answer.
    pub fn record_failure(&self, peer: &Peer, reason: &str, has_answered: bool, now: Instant) {
        Line::new("peer_failed").with("peer", &peer.name).with("reason", reason).info();
        if let Some(known) = self.lock().get_mut(&peer.name) {
            if has_answered {
                known.timeouts = 0;
            }
            let doublings = known.timeouts.min(MAX_PAUSE_DOUBLINGS);
            known.paused_until = now.after(FAILED_PEER_PAUSE * 2_u32.pow(doublings));
            known.timeouts += u32::from(!has_answered);
        }
    }
}

/// Range that is read to probe the store.
pub(super) fn probe() -> Range {
    let to = format!("{SECRET_KEY}\0");
    Range { table: PEERS_TABLE, part: String::new(), from: SECRET_KEY.to_owned(), to, limit: 1 }
}

/// Whether `vm` ranks within the first `count` of all VMs. The ranking depends on `scope`, and all
/// VMs agree on it, except about VMs that started or stopped recently.
pub fn ranks_within<'a>(
    scope: &str,
    vm: &str,
    others: impl Iterator<Item = &'a str>,
    count: usize,
) -> bool {
    let hash = |vm: &str| rows::hash(&format!("{scope}/{vm}"));
    let own_hash = hash(vm);
    others.filter(|other| hash(other) < own_hash).count() < count
}

/// Registers this VM, follows the other VMs and serves their calls until `stop`.
pub async fn run<S: Store>(
    shared: Shared,
    store: S,
    peers: Peers,
    tables: Tables,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let address = match listener.local_addr() {
        Ok(address) => address,
        Err(error) => return Line::new("peers_failed").with("reason", error).error(),
    };
    let key = auth::Key::new(load_or_create_secret(&store).await);
    let handler = RelayHandler { store: store.clone(), tables };
    let serve = server::serve(listener, key.clone(), handler, stop);
    let refresh = refresh(shared.identity.as_ref().clone(), store.clone(), address);
    let follow = follow_peers(shared, store, peers, key, address);
    tokio::select! {
        () = serve => {}
        () = refresh => {}
        () = follow => {}
    }
}

/// Secret of the installation, which the first VM generates.
async fn load_or_create_secret<S: Store>(store: &S) -> Vec<u8> {
    loop {
        if let Ok(page) = store.range(probe()).await {
            let value = page.rows.into_iter().next().and_then(|row| row.value);
            if let Some(value) = value {
                return value.to_vec();
            }
            let generated: [u8; SECRET_BYTES] = rand::random();
            let key = row_key(SECRET_KEY);
            let transaction = Transaction {
                checks: vec![(key.clone(), 0)],
                writes: vec![(key, generated.to_vec().into())],
                deletes: Vec::new(),
            };
            // The next iteration reads the secret that was stored, by this VM or another.
            if matches!(store.transact(transaction).await, Ok(_) | Err(Fault::Conflict(_))) {
                continue;
            }
        }
        sleep(STORE_RETRY_DELAY).await;
    }
}

fn row_key(name: &str) -> Key {
    Key { table: PEERS_TABLE, part: String::new(), key: name.to_owned() }
}

async fn refresh<S: Store>(identity: Identity, store: S, address: SocketAddr) {
    let mut number = 0;
    loop {
        number += 1;
        let entry = Entry {
            address,
            zone: identity.zone.clone(),
            incarnation: identity.incarnation,
            number,
        };
        let writes = vec![(row_key(&identity.vm), rows::encode(&entry))];
        let written = store.transact(Transaction { writes, ..Transaction::default() }).await;
        let delay = if written.is_ok() { REFRESH_INTERVAL } else { STORE_RETRY_DELAY };
        sleep_until(TokioInstant::now() + delay).await;
    }
}

async fn follow_peers<S: Store>(
    shared: Shared,
    store: S,
    peers: Peers,
    key: auth::Key,
    address: SocketAddr,
) {
    let identity = shared.identity.as_ref().clone();
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        name: identity.vm.clone(),
        incarnation: identity.incarnation,
        zone: identity.zone,
        address,
        sent_at_ms: 0,
        nonce: [0; 16],
    };
    let table = follow::Table {
        name: PEERS_TABLE,
        parts: vec![String::new()],
        tracks_outages: false,
        busy_delay: Duration::from_millis(500),
        idle_delay: Duration::from_millis(500),
        wait: Duration::from_secs(10),
    };
    let clock = shared.clone();
    let deletion_store = store.clone();
    follow::follow(shared, store, table, move |update| {
        let (Update::Snapshot(rows, _) | Update::Changes(rows, _)) = update;
        let now = clock.now();
        for row in rows.iter().filter(|row| row.key != SECRET_KEY && row.key != hello.name) {
            peers.apply_row(&key, &hello, row, now);
        }
        delete_stale(&peers, &deletion_store, now);
        let live = u32::try_from(peers.live_count(now)).unwrap_or(u32::MAX);
        clock.fleet().set_peers(live);
    })
    .await;
}

/// Deletes the rows of VMs that have not refreshed them for a long time.
fn delete_stale<S: Store>(peers: &Peers, store: &S, now: Instant) {
    let mut known = peers.lock();
    let gone: Vec<String> = known
        .values()
        .filter(|peer| now.since(peer.refreshed_at) >= DELETE_AFTER)
        .map(|peer| peer.name.clone())
        .collect();
    for name in gone {
        known.remove(&name);
        let store = store.clone();
        tokio::spawn(async move {
            let deletes = vec![row_key(&name)];
            let result = store.transact(Transaction { deletes, ..Transaction::default() }).await;
            Line::new("peer_deleted").with("peer", name).with("stored", result.is_ok()).info();
        });
    }
}

/// Serves store calls from peers.
#[derive(Clone, Debug)]
struct RelayHandler<S> {
    store: S,
    tables: Tables,
}

impl<S: Store> server::Handler for RelayHandler<S> {
    async fn handle(&self, caller: Hello, request: Frame, mut replies: server::Sender) {
        let Frame::Relay(relay) = request else { return };
        let answer = match rows::decode::<Call>(&relay.call) {
            Ok(call) => self.tables.serve(&self.store, call).await,
            Err(error) => {
                Line::new("relay_malformed").with("peer", caller.name).with("reason", error).warn();
                return;
            }
        };
        let answer = rows::encode(&answer).to_vec();
        // Fails only if the caller has given up.
        let _ = replies.send(frame::Relayed { answer }).await;
    }
}
