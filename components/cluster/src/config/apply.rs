//! Writes a new configuration version by compare-and-set.

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
    /// The text is not a valid inventory.
    #[display("invalid inventory: {_0}")]
    Invalid(#[error(not(source))] String),
    /// The daemon does not reach more than half of the daemons that it knows.
    #[display("this daemon sees {reachable} of {known} daemons, which is no majority")]
    Minority {
        /// Number of reachable daemons, including this one.
        reachable: usize,
        /// Number of known daemons, including this one.
        known: usize,
    },
    /// Another change was accepted first.
    #[display("version {} by {} was accepted first", _0.version, _0.author)]
    Lost(#[error(not(source))] Lost),
    /// Nothing was written: the table service gave no usable answer.
    #[display("not applied: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The change may or may not have been accepted.
    #[display("outcome of version {version} unknown: {reason}")]
    Unknown {
        /// Version that the change has if it was accepted.
        version: u64,
        /// SHA-256 of the text in hex.
        digest: String,
        /// Cause in plain text.
        reason: String,
    },
}

/// Writes the text of `apply` as the next version.
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
        return Err(Error::Lost(winning_head(head)));
    }
    let digest = filbertsail_config::digest(&apply.text);
    let snapshot = Snapshot::parse(current + 1, &digest, &apply.text).map_err(Error::Invalid)?;
    let transaction = new_transaction(&snapshot, &apply.author, rows.first(), &token)?;
    match table.transact(transaction).await {
        Ok(_) => Ok(snapshot),
        Err(table::Error::Conflict(_)) => Err(lost_race(table, &snapshot, "conflict").await),
        Err(table::Error::Unknown(reason)) => {
            resolve_unknown_outcome(table, snapshot, &token, reason).await
        }
        Err(error) => Err(unavailable(error)),
    }
}

fn new_transaction(
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

/// Reports the current head as the winning change; version 0 if there is no head.
fn winning_head(head: Option<Head>) -> Lost {
    let no_head = || Head { version: 0, digest: String::new(), author: String::new() };
    let head = head.unwrap_or_else(no_head);
    Lost { author: head.author, digest: head.digest, version: head.version }
}

fn unknown_outcome(snapshot: &Snapshot, reason: impl Into<String>) -> Error {
    let digest = snapshot.digest.clone();
    Error::Unknown { version: snapshot.version, digest, reason: reason.into() }
}

/// Error after a lost race: reads which change took the version.
async fn lost_race<T: Table>(table: &T, snapshot: &Snapshot, reason: &str) -> Error {
    let keys = vec![key(snapshot.version)];
    match table.read(Query { keys }).await.map(|rows| value::<Version>(&rows)) {
        Ok(Ok(Some(row))) => {
            Error::Lost(Lost { author: row.author, digest: row.digest, version: row.version })
        }
        // The change was not accepted; only the winner is unknown.
        _ => Error::Unavailable(format!("{reason}; the winner could not be read")),
    }
}

/// Resolves a write of unknown outcome. Version rows are never replaced, so the token of the row
/// shows whether this change wrote it.
async fn resolve_unknown_outcome<T: Table>(
    table: &T,
    snapshot: Snapshot,
    token: &str,
    reason: String,
) -> Result<Snapshot, Error> {
    let rows = table.read(Query { keys: vec![key(snapshot.version)] }).await;
    let rows = rows.map_err(|error| unknown_outcome(&snapshot, error.to_string()))?;
    match rows.first() {
        Some(row) if row.token == token => Ok(snapshot),
        Some(_) => Err(lost_race(table, &snapshot, "another change came first").await),
        None => Err(unknown_outcome(&snapshot, reason)),
    }
}
