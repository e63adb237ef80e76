//! Table rows of rounds, their keys, and the conditions and writes for transactions on them.

use filbertsail_api::{
    table::{Check, Expect, Row, Write},
    trainer,
};
/// Row `manifest/<trainer>/<step>`: the only batch of a step.
pub use filbertsail_rollout::ledger::Manifest;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use sha2::{Digest, Sha256};

/// State of a posted round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// To be processed and delivered.
    Open,
    /// Cancelled by the trainer.
    Cancelled,
    /// Delivered and acknowledged by the trainer.
    Acknowledged,
}

/// Row `round/<trainer>/<step>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// SHA-256 of the posted body in canonical JSON, in hex.
    pub digest: String,
    /// Object key of the posted body.
    pub object: String,
    pub state: State,
    /// Number of samples requested.
    pub samples: u64,
    /// Delivery cursor sent with the acknowledgement.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cursor: Option<String>,
}

/// Row `progress/<trainer>/<step>`: groups stored before the manifest is written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Index and object key of each stored group.
    pub groups: Vec<(u32, String)>,
}

/// Fields of the lease row that concern rounds.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Lease {
    /// Name of the daemon that holds the lease; absent or empty if there is none.
    #[serde(default)]
    pub holder: Option<String>,
    /// Fencing token.
    pub epoch: u64,
}

/// Scope of the lease on a trainer's rounds.
#[must_use]
pub fn lease_scope(trainer: &str) -> String {
    format!("trainer/{trainer}")
}

/// Key of the lease row for a trainer's rounds.
#[must_use]
pub fn lease_key(trainer: &str) -> String {
    format!("lease/{}", lease_scope(trainer))
}

/// Key of a round's row. The step is zero-padded so that keys sort by step.
#[must_use]
pub fn round_key(trainer: &str, step: u64) -> String {
    format!("round/{trainer}/{step:020}")
}

/// Key of a step's manifest row.
#[must_use]
pub fn manifest_key(trainer: &str, step: u64) -> String {
    format!("manifest/{trainer}/{step:020}")
}

/// Key of the row that lists a step's stored groups.
#[must_use]
pub fn progress_key(trainer: &str, step: u64) -> String {
    format!("progress/{trainer}/{step:020}")
}

/// Step in a round, manifest or progress key; `None` if the key does not end in a number.
#[must_use]
pub fn step_from_key(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// SHA-256 of a round's canonical JSON, in hex.
///
/// # Panics
/// Never: the type can always be encoded as JSON.
#[must_use]
pub fn round_digest(round: &trainer::Round) -> String {
    let body = serde_json::to_vec(round).expect("a round can be encoded as JSON");
    hex::encode(Sha256::digest(body))
}

/// Decodes the value of a row; `None` if it is not a `T`.
#[must_use]
pub fn decode<T: DeserializeOwned>(row: &Row) -> Option<T> {
    T::deserialize(&row.value).ok()
}

/// Write of `value` under `key`.
///
/// # Panics
/// Panics if the value cannot be encoded as JSON.
#[must_use]
pub fn write<T: Serialize>(key: String, value: &T) -> Write {
    let value = serde_json::to_value(value).expect("a row value can be encoded as JSON");
    Write { key, value: Some(value) }
}

/// Removal of the row with `key`.
#[must_use]
pub fn remove(key: String) -> Write {
    Write { key, value: None }
}

/// Condition that a row is absent.
#[must_use]
pub fn expect_absent(key: String) -> Check {
    Check { key, expect: Expect::Absent }
}

/// Condition that a row has not changed since it was read.
#[must_use]
pub fn expect_unchanged(row: &Row) -> Check {
    Check { key: row.key.clone(), expect: Expect::Revision { revision: row.revision } }
}

/// Condition that the lease on a trainer's rounds still has the fencing token `epoch`.
#[must_use]
pub fn expect_epoch(trainer: &str, epoch: u64) -> Check {
    let expect = Expect::Field { name: "epoch".to_owned(), equals: Value::from(epoch) };
    Check { key: lease_key(trainer), expect }
}
