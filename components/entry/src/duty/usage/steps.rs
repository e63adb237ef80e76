//! Calls that the steps of a report need.

use std::{
    collections::BTreeMap,
    future::{Future, poll_fn},
    pin::pin,
    task::Poll,
    time::Duration,
};

use filbertsail_cluster::lease::Grant;
use filbertsail_ports::{
    duty::{Fault, Holder, Platform, Usage},
    store::{self, Key, MAX_TRANSACTION_BYTES, MAX_VALUE_BYTES, Row, Store, Transaction},
};
use filbertsail_telemetry::event::Line;
use filbertsail_usage::{
    Window,
    report::{Action, Event, State},
};
use tokio::time::timeout;

use super::rows::{
    COUNT_PARTS, Head, USAGE_TABLE, chunk_key, count_window, counts_range, decode_counts,
    decode_report, encode_report, head_key, is_state, read_all, reports_range, state_key,
};
use crate::{
    batch::rows::{decode, encode},
    shared::Shared,
};

/// Time limit of a call to the platform: a later one could follow a call of the next holder.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Deletions in a transaction; the store accepts 100 entries.
const DELETES_PER_CALL: usize = 90;

/// Performs one step of a report.
pub(super) struct Steps<S, P> {
    pub shared: Shared,
    pub store: S,
    pub platform: P,
    pub window: Window,
    pub grant: Grant,
    /// Time since the end of the window.
    pub age: Duration,
    /// Number of the step, unique within the process.
    pub number: u64,
}

impl<S: Store, P: Platform> Steps<S, P> {
    pub async fn perform(self, action: Action) -> Event {
        let name = match &action {
            Action::Load => "load",
            Action::Create(_) => "create",
            Action::Collect(_) => "collect",
            Action::Store { .. } => "store",
            Action::Send(_) => "send",
            Action::Finish { .. } => "finish",
        };
        let result = match action {
            Action::Load => self.load().await,
            Action::Create(state) => self.write_state(state, 0, Vec::new()).await,
            Action::Collect(window) => self.collect(window).await,
            Action::Store { usage, state, version } => self.store(&usage, state, version).await,
            Action::Send(usage) => Ok(Event::Sent(self.send(&usage).await)),
            Action::Finish { window, state, version } => self.finish(window, state, version).await,
        };
        result.unwrap_or_else(|fault| {
            Line::new("usage_step_failed").with("step", name).with("reason", fault).info();
            Event::Failed
        })
    }

    async fn load(&self) -> Result<Event, store::Fault> {
        let rows = read_all(&self.store, reports_range(self.window)).await?;
        let row = rows.iter().find(|row| is_state(row));
        let Some(row) = row else { return Ok(Event::Loaded { state: None, report: None }) };
        let Ok(state) = decode::<State>(row.value.as_deref().unwrap_or_default()) else {
            Line::new("row_corrupt").with("usage", &row.key).error();
            return Ok(Event::Failed);
        };
        let counts = decode_report(self.window, state.next, &rows);
        if counts.is_none() && state.first_open > state.next {
            Line::new("row_corrupt").with("usage", format!("report {}", state.next)).error();
        }
        let report = counts.map(|counts| Usage { window: state.next, counts });
        Ok(Event::Loaded { state: Some((state, row.version)), report })
    }

    /// Writes the state, which must have `version` before, with further rows.
    async fn write_state(
        &self,
        state: State,
        version: u64,
        rows: Vec<(Key, bytes::Bytes)>,
    ) -> Result<Event, store::Fault> {
        let key = state_key(self.window);
        let mut writes = rows;
        writes.push((key.clone(), encode(&state)));
        let transaction = Transaction { checks: vec![(key, version)], writes, deletes: Vec::new() };
        self.store.transact(transaction).await.map(|commit| Event::Stored(commit.version))
    }

    async fn collect(&self, window: u64) -> Result<Event, store::Fault> {
        let mut counts: BTreeMap<String, u64> = BTreeMap::new();
        let (mut late, mut late_counts) = (Vec::new(), 0);
        for row in self.counts(window).await? {
            let is_late = count_window(&row.1).is_none_or(|index| index < window);
            for (workspace, count) in decode_counts(&row.1) {
                if is_late {
                    late_counts += count;
                } else {
                    *counts.entry(workspace).or_default() += count;
                }
            }
            if is_late {
                late.push(row.0);
            }
        }
        if !late.is_empty() {
            self.shared.metrics.count_usage("dropped", late_counts);
            Line::new("usage_dropped")
                .with("counts", late_counts)
                .with("reason", "written after the report")
                .with("rows", late.len())
                .warn();
            self.delete(late).await?;
        }
        Ok(Event::Collected(Usage { window, counts }))
    }

    /// Rows of the counts of all windows up to `window`.
    async fn counts(&self, window: u64) -> Result<Vec<(Key, Row)>, store::Fault> {
        let mut rows = Vec::new();
        for number in 0..COUNT_PARTS {
            let range = counts_range(self.window, number, window);
            let part = range.part.clone();
            let page = read_all(&self.store, range).await?;
            rows.extend(page.into_iter().map(|row| {
                (Key { table: USAGE_TABLE, part: part.clone(), key: row.key.clone() }, row)
            }));
        }
        Ok(rows)
    }

    /// Deletes rows of the counts.
    async fn delete(&self, keys: Vec<Key>) -> Result<(), store::Fault> {
        for keys in keys.chunk_by(|a, b| a.part == b.part) {
            for keys in keys.chunks(DELETES_PER_CALL) {
                let deletes = keys.to_vec();
                self.store.transact(Transaction { deletes, ..Transaction::default() }).await?;
            }
        }
        Ok(())
    }

    /// Stores a report. Of a large one, all rows but the last transaction's are written before the
    /// first row, without which they mean nothing.
    async fn store(
        &self,
        usage: &Usage,
        state: State,
        version: u64,
    ) -> Result<Event, store::Fault> {
        let chunks = encode_report(&usage.counts);
        let identity = &self.shared.identity;
        // A late write of an earlier attempt must not replace chunks of this one.
        let token = format!(
            "{}-{}-{:x}-{}",
            self.grant.epoch, identity.vm, identity.incarnation, self.number
        );
        let head =
            Head { token: token.clone(), chunks: u32::try_from(chunks.len()).unwrap_or(u32::MAX) };
        let bytes: usize = chunks.iter().map(bytes::Bytes::len).sum();
        let mut batch: Vec<(Key, bytes::Bytes)> = Vec::new();
        let mut batch_bytes = 0;
        for (number, chunk) in (0..).zip(chunks) {
            if batch_bytes + chunk.len() > MAX_TRANSACTION_BYTES - MAX_VALUE_BYTES {
                let writes = std::mem::take(&mut batch);
                self.store.transact(Transaction { writes, ..Transaction::default() }).await?;
                batch_bytes = 0;
            }
            batch_bytes += chunk.len();
            batch.push((chunk_key(self.window, usage.window, &token, number), chunk));
        }
        batch.push((head_key(self.window, usage.window), encode(&head)));
        let event = self.write_state(state, version, batch).await?;
        Line::new("usage_report_stored")
            .with("window", usage.window)
            .with("workspaces", usage.counts.len())
            .with("requests", usage.counts.values().sum::<u64>())
            .with("bytes", bytes)
            .with("epoch", self.grant.epoch)
            .with("age_ms", self.age.as_millis())
            .info();
        Ok(event)
    }

    async fn send(&self, usage: &Usage) -> Result<(), Fault> {
        let holder = Holder { vm: self.shared.identity.vm.clone(), epoch: self.grant.epoch };
        let call = self.platform.report_usage(&holder, usage);
        let result = self.call(call).await;
        let outcome = match &result {
            Ok(()) => "accepted",
            Err(Fault::Refused(_)) => "refused",
            Err(Fault::Unknown(_)) => "unknown",
            Err(Fault::Invalid(_) | Fault::SoldOut) => "invalid",
        };
        self.shared.metrics.count_usage_report(outcome);
        let line = Line::new("usage_report_sent")
            .with("window", usage.window)
            .with("outcome", outcome)
            .with("epoch", self.grant.epoch)
            .with("age_ms", self.age.as_millis());
        match &result {
            Ok(()) => line.info(),
            Err(fault) => line.with("reason", fault).warn(),
        }
        result
    }

    /// Makes a call that ends before the lease does. The lease is checked before each part of the
    /// call, since the VM may have been frozen in between.
    async fn call<T>(&self, call: impl Future<Output = Result<T, Fault>>) -> Result<T, Fault> {
        let now = self.shared.now();
        if !self.grant.allows_orders(now, false) {
            return Err(Fault::Refused("lease has ended".to_owned()));
        }
        let deadline = self.grant.deadline.min(now.after(CALL_TIMEOUT));
        let mut call = pin!(call);
        let before_deadline = poll_fn(|context| {
            if self.shared.now() >= deadline {
                return Poll::Ready(Err(Fault::Unknown("lease or time has ended".to_owned())));
            }
            call.as_mut().poll(context)
        });
        let limit = deadline.since(now);
        let result = timeout(limit, before_deadline).await;
        result.unwrap_or_else(|_| Err(Fault::Unknown("no answer in time".to_owned())))
    }

    async fn finish(&self, window: u64, state: State, version: u64) -> Result<Event, store::Fault> {
        let counts = self.counts(window).await?;
        self.delete(counts.into_iter().map(|(key, _)| key).collect()).await?;
        // Rows up to this window, also those of a report that was not completed.
        let last = head_key(self.window, window + 1).key;
        let rows = read_all(&self.store, reports_range(self.window)).await?;
        let mut deletes: Vec<Key> = rows
            .into_iter()
            .filter(|row| !is_state(row) && row.key < last)
            .map(|row| Key { key: row.key, ..state_key(self.window) })
            .collect();
        // The first row of the report goes last, together with the advance of the state. A report
        // without some of its chunks cannot be sent again, and was accepted.
        while deletes.len() > DELETES_PER_CALL {
            let deletes = deletes.split_off(deletes.len() - DELETES_PER_CALL);
            self.store.transact(Transaction { deletes, ..Transaction::default() }).await?;
        }
        let key = state_key(self.window);
        let transaction = Transaction {
            checks: vec![(key.clone(), version)],
            writes: vec![(key, encode(&state))],
            deletes,
        };
        self.store.transact(transaction).await.map(|commit| Event::Stored(commit.version))
    }
}
