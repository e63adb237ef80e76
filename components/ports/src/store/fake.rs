//! In-memory row store for tests.

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

/// Behaviour of later calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Serves all calls.
    #[default]
    Up,
    /// Refuses all calls without effect.
    Refusing,
    /// Commits transactions but loses their responses.
    LosingResponses,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Key, (Bytes, u64)>,
    /// Changes with their tables, oldest first.
    changes: Vec<(&'static str, Row)>,
    /// Version up to which changes have been discarded.
    discarded_version: u64,
    version: u64,
    mode: Mode,
    transactions: usize,
}

/// In-memory row store; clones share the rows.
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
    /// Sets the behaviour of later calls.
    pub fn set_mode(&self, mode: Mode) {
        self.state().mode = mode;
    }

    /// Discards the history of changes, so that older versions are [`Fault::Expired`].
    pub fn discard_history(&self) {
        let mut state = self.state();
        state.discarded_version = state.version;
        state.changes.clear();
    }

    /// Current value of a row.
    #[must_use]
    pub fn value(&self, key: &Key) -> Option<Bytes> {
        self.state().rows.get(key).map(|(value, _)| value.clone())
    }

    /// Number of transactions committed so far.
    #[must_use]
    pub fn transactions(&self) -> usize {
        self.state().transactions
    }

    /// Writes a row unconditionally, as another writer would.
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

    fn available_state(&self) -> Result<MutexGuard<'_, State>, Fault> {
        let state = self.state();
        if state.mode == Mode::Refusing {
            return Err(Fault::Unavailable("call refused by the fake store".to_owned()));
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
            self.changes.push((key.table, row(key, Some(value.clone()), version)));
        }
        for key in &transaction.deletes {
            if self.rows.remove(key).is_some() {
                self.changes.push((key.table, row(key, None, version)));
            }
        }
    }

    fn conflicts(&self, transaction: &Transaction) -> Vec<Row> {
        let all_met = transaction.checks.iter().all(|(key, version)| {
            self.rows.get(key).map_or(0, |(_, version)| *version) == *version
        });
        if all_met {
            return Vec::new();
        }
        let current = |(key, _): &(Key, u64)| {
            let found = self.rows.get(key);
            row(
                key,
                found.map(|(value, _)| value.clone()),
                found.map_or(0, |(_, version)| *version),
            )
        };
        transaction.checks.iter().map(current).collect()
    }
}

fn row(key: &Key, value: Option<Bytes>, version: u64) -> Row {
    Row { part: key.part.clone(), key: key.key.clone(), value, version }
}

impl Store for Fake {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Fault> {
        let mut state = self.available_state()?;
        let conflicts = state.conflicts(&transaction);
        if !conflicts.is_empty() {
            return Err(Fault::Conflict(conflicts));
        }
        state.apply(&transaction);
        self.newest.send_replace(state.version);
        if state.mode == Mode::LosingResponses {
            return Err(Fault::Unknown("response lost by the fake store".to_owned()));
        }
        Ok(Commit { version: state.version, now_ms: self.now_ms() })
    }

    async fn range(&self, range: Range) -> Result<Page, Fault> {
        let state = self.available_state()?;
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
                let state = self.available_state()?;
                if version < state.discarded_version {
                    return Err(Fault::Expired);
                }
                let rows: Vec<Row> = state
                    .changes
                    .iter()
                    .filter(|(changed, row)| *changed == table && row.version > version)
                    .map(|(_, row)| row.clone())
                    .collect();
                if !rows.is_empty() || Instant::now() >= deadline {
                    let now_ms = self.now_ms();
                    return Ok(Page { rows, has_more: false, version: state.version, now_ms });
                }
            }
            // The loop head checks the deadline, so the result of the wait does not matter.
            let _ = timeout_at(deadline, newest.changed()).await;
        }
    }
}
