//! Rows of the table service that concern rounds, and their keys.

use filbertsail_api::{
    table::{Check, Expect, Row, Write},
    trainer,
};
/// Row `manifest/<trainer>/<step>`: the one batch of a step.
pub use filbertsail_rollout::ledger::Manifest;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::Value;
use sha2::{Digest, Sha256};

/// State of a posted round.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// To be worked off and delivered.
    Open,
    /// Withdrawn by the trainer.
    Cancelled,
    /// Delivered, as the trainer confirmed.
    Acknowledged,
}

/// Row `round/<trainer>/<step>`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Round {
    /// SHA-256 of the posted body in canonical JSON, in hex.
    pub digest: String,
    /// Key of the body in the object store.
    pub object: String,
    /// State.
    pub state: State,
    /// Samples wanted.
    pub samples: u64,
    /// Cursor that came with the acknowledgement.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cursor: Option<String>,
}

/// Row `progress/<trainer>/<step>`: group bodies stored before the manifest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Group index and key of its body.
    pub groups: Vec<(u32, String)>,
}

/// Fields of the lease row that rounds need.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Lease {
    /// Daemon that holds the lease; absent or empty if nobody does.
    #[serde(default)]
    pub holder: Option<String>,
    /// Fencing number.
    pub epoch: u64,
}

/// Scope of the lease on a trainer's rounds.
#[must_use]
pub fn scope(trainer: &str) -> String {
    format!("trainer/{trainer}")
}

/// Key of the lease on a trainer's rounds.
#[must_use]
pub fn lease_key(trainer: &str) -> String {
    format!("lease/{}", scope(trainer))
}

/// Key of a round's row. Steps are padded so that the key order is the step order.
#[must_use]
pub fn round_key(trainer: &str, step: u64) -> String {
    format!("round/{trainer}/{step:020}")
}

/// Key of a manifest's row.
#[must_use]
pub fn manifest_key(trainer: &str, step: u64) -> String {
    format!("manifest/{trainer}/{step:020}")
}

/// Key of the row that lists stored groups.
#[must_use]
pub fn progress_key(trainer: &str, step: u64) -> String {
    format!("progress/{trainer}/{step:020}")
}

/// Step at the end of a row key.
#[must_use]
pub fn step_of(key: &str) -> Option<u64> {
    key.rsplit('/').next()?.parse().ok()
}

/// Digest of a round's content.
///
/// # Panics
/// Never: the type always has a JSON form.
#[must_use]
pub fn digest(round: &trainer::Round) -> String {
    let body = serde_json::to_vec(round).expect("a round has a JSON form");
    hex::encode(Sha256::digest(body))
}

/// Value of a row, if it has the wanted form.
#[must_use]
pub fn parse<T: DeserializeOwned>(row: &Row) -> Option<T> {
    T::deserialize(&row.value).ok()
}

/// Write of `value` under `key`.
///
/// # Panics
/// Panics if the value has no JSON form.
#[must_use]
pub fn write<T: Serialize>(key: String, value: &T) -> Write {
    let value = serde_json::to_value(value).expect("rows have a JSON form");
    Write { key, value: Some(value) }
}

/// Removal of the row under `key`.
#[must_use]
pub fn remove(key: String) -> Write {
    Write { key, value: None }
}

/// Condition that a row is absent.
#[must_use]
pub fn absent(key: String) -> Check {
    Check { key, expect: Expect::Absent }
}

/// Condition that a row has not changed since it was read.
#[must_use]
pub fn unchanged(row: &Row) -> Check {
    Check { key: row.key.clone(), expect: Expect::Revision { revision: row.revision } }
}

/// Condition that the lease on a trainer's rounds still has the fencing number `epoch`.
#[must_use]
pub fn fenced(trainer: &str, epoch: u64) -> Check {
    let expect = Expect::Field { name: "epoch".to_owned(), equals: Value::from(epoch) };
    Check { key: lease_key(trainer), expect }
}
