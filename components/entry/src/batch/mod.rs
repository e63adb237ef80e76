//! Batches of rollout items.
//!
//! A batch is accepted once its rows lie in the store. One VM, its owner, runs the items and lists
//! results. A position is given in a transaction that checks the owner's row, before any reader
//! sees it, so that two owners never give it twice. Any VM answers for any batch, from memory or
//! from the store.

pub mod attempt;
pub mod calls;
pub mod execution;
pub mod listing;
pub mod plan;
pub mod rows;
pub mod takeover;
pub mod task;

use serde::{Deserialize, Serialize};

/// One item of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Identifier.
    pub id: String,
    /// Path of its request.
    pub path: String,
    /// Headers of its request.
    pub headers: Vec<(String, String)>,
    /// Body of its request.
    pub body: Vec<u8>,
    /// Index of its group.
    pub group: u32,
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Most tokens of its output.
    pub max_tokens: u64,
    /// Tokens of its output as the caller expects, often far off.
    pub expected_tokens: u64,
}

/// Batch as submitted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Step of the trainer.
    pub step: u64,
    /// Model.
    pub model: String,
    /// Oldest weight version that may produce its tokens.
    pub min_version: u64,
    /// Groups that the trainer waits for.
    pub wanted: u32,
    /// Names of the groups, in the order of the submission.
    pub groups: Vec<String>,
    /// Items.
    pub items: Vec<Item>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Its whole output is there.
    Completed,
    /// It was given up.
    Dead,
}

/// Result of an item, at a position of its batch that never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Item.
    pub id: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Weight versions that produced the events, oldest first.
    pub versions: Vec<u64>,
}

/// Output of an unfinished item, from which any worker can go on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Item.
    pub id: String,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// Events so far.
    pub events: u32,
    /// Data of the events, separated by line feeds.
    pub text: String,
    /// Weight versions that produced them.
    pub versions: Vec<u64>,
}

/// Process that runs a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// VM name.
    pub vm: String,
    /// Incarnation of the process.
    pub incarnation: u64,
}

/// Call that has stored a copy of a submission. Each call writes rows of its own, so that those of a
/// copy that was not accepted can be deleted at any time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// VM name.
    pub vm: String,
    /// Number drawn for the call.
    pub call: u64,
}

/// Row that says who runs a batch. Its version is checked by every transaction on the batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// Owner; absent after it was handed over.
    pub owner: Option<Owner>,
    /// Rises with each change of the owner.
    pub epoch: u64,
    /// Call whose copy of the submission was accepted.
    pub writer: Writer,
    /// Rows of the submission.
    pub chunks: u32,
    /// Number of items.
    pub total: u32,
    /// Host that it was submitted to.
    pub host: String,
    /// Model.
    pub model: String,
    /// Versions by which its samples may lag behind the newest version at the submission; absent
    /// while no version has been named.
    pub lag: Option<u64>,
    /// Hashes of the groups' names, from which later owners tell which groups are carried over.
    pub groups: Vec<u32>,
    /// Steady clock of the store at the submission, in milliseconds.
    pub accepted_ms: u64,
    /// Whether the caller has ended it.
    pub ended: bool,
    /// Whether all items are listed.
    pub complete: bool,
}
