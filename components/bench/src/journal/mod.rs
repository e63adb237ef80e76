//! Observations of the callers, trainers and operators of a run, independent of the daemons'
//! counters.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use filbertsail_api::{fault::Verdict, trainer::Sample};
use filbertsail_clock::Instant;

/// Kind of a customer request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Idempotent application call.
    Quote,
    /// Non-idempotent application call with an idempotency key.
    Keyed,
    /// Non-idempotent application call without a key.
    Unkeyed,
    /// Completion without streaming.
    Completion,
    /// Streamed completion.
    Stream,
}

impl Kind {
    /// Whether the request must run at most once.
    #[must_use]
    pub fn is_non_idempotent(self) -> bool {
        matches!(self, Self::Keyed | Self::Unkeyed)
    }

    /// Whether the request goes to a model service.
    #[must_use]
    pub fn is_model(self) -> bool {
        matches!(self, Self::Completion | Self::Stream)
    }
}

/// Outcome of one attempt as seen by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Successful response.
    Answer {
        /// Request identifier or generated text in the response.
        text: String,
        /// Whether the response is marked as complete.
        is_complete: bool,
    },
    /// Error response.
    Refused {
        /// HTTP status.
        status: u16,
        /// Verdict, if the response has one.
        verdict: Option<Verdict>,
        /// Error code; empty if the response has none.
        code: String,
    },
    /// No complete response was received, for the given reason.
    NoResponse(String),
}

/// Attempt at a customer request through one gateway.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Gateway name.
    pub gateway: String,
    /// Time when the request was sent.
    pub sent_at: Instant,
    /// Time of the outcome.
    pub ended_at: Instant,
    /// Outcome.
    pub outcome: Outcome,
}

/// Customer request with all its attempts.
#[derive(Clone, Debug)]
pub struct Call {
    /// Identifier, contained in the request body or prompt.
    pub id: String,
    /// Kind of request.
    pub kind: Kind,
    /// Scheduled arrival, from which latency is measured.
    pub scheduled_at: Instant,
    /// Time of the last outcome.
    pub ended_at: Instant,
    /// Attempts in order.
    pub attempts: Vec<Attempt>,
}

impl Call {
    /// Whether the caller received a successful response.
    #[must_use]
    pub fn succeeded(&self) -> bool {
        self.attempts.last().is_some_and(|last| matches!(last.outcome, Outcome::Answer { .. }))
    }
}

/// Round posted by a trainer.
#[derive(Clone, Debug)]
pub struct Round {
    /// Trainer name.
    pub trainer: String,
    /// Step.
    pub step: u64,
    /// Number of groups.
    pub groups: u32,
    /// Samples per group.
    pub group_size: u32,
    /// Staleness bound in weight versions.
    pub max_staleness: u64,
    /// Time when posting began.
    pub posted_at: Instant,
}

/// Batch consumed by a trainer.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Trainer name.
    pub trainer: String,
    /// Step.
    pub step: u64,
    /// Weight version of the trainer at the fetch.
    pub trainer_version: u64,
    /// Time when the trainer started to wait for the batch.
    pub wanted_at: Instant,
    /// Time of arrival.
    pub received_at: Instant,
    /// Samples.
    pub samples: Vec<Sample>,
}

/// Graceful shutdown of a daemon.
#[derive(Clone, Debug)]
pub struct Stop {
    /// Daemon name.
    pub daemon: String,
    /// Time when the stop was requested.
    pub requested_at: Instant,
    /// Time of the exit; `None` if the daemon has not exited in time.
    pub exited_at: Option<Instant>,
}

/// Period in which a worker was leaving.
#[derive(Clone, Debug)]
pub struct Leaving {
    /// Worker name.
    pub worker: String,
    /// Time when a source first reported it.
    pub started_at: Instant,
    /// End of the period, if it has ended.
    pub ended_at: Option<Instant>,
}

/// Configuration version that was accepted from an operator.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// Version.
    pub version: u64,
    /// Time of the acceptance.
    pub accepted_at: Instant,
    /// Workers that the version omits.
    pub omitted_workers: Vec<String>,
}

/// Active configuration version of a ready daemon.
#[derive(Clone, Debug)]
pub struct ActiveVersion {
    /// Daemon name and incarnation.
    pub daemon: String,
    /// Version.
    pub version: u64,
    /// Time of the observation.
    pub observed_at: Instant,
}

/// All observations of one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Start of the load.
    pub load_started_at: Instant,
    /// Customer requests.
    pub calls: Vec<Call>,
    /// Posted rounds.
    pub rounds: Vec<Round>,
    /// Consumed batches.
    pub batches: Vec<Batch>,
    /// Graceful shutdowns.
    pub stops: Vec<Stop>,
    /// Periods in which workers were leaving.
    pub leaving: Vec<Leaving>,
    /// Accepted configuration versions.
    pub accepted: Vec<Accepted>,
    /// Observed active configuration versions.
    pub active_versions: Vec<ActiveVersion>,
    /// Total time that trainers waited for batches, in seconds.
    pub trainer_wait_s: f64,
    /// Total time that trainers trained, in seconds.
    pub trainer_step_s: f64,
}

/// Shared journal of a run.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<History>>);

impl Journal {
    /// Locks the history for writing.
    ///
    /// A poisoned lock is ignored: a writer that panics leaves only complete entries behind.
    pub fn write(&self) -> MutexGuard<'_, History> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Copy of the current history.
    #[must_use]
    pub fn snapshot(&self) -> History {
        self.write().clone()
    }
}
