//! Submission of batches.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_http::Body;
use filbertsail_ports::store::{
    Fault, Key, MAX_ENTRIES, MAX_TRANSACTION_BYTES, Range, Store, Transaction,
};
use filbertsail_telemetry::event::Line;
use http::{Response, StatusCode};
use tokio::time::{sleep, timeout};

use super::{Calls, STORE_RETRY_DELAY};
use crate::{
    access::Authorization,
    batch::{
        Meta, Owner, Submission, Writer, rows,
        takeover::{self, Acquisition},
        task::Command,
    },
    config::Config,
    dialect::Dialect,
    forward::reply::{json, refuse, status},
};

/// Timeout of a submission while the store does not answer. A caller may retry only once, so a
/// refusal after a short outage can cost it the entire step.
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Retry time for a caller refused because the store is unavailable; another VM may reach it
/// already.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Error of a time stamp from which the store is asked for its clock first. Items are given up after
/// seconds, and a VM that makes no other calls loses a millisecond of exactness each second.
const MAX_STAMP_ERROR_MS: u64 = 250;
/// Timeout of that call, several times the usual latency of the store.
const STAMP_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before the chunks of a submission that was not accepted are deleted. A commit without a
/// reply may still take effect seconds later.
const DISCARD_DELAY: Duration = Duration::from_secs(30);
/// Attempts to delete them, each after the same delay.
const MAX_DISCARD_ATTEMPTS: u32 = 10;

/// Where a submission comes from.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// Host of the request.
    pub host: &'a str,
    /// Configuration that has the route.
    pub config: &'a Config,
    pub authorization: &'a Authorization,
}

impl Origin<'_> {
    /// Identifier of an item that a batch without a key may not place on its route, or whose reward
    /// call it may not make.
    fn forbidden_item<'s>(&self, submission: &'s Submission) -> Option<&'s str> {
        if !self.authorization.is_public() {
            return None;
        }
        let is_private =
            |host, path| self.config.route(host, path).is_some_and(|route| !route.is_public);
        let found = submission.items.iter().find(|item| {
            let call = item.reward.as_ref();
            is_private(self.host, &item.path)
                || call.is_some_and(|call| is_private(&call.host, &call.path))
        });
        found.map(|item| item.id.as_str())
    }
}

/// Why a batch was not accepted.
enum Refusal {
    /// Another workspace has a batch with this identifier.
    Foreign,
    /// Nothing was accepted, and the batch never runs.
    NotStored(Fault),
    /// The batch may have been accepted.
    Unknown(Fault),
}

impl<S: Store> Calls<S> {
    /// Whether a batch is known to be accepted, for any caller.
    #[must_use]
    pub fn is_known(&self, batch: &str) -> bool {
        self.directory.get(batch).is_some() || self.directory.meta(batch).is_some()
    }

    /// Whether a submission repeats a batch that is known to be accepted; `Some(false)` if that
    /// batch is of another workspace.
    #[must_use]
    pub fn is_accepted(&self, batch: &str, authorization: &Authorization) -> Option<bool> {
        let is_visible = match self.directory.meta(batch) {
            Some(meta) => authorization.may_use(meta.workspace.as_deref()),
            // The store decides on a batch whose row is not known yet.
            None => self
                .directory
                .get(batch)
                .filter(|_| !authorization.has_workspaces())
                .map(|_| true)?,
        };
        Line::new("batch_repeated").with("batch", batch).with("visible", is_visible).info();
        Some(is_visible)
    }

    /// Accepts a batch; all its rows are in the store before the response.
    pub async fn submit<D: Dialect>(
        &self,
        batch: &str,
        origin: Origin<'_>,
        body: &[u8],
    ) -> Response<Body> {
        // The store decides on an identifier of another workspace like on an unknown one, so that
        // both get the same response in an outage.
        if self.is_accepted(batch, origin.authorization) == Some(true) {
            return status(StatusCode::ACCEPTED);
        }
        let submission = match D::decode_submission(body) {
            Ok(submission) => submission,
            Err(error) => {
                Line::new("batch_malformed").with("batch", batch).with("reason", &error).warn();
                return json(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        if let Some(item) = origin.forbidden_item(&submission) {
            let reason = format!("item {item:?}: its route or that of its reward call needs a key");
            Line::new("batch_malformed").with("batch", batch).with("reason", &reason).warn();
            return json(StatusCode::BAD_REQUEST, &reason);
        }
        if *self.shared.stopping.borrow() {
            return refuse("stopping", Duration::ZERO);
        }
        let start = self.shared.now();
        match self.accept(batch, origin, submission, start).await {
            Ok(accepted_ms) => {
                let now = self.shared.now();
                let link = *self.shared.link.borrow();
                self.shared.metrics.count_batch_event("accepted");
                Line::new("batch_accepted")
                    .with("batch", batch)
                    .with("took_ms", now.since(start).as_millis())
                    .with("accepted_ms", accepted_ms)
                    .with("age_ms", link.age(accepted_ms, now).as_millis())
                    .info();
                status(StatusCode::ACCEPTED)
            }
            Err(Refusal::Foreign) => {
                Line::new("batch_repeated").with("batch", batch).with("visible", false).info();
                json(StatusCode::CONFLICT, "the identifier is in use")
            }
            Err(Refusal::NotStored(fault)) => {
                self.shared.metrics.count_batch_event("refused");
                Line::new("batch_refused").with("batch", batch).with("reason", fault).warn();
                refuse("store unavailable", STORE_RETRY_AFTER)
            }
            Err(Refusal::Unknown(fault)) => {
                self.shared.metrics.count_batch_event("unknown");
                Line::new("batch_unknown").with("batch", batch).with("reason", fault).warn();
                json(StatusCode::GATEWAY_TIMEOUT, "outcome unknown")
            }
        }
    }

    /// Stores a submission and starts it here if no other VM runs its model; returns its time stamp by
    /// the store's clock in milliseconds.
    async fn accept(
        &self,
        batch: &str,
        origin: Origin<'_>,
        submission: Submission,
        start: Instant,
    ) -> Result<u64, Refusal> {
        let local_owner = Owner {
            vm: self.shared.identity.vm.clone(),
            incarnation: self.shared.identity.incarnation,
        };
        let encoded = rows::encode_submission(&submission);
        let chunks: Vec<Bytes> = rows::chunks(&encoded).collect();
        let active_owner = self.directory.active_owner(&submission.model, start);
        let owner = active_owner.unwrap_or_else(|| local_owner.clone());
        let writer = Writer { vm: local_owner.vm.clone(), call: rand::random() };
        let is_local = owner == local_owner;
        let accepted_ms = self.stamp_ms(start).await;
        let meta = Meta {
            owner: Some(owner),
            epoch: 1,
            writer,
            chunks: u32::try_from(chunks.len()).unwrap_or(u32::MAX),
            total: u32::try_from(submission.items.len()).unwrap_or(u32::MAX),
            host: origin.host.to_owned(),
            model: submission.model.clone(),
            lag: self.version_lag(&submission),
            groups: submission.groups.iter().map(|group| rows::hash32(group)).collect(),
            accepted_ms,
            ended: false,
            complete: submission.items.is_empty(),
            config_version: origin.config.version,
            work: self.step_work(origin.host, &submission),
            workspace: origin.authorization.workspace().map(|name| name.as_ref().to_owned()),
            is_public: origin.authorization.is_public(),
        };
        // A VM that has not run batches yet knows nothing of the workers.
        let observations = async {
            if is_local { takeover::read_observations(&self.store).await } else { Vec::new() }
        };
        let (committed, observations) = tokio::join!(
            self.store_submission(batch, &meta, origin.authorization, chunks, start),
            observations
        );
        let Some(row_version) = committed?.filter(|_| is_local) else { return Ok(accepted_ms) };
        let acquisition = Acquisition {
            batch: batch.to_owned(),
            meta,
            row_version,
            submission: Arc::new(submission),
            results: Vec::new(),
            partials: Vec::new(),
            observations,
        };
        // The receiver lives as long as the process.
        let _ = self.task.send(Command::Acquired(Box::new(acquisition)));
        Ok(accepted_ms)
    }

    /// Time stamp of a submission that arrived at `start`, by the store's clock. Items must not be
    /// given up before their time limit, so that it is not earlier than the true time.
    async fn stamp_ms(&self, start: Instant) -> u64 {
        let link = *self.shared.link.borrow();
        if link.stamp_ms(start) > link.store_ms(start) + MAX_STAMP_ERROR_MS {
            // Any response tells the clock, and the stamp is only less exact without one.
            let range = Range { limit: 1, ..rows::loads_range() };
            let _ = timeout(STAMP_TIMEOUT, self.store.range(range)).await;
        }
        self.shared.link.borrow().stamp_ms(start)
    }

    /// Stores a submission; returns the version of the owner's row, or none if the batch was
    /// accepted before.
    async fn store_submission(
        &self,
        batch: &str,
        meta: &Meta,
        authorization: &Authorization,
        chunks: Vec<Bytes>,
        start: Instant,
    ) -> Result<Option<u64>, Refusal> {
        // The call may be cancelled at any await if the caller disconnects, so the guard deletes
        // the copy.
        let (calls, writer) = (self.clone(), meta.writer.clone());
        let mut guard =
            Guard { calls, batch: batch.to_owned(), writer, discard_delay: Some(DISCARD_DELAY) };
        let mut last = self.write_chunks(batch, &meta.writer, chunks, start).await?;
        last.checks.push((rows::meta_key(batch), 0));
        last.writes.push((rows::meta_key(batch), rows::encode_meta(meta)));
        let row_version = self.commit_meta(batch, &meta.writer, authorization, last, start).await?;
        guard.discard_delay = row_version.is_none().then_some(Duration::ZERO);
        Ok(row_version)
    }

    /// Expected output of a submission whose model shares its workers with others; 0 for others.
    fn step_work(&self, host: &str, submission: &Submission) -> u64 {
        let Some(config) = self.shared.config() else { return 0 };
        let route = submission.items.first().and_then(|item| config.route(host, &item.path));
        let targets = route.map_or(&[][..], |route| &route.targets);
        let has_other_models = targets.iter().any(|target| {
            let service = config.services.get(&target.service);
            let engine = service.and_then(|service| service.engine.as_ref());
            engine.is_some_and(|engine| engine.models.len() > 1)
        });
        if has_other_models { submission.expected_output() } else { 0 }
    }

    fn version_lag(&self, submission: &Submission) -> Option<u64> {
        let newest = self.shared.newest_versions.borrow().get(&submission.model).copied()?;
        newest.checked_sub(submission.min_version)
    }

    /// Stores all but the last chunks of a submission; returns the transaction with the remaining
    /// ones. Chunks without an owner's row are not a batch, so they need no check.
    async fn write_chunks(
        &self,
        batch: &str,
        writer: &Writer,
        chunks: Vec<Bytes>,
        start: Instant,
    ) -> Result<Transaction, Refusal> {
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        for (number, chunk) in chunks.into_iter().enumerate() {
            let is_full = bytes + chunk.len() > MAX_TRANSACTION_BYTES
                || transaction.writes.len() + 4 > MAX_ENTRIES;
            if is_full {
                self.write_rows(std::mem::take(&mut transaction), start).await?;
                bytes = 0;
            }
            bytes += chunk.len();
            transaction.writes.push((rows::body_key(batch, writer, number), chunk));
        }
        Ok(transaction)
    }

    async fn write_rows(&self, transaction: Transaction, start: Instant) -> Result<(), Refusal> {
        loop {
            match self.store.transact(transaction.clone()).await {
                Ok(_) => return Ok(()),
                Err(fault) if self.is_expired(start, SUBMIT_TIMEOUT) => {
                    return Err(Refusal::NotStored(fault));
                }
                Err(_) => sleep(STORE_RETRY_DELAY).await,
            }
        }
    }

    /// Commits the owner's row; returns its version, or none if the batch was accepted before and
    /// runs elsewhere, or was ended.
    async fn commit_meta(
        &self,
        batch: &str,
        writer: &Writer,
        authorization: &Authorization,
        transaction: Transaction,
        start: Instant,
    ) -> Result<Option<u64>, Refusal> {
        let mut unknown = false;
        loop {
            match self.store.transact(transaction.clone()).await {
                Ok(commit) => return Ok(Some(commit.version)),
                Err(Fault::Conflict(present)) => {
                    let row = present.into_iter().find(|row| row.key == batch);
                    let value = row.as_ref().and_then(|row| row.value.as_deref());
                    // It is unclear whose batch a row is that cannot be read.
                    let meta = rows::decode_meta(value.unwrap_or_default())
                        .map_err(|error| Refusal::Unknown(Fault::Unavailable(error.to_string())))?;
                    if !authorization.may_use(meta.workspace.as_deref()) {
                        return Err(Refusal::Foreign);
                    }
                    // Committed by this very call, whose reply was lost. Its caller may have ended
                    // the batch since.
                    let is_runnable = meta.epoch == 1 && meta.writer == *writer && !meta.ended;
                    return Ok(row.filter(|_| is_runnable).map(|row| row.version));
                }
                Err(fault) => {
                    unknown |= matches!(fault, Fault::Unknown(_));
                    if self.is_expired(start, SUBMIT_TIMEOUT) {
                        return Err(match unknown {
                            true => Refusal::Unknown(fault),
                            false => Refusal::NotStored(fault),
                        });
                    }
                }
            }
            sleep(STORE_RETRY_DELAY).await;
        }
    }
}

/// Guard of a stored copy of a submission whose owner's row is not committed; deletes the copy on
/// drop.
struct Guard<S: Store> {
    calls: Calls<S>,
    batch: String,
    writer: Writer,
    /// Delay before the deletion; none once the copy is accepted.
    discard_delay: Option<Duration>,
}

impl<S: Store> Drop for Guard<S> {
    fn drop(&mut self) {
        let Some(discard_delay) = self.discard_delay else { return };
        let (calls, batch) = (self.calls.clone(), std::mem::take(&mut self.batch));
        let writer = self.writer.clone();
        tokio::spawn(async move { calls.discard(&batch, &writer, discard_delay).await });
    }
}

impl<S: Store> Calls<S> {
    /// Deletes the rows of a copy that was not accepted, with retries.
    async fn discard(&self, batch: &str, writer: &Writer, discard_delay: Duration) {
        sleep(discard_delay).await;
        for _ in 0..MAX_DISCARD_ATTEMPTS {
            match self.try_discard(batch, writer).await {
                Ok(0) => return,
                Ok(rows) => {
                    return Line::new("copy_deleted")
                        .with("batch", batch)
                        .with("rows", rows)
                        .info();
                }
                Err(fault) => {
                    Line::new("copy_not_deleted").with("batch", batch).with("reason", fault).info();
                }
            }
            sleep(DISCARD_DELAY).await;
        }
    }

    /// Deletes the rows of a copy unless it was accepted; returns the number of deleted rows.
    async fn try_discard(&self, batch: &str, writer: &Writer) -> Result<usize, Fault> {
        // A commit without a reply may have taken effect.
        if self.read_meta(batch).await?.is_some_and(|(meta, _)| meta.writer == *writer) {
            return Ok(0);
        }
        let found = takeover::read_range(&self.store, rows::bodies_range(batch, writer)).await?;
        let (table, count) = (rows::BODIES_TABLE, found.len());
        let keys: Vec<Key> =
            found.into_iter().map(|row| Key { table, part: row.part, key: row.key }).collect();
        for keys in keys.chunks(MAX_ENTRIES) {
            let transaction = Transaction { deletes: keys.to_vec(), ..Transaction::default() };
            self.store.transact(transaction).await?;
        }
        Ok(count)
    }
}
