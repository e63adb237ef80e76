//! Wire format of store calls between VMs.

use std::time::Duration;

use filbertsail_ports::store::{
    Commit, Fault, Key, Page, Range, Row as StoreRow, Store, Transaction,
};
use serde::{Deserialize, Serialize};

/// Tables that relayed calls may access, encoded as their position in this list.
#[derive(Clone, Copy, Debug)]
pub struct Tables(pub &'static [&'static str]);

/// Call to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Call {
    Transact {
        /// Rows with their required version.
        checks: Vec<(Address, u64)>,
        /// Rows with their new value.
        writes: Vec<(Address, Vec<u8>)>,
        deletes: Vec<Address>,
    },
    /// Read of a range.
    Range {
        /// First row.
        from: Address,
        /// Exclusive upper bound of the keys; no bound if empty.
        to: String,
        /// Largest number of rows.
        limit: u32,
    },
    /// Long poll for changes.
    Changes {
        /// Position of the table.
        table: u8,
        /// Version after which changes are returned.
        version: u64,
        /// Longest wait, in milliseconds.
        wait_ms: u64,
    },
}

/// Address of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Address {
    table: u8,
    part: String,
    key: String,
}

/// Encoded row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    part: String,
    key: String,
    value: Option<Vec<u8>>,
    version: u64,
}

/// Result of a store call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Version of the committed transaction, and the store's clock in milliseconds.
    Committed(u64, u64),
    /// Rows, whether more follow, the newest version, and the store's clock in milliseconds.
    Rows(Vec<Row>, bool, u64, u64),
    /// A check failed; the rows as they are.
    Conflict(Vec<Row>),
    /// The call had no effect; the reason.
    Unavailable(String),
    /// The transaction may have been committed; the reason.
    Unknown(String),
    /// The requested history is no longer available.
    Expired,
}

impl Tables {
    fn position(self, table: &str) -> u8 {
        let position = self.0.iter().position(|name| *name == table);
        // The peer rejects a table that is not listed.
        position.and_then(|position| u8::try_from(position).ok()).unwrap_or(u8::MAX)
    }

    fn name(self, position: u8) -> Option<&'static str> {
        self.0.get(usize::from(position)).copied()
    }

    fn address(self, key: &Key) -> Address {
        let table = self.position(key.table);
        Address { table, part: key.part.clone(), key: key.key.clone() }
    }

    fn key(self, address: Address) -> Option<Key> {
        let table = self.name(address.table)?;
        Some(Key { table, part: address.part, key: address.key })
    }

    /// Encodes a transaction.
    #[must_use]
    pub fn transact(self, transaction: &Transaction) -> Call {
        let checks = transaction.checks.iter();
        let writes = transaction.writes.iter();
        Call::Transact {
            checks: checks.map(|(key, version)| (self.address(key), *version)).collect(),
            writes: writes.map(|(key, value)| (self.address(key), value.to_vec())).collect(),
            deletes: transaction.deletes.iter().map(|key| self.address(key)).collect(),
        }
    }

    /// Encodes the read of a range.
    #[must_use]
    pub fn range(self, range: &Range) -> Call {
        let table = self.position(range.table);
        let from = Address { table, part: range.part.clone(), key: range.from.clone() };
        let limit = u32::try_from(range.limit).unwrap_or(u32::MAX);
        Call::Range { from, to: range.to.clone(), limit }
    }

    /// Encodes a long poll for changes.
    #[must_use]
    pub fn changes(self, table: &str, version: u64, wait: Duration) -> Call {
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        Call::Changes { table: self.position(table), version, wait_ms }
    }

    /// Executes a call from a peer.
    pub async fn serve<S: Store>(self, store: &S, call: Call) -> Answer {
        let unknown_table = || Answer::Unavailable("unknown table".to_owned());
        match call {
            Call::Transact { checks, writes, deletes } => {
                let checks =
                    checks.into_iter().map(|(key, version)| Some((self.key(key)?, version)));
                let writes =
                    writes.into_iter().map(|(key, value)| Some((self.key(key)?, value.into())));
                let deletes = deletes.into_iter().map(|key| self.key(key));
                let (Some(checks), Some(writes), Some(deletes)) =
                    (checks.collect(), writes.collect(), deletes.collect())
                else {
                    return unknown_table();
                };
                match store.transact(Transaction { checks, writes, deletes }).await {
                    Ok(commit) => Answer::Committed(commit.version, commit.now_ms),
                    Err(fault) => fault.into(),
                }
            }
            Call::Range { from, to, limit } => {
                let Some(key) = self.key(from) else { return unknown_table() };
                let (part, from, limit) = (key.part, key.key, limit as usize);
                store.range(Range { table: key.table, part, from, to, limit }).await.into()
            }
            Call::Changes { table, version, wait_ms } => {
                let Some(table) = self.name(table) else { return unknown_table() };
                store.changes(table, version, Duration::from_millis(wait_ms)).await.into()
            }
        }
    }
}

impl From<Fault> for Answer {
    fn from(fault: Fault) -> Self {
        match fault {
            Fault::Conflict(rows) => Self::Conflict(rows.into_iter().map(Row::from).collect()),
            Fault::Unavailable(reason) => Self::Unavailable(reason),
            Fault::Unknown(reason) => Self::Unknown(reason),
            Fault::Expired => Self::Expired,
        }
    }
}

impl From<Result<Page, Fault>> for Answer {
    fn from(result: Result<Page, Fault>) -> Self {
        match result {
            Ok(page) => {
                let rows = page.rows.into_iter().map(Row::from).collect();
                Self::Rows(rows, page.has_more, page.version, page.now_ms)
            }
            Err(fault) => fault.into(),
        }
    }
}

impl From<StoreRow> for Row {
    fn from(row: StoreRow) -> Self {
        let value = row.value.map(Vec::from);
        Self { part: row.part, key: row.key, value, version: row.version }
    }
}

impl From<Row> for StoreRow {
    fn from(row: Row) -> Self {
        let value = row.value.map(Into::into);
        Self { part: row.part, key: row.key, value, version: row.version }
    }
}

impl Answer {
    fn fault(self) -> Fault {
        match self {
            Self::Conflict(rows) => Fault::Conflict(rows.into_iter().map(StoreRow::from).collect()),
            Self::Unavailable(reason) => Fault::Unavailable(reason),
            Self::Unknown(reason) => Fault::Unknown(reason),
            Self::Expired => Fault::Expired,
            Self::Committed(..) | Self::Rows(..) => {
                Fault::Unknown("peer answered with the result of another kind of call".to_owned())
            }
        }
    }

    /// Result of a transaction.
    ///
    /// # Errors
    /// Returns the fault of the call, or an unknown outcome if the answer is not to a transaction.
    pub fn commit(self) -> Result<Commit, Fault> {
        match self {
            Self::Committed(version, now_ms) => Ok(Commit { version, now_ms }),
            other => Err(other.fault()),
        }
    }

    /// Result of a read.
    ///
    /// # Errors
    /// Returns the fault of the call; one of unknown outcome counts as unavailable.
    pub fn page(self) -> Result<Page, Fault> {
        match self {
            Self::Rows(rows, has_more, version, now_ms) => {
                let rows = rows.into_iter().map(StoreRow::from).collect();
                Ok(Page { rows, has_more, version, now_ms })
            }
            // A read has no effect, so its outcome does not matter.
            other => Err(match other.fault() {
                Fault::Unknown(reason) => Fault::Unavailable(reason),
                fault => fault,
            }),
        }
    }
}
