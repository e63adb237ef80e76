//! What the callers, trainers and operators of a run saw, independent of the daemons' counters.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use filbertsail_api::{fault::Verdict, trainer::Sample};
use filbertsail_clock::Instant;

/// Kind of a customer request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Idempotent call of a plain service.
    Quote,
    /// Non-idempotent call with a key.
    Keyed,
    /// Non-idempotent call without a key.
    Unkeyed,
    /// Whole completion.
    Completion,
    /// Streamed completion.
    Stream,
}

impl Kind {
    /// A second run does harm.
    #[must_use]
    pub fn runs_once(self) -> bool {
        matches!(self, Self::Keyed | Self::Unkeyed)
    }

    /// Goes to a model service.
    #[must_use]
    pub fn is_model(self) -> bool {
        matches!(self, Self::Completion | Self::Stream)
    }
}

/// End of one attempt as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success; `text` is what identifies the answer.
    Answer {
        /// Identifier or generated text in the answer.
        text: String,
        /// The answer says that it is whole.
        done: bool,
    },
    /// Error answer.
    Refused {
        /// HTTP status.
        status: u16,
        /// Verdict, if the answer gave one.
        verdict: Option<Verdict>,
        /// Stable code, if the answer gave one.
        code: String,
    },
    /// The connection ended without a whole answer.
    Broken(String),
}

/// Attempt at a customer request through one gateway.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Gateway name.
    pub gateway: String,
    /// Time of sending.
    pub from: Instant,
    /// Time of the outcome.
    pub to: Instant,
    /// Outcome.
    pub outcome: Outcome,
}

/// Customer request with all its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier, part of the request body or prompt.
    pub id: String,
    /// Kind.
    pub kind: Kind,
    /// Scheduled time of arrival; latency counts from here.
    pub due: Instant,
    /// Time of the last outcome.
    pub end: Instant,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
}

impl Call {
    /// The caller got an answer.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        self.attempts.last().is_some_and(|last| matches!(last.outcome, Outcome::Answer { .. }))
    }
}

/// Round that a trainer posted.
#[derive(Clone, Debug)]
pub struct Round {
    /// Trainer name.
    pub trainer: String,
    /// Step.
    pub step: u64,
    /// Groups.
    pub groups: u32,
    /// Samples per group.
    pub group_size: u32,
    /// Staleness bound.
    pub bound: u64,
    /// Time of the post.
    pub at: Instant,
}

/// Batch that a trainer consumed.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Trainer name.
    pub trainer: String,
    /// Step.
    pub step: u64,
    /// Weight version of the trainer at the fetch.
    pub version: u64,
    /// Time when the trainer began to need the batch.
    pub wanted: Instant,
    /// Time of arrival.
    pub at: Instant,
    /// Samples.
    pub samples: Vec<Sample>,
}

/// Planned stop of a daemon.
#[derive(Clone, Debug)]
pub struct Stop {
    /// Daemon name.
    pub daemon: String,
    /// Time of the signal.
    pub from: Instant,
    /// Time of the exit, once it has ended.
    pub to: Option<Instant>,
}

/// Time during which a worker was leaving.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Worker name.
    pub worker: String,
    /// Time when the first source showed it.
    pub from: Instant,
    /// Time when it ended.
    pub to: Option<Instant>,
}

/// Configuration version that an operator got accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Version.
    pub version: u64,
    /// Time of the acceptance.
    pub at: Instant,
    /// Workers that the version does not name.
    pub without: Vec<String>,
}

/// Version that a ready daemon had in force.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Daemon name and incarnation.
    pub daemon: String,
    /// Version.
    pub version: u64,
    /// Time of the observation.
    pub at: Instant,
}

/// Everything seen in one run.
#[derive(Clone, Debug, Default)]
pub struct Pages {
    /// Start of the load.
    pub load_from: Instant,
    /// Customer requests.
    pub calls: Vec<Call>,
    /// Posted rounds.
    pub rounds: Vec<Round>,
    /// Consumed batches.
    pub batches: Vec<Batch>,
    /// Planned stops.
    pub stops: Vec<Stop>,
    /// Leaving workers.
    pub leaving: Vec<Leaving>,
    /// Accepted configuration versions.
    pub accepted: Vec<Accepted>,
    /// Versions in force.
    pub in_force: Vec<InForce>,
    /// Seconds that trainers waited for batches.
    pub waited_s: f64,
    /// Seconds that trainers trained.
    pub trained_s: f64,
}

/// Shared journal of a run.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<Pages>>);

impl Journal {
    /// Pages for writing.
    ///
    /// A panic of one writer leaves whole entries behind, so that the others go on.
    pub fn write(&self) -> MutexGuard<'_, Pages> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copy of all pages.
    #[must_use]
    pub fn pages(&self) -> Pages {
        self.write().clone()
    }
}
