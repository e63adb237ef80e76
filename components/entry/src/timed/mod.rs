//! Store whose responses tell its clock.
//!
//! All calls count, since short ones bound the clock more tightly than long polls do.

use std::time::Duration;

use filbertsail_clock::{Instant, remote::Change, remote::Reading};
use filbertsail_ports::store::{Commit, Fault, Page, Range, Store, Transaction};
use filbertsail_telemetry::event::Line;

use crate::shared::Shared;

/// Delay of a response that is logged. Calls time out sooner unless the process was frozen.
const LOGGED_DELAY_MS: i64 = 1_000;
/// Step of the clock that is logged.
const LOGGED_STEP_MS: i64 = 100;

/// Store that records the clock stated in each response, cheap to clone.
#[derive(Clone, Debug)]
pub struct Timed<S> {
    store: S,
    shared: Shared,
}

impl<S> Timed<S> {
    /// Records the clock of `store` in the state of the connection.
    #[must_use]
    pub const fn new(store: S, shared: Shared) -> Self {
        Self { store, shared }
    }

    /// Records the clock `ms` of a response to a call that was made at `sent_at`.
    fn record(&self, ms: u64, sent_at: Instant) {
        // A response that does not state the clock is decoded as zero.
        if ms == 0 {
            return;
        }
        let received_at = self.shared.now();
        let reading = Reading { ms, sent_at, received_at };
        let (mut change, mut store_ms) = (Change::Consistent, None);
        self.shared.link.send_if_modified(|link| {
            store_ms = link.clock.ms(received_at);
            change = link.clock.record(reading);
            false
        });
        let stated_ms = i64::try_from(ms).unwrap_or(i64::MAX);
        let delay_ms = store_ms.map_or(0, |store_ms| store_ms.saturating_sub(stated_ms));
        match change {
            Change::Stepped(step_ms) if step_ms.abs() >= LOGGED_STEP_MS => {
                Line::new("store_clock_stepped")
                    .with("store_ms", ms)
                    .with("step_ms", step_ms)
                    .with("took_ms", received_at.since(sent_at).as_millis())
                    .warn();
            }
            Change::Consistent if delay_ms >= LOGGED_DELAY_MS => {
                Line::new("store_response_late")
                    .with("store_ms", ms)
                    .with("delay_ms", delay_ms)
                    .with("took_ms", received_at.since(sent_at).as_millis())
                    .info();
            }
            Change::Consistent | Change::Stepped(_) | Change::Outdated => {}
        }
    }
}

impl<S: Store> Store for Timed<S> {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Fault> {
        let sent_at = self.shared.now();
        let commit = self.store.transact(transaction).await?;
        self.record(commit.now_ms, sent_at);
        Ok(commit)
    }

    async fn range(&self, range: Range) -> Result<Page, Fault> {
        let sent_at = self.shared.now();
        let page = self.store.range(range).await?;
        self.record(page.now_ms, sent_at);
        Ok(page)
    }

    async fn changes(
        &self,
        table: &'static str,
        version: u64,
        wait: Duration,
    ) -> Result<Page, Fault> {
        let sent_at = self.shared.now();
        let page = self.store.changes(table, version, wait).await?;
        self.record(page.now_ms, sent_at);
        Ok(page)
    }
}
