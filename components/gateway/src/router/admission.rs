//! Admission of requests: what a request asks for, and the permit or refusal it gets.

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

/// Request for a permit to use a worker.
#[derive(Clone, Debug)]
pub struct Admission {
    /// Request identifier, for the log and for `exclude` of later samples.
    pub request_id: String,
    pub service: String,
    pub class: Class,
    /// Team, for fair sharing within the class.
    pub team: String,
    /// Cost for fair sharing between teams: maximum number of tokens, or 1.
    pub cost: u64,
    /// Priority within the class.
    pub priority: u32,
    /// Oldest acceptable weight version.
    pub min_version: Option<u64>,
    /// Hashes of the prompt's prefixes, longest first.
    pub prefixes: Vec<String>,
    /// Workers to use only if no other is eligible, by name.
    pub avoid: Vec<String>,
    /// Workers never to use, by name or by the identifier of a sample that they run.
    pub exclude: Vec<String>,
    pub deadline: Instant,
    /// Whether this is a retry, which withdraws from the retry budget.
    pub retry: bool,
}

/// Reason why a request gets no worker.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum Refusal {
    /// The inventory has no such service.
    #[display("no such service")]
    UnknownService,
    /// Shed under overload: the queue is full or the wait too long.
    #[display("too much work is waiting")]
    Shed,
    /// No worker became available in time.
    #[display("no worker became available in time")]
    Expired,
    /// The service's retry budget is exhausted.
    #[display("retry budget used up")]
    Budget,
    /// The gateway is stopping.
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
        Self::not_run(status, code, refusal.to_string())
    }
}

/// End of an attempt, as reported to the routing task.
#[derive(Debug)]
pub(crate) struct Finished {
    pub(super) worker: Key<Worker>,
    pub(super) outcome: Outcome,
    pub(super) sample: Option<String>,
}

/// Permit to send one request to one worker.
#[derive(Debug)]
pub struct Permit {
    pub server: Arc<Server>,
    /// Priority to pass to the engine.
    pub priority: u32,
    pub(super) worker: Key<Worker>,
    /// When it was issued.
    pub(super) sent_at: Instant,
    pub(super) messages: mpsc::UnboundedSender<Message>,
    pub(super) outcome: Outcome,
    /// Request identifier if the request is a rollout sample.
    pub(super) sample: Option<String>,
}

impl Permit {
    /// Reports that the server has begun to produce its output.
    pub fn record_progress(&self) {
        let (worker, sent_at) = (self.worker, self.sent_at);
        // Fails only during process shutdown.
        let _ = self.messages.send(Message::Progressed { worker, sent_at });
    }

    /// Reports the outcome of the attempt. A permit dropped without it counts as inconclusive.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (worker, outcome, sample) = (self.worker, self.outcome, self.sample.take());
        let finished = Finished { worker, outcome, sample };
        // Fails only during process shutdown.
        let _ = self.messages.send(Message::Finished(finished));
    }
}
