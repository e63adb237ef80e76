//! Table client with rate limit, retries and resolution of lost responses.
//!
//! After a lost response the same conditional transaction is sent again with the same token. A
//! conflict may then be caused by the first attempt, so the written rows are read back and their
//! tokens compared:
//!
//! - a row has the token: an earlier attempt committed;
//! - a row that the transaction would have written still has the revision that a check expects,
//!   and a check on a revision failed, which is permanent: no attempt committed or ever will;
//! - otherwise the outcome is [`Error::Unknown`], since another writer may have replaced the rows.

use std::time::Duration;

use filbertsail_api::table::{Check, Commit, Expect, Page, Query, Refusal, Row, Scan, Transaction};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::{Error, Table};
use crate::{
    backoff::Backoff,
    rate::{Limiter, Operation},
};

/// Time limit of reading back the rows, in addition to the deadline of the attempts.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits on the attempts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest number of attempts.
    pub attempts: u32,
    /// Time limit over all attempts.
    pub deadline: Duration,
    /// Delays between attempts.
    pub backoff: Backoff,
}

impl Default for Limits {
    fn default() -> Self {
        let backoff = Backoff { base: Duration::from_millis(50), max: Duration::from_millis(500) };
        Self { attempts: 3, deadline: Duration::from_secs(5), backoff }
    }
}

/// Retrying table client over one that makes a single attempt, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client<T> {
    inner: T,
    limiter: Limiter,
    limits: Limits,
}

/// Result of one or more attempts.
enum Step {
    /// No further attempt is needed.
    Final(Result<Commit, Error>),
    /// Another attempt may succeed.
    Retry(Error),
}

impl<T: Table> Client<T> {
    /// Client over `inner` within the rate of `limiter`.
    #[must_use]
    pub fn new(inner: T, limiter: Limiter) -> Self {
        Self { inner, limiter, limits: Limits::default() }
    }

    /// Replaces the default limits.
    #[must_use]
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }

    /// Rate limiter of the calls.
    #[must_use]
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    async fn back_off(&self, attempt: u32) {
        let delay = self.limits.backoff.delay(attempt, &mut rand::rng());
        sleep(delay).await;
    }

    async fn attempt(&self, transaction: &Transaction, may_have_run: bool) -> Step {
        if let Err(error) = self.limiter.acquire(Operation::Write).await {
            return Step::Final(Err(error));
        }
        match self.inner.transact(transaction.clone()).await {
            Ok(commit) => Step::Final(Ok(commit)),
            Err(Error::Conflict(refusal)) if may_have_run => {
                Step::Final(self.resolve(transaction, Some(refusal)).await)
            }
            Err(error @ Error::Conflict(_)) => Step::Final(Err(error)),
            Err(error) => Step::Retry(error),
        }
    }

    async fn attempt_repeatedly(
        &self,
        transaction: &Transaction,
        lost: &mut Option<Error>,
    ) -> Step {
        let mut last = Error::Unavailable("not attempted".to_owned());
        for attempt in 0..self.limits.attempts {
            if attempt > 0 {
                self.back_off(attempt - 1).await;
            }
            // If the deadline cancels this attempt, its response counts as lost.
            let earlier = lost.replace(Error::Unknown("deadline passed".to_owned()));
            match self.attempt(transaction, earlier.is_some()).await {
                Step::Final(Err(Error::Limited)) if earlier.is_some() => {
                    *lost = earlier;
                    return Step::Retry(Error::Limited);
                }
                Step::Final(result) => return Step::Final(result),
                Step::Retry(error @ Error::Unknown(_)) => *lost = Some(error),
                Step::Retry(error) => {
                    *lost = earlier;
                    last = error;
                }
            }
        }
        Step::Retry(last)
    }

    /// Reads back the written rows to determine whether an earlier attempt committed.
    async fn resolve(
        &self,
        transaction: &Transaction,
        refusal: Option<Refusal>,
    ) -> Result<Commit, Error> {
        let keys = transaction.writes.iter().map(|write| write.key.clone()).collect();
        self.limiter
            .acquire(Operation::Read)
            .await
            .map_err(|error| Error::Unknown(error.to_string()))?;
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

    async fn read_with_retries<R, F>(&self, call: impl Fn() -> F) -> Result<R, Error>
    where
        F: Future<Output = Result<R, Error>>,
    {
        let mut last = Error::Unavailable("not attempted".to_owned());
        for attempt in 0..self.limits.attempts {
            if attempt > 0 {
                self.back_off(attempt - 1).await;
            }
            self.limiter.acquire(Operation::Read).await?;
            match call().await {
                Err(error @ Error::Unavailable(_)) => last = error,
                result => return result,
            }
        }
        Err(last)
    }
}

/// Whether the rows prove that no attempt committed and that none can commit later.
fn never_committed(transaction: &Transaction, refusal: &Refusal, rows: &[Row]) -> bool {
    let revision_of = |key: &str| rows.iter().find(|row| row.key == key).map(|row| row.revision);
    let is_unchanged = |check: &Check| match check.expect {
        Expect::Revision { revision } => {
            transaction.writes.iter().any(|write| write.key == check.key)
                && revision_of(&check.key) == Some(revision)
        }
        _ => false,
    };
    // Revisions only rise, so a failed check on a revision never holds again.
    let failed_permanently = |check: &Check| {
        matches!(check.expect, Expect::Revision { .. })
            && refusal.conflicts.iter().any(|conflict| conflict.key == check.key)
    };
    transaction.checks.iter().any(is_unchanged) && transaction.checks.iter().any(failed_permanently)
}

impl<T: Table> Table for Client<T> {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        let deadline = Instant::now() + self.limits.deadline;
        let mut lost = None;
        let step = timeout_at(deadline, self.attempt_repeatedly(&transaction, &mut lost)).await;
        match (step, lost) {
            (Ok(Step::Final(result)), _) => result,
            (Ok(Step::Retry(error)), None) => Err(error),
            (_, Some(_)) => self.resolve(&transaction, None).await,
            (Err(_), None) => Err(Error::Unavailable("deadline passed".to_owned())),
        }
    }

    async fn read(&self, query: Query) -> Result<Vec<Row>, Error> {
        let deadline = Instant::now() + self.limits.deadline;
        timeout_at(deadline, self.read_with_retries(|| self.inner.read(query.clone())))
            .await
            .unwrap_or_else(|_| Err(Error::Unavailable("deadline passed".to_owned())))
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        let deadline = Instant::now() + self.limits.deadline;
        timeout_at(deadline, self.read_with_retries(|| self.inner.scan(scan.clone())))
            .await
            .unwrap_or_else(|_| Err(Error::Unavailable("deadline passed".to_owned())))
    }
}
