//! In-memory table service with fault injection, for tests of all crates.

use std::{
    collections::{BTreeMap, VecDeque},
    future::pending,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_api::table::{
    Check, Commit, Conflict, Expect, Page, Query, Refusal, Row, Scan, Transaction,
};
use tokio::time::{sleep, timeout};

use crate::table::{self, Error};

/// Time after which a caller stops waiting for a lost response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Fault injected into one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The transaction is refused without effect.
    Refused,
    /// The request is lost, so the transaction has no effect.
    LostBefore,
    /// The transaction takes effect and its response is lost.
    LostAfter,
    /// The response is lost and the transaction takes effect after the given delay.
    DelayedCommit(Duration),
}

/// Transaction that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The transaction.
    pub transaction: Transaction,
    /// Revision of the rows that it wrote.
    pub revision: u64,
}

/// In-memory table service; clones share the rows.
#[derive(Clone, Debug, Default)]
pub struct Table(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<String, Row>,
    revision: u64,
    down: bool,
    delay: Duration,
    faults: VecDeque<Fault>,
    applied: Vec<Applied>,
    writes: u64,
    reads: u64,
}

impl Table {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts or ends an outage, during which every call is refused.
    pub fn set_down(&self, down: bool) {
        self.state().down = down;
    }

    /// Sets the latency of every call.
    pub fn set_delay(&self, delay: Duration) {
        self.state().delay = delay;
    }

    /// Queues a fault; each transaction consumes the oldest one.
    pub fn inject(&self, fault: Fault) {
        self.state().faults.push_back(fault);
    }

    /// Every transaction that took effect, in order.
    #[must_use]
    pub fn applied(&self) -> Vec<Applied> {
        self.state().applied.clone()
    }

    /// Current row under `key`.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state().rows.get(key).cloned()
    }

    /// Number of transactions received so far, and number of reads and scans.
    #[must_use]
    pub fn call_counts(&self) -> (u64, u64) {
        let state = self.state();
        (state.writes, state.reads)
    }

    async fn apply_outage_and_delay(&self) -> Result<(), Error> {
        let (down, delay) = {
            let state = self.state();
            (state.down, state.delay)
        };
        if down {
            return Err(Error::Unavailable("table service is down".to_owned()));
        }
        sleep(delay).await;
        Ok(())
    }
}

impl State {
    fn commit(&mut self, transaction: &Transaction) -> Result<Commit, Error> {
        let conflicts: Vec<_> =
            transaction.checks.iter().filter_map(|check| self.conflict(check)).collect();
        if !conflicts.is_empty() {
            return Err(Error::Conflict(Refusal { conflicts }));
        }
        self.revision += 1;
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let row = Row {
                        key: write.key.clone(),
                        revision: self.revision,
                        token: transaction.token.clone(),
                        value: value.clone(),
                    };
                    self.rows.insert(write.key.clone(), row);
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        let revision = self.revision;
        self.applied.push(Applied { transaction: transaction.clone(), revision });
        Ok(Commit { revision })
    }

    fn conflict(&self, check: &Check) -> Option<Conflict> {
        let row = self.rows.get(&check.key);
        let is_met = match &check.expect {
            Expect::Absent => row.is_none(),
            Expect::Revision { revision } => row.is_some_and(|row| row.revision == *revision),
            Expect::Field { name, equals } => {
                row.is_some_and(|row| row.value.get(name) == Some(equals))
            }
        };
        (!is_met).then(|| Conflict { key: check.key.clone(), row: row.cloned() })
    }
}

async fn lose_response() -> Result<Commit, Error> {
    let _ = timeout(RESPONSE_TIMEOUT, pending::<()>()).await;
    Err(Error::Unknown("timed out".to_owned()))
}

impl table::Table for Table {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.state().writes += 1;
        self.apply_outage_and_delay().await?;
        let fault = self.state().faults.pop_front();
        match fault {
            None => self.state().commit(&transaction),
            Some(Fault::Refused) => Err(Error::Unavailable("refused".to_owned())),
            Some(Fault::LostBefore) => lose_response().await,
            Some(Fault::LostAfter) => {
                // The result does not matter: the response is lost either way.
                let _ = self.state().commit(&transaction);
                lose_response().await
            }
            Some(Fault::DelayedCommit(delay)) => {
                let table = self.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    // The result does not matter: the response is lost either way.
                    let _ = table.state().commit(&transaction);
                });
                lose_response().await
            }
        }
    }

    async fn read(&self, query: Query) -> Result<Vec<Row>, Error> {
        self.state().reads += 1;
        self.apply_outage_and_delay().await?;
        let state = self.state();
        Ok(query.keys.iter().filter_map(|key| state.rows.get(key).cloned()).collect())
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.state().reads += 1;
        self.apply_outage_and_delay().await?;
        let state = self.state();
        let start = scan.after.unwrap_or_default();
        let rows = state
            .rows
            .range(start.clone()..)
            .filter(|(key, _)| {
                key.starts_with(&scan.prefix) && (start.is_empty() || **key != start)
            })
            .take(scan.limit as usize)
            .map(|(_, row)| row.clone())
            .collect();
        Ok(Page { rows })
    }
}
