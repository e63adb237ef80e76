//! Following of store tables.
//!
//! All rows are read once, then changes from that version on. After the history has expired, all
//! rows are read again. A change feed may stop without an error, so each wait is short.

mod operator;
mod workers;

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_ports::store::{Fault, Page, Range, Row, Store};
use filbertsail_telemetry::event::Line;
use rand::RngExt;
use tokio::time::sleep;

pub use operator::{apply_operator_row, operator};
pub use workers::workers;

use crate::shared::Shared;

/// Default wait for a change.
pub const WAIT: Duration = Duration::from_millis(1_000);
/// First delay after a failed call; it doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Largest delay; the recovery of the store must be noticed within a fraction of a second.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);
const ROWS_PER_READ: usize = 500;

/// Update of a table.
#[derive(Clone, Debug)]
pub enum Update {
    /// All rows, read after the given time; rows that are missing here have been deleted.
    Snapshot(Vec<Row>, Instant),
    /// Changed and deleted rows, and the time as of which they are complete. There are none if the
    /// wait for a change ended without one.
    Changes(Vec<Row>, Instant),
}

/// Table to follow.
#[derive(Clone, Debug)]
pub struct Table {
    pub name: &'static str,
    /// Parts to read.
    pub parts: Vec<String>,
    /// Whether failures of this table's feed count as a store outage.
    pub tracks_outages: bool,
    /// Delay after each update while this VM runs batches, so that one call returns several
    /// changes.
    pub busy_delay: Duration,
    /// Delay after each update otherwise.
    pub idle_delay: Duration,
    /// Longest wait for a change. It bounds the time lost on a feed that has stopped.
    pub wait: Duration,
}

/// Follows a table and passes its updates on; never returns.
pub async fn follow<S: Store>(
    shared: Shared,
    store: S,
    table: Table,
    mut on_update: impl FnMut(Update) + Send,
) {
    let mut backoff = RETRY_DELAY;
    loop {
        let sent_at = shared.now();
        let mut version = match snapshot(&store, &table).await {
            Ok((rows, page)) => {
                record_success(&shared, &table);
                on_update(Update::Snapshot(rows, sent_at));
                page.version
            }
            Err(fault) => {
                record_failure(&shared, &table, &fault, &mut backoff).await;
                continue;
            }
        };
        let mut wait = table.wait;
        loop {
            let sent_at = shared.now();
            match store.changes(table.name, version, wait).await {
                Ok(page) => {
                    backoff = RETRY_DELAY;
                    wait = table.wait;
                    let answered_at = answer_time(&shared, &page, sent_at);
                    record_success(&shared, &table);
                    version = page.version.max(version);
                    let has_changes = !page.rows.is_empty();
                    on_update(Update::Changes(page.rows, answered_at));
                    if has_changes {
                        let is_busy = *shared.runs_batches.borrow();
                        sleep(if is_busy { table.busy_delay } else { table.idle_delay }).await;
                    }
                }
                Err(Fault::Expired) => {
                    Line::new("history_expired").with("table", table.name).info();
                    break;
                }
                Err(fault) => {
                    record_failure(&shared, &table, &fault, &mut backoff).await;
                    // Returns at once when the store recovers, not only with the next change.
                    wait = Duration::ZERO;
                }
            }
        }
    }
}

async fn snapshot<S: Store>(store: &S, table: &Table) -> Result<(Vec<Row>, Page), Fault> {
    let mut rows = Vec::new();
    let mut first: Option<Page> = None;
    for part in &table.parts {
        let mut from = String::new();
        loop {
            let range = Range {
                table: table.name,
                part: part.clone(),
                from: from.clone(),
                to: String::new(),
                limit: ROWS_PER_READ,
            };
            let mut page = store.range(range).await?;
            let has_more_rows = page.has_more;
            if let Some(last) = page.rows.last() {
                // The smallest key after the last one read.
                from = format!("{}\0", last.key);
            }
            rows.append(&mut page.rows);
            // Changes made between the reads are delivered again after the version of the first
            // page.
            first.get_or_insert(page);
            if !has_more_rows {
                break;
            }
        }
    }
    Ok((rows, first.unwrap_or_default()))
}

/// Local time at which the store made a response to a call sent at `sent_at`; that time if the response
/// does not state the clock. It may have waited since, in a VM that was frozen.
fn answer_time(shared: &Shared, page: &Page, sent_at: Instant) -> Instant {
    let now = shared.now();
    shared.link.borrow().local_time(page.now_ms, now).max(sent_at)
}

fn record_success(shared: &Shared, table: &Table) {
    if !table.tracks_outages {
        return;
    }
    let now = shared.now();
    shared.link.send_if_modified(|link| {
        let lost = link.lost.take();
        if let Some(lost) = lost {
            link.returned = Some(now);
            let outage_ms = now.since(lost).as_millis();
            shared.metrics.count_store_change("regained");
            Line::new("store_regained").with("away_ms", outage_ms).info();
        }
        if lost.is_some() || link.regained.is_none() {
            link.regained = Some(now);
            return true;
        }
        false
    });
}

async fn record_failure(shared: &Shared, table: &Table, fault: &Fault, backoff: &mut Duration) {
    if table.tracks_outages {
        let now = shared.now();
        shared.link.send_if_modified(|link| {
            if link.lost.is_some() {
                return false;
            }
            shared.metrics.count_store_change("lost");
            Line::new("store_lost").with("table", table.name).with("reason", fault).warn();
            link.lost = Some(now);
            true
        });
    }
    let jitter = 0.5 + rand::rng().random::<f64>() / 2.0;
    sleep(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(MAX_RETRY_DELAY);
}
