//! Rounds as they were posted, with the groups that an earlier holder stored.

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

const BACKOFF: Backoff = Backoff { base: Duration::from_millis(50), max: Duration::from_secs(2) };

/// Round that was loaded.
pub struct Outcome {
    /// Step number.
    pub step: u64,
    /// Posted content; absent if the body does not exist.
    pub round: Option<Round>,
    /// Groups stored before.
    pub groups: Vec<(String, Group)>,
}

/// Loads a round; waits while the object store does not answer. Without `table` nothing of an
/// earlier holder is looked for.
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
        let wait = BACKOFF.wait(attempt, &mut rand::rng());
        sleep(wait).await;
        attempt += 1;
    };
    let round = serde_json::from_slice(&body).ok();
    let groups = match table {
        Some(table) => stored(table, store, trainer, step).await,
        None => Vec::new(),
    };
    Outcome { step, round, groups }
}

/// Groups of an earlier holder. Whatever cannot be read is generated again.
async fn stored<T: Table, S: Store>(
    table: T,
    store: S,
    trainer: &str,
    step: u64,
) -> Vec<(String, Group)> {
    let query = Query { keys: vec![row::progress_key(trainer, step)] };
    let Ok(rows) = table.read(query).await else { return Vec::new() };
    let progress = rows.first().and_then(row::parse::<row::Progress>).unwrap_or_default();
    let mut groups = Vec::new();
    for (_, key) in progress.groups {
        if let Ok(group) = manifest::read_group(&store, key.clone()).await {
            groups.push((key, group));
        }
    }
    groups
}
