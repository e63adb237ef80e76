//! Drain marks of operators: rows `drain/<name>` in the table service, shared by all gateways.
//!
//! Marks are not part of the configuration, so that draining a VM needs no new configuration
//! version. Each gateway reads them every second; while the table service is down, the last known
//! marks remain in effect.

use std::time::Duration;

use filbertsail_api::table::{Query, Scan, Transaction, Write};
use filbertsail_ports::table::{Error, Table as _};
use rand::RngExt;
use serde_json::json;
use tokio::time;

use crate::{
    ports::{Agent, Table},
    readiness::Readiness,
    router::{Router, Source},
};

/// Prefix of the row keys.
pub const PREFIX: &str = "drain/";
/// Interval between reads. A mark must stop new work within 3 s.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Marks per page of a scan.
const PAGE_ROWS: u32 = 1_000;

/// Sets or removes the mark of the worker or daemon `name`; `token` identifies the transaction and
/// must be unique.
///
/// # Errors
/// See [`Error`].
pub async fn set(table: &Table, name: &str, draining: bool, token: String) -> Result<(), Error> {
    let key = format!("{PREFIX}{name}");
    let value = draining.then(|| json!({ "draining": true }));
    let writes = vec![Write { key, value }];
    table.transact(Transaction { token, checks: Vec::new(), writes }).await.map(|_| ())
}

/// Whether `name` is marked.
///
/// # Errors
/// Fails if the table service is unreachable.
pub async fn is_marked(table: &Table, name: &str) -> Result<bool, Error> {
    let keys = vec![format!("{PREFIX}{name}")];
    Ok(!table.read(Query { keys }).await?.is_empty())
}

/// Names of all marked workers and daemons.
async fn list_marked(table: &Table) -> Result<Vec<String>, Error> {
    let mut names = Vec::new();
    let mut after = None;
    loop {
        let scan = Scan { prefix: PREFIX.to_owned(), after, limit: PAGE_ROWS };
        let rows = table.scan(scan).await?.rows;
        names.extend(rows.iter().filter_map(|row| row.key.strip_prefix(PREFIX)).map(str::to_owned));
        match rows.last() {
            Some(last) if rows.len() == PAGE_ROWS as usize => after = Some(last.key.clone()),
            _ => return Ok(names),
        }
    }
}

/// Applies the marks of backend servers and of the gateway `own_name`; never returns.
pub async fn watch(
    table: Table,
    router: Router,
    own_name: String,
    readiness: Readiness,
    agent: Agent,
) {
    let mut was_marked = false;
    loop {
        if let Ok(names) = list_marked(&table).await {
            let marked = names.contains(&own_name);
            if marked != was_marked {
                was_marked = marked;
                readiness.set_marked_draining(marked);
                agent.set_draining(readiness.is_draining());
            }
            router.set_leaving(Source::Operator, names);
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        time::sleep(READ_INTERVAL.mul_f64(jitter)).await;
    }
}
