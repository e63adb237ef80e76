//! Requests for a worker and their answers.

use std::sync::Arc;

use derive_more::{Display, Error};
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use filbertsail_config::inventory::Class;
use filbertsail_routing::state::{Outcome, Worker};
use http::StatusCode;
use tokio::sync::mpsc;

use super::Message;
use crate::{backend::Server, fault::Fault};

/// Request for a worker.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Request identifier, for the log.
    pub request_id: String,
    /// Service name.
    pub service: String,
    /// Class of work.
    pub class: Class,
    /// Team that shares with others.
    pub team: String,
    /// Cost, such as the number of tokens asked for.
    pub cost: u64,
    /// Priority within the class.
    pub priority: u32,
    /// Oldest weight version allowed.
    pub min_version: Option<u64>,
    /// Names of the prompt's prefixes, longest first.
    pub prefixes: Vec<String>,
    /// Workers to leave out if others are eligible.
    pub avoid: Vec<String>,
    /// Workers to leave out, or other samples whose workers to leave out.
    pub exclude: Vec<String>,
    /// Last time at which a worker is of use.
    pub deadline: Instant,
    /// The request was attempted before; it takes from the retry budget.
    pub retry: bool,
}

/// Why there is no worker.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// No service of that name.
    #[display("no such service")]
    UnknownService,
    /// The queue is full of work that goes first.
    #[display("too much work is waiting")]
    Shed,
    /// No worker became free in time.
    #[display("no worker became available in time")]
    Expired,
    /// The retry budget is used up.
    #[display("retry budget used up")]
    Budget,
    /// The gateway stops.
    #[display("gateway stops")]
    Stopped,
}

impl From<Refusal> for Fault {
    fn from(refusal: Refusal) -> Self {
        let (status, code) = match refusal {
            Refusal::UnknownService => (StatusCode::NOT_FOUND, "unknown_service"),
            Refusal::Shed => (StatusCode::TOO_MANY_REQUESTS, "overloaded"),
            Refusal::Expired => (StatusCode::SERVICE_UNAVAILABLE, "no_worker"),
            Refusal::Budget => (StatusCode::SERVICE_UNAVAILABLE, "retry_budget"),
            Refusal::Stopped => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        };
        Self::refused(status, code, refusal.to_string())
    }
}

/// End of an attempt.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(super) worker: Key<Worker>,
    pub(super) outcome: Outcome,
    pub(super) sample: Option<String>,
}

/// Permission to send one request to one worker.
#[derive(Debug)]
pub struct Grant {
    /// Worker.
    pub server: Arc<Server>,
    /// Priority for the engine.
    pub priority: u32,
    pub(super) worker: Key<Worker>,
    pub(super) messages: mpsc::UnboundedSender<Message>,
    pub(super) outcome: Outcome,
    /// Request identifier, if it is a sample.
    pub(super) sample: Option<String>,
}

impl Grant {
    /// Reports the end of the attempt. A grant dropped before counts as abandoned.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let (worker, outcome, sample) = (self.worker, self.outcome, self.sample.take());
        let finished = Finished { worker, outcome, sample };
        // Fails only while the process ends.
        let _ = self.messages.send(Message::Finished(finished));
    }
}
