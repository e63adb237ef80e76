//! Port to the row store, which keeps all durable state of the entry daemon.
//!
//! Transactions are atomic and linearizable. One without a response is [`Fault::Unknown`]: it may
//! have committed, or may still do so as long as its checks hold.

pub mod fake;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};

/// Largest number of entries in one transaction: checks, writes and deletions.
pub const MAX_ENTRIES: usize = 100;
/// Largest total size of the values in one transaction: the store accepts 1 MB of encoded text, and
/// the encoding of values adds a third.
pub const MAX_TRANSACTION_BYTES: usize = 640 * 1024;
/// Largest size of one value.
pub const MAX_VALUE_BYTES: usize = 48 * 1024;

/// Full key of a row.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{table}/{part}/{key}")]
pub struct Key {
    /// Table name.
    pub table: &'static str,
    /// Partition of the table; all rows of a transaction are in the same one.
    pub part: String,
    /// Row key within the partition.
    pub key: String,
}

/// Row as of one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Partition of the table.
    pub part: String,
    /// Row key within the partition.
    pub key: String,
    /// Value; absent in a change that deletes the row.
    pub value: Option<Bytes>,
    /// Version of the store at which the row last changed.
    pub version: u64,
}

/// Changes that are made only if the checked rows have the expected versions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Rows and their expected versions; 0 means that the row must not exist.
    pub checks: Vec<(Key, u64)>,
    /// Rows to write with their new values.
    pub writes: Vec<(Key, Bytes)>,
    /// Rows to delete.
    pub deletes: Vec<Key>,
}

/// Consecutive rows of a partition, or consecutive changes of a table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Rows in key order; changes in the order of versions.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub has_more: bool,
    /// Version of the store at the time of the read.
    pub version: u64,
    /// Monotonic clock of the store in milliseconds; 0 if the response does not state it.
    pub now_ms: u64,
}

/// Result of a committed transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Version of the rows written.
    pub version: u64,
    /// Monotonic clock of the store in milliseconds; 0 if the response does not state it.
    pub now_ms: u64,
}

/// Range of keys to read from one partition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// Table name.
    pub table: &'static str,
    /// Partition of the table.
    pub part: String,
    /// First key, inclusive.
    pub from: String,
    /// End of the range, exclusive; unbounded if empty.
    pub to: String,
    /// Largest number of rows to return.
    pub limit: usize,
}

/// Failure of a call to the row store.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// A check failed and nothing was changed. Contains the current rows of all checks.
    #[display("conflict: a check on one of {} rows failed", _0.len())]
    Conflict(#[error(not(source))] Vec<Row>),
    /// The call was not executed.
    #[display("store unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The transaction may have committed or may still do so.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The store no longer keeps the requested changes; all rows must be read again.
    #[display("change history expired")]
    Expired,
}

/// Transactional row store with a change feed.
pub trait Store: Clone + Send + Sync + 'static {
    /// Commits all changes if all checks hold.
    ///
    /// # Errors
    /// Fails with any [`Fault`] but [`Fault::Expired`]; only [`Fault::Unknown`] leaves open whether
    /// the transaction committed.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<Commit, Fault>> + Send;

    /// Reads a range from one snapshot.
    ///
    /// # Errors
    /// Fails with [`Fault::Unavailable`].
    fn range(&self, range: Range) -> impl Future<Output = Result<Page, Fault>> + Send;

    /// Waits up to `wait` for changes of a table after `version`; returns none if there are none.
    ///
    /// # Errors
    /// Fails with [`Fault::Expired`] or [`Fault::Unavailable`].
    fn changes(
        &self,
        table: &'static str,
        version: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Page, Fault>> + Send;
}
