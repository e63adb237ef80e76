//! Rows of batches in the store.
//!
//! | table | key | value |
//! | --- | --- | --- |
//! | `batches` | batch | [`Meta`] |
//! | `batches` | VM | [`Heartbeat`](super::takeover::Heartbeat) |
//! | `bodies` | batch, VM, call, number | a chunk of the [`Submission`] |
//! | `results` | batch, position, number | a chunk of a [`Record`] |
//! | `partials` | batch, item | a [`Partial`](super::Partial) output |
//! | `loads` | VM | [`Observations`](super::takeover::Observations) |
//!
//! All rows of a batch are in one part, which is derived from its identifier. The number of parts
//! is fixed, so that a new VM reads all owners' rows in a few calls. The heartbeats are in
//! `batches` too, so that one feed delivers both.
//!
//! Owners' rows, submissions with reward calls, and outputs of items that wait for their score or
//! have failed have an extension after the value. Without one the bytes are those of earlier versions, which ignore
//! an extension.

use std::hash::{Hash, Hasher};

use bytes::Bytes;
use derive_more::{Display, Error};
use filbertsail_ports::store::{Key, MAX_VALUE_BYTES, Range, Row};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::{Meta, Partial, Record, Submission, Writer, reward};

/// Table of owners' rows and heartbeats.
pub const BATCHES_TABLE: &str = "batches";
/// Table of submissions.
pub const BODIES_TABLE: &str = "bodies";
/// Table of results.
pub const RESULTS_TABLE: &str = "results";
/// Table of partial outputs.
pub const PARTIALS_TABLE: &str = "partials";
/// Table of worker observations. VMs that run batches read it and no VM follows it, since it grows
/// with the number of workers and changes more than once a second.
pub const LOADS_TABLE: &str = "loads";
/// Part of the heartbeats and worker observations.
pub const VM_PART: &str = "vm";
/// Number of parts that hold batches. A part commits 200 transactions a second, and a batch needs
/// some tens.
const BATCH_PARTS: u64 = 8;
/// Maximum number of rows in one read.
pub const PAGE_ROWS: usize = 500;

/// Stored bytes or keys that cannot be decoded.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("row cannot be decoded: {_0}")]
pub struct DecodeError(#[error(not(source))] String);

impl DecodeError {
    /// Error with the given reason.
    #[must_use]
    pub fn new(reason: String) -> Self {
        Self(reason)
    }
}

/// Parts of the `batches` table.
#[must_use]
pub fn batches_parts() -> Vec<String> {
    (0..BATCH_PARTS).map(part_name).chain([VM_PART.to_owned()]).collect()
}

/// Part that holds all rows of a batch.
#[must_use]
pub fn batch_part(batch: &str) -> String {
    part_name(hash(batch) % BATCH_PARTS)
}

fn part_name(index: u64) -> String {
    format!("b{index}")
}

/// Hash that is equal on all VMs.
#[must_use]
pub fn hash(text: &str) -> u64 {
    let mut hasher = filbertsail_collections::Hasher::default();
    text.hash(&mut hasher);
    hasher.finish()
}

/// 32-bit hash that is equal on all VMs.
#[must_use]
pub fn hash32(text: &str) -> u32 {
    u32::try_from(hash(text) >> 32).unwrap_or_default()
}

/// Key of the owner's row of a batch.
#[must_use]
pub fn meta_key(batch: &str) -> Key {
    Key { table: BATCHES_TABLE, part: batch_part(batch), key: batch.to_owned() }
}

/// Key of the heartbeat of a VM.
#[must_use]
pub fn vm_key(vm: &str) -> Key {
    Key { table: BATCHES_TABLE, part: VM_PART.to_owned(), key: vm.to_owned() }
}

/// Key of the worker observations of a VM.
#[must_use]
pub fn load_key(vm: &str) -> Key {
    Key { table: LOADS_TABLE, part: VM_PART.to_owned(), key: vm.to_owned() }
}

/// Range of the worker observations of all VMs.
#[must_use]
pub fn loads_range() -> Range {
    let part = VM_PART.to_owned();
    Range { table: LOADS_TABLE, part, from: String::new(), to: String::new(), limit: PAGE_ROWS }
}

/// Key of a chunk of a submission.
#[must_use]
pub fn body_key(batch: &str, writer: &Writer, number: usize) -> Key {
    let key = format!("{}{number:04}", body_prefix(batch, writer));
    Key { table: BODIES_TABLE, part: batch_part(batch), key }
}

fn body_prefix(batch: &str, writer: &Writer) -> String {
    format!("{batch}/{}/{:016x}/", writer.vm, writer.call)
}

/// Range of the chunks of a submission.
#[must_use]
pub fn bodies_range(batch: &str, writer: &Writer) -> Range {
    prefix_range(BODIES_TABLE, batch, body_prefix(batch, writer))
}

/// Range of the chunks of all copies of a submission; several VMs may have tried to accept it.
#[must_use]
pub fn all_bodies_range(batch: &str) -> Range {
    prefix_range(BODIES_TABLE, batch, format!("{batch}/"))
}

/// Key of a chunk of a result.
#[must_use]
pub fn result_key(batch: &str, position: usize, number: usize) -> Key {
    Key {
        table: RESULTS_TABLE,
        part: batch_part(batch),
        key: format!("{batch}/{position:06}/{number:03}"),
    }
}

/// Range of the results from `position` on.
#[must_use]
pub fn results_range(batch: &str, position: usize) -> Range {
    let mut range = prefix_range(RESULTS_TABLE, batch, format!("{batch}/"));
    range.from = format!("{batch}/{position:06}/");
    range
}

/// Key of a partial output.
#[must_use]
pub fn partial_key(batch: &str, item: usize) -> Key {
    Key { table: PARTIALS_TABLE, part: batch_part(batch), key: format!("{batch}/{item:06}") }
}

/// Range of the partial outputs of a batch.
#[must_use]
pub fn partials_range(batch: &str) -> Range {
    prefix_range(PARTIALS_TABLE, batch, format!("{batch}/"))
}

fn prefix_range(table: &'static str, batch: &str, prefix: String) -> Range {
    // `0` is the byte after `/`, so this ends the range of keys with the prefix.
    let to = format!("{}0", &prefix[..prefix.len() - 1]);
    Range { table, part: batch_part(batch), from: prefix, to, limit: PAGE_ROWS }
}

/// Encodes a value as the bytes of a row.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Bytes {
    // Encoding a type with derived traits into memory cannot fail.
    bincode::serde::encode_to_vec(value, bincode::config::standard()).unwrap_or_default().into()
}

/// Decodes a value from the bytes of a row.
///
/// # Errors
/// Fails if the bytes are not a value of this type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(value, _)| value)
        .map_err(|error| DecodeError(error.to_string()))
}

/// Chunks of a value that fit into rows.
pub fn chunks(bytes: &Bytes) -> impl Iterator<Item = Bytes> + '_ {
    let count = bytes.len().div_ceil(MAX_VALUE_BYTES).max(1);
    (0..count).map(move |index| {
        let start = index * MAX_VALUE_BYTES;
        bytes.slice(start..bytes.len().min(start + MAX_VALUE_BYTES))
    })
}

/// Encodes a result as rows.
#[must_use]
pub fn encode_result(batch: &str, position: usize, record: &Record) -> Vec<(Key, Bytes)> {
    let bytes = encode(record);
    chunks(&bytes)
        .enumerate()
        .map(|(number, chunk)| (result_key(batch, position, number), chunk))
        .collect()
}

/// Decodes results from their rows, of which the first is at position `first`; an incomplete last
/// result is left out.
///
/// # Errors
/// Fails if a result cannot be decoded or a position is missing.
pub fn decode_results(rows: &[Row], first: usize) -> Result<Vec<Record>, DecodeError> {
    let mut results: Vec<Record> = Vec::new();
    let mut index = 0;
    while index < rows.len() {
        let position = position_of(&rows[index])?;
        if position != first + results.len() {
            return Err(DecodeError(format!("position {position} follows a gap")));
        }
        let mut bytes = Vec::new();
        while index < rows.len() && self::position_of(&rows[index])? == position {
            bytes.extend_from_slice(rows[index].value.as_deref().unwrap_or_default());
            index += 1;
        }
        match decode(&bytes) {
            Ok(record) => results.push(record),
            Err(_) if index == rows.len() => break,
            Err(error) => return Err(error),
        }
    }
    Ok(results)
}

fn position_of(row: &Row) -> Result<usize, DecodeError> {
    let mut parts = row.key.rsplit('/');
    let position = parts.nth(1).and_then(|text| text.parse().ok());
    position.ok_or_else(|| DecodeError(format!("key {} has no position", row.key)))
}

/// Decodes a submission from its rows.
///
/// # Errors
/// Fails if rows are missing or cannot be decoded.
pub fn decode_submission(rows: &[Row], meta: &Meta) -> Result<Submission, DecodeError> {
    if rows.len() != meta.chunks as usize {
        return Err(DecodeError(format!(
            "found {} of {} chunks of the submission",
            rows.len(),
            meta.chunks
        )));
    }
    let bytes: Vec<u8> =
        rows.iter().flat_map(|row| row.value.as_deref().unwrap_or_default()).copied().collect();
    let (mut submission, calls): (Submission, Calls) = decode_extended(&bytes)?;
    for (index, call) in calls {
        let item = submission.items.get_mut(index as usize);
        let item = item.ok_or_else(|| DecodeError(format!("no item {index} for a reward call")))?;
        item.reward = Some(call);
    }
    Ok(submission)
}

/// Reward calls of a submission, by the index of their item.
type Calls = Vec<(u32, reward::Call)>;

/// Encodes a submission, which may need several chunks.
#[must_use]
pub fn encode_submission(submission: &Submission) -> Bytes {
    let calls: Calls = (0..)
        .zip(&submission.items)
        .filter_map(|(index, item)| Some((index, item.reward.clone()?)))
        .collect();
    encode_extended(submission, (!calls.is_empty()).then_some(&calls))
}

/// Fields of an owner's row that follow the version of the configuration. They are stored as JSON,
/// so that each program reads the fields that it knows and ignores the others.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct Extension {
    #[serde(skip_serializing_if = "is_default")]
    work: u64,
    #[serde(skip_serializing_if = "is_default")]
    workspace: Option<String>,
    #[serde(skip_serializing_if = "is_default")]
    is_public: bool,
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// Encodes an owner's row.
#[must_use]
pub fn encode_meta(meta: &Meta) -> Bytes {
    let mut bytes = [encode(meta), encode(&meta.config_version)].concat();
    let extension =
        Extension { work: meta.work, workspace: meta.workspace.clone(), is_public: meta.is_public };
    if !is_default(&extension) {
        // Serialization of plain fields cannot fail.
        bytes.extend(serde_json::to_vec(&extension).unwrap_or_default());
    }
    bytes.into()
}

/// Decodes an owner's row.
///
/// # Errors
/// Fails if the bytes are not an owner's row.
pub fn decode_meta(bytes: &[u8]) -> Result<Meta, DecodeError> {
    let (meta, rest): (Meta, _) = decode_first(bytes)?;
    // Rows of earlier versions end here or after the version of the configuration.
    let (config_version, rest) = if rest.is_empty() { (0, rest) } else { decode_first(rest)? };
    let Extension { work, workspace, is_public } = match rest {
        [] => Extension::default(),
        rest => serde_json::from_slice(rest).map_err(|error| DecodeError(error.to_string()))?,
    };
    Ok(Meta { config_version, work, workspace, is_public, ..meta })
}

/// Encodes the output of an unfinished item.
#[must_use]
pub fn encode_partial(partial: &Partial) -> Bytes {
    let extension = (partial.is_complete, partial.failures);
    encode_extended(partial, (extension != (false, 0)).then_some(&extension))
}

/// Decodes the output of an unfinished item.
///
/// # Errors
/// Fails if the bytes are not such an output.
pub fn decode_partial(bytes: &[u8]) -> Result<Partial, DecodeError> {
    let (partial, is_complete) = decode_extended(bytes)?;
    // Rows of earlier versions have no failures.
    let failures =
        decode_extended::<Partial, (bool, u32)>(bytes).map_or(0, |(_, (_, count))| count);
    Ok(Partial { is_complete, failures, ..partial })
}

fn encode_extended<T: Serialize, E: Serialize>(value: &T, extension: Option<&E>) -> Bytes {
    let Some(extension) = extension else { return encode(value) };
    [encode(value), encode(extension)].concat().into()
}

/// Decodes a value and the extension after it; without one, it has its default value.
fn decode_extended<T: DeserializeOwned, E: DeserializeOwned + Default>(
    bytes: &[u8],
) -> Result<(T, E), DecodeError> {
    let (value, rest) = decode_first(bytes)?;
    let extension = if rest.is_empty() { E::default() } else { decode(rest)? };
    Ok((value, extension))
}

/// Decodes a value; returns it with the bytes after it.
fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(value, length)| (value, &bytes[length..]))
        .map_err(|error| DecodeError(error.to_string()))
}
