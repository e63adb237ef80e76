//! Operators' drain marks: rows `drain/<name>` in the table service, shared by all gateways.
//!
//! A mark is part of the fleet's state and not of the configuration, so that draining a machine
//! needs no new configuration version. Each gateway reads the marks every second; while the table
//! service is down the last ones stay in force.

use std::time::Duration;

use filbertsail_api::table::{Query, Scan, Transaction, Write};
use filbertsail_ports::table::{Error, Table as _};
use rand::RngExt;
use serde_json::json;
use tokio::time;

use crate::{
    gate::Gate,
    ports::{Agent, Table},
    router::{Router, Source},
};

/// Prefix of the rows.
pub const PREFIX: &str = "drain/";
/// Interval of reads; a mark must stop new work within 3 s.
const INTERVAL: Duration = Duration::from_secs(1);
/// Most marks read at a time.
const PAGE_ROWS: u32 = 1_000;

/// Sets or removes the mark of `name`; `token` must be unique.
///
/// # Errors
/// See [`Error`].
pub async fn set(table: &Table, name: &str, draining: bool, token: String) -> Result<(), Error> {
    let key = format!("{PREFIX}{name}");
    let value = draining.then(|| json!({ "draining": true }));
    let writes = vec![Write { key, value }];
    table.transact(Transaction { token, checks: Vec::new(), writes }).await.map(|_| ())
}

/// Whether `name` carries a mark.
///
/// # Errors
/// Fails if the table service is not reached.
pub async fn get(table: &Table, name: &str) -> Result<bool, Error> {
    let keys = vec![format!("{PREFIX}{name}")];
    Ok(!table.read(Query { keys }).await?.is_empty())
}

/// Names that carry a mark.
async fn all(table: &Table) -> Result<Vec<String>, Error> {
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

/// Follows the marks of backend servers and of the gateway `own` itself; never ends.
pub async fn follow(table: Table, router: Router, own: String, gate: Gate, agent: Agent) {
    let mut drained = false;
    loop {
        if let Ok(names) = all(&table).await {
            let marked = names.contains(&own);
            if marked != drained {
                drained = marked;
                gate.set_marked(marked);
                agent.set_draining(gate.is_draining());
            }
            router.set_leaving(Source::Operator, names);
        }
        let jitter = rand::rng().random_range(0.8..1.2);
        time::sleep(INTERVAL.mul_f64(jitter)).await;
    }
}
