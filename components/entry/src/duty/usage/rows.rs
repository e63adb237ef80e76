//! Rows of usage reports in the store.
//!
//! | part | key | value |
//! | --- | --- | --- |
//! | `clock` | `agreed` | [`Agreement`] |
//! | `clock` | `vm/` VM | [`Proposal`] |
//! | `counts/` length `/` number | window, VM, incarnation, chunk | counts of one VM |
//! | `reports/` length | `report/` window `/head` | [`Head`] |
//! | `reports/` length | `report/` window `/part/` token `/` number | a chunk of the counts |
//! | `reports/` length | `state` | [`State`] |
//!
//! The length of a window is part of the names, so that a change of the setting starts anew and
//! indexes of two lengths never meet.

use std::collections::BTreeMap;

use bytes::Bytes;
use filbertsail_ports::store::{Fault, Key, Page, Range, Row, Store};
use filbertsail_telemetry::event::Line;
use filbertsail_usage::{Window, counter};
use serde::{Deserialize, Serialize};

use crate::{
    batch::rows::{self, PAGE_ROWS},
    shared::Identity,
};

/// Table of usage reports.
pub const USAGE_TABLE: &str = "usage";
/// Rows of counts in one read: those of 420 VMs with one row each, and 1 MB at most.
const COUNT_PAGE_ROWS: usize = 120;
/// Parts of the counts. A part commits 200 transactions a second, and all VMs together write 150.
pub const COUNT_PARTS: u64 = 4;
const CLOCK_PART: &str = "clock";
const AGREED_KEY: &str = "agreed";
const STATE_KEY: &str = "state";
const REPORTS_PREFIX: &str = "report/";
/// Size in bytes of a chunk of a report, which leaves room for one long name in a row.
const REPORT_CHUNK_BYTES: usize = 40 * 1024;

/// First row of a stored report.
#[derive(Debug, Serialize, Deserialize)]
pub struct Head {
    /// Distinguishes the chunks of this report from those of a report that was not completed.
    pub token: String,
    /// Number of chunks.
    pub chunks: u32,
}

fn key(part: String, key: String) -> Key {
    Key { table: USAGE_TABLE, part, key }
}

/// Key of the agreed offset.
pub fn agreed_key() -> Key {
    key(CLOCK_PART.to_owned(), AGREED_KEY.to_owned())
}

/// Key of the proposal of a VM.
pub fn proposal_key(vm: &str) -> Key {
    key(CLOCK_PART.to_owned(), format!("vm/{vm}"))
}

/// Range of the agreed offset and, with `proposals`, those of all VMs.
pub fn clock_range(proposals: bool) -> Range {
    let to = if proposals { String::new() } else { format!("{AGREED_KEY}\0") };
    let from = AGREED_KEY.to_owned();
    Range { table: USAGE_TABLE, part: CLOCK_PART.to_owned(), from, to, limit: PAGE_ROWS }
}

/// Whether the row holds the agreed offset.
pub fn is_agreed(row: &Row) -> bool {
    row.key == AGREED_KEY
}

/// Key of a chunk of the counts of a VM in a window.
pub fn count_key(window: Window, index: u64, identity: &Identity, chunk: usize) -> Key {
    let part = rows::hash(&identity.vm) % COUNT_PARTS;
    let (vm, incarnation) = (&identity.vm, identity.incarnation);
    key(count_part(window, part), format!("{index:012}/{vm}/{incarnation:016x}/{chunk:04}"))
}

fn count_part(window: Window, number: u64) -> String {
    format!("counts/{}/{number}", window.length_ms())
}

/// Range of the counts of all windows up to `index` in one part.
pub fn counts_range(window: Window, number: u64, index: u64) -> Range {
    let to = format!("{:012}/", index + 1);
    let part = count_part(window, number);
    Range { table: USAGE_TABLE, part, from: String::new(), to, limit: COUNT_PAGE_ROWS }
}

/// Window of a row of counts.
pub fn count_window(row: &Row) -> Option<u64> {
    row.key.split('/').next()?.parse().ok()
}

fn reports_part(window: Window) -> String {
    format!("reports/{}", window.length_ms())
}

/// Key of the state of the reports.
pub fn state_key(window: Window) -> Key {
    key(reports_part(window), STATE_KEY.to_owned())
}

/// Range of the state alone.
pub fn state_range(window: Window) -> Range {
    let (part, from) = (reports_part(window), STATE_KEY.to_owned());
    Range { table: USAGE_TABLE, part, from, to: format!("{STATE_KEY}\0"), limit: 1 }
}

/// Range of the stored reports and the state.
pub fn reports_range(window: Window) -> Range {
    let (part, from) = (reports_part(window), REPORTS_PREFIX.to_owned());
    Range { table: USAGE_TABLE, part, from, to: String::new(), limit: PAGE_ROWS }
}

/// Whether the row holds the state of the reports.
pub fn is_state(row: &Row) -> bool {
    row.key == STATE_KEY
}

/// Key of the first row of a report.
pub fn head_key(window: Window, index: u64) -> Key {
    key(reports_part(window), format!("{REPORTS_PREFIX}{index:012}/head"))
}

/// Key of a chunk of a report.
pub fn chunk_key(window: Window, index: u64, token: &str, number: u32) -> Key {
    key(reports_part(window), format!("{REPORTS_PREFIX}{index:012}/part/{token}/{number:04}"))
}

/// Chunks of the counts of a report.
pub fn encode_report(counts: &BTreeMap<String, u64>) -> Vec<Bytes> {
    let mut chunks: Vec<Vec<(&String, &u64)>> = Vec::new();
    let mut size = usize::MAX;
    for count in counts {
        if size >= REPORT_CHUNK_BYTES {
            size = 0;
            chunks.push(Vec::new());
        }
        size += count.0.len() + size_of::<u64>() + size_of::<u32>();
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(count);
        }
    }
    chunks.iter().map(rows::encode).collect()
}

/// Counts of a report, of which `rows` has all rows; nothing if one is missing or corrupt.
pub fn decode_report(window: Window, index: u64, rows: &[Row]) -> Option<BTreeMap<String, u64>> {
    let value = |key: &Key| rows.iter().find(|row| row.key == key.key)?.value.as_deref();
    let head: Head = rows::decode(value(&head_key(window, index))?).ok()?;
    let mut counts = BTreeMap::new();
    for number in 0..head.chunks {
        let chunk = value(&chunk_key(window, index, &head.token, number))?;
        counts.extend(rows::decode::<Vec<(String, u64)>>(chunk).ok()?);
    }
    Some(counts)
}

/// Counts of a VM as a row.
pub fn encode_counts(counts: &[counter::Count]) -> Bytes {
    let counts: Vec<(&str, u64)> = counts.iter().map(|(name, count)| (&**name, *count)).collect();
    rows::encode(&counts)
}

/// Counts in a row; none if it is corrupt, which is logged.
pub fn decode_counts(row: &Row) -> Vec<(String, u64)> {
    rows::decode(row.value.as_deref().unwrap_or_default()).unwrap_or_else(|error| {
        Line::new("row_corrupt").with("usage", &row.key).with("reason", error).error();
        Vec::new()
    })
}

/// Reads a range of any length.
///
/// # Errors
/// Fails if one of the reads fails.
pub async fn read_all<S: Store>(store: &S, mut range: Range) -> Result<Vec<Row>, Fault> {
    let mut rows = Vec::new();
    loop {
        let Page { rows: page, has_more, .. } = store.range(range.clone()).await?;
        if let Some(last) = page.last() {
            // The smallest key after the last one read.
            range.from = format!("{}\0", last.key);
        }
        rows.extend(page);
        if !has_more {
            return Ok(rows);
        }
    }
}
