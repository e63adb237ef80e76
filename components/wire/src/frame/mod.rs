//! Frames, one type per message.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use derive_more::{From, TryInto};
use filbertsail_errors::Verdict;

/// Message between two daemons.
#[derive(Clone, Debug, PartialEq, From, TryInto)]
pub enum Frame {
    /// Sample or order of a controller, to be routed by a gateway.
    Dispatch(Dispatch),
    /// Token of a dispatched request.
    Token(Token),
    /// End of a dispatched request.
    Finish(Finish),
    /// Failure of a call.
    Fault(Fault),
    /// Order for a backend server.
    Order(Order),
    /// Answer to an order.
    Outcome(Outcome),
    /// Question for the workers of a service.
    Survey(Survey),
    /// Answer to a survey.
    Workers(Workers),
    /// Notice that a round was posted or cancelled.
    Notice(Notice),
    /// Round that the table service could not take.
    Offer(Offer),
    /// Fetch of a step's batch.
    Fetch(Fetch),
    /// Whole batch.
    Batch(Batch),
    /// Batch not whole yet.
    Progress(Progress),
    /// Membership digest.
    Digest(Digest),
    /// Hint that a newer configuration exists.
    Hint(Hint),
    /// Question for the peer's configuration.
    Pull(Pull),
    /// Configuration text.
    Config(Config),
    /// Empty answer.
    Done(Done),
    /// Call to the store, made by a daemon that reaches it.
    Relay(Relay),
    /// Answer of the store.
    Relayed(Relayed),
}

/// Identity of a daemon, sent at the start of each connection.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// Highest protocol version that the sender speaks.
    pub protocol: u16,
    /// Daemon name.
    pub name: String,
    /// Rises with each start of the daemon.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Peer port of the sender.
    pub address: SocketAddr,
    /// Unix time of sending in milliseconds.
    pub sent_at_ms: u64,
    /// Random value against replay.
    pub nonce: [u8; 16],
}

/// Part of a label: tokens produced by one weight version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Label {
    /// Weight version.
    pub version: u64,
    /// First token of the range.
    pub from: u32,
    /// Token after the last one of the range.
    pub to: u32,
}

/// Request of class rollout for a model worker.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Dispatch {
    /// Request identifier, unique for each attempt.
    pub request_id: String,
    /// Service name.
    pub service: String,
    /// Team that pays for the work.
    pub team: String,
    /// Trainer that the sample is for.
    pub trainer: String,
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens.
    pub max_tokens: u32,
    /// Higher runs first.
    pub priority: u32,
    /// Time left in milliseconds.
    pub deadline_ms: u64,
    /// Oldest weight version that may be used.
    pub min_version: Option<u64>,
    /// Workers to leave out, by name or by the request identifier of another attempt that runs there.
    pub avoid: Vec<String>,
}

/// Token of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Token {
    /// Token index from 0.
    pub index: u32,
    /// Token text.
    pub text: String,
    /// Weight version that produced it.
    pub weight_version: u64,
}

/// End of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Finish {
    /// Worker that answered.
    pub worker: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Weight versions by token range.
    pub labels: Vec<Label>,
    /// Whole text.
    pub text: String,
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Fault {
    /// Stable code in snake case.
    pub code: String,
    /// Text for people.
    pub message: String,
    /// Whether the request may have run.
    #[bincode(with_serde)]
    pub verdict: Verdict,
}

/// Order for a backend server with the wanted end state.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Order {
    /// Worker name.
    pub worker: String,
    /// Order identifier.
    pub id: String,
    /// Weight version to load.
    pub load_version: u64,
    /// Lease scope.
    pub scope: String,
    /// Fencing number.
    pub epoch: u64,
    /// Longest life of the order in milliseconds.
    pub life_ms: u64,
}

/// Answer to an order.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Outcome {
    /// The engine took the order.
    pub accepted: bool,
    /// Weights loaded now.
    pub weight_version: Option<u64>,
    /// Highest fencing number that the engine has seen; 0 if it checks none.
    pub epoch: u64,
}

/// Question for the workers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Survey {
    /// Service name.
    pub service: String,
}

/// State of one worker as seen by a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Worker {
    /// Worker name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Answers.
    pub live: bool,
    /// Receives no new work.
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Requests queued.
    pub queued: u32,
    /// Requests that run at full speed together.
    pub capacity: u32,
    /// Weights loaded; absent during or after a failed swap.
    pub weight_version: Option<u64>,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Answer to a survey.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Workers {
    /// Workers of the service.
    pub workers: Vec<Worker>,
}

/// Notice that the state of a round changed in the table service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Notice {
    /// Trainer name.
    pub trainer: String,
    /// Step number.
    pub step: u64,
}

/// Round whose body is stored and whose row the table service could not take.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Offer {
    /// Trainer name.
    pub trainer: String,
    /// Step number.
    pub step: u64,
    /// Key of the body in the object store.
    pub object: String,
    /// SHA-256 of the posted body in canonical JSON, in hex.
    pub digest: String,
    /// Samples wanted.
    pub samples: u64,
}

/// Fetch of a step's batch.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Fetch {
    /// Trainer name.
    pub trainer: String,
    /// Step number.
    pub step: u64,
    /// Weight version of the trainer.
    pub version: u64,
    /// Time to wait for a whole batch in milliseconds.
    pub wait_ms: u64,
    /// Cursor of the last delivery, if it carried one.
    pub cursor: Option<String>,
}

/// Whole batch.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Batch {
    /// JSON of the batch as the trainer gets it.
    pub body: Vec<u8>,
}

/// Progress of a batch that is not whole yet.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Progress {
    /// Samples ready.
    pub ready: u64,
    /// Samples wanted.
    pub wanted: u64,
}

/// One daemon in a membership digest.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Daemon name.
    pub name: String,
    /// Whether it is a gateway or a controller.
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Peer port.
    pub address: SocketAddr,
    /// Rises with each start.
    pub incarnation: u64,
    /// Rises with each change that the daemon makes to its own entry.
    pub revision: u64,
    /// What the fleet believes about it.
    pub condition: Condition,
    /// Planned stop under way.
    pub draining: bool,
    /// Configuration version in force.
    pub config_version: u64,
}

/// What the fleet believes about a daemon; a later variant outweighs an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Condition {
    /// Answers.
    Live,
    /// Did not answer a probe and has not refuted it yet.
    Suspect,
    /// Did not refute the suspicion in time.
    Gone,
    /// Stopped as planned.
    Left,
}

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Role {
    /// Serves requests.
    Gateway,
    /// Runs leased control work.
    Controller,
}

/// Membership digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    /// The sender first, then daemons whose entries changed lately, or all if `full`.
    pub members: Vec<Member>,
    /// Whether the sender lists all daemons it knows and wants the same back.
    pub full: bool,
    /// Hash over all entries that the sender knows.
    pub view: u64,
    /// Age of the last confirmation of the sender's configuration version, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
}

/// Hint that a configuration version exists.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hint {
    /// Configuration version.
    pub version: u64,
}

/// Question for the peer's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Pull {
    /// Version that the sender has.
    pub have: u64,
}

/// Configuration text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Config {
    /// Configuration version; 0 if the peer has none.
    pub version: u64,
    /// SHA-256 of the text in hex.
    pub digest: String,
    /// Inventory in TOML; empty if not newer than what the asker has.
    pub text: String,
    /// Age of the last confirmation by the table, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
}

/// Empty answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Done;

/// Call to the store by a daemon that does not reach it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relay {
    /// Encoded call.
    pub call: Vec<u8>,
}

/// Answer of the store to a relayed call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relayed {
    /// Encoded answer.
    pub answer: Vec<u8>,
}
