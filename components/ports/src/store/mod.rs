//! Port to the row store that keeps all durable state of the entry daemon.
//!
//! A transaction is atomic and linearizable. A change without an answer stays
//! [`Fault::Unknown`]: it may have taken effect, or may still do so while its checks hold.

pub mod fake;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use derive_more::{Display, Error};

/// Most rows in one transaction, checks and deletions included.
pub const MAX_ENTRIES: usize = 100;
/// Most bytes of values in one transaction: the store takes 1 MB of encoded text, and the encoding
/// of values adds a third.
pub const MAX_TRANSACTION_BYTES: usize = 640 * 1024;
/// Most bytes of one value.
pub const MAX_VALUE_BYTES: usize = 48 * 1024;

/// Address of a row.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{table}/{part}/{key}")]
pub struct Key {
    /// Table name.
    pub table: &'static str,
    /// Unit of atomicity; all rows of a transaction share it.
    pub part: String,
    /// Name within the part.
    pub key: String,
}

/// Row as read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Part.
    pub part: String,
    /// Name within the part.
    pub key: String,
    /// Value; absent in a change that deletes the row.
    pub value: Option<Bytes>,
    /// Version, which rises with each change of any row.
    pub version: u64,
}

/// Rows that must have a version, and changes that are made if they do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Versions that must hold; 0 stands for a row that does not exist.
    pub checks: Vec<(Key, u64)>,
    /// New values.
    pub writes: Vec<(Key, Bytes)>,
    /// Rows to delete.
    pub deletes: Vec<Key>,
}

/// Consecutive rows of a part.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Rows in key order.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub has_more: bool,
    /// Newest version of the store at the time of the read.
    pub version: u64,
    /// Steady clock of the store in milliseconds.
    pub now_ms: u64,
}

/// Result of a committed transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Commit {
    /// Version of the rows written.
    pub version: u64,
    /// Steady clock of the store in milliseconds.
    pub now_ms: u64,
}

/// Range of keys to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
    /// Table name.
    pub table: &'static str,
    /// Part.
    pub part: String,
    /// First key.
    pub from: String,
    /// Key after the last one; all if empty.
    pub to: String,
    /// Most rows.
    pub limit: usize,
}

/// Why a call gave no result.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// A check did not hold; nothing was changed. Holds the present rows of the checks.
    #[display("{} rows differ from the checks", _0.len())]
    Conflict(#[error(not(source))] Vec<Row>),
    /// Nothing was done.
    #[display("store unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The change may have been made, or may still be made.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The changes asked for are no longer kept; read all rows again.
    #[display("history expired")]
    Expired,
}

/// Row store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Commits all changes if all checks hold.
    ///
    /// # Errors
    /// Only [`Fault::Unknown`] leaves open whether it committed.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<Commit, Fault>> + Send;

    /// Reads a range as of one moment.
    ///
    /// # Errors
    /// Fails with [`Fault::Unavailable`].
    fn range(&self, range: Range) -> impl Future<Output = Result<Page, Fault>> + Send;

    /// Changes of a table after `version`, as soon as there is one, or none after `wait`.
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
