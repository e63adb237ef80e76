//! Writing of this VM's counts.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_ports::store::{Fault, Store, Transaction};
use filbertsail_telemetry::event::Line;
use filbertsail_usage::{Counter, Pace, Window, counter::Write, report::State};
use rand::RngExt;
use tokio::time::sleep;

use super::{
    super::Context,
    Meter,
    clock::Clock,
    rows::{count_key, encode_counts, state_range},
};
use crate::{batch::rows::decode, relay::Peers, shared::Shared};

/// Rows in a write: 40 rows have 80 of the 100 entries and, at 8 KiB each, half of the bytes of a
/// transaction.
const MAX_ROWS: usize = 40;
/// Time before a failed write is repeated, less a random part, so that VMs do not return together.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between two looks while the time is not agreed or the store is away.
const WAIT_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the end of a window from which the state of the reports is read before its counts are
/// written: until then its report is not stored.
const STATE_CHECK_AFTER_MS: i64 = 1_000;
/// Writes at the end of the process.
const MAX_FINAL_WRITES: u32 = 5;

/// Writes the counts of this VM until the daemon has stopped.
pub(super) struct Writer<S> {
    shared: Shared,
    store: S,
    peers: Peers,
    meter: Meter,
    clock: Clock<S>,
    window: Window,
    pace: Pace,
    /// Whether the last write failed.
    is_failing: bool,
}

impl<S: Store> Writer<S> {
    pub fn new<P>(context: &Context<S, P>, clock: Clock<S>, window: Window) -> Self {
        let shared = context.shared.clone();
        Self {
            meter: shared.usage.clone(),
            pace: Pace::new(shared.now()),
            shared,
            store: context.store.clone(),
            peers: context.peers.clone(),
            clock,
            window,
            is_failing: false,
        }
    }

    pub async fn run(mut self) {
        let mut closed = self.meter.0.closed.subscribe();
        let mut final_writes = 0;
        loop {
            let since = self.meter.with(|counter| counter.first_unstored()).flatten();
            let is_closed = *closed.borrow_and_update();
            if is_closed && (since.is_none() || final_writes >= MAX_FINAL_WRITES) {
                return self.drop_rest();
            }
            let Some(since) = since else {
                tokio::select! {
                    () = self.meter.0.counted.notified() => {}
                    _ = closed.changed() => {}
                }
                continue;
            };
            let now = self.shared.now();
            let wait = self.pace.due(since, self.peers.len() + 1).since(now);
            if !wait.is_zero() && !is_closed {
                tokio::select! {
                    () = sleep(wait) => {}
                    _ = closed.changed() => {}
                }
                continue;
            }
            final_writes += u32::from(is_closed);
            if !self.write().await {
                let share = 0.5 + rand::rng().random::<f64>() / 2.0;
                sleep(RETRY_DELAY.mul_f64(share)).await;
            }
        }
    }

    /// Writes the counts that are not stored. Returns whether nothing failed.
    async fn write(&mut self) -> bool {
        let now = self.shared.now();
        self.meter.with(Counter::limit_memory);
        let is_lost = self.shared.link.borrow().lost.is_some();
        let (Some(true_ms), false) = (self.clock.mapping(now), is_lost) else {
            self.log_dropped("no room");
            sleep(WAIT_INTERVAL).await;
            return true;
        };
        let writes = self.meter.with(|counter| {
            counter.assign(self.window, &true_ms);
            counter.writes(MAX_ROWS)
        });
        let mut writes = writes.unwrap_or_default();
        let checked_before = true_ms(now) - STATE_CHECK_AFTER_MS;
        if writes.iter().any(|write| self.window.end_ms(write.window) < checked_before) {
            let Ok(first_open) = self.first_open().await else {
                return self.record_failure(&"state not read");
            };
            self.meter.with(|counter| counter.drop_reported(first_open));
            writes.retain(|write| write.window >= first_open);
        }
        self.log_dropped("window is reported");
        let is_ok = writes.is_empty() || self.store(&writes, now).await;
        self.meter.with(|counter| counter.update_first_unstored(now));
        is_ok
    }

    async fn store(&mut self, writes: &[Write], now: Instant) -> bool {
        self.pace.record_write(self.peers.len() + 1, now);
        let key = |write: &Write| {
            count_key(self.window, write.window, &self.shared.identity, write.chunk)
        };
        let transaction = Transaction {
            checks: writes.iter().map(|write| (key(write), write.version)).collect(),
            writes: writes.iter().map(|write| (key(write), encode_counts(&write.counts))).collect(),
            deletes: Vec::new(),
        };
        match self.store.transact(transaction).await {
            Ok(commit) => {
                let stored = |counter: &mut Counter| {
                    let before = counter.unstored();
                    counter.record_stored(writes, commit.version, now);
                    before - counter.unstored()
                };
                let amount = self.meter.with(stored).unwrap_or_default();
                self.shared.metrics.count_usage("stored", amount);
                if std::mem::take(&mut self.is_failing) {
                    Line::new("usage_write_resumed").with("counts", amount).info();
                }
                true
            }
            Err(Fault::Conflict(rows)) => {
                for write in writes {
                    let row = rows.iter().find(|row| row.key == key(write).key);
                    let version = row.map_or(0, |row| row.version);
                    self.meter.with(|counter| counter.record_version(write, version));
                }
                self.log_dropped("window is reported");
                true
            }
            Err(fault) => self.record_failure(&fault),
        }
    }

    /// First window whose report is not stored; the first of all if there is no state yet.
    async fn first_open(&self) -> Result<u64, Fault> {
        let page = self.store.range(state_range(self.window)).await?;
        let state = page.rows.first().and_then(|row| decode::<State>(row.value.as_deref()?).ok());
        Ok(state.map_or(0, |state| state.first_open))
    }

    fn record_failure(&mut self, reason: &dyn std::fmt::Display) -> bool {
        if !std::mem::replace(&mut self.is_failing, true) {
            let counts = self.meter.with(|counter| counter.unstored()).unwrap_or_default();
            Line::new("usage_write_failed").with("counts", counts).with("reason", reason).warn();
        }
        false
    }

    fn log_dropped(&self, reason: &'static str) {
        let dropped = self.meter.with(Counter::take_dropped).unwrap_or_default();
        self.record_dropped(reason, dropped);
    }

    fn record_dropped(&self, reason: &'static str, counts: u64) {
        if counts > 0 {
            self.shared.metrics.count_usage("dropped", counts);
            Line::new("usage_dropped").with("counts", counts).with("reason", reason).warn();
        }
    }

    fn drop_rest(&self) {
        let counts = self.meter.with(|counter| counter.unstored()).unwrap_or_default();
        self.record_dropped("process stops", counts);
    }
}
