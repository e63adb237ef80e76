//! Messages of the protocol, one type per frame kind.
//!
//! The order of fields is part of the encoding and must not change.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use derive_more::{From, TryInto};
use filbertsail_errors::Verdict;

/// Message between two daemons.
#[derive(Clone, Debug, PartialEq, From, TryInto)]
pub enum Frame {
    /// Request of a controller that a gateway routes to a worker.
    Dispatch(Dispatch),
    /// Generated token of a dispatched request.
    Token(Token),
    /// Result of a dispatched request.
    Finish(Finish),
    /// Failure of a call.
    Fault(Fault),
    /// Order for a backend server.
    Order(Order),
    /// Reply to an order.
    Outcome(Outcome),
    /// Query for the workers of a service.
    Survey(Survey),
    /// Reply to a survey.
    Workers(Workers),
    /// Notification that a round changed.
    Notice(Notice),
    /// Round whose row could not be written to the table.
    Offer(Offer),
    /// Fetch of a step's batch.
    Fetch(Fetch),
    /// Complete batch.
    Batch(Batch),
    /// Progress of an incomplete batch.
    Progress(Progress),
    /// Gossip message about the members of the fleet.
    Digest(Digest),
    /// Hint that a newer configuration exists.
    Hint(Hint),
    /// Request for the peer's configuration.
    Pull(Pull),
    /// Configuration of the peer.
    Config(Config),
    /// Empty reply.
    Done(Done),
    /// Call to the store that the peer forwards.
    Relay(Relay),
    /// Response of the store to a relayed call.
    Relayed(Relayed),
}

/// Identity of a daemon, sent at the start of each connection.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// Highest protocol version that the sender speaks.
    pub protocol: u16,
    /// Daemon name.
    pub name: String,
    /// Increases with each start of the daemon.
    pub incarnation: u64,
    /// Availability zone.
    pub zone: String,
    /// Address of the sender's peer port.
    pub address: SocketAddr,
    /// Unix time when the message was signed, in milliseconds.
    pub sent_at_ms: u64,
    /// Random value that prevents replay.
    pub nonce: [u8; 16],
}

/// Range of tokens that one weight version generated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Label {
    /// Weight version.
    pub version: u64,
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
}

/// Generation request of class rollout.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Dispatch {
    /// Request identifier, unique per attempt.
    pub request_id: String,
    /// Service name.
    pub service: String,
    /// Team that is charged for the request.
    pub team: String,
    /// Trainer that the sample is for.
    pub trainer: String,
    pub prompt: String,
    /// Largest number of tokens to generate.
    pub max_tokens: u32,
    /// Requests with a higher priority run first.
    pub priority: u32,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Oldest weight version that may be used.
    pub min_version: Option<u64>,
    /// Workers to exclude, by name or by the request identifier of an attempt that runs there.
    pub avoid: Vec<String>,
}

/// Generated token of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Token {
    /// Index of the token, from 0.
    pub index: u32,
    /// Text of the token.
    pub text: String,
    /// Weight version that generated the token.
    pub weight_version: u64,
}

/// Result of a dispatched request.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Finish {
    /// Worker that executed the request.
    pub worker: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Weight versions of the token ranges.
    pub labels: Vec<Label>,
    /// Complete text.
    pub text: String,
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Fault {
    /// Stable error code in snake case.
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// Whether the request may have run.
    #[bincode(with_serde)]
    pub verdict: Verdict,
}

/// Order to a backend server to load a weight version.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Order {
    /// Worker name.
    pub worker: String,
    /// Order identifier.
    pub id: String,
    /// Weight version to load.
    pub load_version: u64,
    /// Scope of the lease under which the order is sent.
    pub scope: String,
    /// Fencing token of that lease.
    pub epoch: u64,
    /// Time until the order expires, in milliseconds.
    pub life_ms: u64,
}

/// Reply to an order.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Outcome {
    /// Whether the engine accepted the order.
    pub accepted: bool,
    /// Weight version that is loaded now.
    pub weight_version: Option<u64>,
    /// Highest fencing token that the engine has seen; 0 if it does not validate them.
    pub epoch: u64,
}

/// Query for the workers of a service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Survey {
    /// Service name.
    pub service: String,
}

/// State of a worker as seen by a gateway.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Worker {
    /// Worker name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Whether the worker responds.
    pub live: bool,
    /// Whether the worker receives no new requests.
    pub leaving: bool,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Number of requests that can run concurrently at full speed.
    pub capacity: u32,
    /// Loaded weight version; absent during a swap and after a failed one.
    pub weight_version: Option<u64>,
    /// Age of this state in milliseconds.
    pub age_ms: u64,
}

/// Reply to a survey.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Workers {
    /// Workers of the service.
    pub workers: Vec<Worker>,
}

/// Notification that a round was posted, acknowledged or cancelled in the table.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Notice {
    /// Trainer name.
    pub trainer: String,
    /// Step number.
    pub step: u64,
}

/// Round whose body is stored but whose row could not be written to the table.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Offer {
    /// Trainer name.
    pub trainer: String,
    /// Step number.
    pub step: u64,
    /// Object key of the posted body.
    pub object: String,
    /// SHA-256 of the posted body in canonical JSON, in hex.
    pub digest: String,
    /// Number of samples requested.
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
    /// Time to wait for a complete batch, in milliseconds.
    pub wait_ms: u64,
    /// Delivery cursor of the last batch, if there was one.
    pub cursor: Option<String>,
}

/// Complete batch.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Batch {
    /// JSON of the batch as sent to the trainer.
    pub body: Vec<u8>,
}

/// Progress of a batch that is not complete yet.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Progress {
    /// Number of completed samples.
    pub ready: u64,
    /// Number of samples requested.
    pub wanted: u64,
}

/// Entry of a daemon in a membership digest.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Member {
    /// Daemon name.
    pub name: String,
    pub role: Role,
    /// Availability zone.
    pub zone: String,
    /// Address of the peer port.
    pub address: SocketAddr,
    /// Increases with each start of the daemon.
    pub incarnation: u64,
    /// Increases with each change that the daemon makes to its own entry.
    pub revision: u64,
    /// Condition as known to the fleet.
    pub condition: Condition,
    /// Whether the daemon is shutting down as planned.
    pub draining: bool,
    /// Active configuration version.
    pub config_version: u64,
}

/// Condition of a daemon as known to the fleet. When entries are merged, a later variant takes
/// precedence over an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Condition {
    /// Responds to probes.
    Live,
    /// Did not respond to a probe and has not refuted the suspicion yet.
    Suspect,
    /// Did not refute the suspicion in time.
    Gone,
    /// Shut down as planned.
    Left,
}

/// Role of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Role {
    /// Serves requests.
    Gateway,
    /// Runs control tasks under leases.
    Controller,
}

/// Gossip message about the members of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    /// Entry of the sender, then recently changed entries, or all entries if `full` is set.
    pub members: Vec<Member>,
    /// Whether the digest lists all known daemons and requests a full one in reply.
    pub full: bool,
    /// Hash of all entries that the sender knows.
    pub view: u64,
    /// Time since the sender's configuration version was last confirmed, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
}

/// Hint that a newer configuration version exists.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Hint {
    /// Configuration version.
    pub version: u64,
}

/// Request for the peer's configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Pull {
    /// Configuration version that the sender has.
    pub have: u64,
}

/// Configuration of the peer.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Config {
    /// Configuration version; 0 if the peer has none.
    pub version: u64,
    /// SHA-256 of the text in hex.
    pub digest: String,
    /// Inventory in TOML; empty if not newer than the requester's version.
    pub text: String,
    /// Time since the table last confirmed this version, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
}

/// Empty reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Done;

/// Call to the store from a daemon that cannot reach it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relay {
    /// Encoded call.
    pub call: Vec<u8>,
}

/// Response of the store to a relayed call.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Relayed {
    /// Encoded response.
    pub answer: Vec<u8>,
}
