//! Batches of rollout items.
//!
//! A batch is accepted once its rows are in the store. One VM, the owner, runs the items and
//! appends their results. Each append checks the version of the owner's row in its transaction and
//! becomes visible to readers only after the commit, so two owners never assign the same position.
//! Any VM serves reads of any batch, from memory or from the store.

pub mod attempt;
pub mod backfill;
pub mod calls;
pub mod evacuation;
pub mod execution;
pub mod listing;
pub mod plan;
pub mod reward;
pub mod rows;
pub mod takeover;
pub mod task;

use serde::{Deserialize, Serialize};

/// Item of a batch, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    pub id: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Index of its group in [`Submission::groups`].
    pub group: u32,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the output in tokens.
    pub max_tokens: u64,
    /// Output length in tokens as the caller estimates it, often far off.
    pub expected_tokens: u64,
    /// Request that scores the finished output; stored after the items, see [`rows`].
    #[serde(skip)]
    pub reward: Option<reward::Call>,
}

impl Item {
    /// Largest number of tokens of prompt and output together.
    #[must_use]
    pub fn largest_size(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_tokens)
    }
}

/// Batch as submitted by a caller.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Training step.
    pub step: u64,
    /// Model that runs the items.
    pub model: String,
    /// Oldest weight version that may generate tokens.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub wanted: u32,
    /// Names of the groups, in the order of the submission.
    pub groups: Vec<String>,
    pub items: Vec<Item>,
}

impl Submission {
    /// Output tokens that the items are expected to need.
    #[must_use]
    pub fn expected_output(&self) -> u64 {
        let tokens = self.items.iter().map(|item| item.expected_tokens.min(item.max_tokens));
        tokens.fold(0, u64::saturating_add)
    }
}

/// How an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The output is complete.
    Completed,
    /// The item was given up.
    Dead,
    /// The output is complete and has this score.
    Scored(String),
}

/// Result of an item. Its position in the batch never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the item.
    pub id: String,
    pub outcome: Outcome,
    /// Data of all events, joined with line feeds.
    pub text: String,
    /// Weight versions that generated the events, oldest first.
    pub versions: Vec<u64>,
}

/// Partial output of an item, from which any worker can continue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Identifier of the item.
    pub id: String,
    /// Number of the last event.
    pub last_event: Option<u64>,
    /// Events so far.
    pub events: u32,
    /// Data of the events, joined with line feeds.
    pub text: String,
    /// Weight versions that generated the events.
    pub versions: Vec<u64>,
    /// Whether the output is complete and only its score is missing; stored after the other fields,
    /// see [`rows`].
    #[serde(skip)]
    pub is_complete: bool,
    /// Failures of the item that workers have reported, to whatever owner; stored after the other
    /// fields, see [`rows`].
    #[serde(skip)]
    pub failures: u32,
}

impl Partial {
    /// Number of events that a row with this output saves; the end of a complete output counts as
    /// one.
    #[must_use]
    pub fn saved_events(&self) -> u32 {
        self.events + u32::from(self.is_complete)
    }
}

/// Process that owns a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    pub vm: String,
    /// Incarnation of the process, which differs after each start.
    pub incarnation: u64,
}

/// Call that stored a copy of a submission. Each call writes its own rows, so the rows of a copy
/// that was not accepted can be deleted at any time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    pub vm: String,
    /// Random number of the call.
    pub call: u64,
}

/// Owner's row of a batch. Every transaction on the batch checks its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Meta {
    /// Owner; absent after a handover.
    pub owner: Option<Owner>,
    /// Incremented with each change of the owner.
    pub epoch: u64,
    /// Call whose copy of the submission was accepted.
    pub writer: Writer,
    /// Number of rows that hold the submission.
    pub chunks: u32,
    /// Number of items.
    pub total: u32,
    /// Host of the submission request.
    pub host: String,
    /// Model that runs the items.
    pub model: String,
    /// Weight versions by which its samples may lag behind the newest one at the submission; absent
    /// if no version was known.
    pub lag: Option<u64>,
    /// Hashes of the group names, which later owners use to find carried-over groups.
    pub groups: Vec<u32>,
    /// Monotonic clock of the store at the submission, in milliseconds.
    pub accepted_ms: u64,
    /// Whether the caller ended the batch.
    pub ended: bool,
    /// Whether all results are stored.
    pub complete: bool,
    /// Version of the configuration under which the batch was accepted. An owner with an older one
    /// may lack its routes. Stored after the other fields, see [`rows`].
    #[serde(skip)]
    pub config_version: u64,
    /// Output tokens that its items are expected to need; 0 if models do not share the workers.
    /// Stored after the other fields, see [`rows`].
    #[serde(skip)]
    pub work: u64,
    /// Workspace whose keys may use the batch; any caller may if absent. Stored after the other
    /// fields, see [`rows`].
    #[serde(skip)]
    pub workspace: Option<String>,
    /// Whether the batch was accepted without a key on a public route while the configuration had
    /// workspaces. Stored after the other fields, see [`rows`].
    #[serde(skip)]
    pub is_public: bool,
}
