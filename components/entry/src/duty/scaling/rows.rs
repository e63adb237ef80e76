//! Rows of the engine orders and of the demand behind them.
//!
//! | table | part | key | value |
//! | --- | --- | --- | --- |
//! | `scaling` | | service, zone, kind | an order |
//! | `scaling` | `vm` | VM | [`Statements`] |
//!
//! Only the holder of the lease on a service writes its orders, and only holders read the table.

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_ports::store::{Key, Range};
use filbertsail_scaling::{Kind, Pool, Row, State, Statement};
use serde::{Deserialize, Serialize};

use crate::{
    batch::rows::{DecodeError, PAGE_ROWS, VM_PART, decode, encode},
    shared::{Link, millis},
};

/// Table of orders and demand.
pub const SCALING_TABLE: &str = "scaling";

/// Difference to the store's clock from which a stored time is one of an earlier run of that clock.
/// Readings of the clock by two VMs differ by less.
const MAX_AHEAD_MS: u64 = 2_000;

/// Demand that one VM states for the batches it owns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statements {
    /// Monotonic clock of the store at the time of writing, in milliseconds.
    pub at_ms: u64,
    pub statements: Vec<Statement>,
}

/// Stored value of an order; times by the clock of the store.
#[derive(Debug, Serialize, Deserialize)]
struct Value {
    count: u32,
    previous: u32,
    floor: u32,
    state: State,
    ordered_ms: Option<u64>,
    is_repeated: bool,
    refused_ms: Option<u64>,
    /// Epoch of the lease under which the row was written.
    epoch: u64,
}

/// Key of the demand that a VM states.
#[must_use]
pub fn demand_key(vm: &str) -> Key {
    Key { table: SCALING_TABLE, part: VM_PART.to_owned(), key: vm.to_owned() }
}

/// Range of the demand of all VMs.
#[must_use]
pub fn demand_range() -> Range {
    let part = VM_PART.to_owned();
    Range { table: SCALING_TABLE, part, from: String::new(), to: String::new(), limit: PAGE_ROWS }
}

/// Key of the order of a pool.
#[must_use]
pub fn order_key(service: &str, pool: &Pool) -> Key {
    let key = format!("{service}/{}/{}", pool.zone, pool.kind);
    Key { table: SCALING_TABLE, part: String::new(), key }
}

/// Range of the orders of a service.
#[must_use]
pub fn orders_range(service: &str) -> Range {
    // `0` is the byte after `/`, so this ends the range of keys with the prefix.
    let (from, to) = (format!("{service}/"), format!("{service}0"));
    Range { table: SCALING_TABLE, part: String::new(), from, to, limit: PAGE_ROWS }
}

/// Pool of the order with the key `key`.
///
/// # Errors
/// Fails if the key does not end with a zone and a kind.
pub fn decode_pool(service: &str, key: &str) -> Result<Pool, DecodeError> {
    let parts = key.strip_prefix(service).and_then(|rest| rest.strip_prefix('/'));
    let (zone, kind) = parts.and_then(|rest| rest.rsplit_once('/')).unwrap_or_default();
    match Kind::ALL.into_iter().find(|known| known.to_string() == kind) {
        Some(kind) => Ok(Pool { zone: zone.to_owned(), kind }),
        None => Err(DecodeError::new(format!("key {key} names no kind of worker"))),
    }
}

/// Encodes an order that is written under the lease `epoch`.
#[must_use]
pub fn encode_order(row: &Row, epoch: u64, link: &Link, now: Instant) -> Bytes {
    let store_ms = |at: Instant| link.store_ms(now).saturating_sub(millis(now.since(at)));
    encode(&Value {
        count: row.count,
        previous: row.previous,
        floor: row.floor,
        state: row.state,
        ordered_ms: row.ordered_at.map(store_ms),
        is_repeated: row.is_repeated,
        refused_ms: row.refused_at.map(store_ms),
        epoch,
    })
}

/// Local time at which the store's clock showed the stored time `ms`. A time that lies in the future
/// is of before a restart of that clock and counts as long past: otherwise refused pools would stay
/// closed, orders would never be overdue, and the demand of VMs that are gone would stay.
#[must_use]
pub fn decode_time(ms: u64, link: &Link, now: Instant) -> Instant {
    let is_ahead = ms > link.store_ms(now).saturating_add(MAX_AHEAD_MS);
    if is_ahead { Instant::default() } else { link.local_time(ms, now) }
}

/// Decodes an order.
///
/// # Errors
/// Fails if the bytes are not an order.
pub fn decode_order(bytes: &[u8], link: &Link, now: Instant) -> Result<Row, DecodeError> {
    let value: Value = decode(bytes)?;
    let local_time = |ms| decode_time(ms, link, now);
    Ok(Row {
        count: value.count,
        previous: value.previous,
        floor: value.floor,
        state: value.state,
        ordered_at: value.ordered_ms.map(local_time),
        is_repeated: value.is_repeated,
        refused_at: value.refused_ms.map(local_time),
    })
}
