//! Peers: the other VMs, as they register themselves in the store.

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
    time::{Instant as Time, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

use super::{Answer, Call, Tables};
use crate::{
    batch::rows,
    follow::{self, News},
    shared::{Identity, Shared},
};

/// Table of the peers and their key.
pub const PEERS: &str = "peers";
/// Key of the row with the secret that peers authenticate each other with.
const SECRET: &str = "~secret";
/// Length of the secret in bytes.
const SECRET_BYTES: usize = 32;
/// Time between two refreshes of a VM's own row.
const REFRESH_INTERVAL: Duration = Duration::from_secs(30);
/// Time after which a row that is not refreshed counts for nothing.
const STALE_AFTER: Duration = Duration::from_secs(100);
/// Time after which any VM deletes a row that is not refreshed.
const DELETE_AFTER: Duration = Duration::from_secs(300);
/// Time for which a peer that failed is not asked.
const PAUSE: Duration = Duration::from_secs(3);
/// Peers asked for one call.
const MAX_TRIES: usize = 3;
/// Pause before a store call is repeated.
const RETRY: Duration = Duration::from_millis(300);
/// Version of the protocol between peers.
const PROTOCOL: u16 = 1;

/// Row of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    address: SocketAddr,
    zone: String,
    incarnation: u64,
    /// Rises with each refresh.
    number: u64,
}

/// Peer, cheap to clone.
#[derive(Clone, Debug)]
pub struct Peer {
    name: String,
    entry: Entry,
    #[debug(skip)]
    client: Client,
    seen: Instant,
    paused_until: Instant,
}

impl Peer {
    /// Makes a call through the peer.
    ///
    /// # Errors
    /// Fails if the peer does not answer or answers with something else.
    pub async fn ask(&self, call: &Call) -> Result<Answer, Error> {
        let call = rows::encode(call).to_vec();
        let reply = self.client.ask(&Frame::Relay(frame::Relay { call })).await?;
        let Frame::Relayed(relayed) = reply else { return Err(Error::Unexpected) };
        rows::decode(&relayed.answer).map_err(|_| Error::Unexpected)
    }
}

/// All peers of a VM, cheap to clone.
#[derive(Clone, Debug)]
pub struct Peers {
    me: Arc<str>,
    peers: Arc<Mutex<HashMap<String, Peer>>>,
}

impl Peers {
    /// No peers yet of the VM `me`.
    #[must_use]
    pub fn new(me: &str) -> Self {
        Self { me: me.into(), peers: Arc::default() }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of peers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lock().len()
    }

    /// Whether no peer is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether this VM is [among](is_among) the first `count` of all VMs known.
    #[must_use]
    pub fn is_among(&self, scope: &str, count: usize) -> bool {
        is_among(scope, &self.me, self.lock().keys().map(String::as_str), count)
    }

    /// Peers to ask, those that failed of late left out.
    #[must_use]
    pub fn candidates(&self, now: Instant) -> Vec<Peer> {
        let peers = self.lock();
        let usable = |peer: &&Peer| now >= peer.paused_until && now.since(peer.seen) < STALE_AFTER;
        let mut found: Vec<&Peer> = peers.values().filter(usable).collect();
        // VMs ask different peers, and each asks the same ones again, since their connections are open.
        let draw = |peer: &&Peer| rows::hash(&format!("{}/{}", self.me, peer.name));
        found.sort_by_cached_key(|peer| (peer.paused_until, draw(peer)));
        found.into_iter().take(MAX_TRIES).cloned().collect()
    }

    /// Notes that a peer did not answer or is refused by the store itself.
    pub fn failed(&self, peer: &Peer, reason: &str, now: Instant) {
        Line::new("peer_failed").with("peer", &peer.name).with("reason", reason).info();
        if let Some(known) = self.lock().get_mut(&peer.name) {
            known.paused_until = now.after(PAUSE);
        }
    }
}

/// Range that a probe of the store reads.
pub(super) fn probe() -> Range {
    let to = format!("{SECRET}\0");
    Range { table: PEERS, part: String::new(), from: SECRET.to_owned(), to, limit: 1 }
}

/// Whether `me` is among the first `count` of all VMs, in an order that follows from `scope` and that
/// all VMs agree on but for those that came or went of late.
pub fn is_among<'a>(
    scope: &str,
    me: &str,
    others: impl Iterator<Item = &'a str>,
    count: usize,
) -> bool {
    let draw = |vm: &str| rows::hash(&format!("{scope}/{vm}"));
    let mine = draw(me);
    others.filter(|vm| draw(vm) < mine).count() < count
}

/// Registers this VM, follows the others and answers their calls until `stop`.
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
    let key = auth::Key::new(secret(&store).await);
    let port = Port { store: store.clone(), tables };
    let serve = server::serve(listener, key.clone(), port, stop);
    let refresh = refresh(shared.identity.as_ref().clone(), store.clone(), address);
    let follow = follow_peers(shared, store, peers, key, address);
    tokio::select! {
        () = serve => {}
        () = refresh => {}
        () = follow => {}
    }
}

/// Secret of the installation; the first VM draws it.
async fn secret<S: Store>(store: &S) -> Vec<u8> {
    loop {
        if let Ok(page) = store.range(probe()).await {
            let value = page.rows.into_iter().next().and_then(|row| row.value);
            if let Some(value) = value {
                return value.to_vec();
            }
            let drawn: [u8; SECRET_BYTES] = rand::random();
            let key = own_key(SECRET);
            let transaction = Transaction {
                checks: vec![(key.clone(), 0)],
                writes: vec![(key, drawn.to_vec().into())],
                deletes: Vec::new(),
            };
            // Whatever came of it is read in the next round.
            if matches!(store.transact(transaction).await, Ok(_) | Err(Fault::Conflict(_))) {
                continue;
            }
        }
        sleep(RETRY).await;
    }
}

fn own_key(name: &str) -> Key {
    Key { table: PEERS, part: String::new(), key: name.to_owned() }
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
        let writes = vec![(own_key(&identity.vm), rows::encode(&entry))];
        let written = store.transact(Transaction { writes, ..Transaction::default() }).await;
        let pause = if written.is_ok() { REFRESH_INTERVAL } else { RETRY };
        sleep_until(Time::now() + pause).await;
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
        protocol: PROTOCOL,
        name: identity.vm.clone(),
        incarnation: identity.incarnation,
        zone: identity.zone,
        address,
        sent_at_ms: 0,
        nonce: [0; 16],
    };
    let table = follow::Table {
        name: PEERS,
        parts: vec![String::new()],
        watches_link: false,
        pause: Duration::from_millis(500),
        idle_pause: Duration::from_millis(500),
        wait: Duration::from_secs(10),
    };
    let clock = shared.clone();
    let cleaner = store.clone();
    follow::follow(shared, store, table, move |news| {
        let (News::Snapshot(rows) | News::Changes(rows)) = news;
        let now = clock.now();
        for row in rows.iter().filter(|row| row.key != SECRET && row.key != hello.name) {
            note(&peers, &key, &hello, row, now);
        }
        forget(&peers, &cleaner, now);
    })
    .await;
}

fn note(peers: &Peers, key: &auth::Key, hello: &Hello, row: &Row, now: Instant) {
    let Some(value) = &row.value else {
        peers.lock().remove(&row.key);
        return;
    };
    let entry: Entry = match rows::decode(value) {
        Ok(entry) => entry,
        Err(error) => {
            return Line::new("row_corrupt").with("peer", &row.key).with("reason", error).error();
        }
    };
    let mut known = peers.lock();
    if let Some(peer) = known.get_mut(&row.key)
        && peer.entry.address == entry.address
    {
        (peer.entry, peer.seen) = (entry, now);
        return;
    }
    match Client::new(entry.address, key, hello) {
        Ok(client) => {
            let (name, paused_until) = (row.key.clone(), Instant::default());
            let peer = Peer { name: name.clone(), entry, client, seen: now, paused_until };
            known.insert(name, peer);
        }
        Err(error) => Line::new("peer_refused").with("peer", &row.key).with("reason", error).warn(),
    }
}

/// Deletes the rows of VMs that are gone for long.
fn forget<S: Store>(peers: &Peers, store: &S, now: Instant) {
    let mut known = peers.lock();
    let gone: Vec<String> = known
        .values()
        .filter(|peer| now.since(peer.seen) >= DELETE_AFTER)
        .map(|peer| peer.name.clone())
        .collect();
    for name in gone {
        known.remove(&name);
        let store = store.clone();
        tokio::spawn(async move {
            let deletes = vec![own_key(&name)];
            let result = store.transact(Transaction { deletes, ..Transaction::default() }).await;
            Line::new("peer_deleted").with("peer", name).with("stored", result.is_ok()).info();
        });
    }
}

/// Answers calls of peers.
#[derive(Clone, Debug)]
struct Port<S> {
    store: S,
    tables: Tables,
}

impl<S: Store> server::Handler for Port<S> {
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
        // The caller has given up if this fails.
        let _ = replies.send(frame::Relayed { answer }).await;
    }
}
