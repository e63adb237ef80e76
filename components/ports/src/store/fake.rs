//! Row store in memory, for tests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use super::{Commit, Fault, Key, Page, Range, Row, Store, Transaction};

/// Behaviour of the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// All calls are served.
    #[default]
    Up,
    /// All calls are refused and nothing is done.
    Refusing,
    /// Changes are made, and their answers are lost.
    Losing,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Key, (Bytes, u64)>,
    log: Vec<(&'static str, Row)>,
    /// Version up to which changes are forgotten.
    forgotten: u64,
    version: u64,
    mode: Mode,
    transactions: usize,
}

/// Row store in memory, cheap to clone.
#[derive(Clone, Debug)]
pub struct Fake {
    state: Arc<Mutex<State>>,
    newest: watch::Sender<u64>,
    start: Instant,
}

impl Default for Fake {
    fn default() -> Self {
        Self { state: Arc::default(), newest: watch::channel(0).0, start: Instant::now() }
    }
}

impl Fake {
    /// Changes the behaviour of later calls.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Forgets the history of changes.
    pub fn forget(&self) {
        let mut state = self.state();
        state.forgotten = state.version;
        state.log.clear();
    }

    /// Value of a row.
    #[must_use]
    pub fn value(&self, key: &Key) -> Option<Bytes> {
        self.state().rows.get(key).map(|(value, _)| value.clone())
    }

    /// Transactions committed so far.
    #[must_use]
    pub fn transactions(&self) -> usize {
        self.state().transactions
    }

    /// Writes a row as an outside writer would.
    pub fn put(&self, key: Key, value: impl Into<Bytes>) {
        let mut state = self.state();
        state.apply(&Transaction { writes: vec![(key, value.into())], ..Transaction::default() });
        self.newest.send_replace(state.version);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    #[expect(clippy::cast_possible_truncation)]
    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn up(&self) -> Result<MutexGuard<'_, State>, Fault> {
        let state = self.state();
        if state.mode == Mode::Refusing {
            return Err(Fault::Unavailable("refused by the test".to_owned()));
        }
        Ok(state)
    }
}

impl State {
    fn apply(&mut self, transaction: &Transaction) {
        self.version += 1;
        self.transactions += 1;
        let version = self.version;
        for (key, value) in &transaction.writes {
            self.rows.insert(key.clone(), (value.clone(), version));
            self.log.push((key.table, row(key, Some(value.clone()), version)));
        }
        for key in &transaction.deletes {
            if self.rows.remove(key).is_some() {
                self.log.push((key.table, row(key, None, version)));
            }
        }
    }

    fn conflicts(&self, transaction: &Transaction) -> Vec<Row> {
        let holds = transaction.checks.iter().all(|(key, version)| {
            self.rows.get(key).map_or(0, |(_, version)| *version) == *version
        });
        if holds {
            return Vec::new();
        }
        let present = |(key, _): &(Key, u64)| {
            let found = self.rows.get(key);
            row(key, found.map(|(value, _)| value.clone()), found.map_or(0, |(_, it)| *it))
        };
        transaction.checks.iter().map(present).collect()
    }
}

fn row(key: &Key, value: Option<Bytes>, version: u64) -> Row {
    Row { part: key.part.clone(), key: key.key.clone(), value, version }
}

impl Store for Fake {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Fault> {
        let mut state = self.up()?;
        let conflicts = state.conflicts(&transaction);
        if !conflicts.is_empty() {
            return Err(Fault::Conflict(conflicts));
        }
        state.apply(&transaction);
        self.newest.send_replace(state.version);
        if state.mode == Mode::Losing {
            return Err(Fault::Unknown("answer lost by the test".to_owned()));
        }
        Ok(Commit { version: state.version, now_ms: self.now_ms() })
    }

    async fn range(&self, range: Range) -> Result<Page, Fault> {
        let state = self.up()?;
        let mut rows: Vec<Row> = state
            .rows
            .iter()
            .filter(|(key, _)| key.table == range.table && key.part == range.part)
            .filter(|(key, _)| key.key >= range.from)
            .filter(|(key, _)| range.to.is_empty() || key.key < range.to)
            .map(|(key, (value, version))| row(key, Some(value.clone()), *version))
            .collect();
        let has_more = rows.len() > range.limit;
        rows.truncate(range.limit);
        Ok(Page { rows, has_more, version: state.version, now_ms: self.now_ms() })
    }

    async fn changes(
        &self,
        table: &'static str,
        version: u64,
        wait: Duration,
    ) -> Result<Page, Fault> {
        let deadline = Instant::now() + wait;
        let mut newest = self.newest.subscribe();
        loop {
            {
                let state = self.up()?;
                if version < state.forgotten {
                    return Err(Fault::Expired);
                }
                let rows: Vec<Row> = state
                    .log
                    .iter()
                    .filter(|(of, row)| *of == table && row.version > version)
                    .map(|(_, row)| row.clone())
                    .collect();
                if !rows.is_empty() || Instant::now() >= deadline {
                    let now_ms = self.now_ms();
                    return Ok(Page { rows, has_more: false, version: state.version, now_ms });
                }
            }
            // The deadline is checked above.
            let _ = timeout_at(deadline, newest.changed()).await;
        }
    }
}
