//! Loads a posted round and the sample groups that an earlier lease holder stored.

use std::time::Duration;

use filbertsail_api::{
    table::Query,
    trainer::{Group, Round},
};
use filbertsail_ports::{
    backoff::Backoff,
    object::{Error, Store},
    table::Table,
};
use filbertsail_rounds::{manifest, row};
use tokio::time::sleep;

const RETRY_BACKOFF: Backoff =
    Backoff { base: Duration::from_millis(50), max: Duration::from_secs(2) };

/// Result of loading a round.
pub struct Outcome {
    pub step: u64,
    /// Round as posted; `None` if its body is missing or malformed.
    pub round: Option<Round>,
    /// Groups that an earlier holder stored, with their object keys.
    pub groups: Vec<(String, Group)>,
}

/// Loads a round and retries while the object store does not answer. Without `table` it does not
/// read the groups of an earlier holder.
pub async fn run<T: Table, S: Store>(
    table: Option<T>,
    store: S,
    trainer: &str,
    step: u64,
    object: &str,
) -> Outcome {
    let mut attempt = 0;
    let body = loop {
        match store.get(object).await {
            Ok(body) => break body,
            Err(Error::NotFound) => return Outcome { step, round: None, groups: Vec::new() },
            Err(_) => {}
        }
        let delay = RETRY_BACKOFF.delay(attempt, &mut rand::rng());
        sleep(delay).await;
        attempt += 1;
    };
    let round = serde_json::from_slice(&body).ok();
    let groups = match table {
        Some(table) => stored_groups(table, store, trainer, step).await,
        None => Vec::new(),
    };
    Outcome { step, round, groups }
}

/// Groups of an earlier holder. Those that cannot be read are generated again.
async fn stored_groups<T: Table, S: Store>(
    table: T,
    store: S,
    trainer: &str,
    step: u64,
) -> Vec<(String, Group)> {
    let query = Query { keys: vec![row::progress_key(trainer, step)] };
    let Ok(rows) = table.read(query).await else { return Vec::new() };
    let progress = rows.first().and_then(row::decode::<row::Progress>).unwrap_or_default();
    let mut groups = Vec::new();
    for (_, key) in progress.groups {
        if let Ok(group) = manifest::read_group(&store, key.clone()).await {
            groups.push((key, group));
        }
    }
    groups
}
