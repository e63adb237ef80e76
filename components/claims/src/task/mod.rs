//! Claims of one gateway: the task that groups commits, and the steps of one request.

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
    batch::{Change, Settled},
    owners::Owners,
    row::{Answer, Claim, Decision, Key, State, decide},
};

/// First pause between two looks at a claim of another gateway.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause between two looks.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// Live members of the fleet.
pub trait Members: Clone + Send + Sync + 'static {
    /// Whether the gateway `name` is live in this incarnation.
    fn is_live(&self, name: &str, incarnation: u64) -> bool;
}

/// How claims are set up.
#[derive(Clone, Debug)]
pub struct Setup<T, S, M, C> {
    /// Gateway name.
    pub owner: String,
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// Table service.
    pub table: T,
    /// Object store for large answers.
    pub objects: S,
    /// Live members.
    pub members: M,
    /// Clock.
    pub clock: C,
}

/// Claims of one gateway, cheap to clone.
#[derive(Clone, Debug)]
pub struct Claims<T, S, M, C> {
    setup: Setup<T, S, M, C>,
    changes: mpsc::Sender<commit::Request>,
    counter: Arc<AtomicU64>,
    owners: Arc<Mutex<Owners>>,
}

/// What a request may do.
#[derive(Debug)]
pub enum Begin<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    /// Run, and report the end to the ticket.
    Run(Ticket<T, S, M, C>),
    /// Return the stored answer.
    Answer(Answer),
    /// Refuse: the key was used for another request.
    Mismatch,
    /// The first request still runs at the deadline.
    Pending,
    /// The owner is gone; the request may have run.
    Gone,
}

/// The claim could not be committed; the request did not run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("claim not committed: {reason}")]
pub struct Refused {
    /// Cause for people.
    pub reason: String,
}

impl<T, S, M, C> Claims<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    /// Starts the committing task; it ends when all handles and tickets are dropped.
    pub fn start(setup: Setup<T, S, M, C>) -> Self {
        let prefix = format!("{}-{:x}", setup.owner, setup.incarnation);
        let changes = commit::start(setup.table.clone(), prefix);
        Self { setup, changes, counter: Arc::default(), owners: Arc::default() }
    }

    /// Claims a request, or finds out what became of an earlier one with the same key.
    ///
    /// # Errors
    /// Fails if the table service is not reached; the request did not run then.
    pub async fn begin(
        &self,
        key: &Key,
        digest: &str,
        deadline: Instant,
    ) -> Result<Begin<T, S, M, C>, Refused> {
        let mut expect = Expect::Absent;
        let mut pause = FIRST_PAUSE;
        loop {
            let claim = self.claim(digest);
            let row = match self.commit(key, expect, &claim).await {
                Settled::Done => return Ok(Begin::Run(Ticket::new(self, key, claim))),
                Settled::Unavailable(reason) => return Err(Refused { reason }),
                Settled::Unknown => return self.resolve(key, claim).await,
                Settled::Conflict(row) => row,
            };
            let row = match row {
                Some(row) => match self.follow(key, row, digest, deadline, &mut pause).await {
                    Followed::Claim(row) => row,
                    Followed::End(end) => return Ok(end),
                },
                None => None,
            };
            expect = row.map_or(Expect::Absent, |row| Expect::Revision { revision: row.revision });
        }
    }

    /// Follows a claim of an earlier request until it can be answered or claimed again.
    async fn follow(
        &self,
        key: &Key,
        row: Row,
        digest: &str,
        deadline: Instant,
        pause: &mut Duration,
    ) -> Followed<T, S, M, C> {
        let mut row = row;
        loop {
            let Some(claim) = Claim::of(&row) else { return Followed::End(Begin::Mismatch) };
            match decide(&claim, digest) {
                Decision::Claim => return Followed::Claim(Some(row)),
                Decision::Mismatch => return Followed::End(Begin::Mismatch),
                Decision::Answer(answer) => return Followed::End(Begin::Answer(answer)),
                Decision::Wait => {}
            }
            if self.is_gone(&claim) {
                return Followed::End(Begin::Gone);
            }
            let left = deadline.since(self.setup.clock.now());
            if left.is_zero() {
                return Followed::End(Begin::Pending);
            }
            sleep((*pause).min(left)).await;
            *pause = (*pause * 2).min(MAX_PAUSE);
            match self.read(key).await {
                Ok(Some(found)) => row = found,
                Ok(None) => return Followed::Claim(None),
                // The table is down; the claim as last seen still stands.
                Err(_) => {}
            }
        }
    }

    fn is_gone(&self, claim: &Claim) -> bool {
        let live = self.setup.members.is_live(&claim.owner, claim.incarnation);
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        owners.observe(&claim.owner, claim.incarnation, live, self.setup.clock.now())
    }

    /// After a lost answer: the claim stands if the row is there. Otherwise the request is refused,
    /// and the row is blocked against a late arrival.
    async fn resolve(&self, key: &Key, claim: Claim) -> Result<Begin<T, S, M, C>, Refused> {
        if let Ok(Some(row)) = self.read(key).await
            && Claim::of(&row).is_some_and(|found| found.id == claim.id)
        {
            return Ok(Begin::Run(Ticket::new(self, key, claim)));
        }
        let ticket = Ticket::new(self, key, claim);
        tokio::spawn(ticket.block());
        Err(Refused { reason: "outcome of the commit unknown".to_owned() })
    }

    fn claim(&self, digest: &str) -> Claim {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Claim {
            id: format!("{}-{:x}-{number:x}", self.setup.owner, self.setup.incarnation),
            owner: self.setup.owner.clone(),
            incarnation: self.setup.incarnation,
            digest: digest.to_owned(),
            created_s: now.as_secs(),
            state: State::Running,
        }
    }

    async fn read(&self, key: &Key) -> Result<Option<Row>, table::Error> {
        let rows = self.setup.table.read(Query { keys: vec![key.as_str().to_owned()] }).await?;
        Ok(rows.into_iter().next())
    }

    async fn commit(&self, key: &Key, expect: Expect, claim: &Claim) -> Settled {
        let Ok(value) = to_value(claim) else {
            return Settled::Unavailable("claim has no JSON form".to_owned());
        };
        let change = Change { key: key.as_str().to_owned(), expect, value };
        let (reply, settled) = oneshot::channel();
        if self.changes.send(commit::Request { change, reply }).await.is_err() {
            return Settled::Unavailable("gateway stops".to_owned());
        }
        settled.await.unwrap_or(Settled::Unknown)
    }
}

enum Followed<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    /// Claim, in place of this row if there is one.
    Claim(Option<Row>),
    /// Nothing more to do.
    End(Begin<T, S, M, C>),
}
