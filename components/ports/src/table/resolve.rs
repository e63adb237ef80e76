//! Table client with rate budget, retries and resolution of lost answers.
//!
//! After a lost answer the same conditional transaction is sent again with the same token. A
//! conflict may then come from the first attempt itself, so the written rows are read and their
//! tokens compared:
//!
//! - a row carries the token: the first attempt committed;
//! - a row that the transaction would have written still has the revision that a check expects,
//!   and another check on a revision failed for good: no attempt committed or ever will;
//! - anything else is [`Error::Unknown`], since another writer may have replaced the rows.

use std::time::Duration;

use filbertsail_api::table::{Check, Commit, Expect, Page, Query, Refusal, Row, Scan, Transaction};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::{Error, Table};
use crate::{
    backoff::Backoff,
    budget::{Budget, Call},
};

/// Time limit of reading back, which comes after the deadline of the attempts.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bounds on the attempts at one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest number of attempts.
    pub attempts: u32,
    /// Time limit over all attempts.
    pub deadline: Duration,
    /// Waits between attempts.
    pub backoff: Backoff,
}

impl Default for Limits {
    fn default() -> Self {
        let backoff = Backoff { base: Duration::from_millis(50), max: Duration::from_millis(500) };
        Self { attempts: 3, deadline: Duration::from_secs(5), backoff }
    }
}

/// Table client over a one-attempt client, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client<T> {
    inner: T,
    budget: Budget,
    limits: Limits,
}

/// What the attempts so far have shown.
enum Step {
    Done(Result<Commit, Error>),
    Again(Error),
}

impl<T: Table> Client<T> {
    /// Client over `inner` within `budget`.
    #[must_use]
    pub fn new(inner: T, budget: Budget) -> Self {
        Self { inner, budget, limits: Limits::default() }
    }

    /// The same client with other limits.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Rate budget.
    #[must_use]
    pub fn budget(&self) -> &Budget {
        &self.budget
    }

    async fn pause(&self, attempt: u32) {
        let wait = self.limits.backoff.wait(attempt, &mut rand::rng());
        sleep(wait).await;
    }

    async fn attempt(&self, transaction: &Transaction, lost: bool) -> Step {
        if let Err(error) = self.budget.take(Call::Write).await {
            return Step::Done(Err(error));
        }
        match self.inner.transact(transaction.clone()).await {
            Ok(commit) => Step::Done(Ok(commit)),
            Err(Error::Conflict(refusal)) if lost => {
                Step::Done(self.resolve(transaction, Some(refusal)).await)
            }
            Err(error @ Error::Conflict(_)) => Step::Done(Err(error)),
            Err(error) => Step::Again(error),
        }
    }

    async fn attempts(&self, transaction: &Transaction, lost: &mut Option<Error>) -> Step {
        let mut last = Error::Unavailable("not attempted".to_owned());
        for attempt in 0..self.limits.attempts {
            if attempt > 0 {
                self.pause(attempt - 1).await;
            }
            // An attempt that the deadline cuts off counts as lost.
            let before = lost.replace(Error::Unknown("deadline passed".to_owned()));
            match self.attempt(transaction, before.is_some()).await {
                Step::Done(Err(Error::Limited)) if before.is_some() => {
                    *lost = before;
                    return Step::Again(Error::Limited);
                }
                Step::Done(result) => return Step::Done(result),
                Step::Again(error @ Error::Unknown(_)) => *lost = Some(error),
                Step::Again(error) => {
                    *lost = before;
                    last = error;
                }
            }
        }
        Step::Again(last)
    }

    /// Finds out whether an earlier attempt with the same token committed.
    async fn resolve(
        &self,
        transaction: &Transaction,
        refusal: Option<Refusal>,
    ) -> Result<Commit, Error> {
        let keys = transaction.writes.iter().map(|write| write.key.clone()).collect();
        self.budget.take(Call::Read).await.map_err(|error| Error::Unknown(error.to_string()))?;
        let rows = timeout(RESOLVE_TIMEOUT, self.inner.read(Query { keys })).await;
        let rows = rows.map_err(|_| Error::Unknown("reading back timed out".to_owned()))?;
        let rows = rows.map_err(|error| Error::Unknown(error.to_string()))?;
        if let Some(row) = rows.iter().find(|row| row.token == transaction.token) {
            return Ok(Commit { revision: row.revision });
        }
        match refusal {
            Some(refusal) if never_committed(transaction, &refusal, &rows) => {
                Err(Error::Conflict(refusal))
            }
            _ => Err(Error::Unknown("rows were written by others since".to_owned())),
        }
    }

    async fn look<R, F>(&self, call: impl Fn() -> F) -> Result<R, Error>
    where
        F: Future<Output = Result<R, Error>>,
    {
        let mut last = Error::Unavailable("not attempted".to_owned());
        for attempt in 0..self.limits.attempts {
            if attempt > 0 {
                self.pause(attempt - 1).await;
            }
            self.budget.take(Call::Read).await?;
            match call().await {
                Err(error @ Error::Unavailable(_)) => last = error,
                result => return result,
            }
        }
        Err(last)
    }
}

/// Whether it is proved that no attempt committed and none can commit later.
fn never_committed(transaction: &Transaction, refusal: &Refusal, rows: &[Row]) -> bool {
    let revision_of = |key: &str| rows.iter().find(|row| row.key == key).map(|row| row.revision);
    let untouched = |check: &Check| match check.expect {
        Expect::Revision { revision } => {
            transaction.writes.iter().any(|write| write.key == check.key)
                && revision_of(&check.key) == Some(revision)
        }
        _ => false,
    };
    // Revisions only rise, so a failed check on one can never hold again.
    let failed_for_good = |check: &Check| {
        matches!(check.expect, Expect::Revision { .. })
            && refusal.conflicts.iter().any(|conflict| conflict.key == check.key)
    };
    transaction.checks.iter().any(untouched) && transaction.checks.iter().any(failed_for_good)
}

impl<T: Table> Table for Client<T> {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        let until = Instant::now() + self.limits.deadline;
        let mut lost = None;
        let step = timeout_at(until, self.attempts(&transaction, &mut lost)).await;
        match (step, lost) {
            (Ok(Step::Done(result)), _) => result,
            (Ok(Step::Again(error)), None) => Err(error),
            (_, Some(_)) => self.resolve(&transaction, None).await,
            (Err(_), None) => Err(Error::Unavailable("deadline passed".to_owned())),
        }
    }

    async fn read(&self, query: Query) -> Result<Vec<Row>, Error> {
        let until = Instant::now() + self.limits.deadline;
        timeout_at(until, self.look(|| self.inner.read(query.clone())))
            .await
            .unwrap_or_else(|_| Err(Error::Unavailable("deadline passed".to_owned())))
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        let until = Instant::now() + self.limits.deadline;
        timeout_at(until, self.look(|| self.inner.scan(scan.clone())))
            .await
            .unwrap_or_else(|_| Err(Error::Unavailable("deadline passed".to_owned())))
    }
}
