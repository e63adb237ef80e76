//! Removal of expired claims.

use std::time::Duration;

use filbertsail_api::table::{Check, Expect, Row, Scan, Transaction, Write};
use filbertsail_ports::table::{Error, Table};

use crate::row::{Claim, PREFIX};

/// Age at which a claim expires; callers repeat a request within minutes.
pub const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// Rows in one page of the scan.
const PAGE_ROWS: u32 = 256;
/// Largest number of rows that one transaction removes.
const MAX_BATCH_ROWS: usize = 64;

/// Whether the claim in `row` has expired at the Unix time `now_s`, in seconds.
#[must_use]
pub fn is_expired(row: &Row, now_s: u64) -> bool {
    Claim::from_row(row)
        .is_some_and(|claim| claim.created_s.saturating_add(RETENTION.as_secs()) <= now_s)
}

/// Removes expired claims and returns their number; `token` is the prefix of transaction tokens.
///
/// # Errors
/// Fails if the table service fails; the next sweep removes the remaining rows.
pub async fn remove_expired<T: Table>(table: &T, token: &str, now_s: u64) -> Result<usize, Error> {
    let mut removed = 0;
    let mut after = None;
    loop {
        let scan = Scan { prefix: PREFIX.to_owned(), after, limit: PAGE_ROWS };
        let rows = table.scan(scan).await?.rows;
        let expired: Vec<&Row> = rows.iter().filter(|row| is_expired(row, now_s)).collect();
        for batch in expired.chunks(MAX_BATCH_ROWS) {
            match table.transact(removal_transaction(format!("{token}-{removed}"), batch)).await {
                Ok(_) => removed += batch.len(),
                // Another gateway changed or removed a row; the next sweep removes the rest.
                Err(Error::Conflict(_)) => {}
                Err(error) => return Err(error),
            }
        }
        match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS as usize => after = Some(last.key.clone()),
            _ => return Ok(removed),
        }
    }
}

fn removal_transaction(token: String, rows: &[&Row]) -> Transaction {
    let check = |row: &&Row| Check {
        key: row.key.clone(),
        expect: Expect::Revision { revision: row.revision },
    };
    let write = |row: &&Row| Write { key: row.key.clone(), value: None };
    Transaction {
        token,
        checks: rows.iter().map(check).collect(),
        writes: rows.iter().map(write).collect(),
    }
}
