//! Acceptance of a new configuration by compare-and-set.

use derive_more::{Display, Error};
use filbertsail_api::{
    admin::{Apply, Lost},
    table::{Check, Expect, Query, Row, Transaction, Write},
};
use filbertsail_ports::table::{self, Table};

use super::{HEAD, Head, Snapshot, Version, key, task::value};

/// Why a configuration was not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Error {
    /// The text is no inventory.
    #[display("invalid inventory: {_0}")]
    Invalid(#[error(not(source))] String),
    /// The daemon does not see more than half of the daemons that it knows.
    #[display("this daemon sees {seen} of {known} daemons, which is no majority")]
    Minority {
        /// Daemons seen as live.
        seen: usize,
        /// Daemons known.
        known: usize,
    },
    /// Another change came first.
    #[display("version {} by {} came first", _0.version, _0.author)]
    Lost(#[error(not(source))] Lost),
    /// Nothing was written: the table was not reached.
    #[display("not applied: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The change may or may not have been accepted.
    #[display("outcome of version {version} unknown: {reason}")]
    Unknown {
        /// Version that was written, if any.
        version: u64,
        /// SHA-256 of the text in hex.
        digest: String,
        /// Cause for people.
        reason: String,
    },
}

/// Writes `apply` as the next version.
pub(crate) async fn write<T: Table>(
    table: &T,
    apply: &Apply,
    token: String,
) -> Result<Snapshot, Error> {
    let unavailable = |error: table::Error| Error::Unavailable(error.to_string());
    let rows = table.read(Query { keys: vec![HEAD.to_owned()] }).await.map_err(unavailable)?;
    let head = value::<Head>(&rows).map_err(Error::Unavailable)?;
    let current = head.as_ref().map_or(0, |head| head.version);
    if apply.expect_version.is_some_and(|version| version != current) {
        return Err(Error::Lost(lost(head)));
    }
    let digest = filbertsail_config::digest(&apply.text);
    let snapshot = Snapshot::parse(current + 1, &digest, &apply.text).map_err(Error::Invalid)?;
    let transaction = transaction(&snapshot, &apply.author, rows.first(), &token)?;
    match table.transact(transaction).await {
        Ok(_) => Ok(snapshot),
        Err(table::Error::Conflict(_)) => Err(winner(table, &snapshot, "conflict").await),
        Err(table::Error::Unknown(reason)) => settle(table, snapshot, &token, reason).await,
        Err(error) => Err(unavailable(error)),
    }
}

fn transaction(
    snapshot: &Snapshot,
    author: &str,
    head: Option<&Row>,
    token: &str,
) -> Result<Transaction, Error> {
    let invalid = |error: serde_json::Error| Error::Invalid(error.to_string());
    let (version, digest) = (snapshot.version, snapshot.digest.clone());
    let author = author.to_owned();
    let new_head = Head { version, digest: digest.clone(), author: author.clone() };
    let text = snapshot.text.to_string();
    let row = Version { version, digest, author, text };
    let expect = head.map_or(Expect::Absent, |row| Expect::Revision { revision: row.revision });
    Ok(Transaction {
        token: token.to_owned(),
        checks: vec![
            Check { key: key(version), expect: Expect::Absent },
            Check { key: HEAD.to_owned(), expect },
        ],
        writes: vec![
            Write { key: key(version), value: Some(serde_json::to_value(row).map_err(invalid)?) },
            Write {
                key: HEAD.to_owned(),
                value: Some(serde_json::to_value(new_head).map_err(invalid)?),
            },
        ],
    })
}

/// The head that another change left behind; version 0 if there is none.
fn lost(head: Option<Head>) -> Lost {
    let none = || Head { version: 0, digest: String::new(), author: String::new() };
    let head = head.unwrap_or_else(none);
    Lost { author: head.author, digest: head.digest, version: head.version }
}

fn unknown(snapshot: &Snapshot, reason: impl Into<String>) -> Error {
    let digest = snapshot.digest.clone();
    Error::Unknown { version: snapshot.version, digest, reason: reason.into() }
}

/// Reads who wrote the version that this change wanted to be.
async fn winner<T: Table>(table: &T, snapshot: &Snapshot, reason: &str) -> Error {
    let keys = vec![key(snapshot.version)];
    match table.read(Query { keys }).await.map(|rows| value::<Version>(&rows)) {
        Ok(Ok(Some(row))) => {
            Error::Lost(Lost { author: row.author, digest: row.digest, version: row.version })
        }
        // The change is known not to be accepted; only the winner's name is missing.
        _ => Error::Unavailable(format!("{reason}; the winner could not be read")),
    }
}

/// Settles a lost answer. The row of a version is never replaced, so its token tells who wrote it.
async fn settle<T: Table>(
    table: &T,
    snapshot: Snapshot,
    token: &str,
    reason: String,
) -> Result<Snapshot, Error> {
    let rows = table.read(Query { keys: vec![key(snapshot.version)] }).await;
    let rows = rows.map_err(|error| unknown(&snapshot, error.to_string()))?;
    match rows.first() {
        Some(row) if row.token == token => Ok(snapshot),
        Some(_) => Err(winner(table, &snapshot, "another change came first").await),
        None => Err(unknown(&snapshot, reason)),
    }
}
