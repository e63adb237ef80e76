//! The lease on the orders of a service, kept as a row of the store.

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

/// Table of leases.
pub const TABLE: &str = "leases";
/// Time after which a silent holder may be replaced. A holder renews three times in it, so that a
/// renewal whose answer was lost can be repeated through a peer.
const TTL: Duration = Duration::from_millis(2_400);
/// Time over which candidates spread.
const SPREAD: Duration = Duration::from_millis(600);

/// VMs that look at a lease all the time. The others look now and then, so that the looks do not grow
/// with the VMs; they take over when all of these are gone.
const CANDIDATES: usize = 12;
/// Time between two looks of the others.
const STANDBY_INTERVAL: Duration = Duration::from_millis(3_000);
/// Age of a look up to which a decision to take the lease may rest on it.
const FRESH: Duration = Duration::from_millis(700);

/// Pace of the looks of one VM at one lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    looked: Option<Instant>,
}

impl Pace {
    /// Notes a look.
    pub fn looked(&mut self, now: Instant) {
        self.looked = Some(now);
    }

    /// Whether a look at a lease that another VM holds may wait.
    #[must_use]
    pub fn may_skip(&self, is_candidate: bool, now: Instant) -> bool {
        !is_candidate && self.looked.is_some_and(|at| now.since(at) < STANDBY_INTERVAL)
    }

    /// Whether a VM must look again before it writes.
    #[must_use]
    pub fn must_look(&self, is_candidate: bool, now: Instant) -> bool {
        !is_candidate && self.looked.is_none_or(|at| now.since(at) >= FRESH)
    }
}

/// Value of a row, with the token of its writer.
#[derive(Debug, Serialize, Deserialize)]
struct Value {
    token: String,
    value: serde_json::Value,
}

/// Wish for the lease on one scope.
pub struct Lease<S> {
    shared: Shared,
    store: S,
    peers: Peers,
    machine: Elector,
    pace: Pace,
    scope: String,
    attempts: u64,
    held: Option<u64>,
}

impl<S: Store> Lease<S> {
    /// Contends for `scope`.
    pub fn new(shared: Shared, store: S, peers: Peers, scope: String) -> Self {
        let times = Timing { ttl: TTL, order_lifetime: shared.times.order_gap };
        let machine = Elector::new(&scope, &shared.identity.vm, shared.identity.incarnation, times)
            .with_predecessor_ended();
        Self {
            shared,
            store,
            peers,
            machine,
            pace: Pace::default(),
            scope,
            attempts: 0,
            held: None,
        }
    }

    /// Does what is due and returns the lease if it is held.
    pub async fn step(&mut self) -> Option<Grant> {
        let now = self.shared.now();
        let token = self.token();
        // A holder renews whatever its place is.
        let is_candidate = self.held.is_some() || self.peers.is_among(&self.scope, CANDIDATES);
        let contends = self.machine.is_standby();
        match self.machine.next_action(now, self.delay(), token) {
            Action::Wait(_) => {}
            Action::Read if contends && self.pace.may_skip(is_candidate, now) => {}
            Action::Read => self.look().await,
            // The write counts as lost, and the look shows what came of the holder.
            Action::Write(_) if self.pace.must_look(is_candidate, now) => self.look().await,
            Action::Write(transaction) => self.write(transaction).await,
        }
        let holding = self.machine.grant(self.shared.now());
        self.note(holding);
        holding
    }

    /// Gives the lease up.
    pub async fn release(&mut self) {
        let token = self.token();
        if let Some((epoch, transaction)) = self.machine.release(token) {
            let result = self.store.transact(convert(&transaction)).await;
            Line::new("lease_released")
                .with("scope", &self.scope)
                .with("epoch", epoch)
                .with("stored", result.is_ok())
                .info();
        }
    }

    fn token(&mut self) -> String {
        self.attempts += 1;
        format!("{:x}-{}", self.shared.identity.incarnation, self.attempts)
    }

    fn delay(&self) -> Duration {
        let draw = rows::hash(&format!("{}/{}", self.scope, self.shared.identity.vm)) >> 32;
        SPREAD.mul_f64(draw as f64 / f64::from(u32::MAX))
    }

    fn note(&mut self, holding: Option<Grant>) {
        let epoch = holding.map(|holding| holding.epoch);
        if epoch == self.held {
            return;
        }
        match epoch {
            Some(epoch) => {
                Line::new("lease_held").with("scope", &self.scope).with("epoch", epoch).info();
            }
            None => Line::new("lease_lost").with("scope", &self.scope).warn(),
        }
        self.held = epoch;
    }

    async fn look(&mut self) {
        let key = filbertsail_cluster::lease::key(&self.scope);
        let to = format!("{key}\0");
        let range = Range { table: TABLE, part: String::new(), from: key, to, limit: 1 };
        let result = self.store.range(range).await;
        let now = self.shared.now();
        self.pace.looked(now);
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
                self.machine.on_read(now, row.as_ref());
            }
            Err(_) => self.machine.on_read_failed(now),
        }
    }

    async fn write(&mut self, transaction: table::Transaction) {
        let result = self.store.transact(convert(&transaction)).await;
        let now = self.shared.now();
        match result {
            Ok(commit) => self.machine.on_committed(now, commit.version),
            Err(Fault::Conflict(_)) => self.machine.on_conflict(now),
            Err(fault) => {
                Line::new("lease_write_failed")
                    .with("scope", &self.scope)
                    .with("reason", fault)
                    .info();
                self.machine.on_unknown_outcome(now);
            }
        }
    }
}

fn convert(transaction: &table::Transaction) -> Transaction {
    let key = |key: &str| Key { table: TABLE, part: String::new(), key: key.to_owned() };
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
            // A value of plain fields always has a JSON form.
            Some((key(&write.key), serde_json::to_vec(&value).ok()?.into()))
        })
        .collect();
    Transaction { checks, writes, deletes: Vec::new() }
}
