//! Calls to the table service, which fail if it refuses them or does not answer. Each trainer task
//! runs at most one at a time.

use filbertsail_api::table::{Expect, Query, Row, Scan, Transaction};
use filbertsail_ports::table::{Error, Table};
use filbertsail_rollout::ledger::{Entry, Manifest, Record};
use filbertsail_rounds::{row, transaction_token};
use serde_json::Value;

/// Rows read per scan.
const PAGE_ROWS: u32 = 256;

/// Result of a table call.
pub enum Outcome {
    /// Commit of a batch.
    Commit(Entry, Commit),
    /// Batches that the table holds after deliveries were recorded; `None` if the lease is lost.
    Record(Result<Option<Vec<Entry>>, Error>),
    /// Write of the progress row of a step; `false` if the lease is lost.
    Progress(u64, Result<bool, Error>),
    /// Epoch in the lease row.
    Probe(Result<Option<u64>, Error>),
    /// Rounds and manifests, and the steps that were read one by one.
    Refresh(Vec<u64>, Result<Rows, Error>),
}

/// Result of a commit.
pub enum Commit {
    /// The batch is recorded.
    Committed,
    /// The step already has this batch.
    Existing(Manifest),
    /// The round is no longer open.
    Closed,
    /// Another holder has the lease.
    LeaseLost,
    /// The table refused the call or did not answer.
    Failed(Error),
}

/// Rounds and manifests of a trainer.
#[derive(Default)]
pub struct Rows {
    /// Rounds by step.
    pub rounds: Vec<(u64, row::Round)>,
    /// Manifests by step.
    pub manifests: Vec<Entry>,
}

/// Commits the batch of a step unless the step already has one.
pub async fn commit<T: Table>(table: T, trainer: &str, epoch: u64, entry: &Entry) -> Commit {
    let (lease, manifest) = (row::lease_key(trainer), row::manifest_key(trainer, entry.step));
    let round = row::round_key(trainer, entry.step);
    let open = Expect::Field { name: "state".to_owned(), equals: Value::from("open") };
    let transaction = Transaction {
        checks: vec![
            row::expect_epoch(trainer, epoch),
            row::expect_absent(manifest.clone()),
            filbertsail_api::table::Check { key: round, expect: open },
        ],
        token: transaction_token(),
        writes: vec![
            row::write(manifest.clone(), &entry.manifest),
            row::remove(row::progress_key(trainer, entry.step)),
        ],
    };
    match table.transact(transaction).await {
        Ok(_) => Commit::Committed,
        Err(Error::Conflict(refusal)) => {
            let find = |key: &str| refusal.conflicts.iter().find(|conflict| conflict.key == key);
            if find(&lease).is_some() {
                return Commit::LeaseLost;
            }
            let existing = find(&manifest).and_then(|conflict| conflict.row.as_ref());
            match existing.and_then(row::decode::<Manifest>) {
                Some(existing) => Commit::Existing(existing),
                None => Commit::Closed,
            }
        }
        Err(error) => Commit::Failed(error),
    }
}

/// Records batches that were delivered by cursor. `None` means that the lease is lost.
pub async fn record<T: Table>(
    table: T,
    trainer: &str,
    epoch: u64,
    record: &Record,
) -> Result<Option<Vec<Entry>>, Error> {
    let all = || record.accepted.iter().chain(&record.unconfirmed);
    let keys = all().map(|entry| row::manifest_key(trainer, entry.step)).collect();
    let rows = table.read(Query { keys }).await?;
    let mut checks = vec![row::expect_epoch(trainer, epoch)];
    let (mut writes, mut recorded) = (Vec::new(), Vec::new());
    for entry in all() {
        let key = row::manifest_key(trainer, entry.step);
        let row = rows.iter().find(|row| row.key == key);
        checks.push(row.map_or_else(|| row::expect_absent(key.clone()), row::expect_unchanged));
        let known = row.and_then(row::decode::<Manifest>);
        let keeps_row = |known: &Manifest| {
            known.digest == entry.manifest.digest || !record.accepted.contains(entry)
        };
        if let Some(manifest) = known.filter(keeps_row) {
            recorded.push(Entry { step: entry.step, manifest });
        } else {
            writes.push(row::write(key, &entry.manifest));
            recorded.push(entry.clone());
        }
    }
    let transaction = Transaction { checks, token: transaction_token(), writes };
    let written = lease_check_passed(table.transact(transaction).await.map(drop), trainer)?;
    Ok(written.then_some(recorded))
}

/// Writes the progress row of a step. `Ok(false)` means that the lease is lost.
pub async fn progress<T: Table>(
    table: T,
    trainer: &str,
    epoch: u64,
    step: u64,
    progress: &row::Progress,
) -> Result<bool, Error> {
    let transaction = Transaction {
        checks: vec![
            row::expect_epoch(trainer, epoch),
            row::expect_absent(row::manifest_key(trainer, step)),
        ],
        token: transaction_token(),
        writes: vec![row::write(row::progress_key(trainer, step), progress)],
    };
    lease_check_passed(table.transact(transaction).await.map(drop), trainer)
}

fn lease_check_passed(result: Result<(), Error>, trainer: &str) -> Result<bool, Error> {
    match result {
        Ok(()) => Ok(true),
        Err(Error::Conflict(refusal)) => {
            let lease = row::lease_key(trainer);
            if refusal.conflicts.iter().any(|conflict| conflict.key == lease) {
                return Ok(false);
            }
            Err(Error::Conflict(refusal))
        }
        Err(error) => Err(error),
    }
}

/// Reads the epoch in the lease row.
pub async fn probe<T: Table>(table: T, trainer: &str) -> Result<Option<u64>, Error> {
    let rows = table.read(Query { keys: vec![row::lease_key(trainer)] }).await?;
    Ok(rows.first().and_then(row::decode::<row::Lease>).map(|lease| lease.epoch))
}

/// Reads all rounds and manifests after `after_step`, and those of `steps`.
pub async fn refresh<T: Table>(
    table: T,
    trainer: &str,
    after_step: Option<u64>,
    steps: &[u64],
) -> Result<Rows, Error> {
    let mut found = Rows::default();
    let rounds =
        scan(&table, row::round_key(trainer, 0), trainer, after_step, row::round_key).await?;
    let manifests =
        scan(&table, row::manifest_key(trainer, 0), trainer, after_step, row::manifest_key).await?;
    let keys = steps
        .iter()
        .flat_map(|step| [row::round_key(trainer, *step), row::manifest_key(trainer, *step)]);
    let keys: Vec<String> = keys.collect();
    let single = if keys.is_empty() { Vec::new() } else { table.read(Query { keys }).await? };
    for row in rounds.iter().chain(&manifests).chain(&single) {
        let Some(step) = row::step_from_key(&row.key) else { continue };
        if row.key.starts_with("round/") {
            found.rounds.extend(row::decode(row).map(|round| (step, round)));
        } else {
            found.manifests.extend(row::decode(row).map(|manifest| Entry { step, manifest }));
        }
    }
    Ok(found)
}

async fn scan<T: Table>(
    table: &T,
    first: String,
    trainer: &str,
    after_step: Option<u64>,
    key: impl Fn(&str, u64) -> String,
) -> Result<Vec<Row>, Error> {
    let prefix = first.trim_end_matches(|c: char| c.is_ascii_digit()).to_owned();
    let mut after = after_step.map(|after_step| key(trainer, after_step));
    let mut all = Vec::new();
    loop {
        let scan = Scan { after, limit: PAGE_ROWS, prefix: prefix.clone() };
        let rows = table.scan(scan).await?.rows;
        let is_last_page = rows.len() < PAGE_ROWS as usize;
        after = rows.last().map(|row| row.key.clone());
        all.extend(rows);
        if is_last_page {
            return Ok(all);
        }
    }
}
