//! Lease on one duty and subject, stored as a row of the store.
//!
//! The subject is part of the scope: `weights/SERVICE`, `usage`, `scaling/SERVICE/ZONE`.

use std::time::Duration;

use filbertsail_api::table;
use filbertsail_clock::Instant;
use filbertsail_cluster::lease::{
    Grant, Timing,
    elector::{Action, Elector},
};
use filbertsail_ports::store::{Fault, Key, Range, Store, Transaction};
use filbertsail_telemetry::event::Line;
use serde::{Deserialize, Serialize};

use crate::{batch::rows, relay::Peers, shared::Shared};

/// Table that holds one row per lease.
pub const LEASE_TABLE: &str = "leases";
/// Time without a renewal after which another VM may acquire the lease. The holder renews three
/// times within it, so that a renewal whose response was lost can be repeated through a peer.
const LEASE_TTL: Duration = Duration::from_millis(2_400);
/// Largest delay of a candidate before it acquires a free lease; each candidate has its own.
const MAX_ACQUISITION_DELAY: Duration = Duration::from_millis(600);

/// VMs that poll a lease continuously. The others poll rarely, so that the number of reads does not
/// grow with the number of VMs; they take over when all candidates are gone.
const CANDIDATE_COUNT: usize = 12;
/// Time between two reads by a VM that is not a candidate.
const STANDBY_READ_INTERVAL: Duration = Duration::from_millis(3_000);
/// Largest age of a read on which an acquisition of the lease may be based.
const MAX_READ_AGE: Duration = Duration::from_millis(700);

/// Limits how often one VM reads one lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throttle {
    last_read: Option<Instant>,
}

impl Throttle {
    /// Records a read at `now`.
    pub fn record_read(&mut self, now: Instant) {
        self.last_read = Some(now);
    }

    /// Whether a due read of a lease that another VM holds may be skipped.
    #[must_use]
    pub fn may_skip_read(&self, is_candidate: bool, now: Instant) -> bool {
        !is_candidate && self.last_read.is_some_and(|at| now.since(at) < STANDBY_READ_INTERVAL)
    }

    /// Whether the VM must read the lease again before it writes.
    #[must_use]
    pub fn must_reread(&self, is_candidate: bool, now: Instant) -> bool {
        !is_candidate && self.last_read.is_none_or(|at| now.since(at) >= MAX_READ_AGE)
    }
}

/// Stored value of a lease row, with the token of its writer.
#[derive(Debug, Serialize, Deserialize)]
struct Value {
    token: String,
    value: serde_json::Value,
}

/// This VM's side of the lease on one scope.
pub struct Lease<S> {
    shared: Shared,
    store: S,
    peers: Peers,
    elector: Elector,
    throttle: Throttle,
    scope: String,
    tokens_issued: u64,
    held_epoch: Option<u64>,
}

impl<S: Store> Lease<S> {
    /// Contends for the lease on `scope`.
    pub fn new(shared: Shared, store: S, peers: Peers, scope: String) -> Self {
        let timing = Timing { ttl: LEASE_TTL, order_lifetime: shared.times.order_gap };
        let elector =
            Elector::new(&scope, &shared.identity.vm, shared.identity.incarnation, timing)
                .with_predecessor_ended();
        Self {
            shared,
            store,
            peers,
            elector,
            throttle: Throttle::default(),
            scope,
            tokens_issued: 0,
            held_epoch: None,
        }
    }

    /// The lease, which waits for the calls of an earlier process of this VM too. The platform, unlike
    /// a worker, cannot reject one of them that arrives late.
    #[must_use]
    pub fn with_wait_for_predecessor(self) -> Self {
        Self { elector: self.elector.with_wait_for_predecessor(), ..self }
    }

    /// Performs the next due read or write. Returns the lease while this VM holds it.
    pub async fn step(&mut self) -> Option<Grant> {
        let now = self.shared.now();
        let token = self.token();
        // The holder renews even if it is no longer a candidate.
        let is_candidate =
            self.held_epoch.is_some() || self.peers.ranks_within(&self.scope, CANDIDATE_COUNT);
        let is_standby = self.elector.is_standby();
        match self.elector.next_action(now, self.acquisition_delay(), token) {
            Action::Wait(_) => {}
            Action::Read if is_standby && self.throttle.may_skip_read(is_candidate, now) => {}
            Action::Read => self.read_row().await,
            // Skips the write; the read shows whether the holder has renewed since.
            Action::Write(_) if self.throttle.must_reread(is_candidate, now) => {
                self.read_row().await
            }
            Action::Write(transaction) => self.write_row(transaction).await,
        }
        let grant = self.elector.grant(self.shared.now());
        self.log_transition(grant);
        grant
    }

    /// Releases the lease if this VM holds it.
    pub async fn release(&mut self) {
        let token = self.token();
        if let Some((epoch, transaction)) = self.elector.release(token) {
            let result = self.store.transact(store_transaction(&transaction)).await;
            Line::new("lease_released")
                .with("scope", &self.scope)
                .with("epoch", epoch)
                .with("stored", result.is_ok())
                .info();
        }
    }

    fn token(&mut self) -> String {
        self.tokens_issued += 1;
        format!("{:x}-{}", self.shared.identity.incarnation, self.tokens_issued)
    }

    fn acquisition_delay(&self) -> Duration {
        let fraction = rows::hash(&format!("{}/{}", self.scope, self.shared.identity.vm)) >> 32;
        MAX_ACQUISITION_DELAY.mul_f64(fraction as f64 / f64::from(u32::MAX))
    }

    fn log_transition(&mut self, grant: Option<Grant>) {
        let epoch = grant.map(|grant| grant.epoch);
        if epoch == self.held_epoch {
            return;
        }
        match epoch {
            Some(epoch) => {
                Line::new("lease_held").with("scope", &self.scope).with("epoch", epoch).info();
            }
            None => Line::new("lease_lost").with("scope", &self.scope).warn(),
        }
        self.held_epoch = epoch;
    }

    async fn read_row(&mut self) {
        let key = filbertsail_cluster::lease::key(&self.scope);
        let to = format!("{key}\0");
        let range = Range { table: LEASE_TABLE, part: String::new(), from: key, to, limit: 1 };
        let result = self.store.range(range).await;
        let now = self.shared.now();
        self.throttle.record_read(now);
        match result {
            Ok(page) => {
                let row = page.rows.into_iter().next();
                let row = row.and_then(|row| {
                    let value: Value = serde_json::from_slice(row.value.as_deref()?).ok()?;
                    Some(table::Row {
                        key: row.key,
                        revision: row.version,
                        token: value.token,
                        value: value.value,
                    })
                });
                self.elector.on_read(now, row.as_ref());
            }
            Err(_) => self.elector.on_read_failed(now),
        }
    }

    async fn write_row(&mut self, transaction: table::Transaction) {
        let result = self.store.transact(store_transaction(&transaction)).await;
        let now = self.shared.now();
        match result {
            Ok(commit) => self.elector.on_committed(now, commit.version),
            Err(Fault::Conflict(_)) => self.elector.on_conflict(now),
            Err(fault) => {
                Line::new("lease_write_failed")
                    .with("scope", &self.scope)
                    .with("reason", fault)
                    .info();
                self.elector.on_unknown_outcome(now);
            }
        }
    }
}

fn store_transaction(transaction: &table::Transaction) -> Transaction {
    let key = |key: &str| Key { table: LEASE_TABLE, part: String::new(), key: key.to_owned() };
    let checks = transaction
        .checks
        .iter()
        .map(|check| {
            let version = match &check.expect {
                table::Expect::Revision { revision } => *revision,
                _ => 0,
            };
            (key(&check.key), version)
        })
        .collect();
    let writes = transaction
        .writes
        .iter()
        .filter_map(|write| {
            let value = Value { token: transaction.token.clone(), value: write.value.clone()? };
            // Serialisation of plain fields cannot fail.
            Some((key(&write.key), serde_json::to_vec(&value).ok()?.into()))
        })
        .collect();
    Transaction { checks, writes, deletes: Vec::new() }
}
