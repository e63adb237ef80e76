//! Following of tables in the store.
//!
//! All rows are read once, then changes from that version on. When the history has expired, or the
//! store was away, all rows are read again. A feed may fall silent without an error, so each wait
//! is short.

mod operator;
mod workers;

use std::time::Duration;

use filbertsail_ports::store::{Fault, Page, Range, Row, Store};
use filbertsail_telemetry::event::Line;
use rand::RngExt;
use tokio::time::sleep;

pub use operator::operator;
pub use workers::workers;

use crate::shared::Shared;

/// Usual wait for a change.
pub const WAIT: Duration = Duration::from_millis(1_000);
/// Pause before a call is repeated after a failure.
const RETRY: Duration = Duration::from_millis(150);
/// Longest pause; the store's return must be noticed within a fraction of a second.
const MAX_RETRY: Duration = Duration::from_millis(500);
/// Rows per read.
const LIMIT: usize = 500;

/// News of a table.
#[derive(Clone, Debug)]
pub enum News {
    /// All rows; rows known before and missing here are gone.
    Snapshot(Vec<Row>),
    /// Changed rows.
    Changes(Vec<Row>),
}

/// Table to follow.
#[derive(Clone, Debug)]
pub struct Table {
    /// Name.
    pub name: &'static str,
    /// Parts that it is known to have.
    pub parts: Vec<String>,
    /// Whether failures of this table's feed count as loss of the store.
    pub watches_link: bool,
    /// Pause after each news while this VM runs batches, so that several changes share a call.
    pub pause: Duration,
    /// Pause after each news otherwise.
    pub idle_pause: Duration,
    /// Longest wait for a change. It bounds the time lost on a feed that fell silent.
    pub wait: Duration,
}

/// Follows a table for good.
pub async fn follow<S: Store>(
    shared: Shared,
    store: S,
    table: Table,
    mut news: impl FnMut(News) + Send,
) {
    let mut backoff = RETRY;
    loop {
        let mut version = match snapshot(&store, &table).await {
            Ok((rows, page)) => {
                answered(&shared, &table, &page);
                news(News::Snapshot(rows));
                page.version
            }
            Err(fault) => {
                failed(&shared, &table, &fault, &mut backoff).await;
                continue;
            }
        };
        let mut wait = table.wait;
        loop {
            match store.changes(table.name, version, wait).await {
                Ok(page) => {
                    backoff = RETRY;
                    wait = table.wait;
                    answered(&shared, &table, &page);
                    version = page.version.max(version);
                    if !page.rows.is_empty() {
                        news(News::Changes(page.rows));
                        let runs = *shared.runs_batches.borrow();
                        sleep(if runs { table.pause } else { table.idle_pause }).await;
                    }
                }
                Err(Fault::Expired) => {
                    Line::new("history_expired").with("table", table.name).info();
                    break;
                }
                Err(fault) => {
                    failed(&shared, &table, &fault, &mut backoff).await;
                    // The store's return shows at once, not only with its next change.
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
                limit: LIMIT,
            };
            let mut page = store.range(range).await?;
            let more = page.has_more;
            if let Some(last) = page.rows.last() {
                // The key right after the last one read.
                from = format!("{}\0", last.key);
            }
            rows.append(&mut page.rows);
            // Changes made between the reads come again with the first version.
            first.get_or_insert(page);
            if !more {
                break;
            }
        }
    }
    Ok((rows, first.unwrap_or_default()))
}

fn answered(shared: &Shared, table: &Table, page: &Page) {
    if !table.watches_link {
        return;
    }
    let now = shared.now();
    shared.link.send_if_modified(|link| {
        link.clock = Some((page.now_ms, now));
        let lost = link.lost.take();
        if let Some(lost) = lost {
            link.returned = Some(now);
            let away = now.since(lost).as_millis();
            shared.metrics.store("regained");
            Line::new("store_regained").with("away_ms", away).info();
        }
        if lost.is_some() || link.regained.is_none() {
            link.regained = Some(now);
            return true;
        }
        false
    });
}

async fn failed(shared: &Shared, table: &Table, fault: &Fault, backoff: &mut Duration) {
    if table.watches_link {
        let now = shared.now();
        shared.link.send_if_modified(|link| {
            if link.lost.is_some() {
                return false;
            }
            shared.metrics.store("lost");
            Line::new("store_lost").with("table", table.name).with("reason", fault).warn();
            link.lost = Some(now);
            true
        });
    }
    let jitter = 0.5 + rand::rng().random::<f64>() / 2.0;
    sleep(backoff.mul_f64(jitter)).await;
    *backoff = (*backoff * 2).min(MAX_RETRY);
}
