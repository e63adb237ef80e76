//! Claims of one gateway: the commit task, and the acquisition of a claim for a request.

mod commit;
mod ticket;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use derive_more::{Display, Error};
use filbertsail_api::table::{Expect, Query, Row};
use filbertsail_clock::{self as clock, Instant};
use filbertsail_ports::{object, table};
use serde_json::to_value;
use tokio::{
    sync::{mpsc, oneshot},
    time::sleep,
};

pub use ticket::Ticket;

use crate::{
    batch::{Change, Outcome},
    owners::Owners,
    row::{Answer, Claim, Decision, Key, State, decide},
};

/// Delay before the first re-read of a claim that another request holds; it doubles each time.
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(20);
/// Largest delay between two reads of such a claim.
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

/// Live members of the fleet.
pub trait Members: Clone + Send + Sync + 'static {
    /// Whether the gateway `name` is live with this incarnation.
    fn is_live(&self, name: &str, incarnation: u64) -> bool;
}

/// Dependencies of [`Claims`], and the gateway that owns the claims.
#[derive(Clone, Debug)]
pub struct Context<T, S, M, C> {
    /// Name of this gateway.
    pub owner: String,
    /// Incarnation of this gateway.
    pub incarnation: u64,
    /// Table service.
    pub table: T,
    /// Object store for response bodies that are too large for a row.
    pub objects: S,
    /// Live members of the fleet.
    pub members: M,
    /// Monotonic clock.
    pub clock: C,
}

/// Claims of one gateway. Cheap to clone.
#[derive(Clone, Debug)]
pub struct Claims<T, S, M, C> {
    context: Context<T, S, M, C>,
    changes: mpsc::Sender<commit::Request>,
    counter: Arc<AtomicU64>,
    owners: Arc<Mutex<Owners>>,
}

/// What a request with an idempotency key must do.
#[derive(Debug)]
pub enum Admission<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    /// Execute the request and report its result to the ticket.
    Run(Ticket<T, S, M, C>),
    /// Return the stored response.
    Answer(Answer),
    /// Fail: the key was used for a different request.
    Mismatch,
    /// Fail: the first request is still running at the deadline.
    Pending,
    /// Fail: the owner is no longer a member; the request may have run.
    OwnerGone,
}

/// The claim could not be committed, so the request was not executed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("claim not committed: {reason}")]
pub struct Error {
    /// Human-readable cause.
    pub reason: String,
}

impl<T, S, M, C> Claims<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    /// Starts the commit task. It ends when all handles and tickets are dropped.
    pub fn start(context: Context<T, S, M, C>) -> Self {
        let prefix = format!("{}-{:x}", context.owner, context.incarnation);
        let changes = commit::start(context.table.clone(), prefix);
        Self { context, changes, counter: Arc::default(), owners: Arc::default() }
    }

    /// Claims `key`, or waits until `deadline` for the result of an earlier request with this key.
    ///
    /// # Errors
    /// Fails if the claim cannot be committed. The request must not be executed then.
    pub async fn acquire(
        &self,
        key: &Key,
        digest: &str,
        deadline: Instant,
    ) -> Result<Admission<T, S, M, C>, Error> {
        let mut expect = Expect::Absent;
        let mut delay = INITIAL_POLL_DELAY;
        loop {
            let claim = self.new_claim(digest);
            let row = match self.commit(key, expect, &claim).await {
                Outcome::Committed => return Ok(Admission::Run(Ticket::new(self, key, claim))),
                Outcome::Unavailable(reason) => return Err(Error { reason }),
                Outcome::Unknown => return self.resolve_unknown_commit(key, claim).await,
                Outcome::Conflict(row) => row,
            };
            let row = match row {
                Some(row) => match self.poll_claim(key, row, digest, deadline, &mut delay).await {
                    Polled::Claim(row) => row,
                    Polled::Done(admission) => return Ok(admission),
                },
                None => None,
            };
            expect = row.map_or(Expect::Absent, |row| Expect::Revision { revision: row.revision });
        }
    }

    /// Polls the claim of an earlier request until it ends, is released or is abandoned.
    async fn poll_claim(
        &self,
        key: &Key,
        row: Row,
        digest: &str,
        deadline: Instant,
        delay: &mut Duration,
    ) -> Polled<T, S, M, C> {
        let mut row = row;
        loop {
            let Some(claim) = Claim::from_row(&row) else {
                return Polled::Done(Admission::Mismatch);
            };
            match decide(&claim, digest) {
                Decision::Claim => return Polled::Claim(Some(row)),
                Decision::Mismatch => return Polled::Done(Admission::Mismatch),
                Decision::Answer(answer) => return Polled::Done(Admission::Answer(answer)),
                Decision::Wait => {}
            }
            if self.is_abandoned(&claim) {
                return Polled::Done(Admission::OwnerGone);
            }
            let remaining = deadline.since(self.context.clock.now());
            if remaining.is_zero() {
                return Polled::Done(Admission::Pending);
            }
            sleep((*delay).min(remaining)).await;
            *delay = (*delay * 2).min(MAX_POLL_DELAY);
            match self.read(key).await {
                Ok(Some(found)) => row = found,
                Ok(None) => return Polled::Claim(None),
                // The table service is unavailable: the claim as last read remains valid.
                Err(_) => {}
            }
        }
    }

    /// Whether the owner of a claim has been missing for so long that the claim is abandoned.
    fn is_abandoned(&self, claim: &Claim) -> bool {
        let live = self.context.members.is_live(&claim.owner, claim.incarnation);
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        owners.observe(&claim.owner, claim.incarnation, live, self.context.clock.now())
    }

    /// Resolves a commit with an unknown outcome: the claim is valid if the row holds it. Otherwise
    /// the request fails, and a background task blocks a late arrival of the commit.
    async fn resolve_unknown_commit(
        &self,
        key: &Key,
        claim: Claim,
    ) -> Result<Admission<T, S, M, C>, Error> {
        if let Ok(Some(row)) = self.read(key).await
            && Claim::from_row(&row).is_some_and(|found| found.id == claim.id)
        {
            return Ok(Admission::Run(Ticket::new(self, key, claim)));
        }
        let ticket = Ticket::new(self, key, claim);
        tokio::spawn(ticket.block_late_commit());
        Err(Error { reason: "outcome of the commit unknown".to_owned() })
    }

    fn new_claim(&self, digest: &str) -> Claim {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Claim {
            id: format!("{}-{:x}-{number:x}", self.context.owner, self.context.incarnation),
            owner: self.context.owner.clone(),
            incarnation: self.context.incarnation,
            digest: digest.to_owned(),
            created_s: now.as_secs(),
            state: State::Running,
        }
    }

    async fn read(&self, key: &Key) -> Result<Option<Row>, table::Error> {
        let rows = self.context.table.read(Query { keys: vec![key.as_str().to_owned()] }).await?;
        Ok(rows.into_iter().next())
    }

    async fn commit(&self, key: &Key, expect: Expect, claim: &Claim) -> Outcome {
        let Ok(value) = to_value(claim) else {
            return Outcome::Unavailable("claim has no JSON form".to_owned());
        };
        let change = Change { key: key.as_str().to_owned(), expect, value };
        let (reply, outcome) = oneshot::channel();
        if self.changes.send(commit::Request { change, reply }).await.is_err() {
            return Outcome::Unavailable("gateway stops".to_owned());
        }
        outcome.await.unwrap_or(Outcome::Unknown)
    }
}

enum Polled<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    /// The key may be claimed, in place of the released row if there is one.
    Claim(Option<Row>),
    /// The request has its result.
    Done(Admission<T, S, M, C>),
}
