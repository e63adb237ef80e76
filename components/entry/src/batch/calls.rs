//! Callers' requests on batches.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_http::Body;
use filbertsail_ports::store::{
    Fault, MAX_ENTRIES, MAX_TRANSACTION_BYTES, Range, Store, Transaction,
};
use filbertsail_telemetry::event::Line;
use http::{Response, StatusCode};
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{
    Listed, Meta, Owner, Submission,
    board::{Board, Boards, page},
    rows,
    takeover::{self, Adoption},
    task::Command,
};
use crate::{
    dialect::Dialect,
    forward::reply::{json, refuse, status},
    shared::Shared,
};

/// Pause before a store call is repeated.
const STORE_RETRY: Duration = Duration::from_millis(120);
/// Time for which a submission waits for a store that does not answer. A caller may come back once,
/// so a refusal after a short outage can cost it the whole step.
const SUBMIT_PATIENCE: Duration = Duration::from_millis(2_500);
/// Time for which an end or a read waits for a store that does not answer.
const CALL_PATIENCE: Duration = Duration::from_millis(800);
/// Time between two looks at the store for a reader of a batch that runs elsewhere.
const LOOK_INTERVAL: Duration = Duration::from_millis(180);
/// Time after which a caller refused for want of the store should come back: another VM may reach
/// it already.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Time after which a reader should come back: its next attempt reaches another VM.
const ELSEWHERE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Handler of the calls on batches, cheap to clone.
#[derive(Clone, Debug)]
pub struct Calls<S> {
    /// State of the daemon.
    pub shared: Shared,
    /// Store.
    pub store: S,
    /// Batches that run here.
    pub boards: Boards,
    /// Task that owns them.
    pub task: mpsc::UnboundedSender<Command>,
}

/// Why a batch was not accepted.
enum Refusal {
    /// Nothing was kept, and it never runs.
    NotKept(Fault),
    /// It may have been accepted.
    Unknown(Fault),
}

impl<S: Store> Calls<S> {
    /// Accepts a batch: all its rows lie in the store before the answer.
    pub async fn submit<D: Dialect>(&self, batch: &str, host: &str, body: &[u8]) -> Response<Body> {
        if self.boards.get(batch).is_some() || self.boards.meta(batch).is_some() {
            Line::new("batch_repeated").with("batch", batch).info();
            return status(StatusCode::ACCEPTED);
        }
        let submission = match D::submission(body) {
            Ok(submission) => submission,
            Err(error) => {
                Line::new("batch_malformed").with("batch", batch).with("reason", &error).warn();
                return json(StatusCode::BAD_REQUEST, &error.to_string());
            }
        };
        if *self.shared.stopping.borrow() {
            return refuse("stopping", Duration::ZERO);
        }
        let start = self.shared.now();
        match self.accept(batch, host, submission, start).await {
            Ok(()) => {
                let took = self.shared.now().since(start).as_millis();
                self.shared.metrics.batch("accepted");
                Line::new("batch_accepted").with("batch", batch).with("took_ms", took).info();
                status(StatusCode::ACCEPTED)
            }
            Err(Refusal::NotKept(fault)) => {
                self.shared.metrics.batch("refused");
                Line::new("batch_refused").with("batch", batch).with("reason", fault).warn();
                refuse("store unavailable", STORE_RETRY_AFTER)
            }
            Err(Refusal::Unknown(fault)) => {
                self.shared.metrics.batch("unknown");
                Line::new("batch_unknown").with("batch", batch).with("reason", fault).warn();
                json(StatusCode::GATEWAY_TIMEOUT, "outcome unknown")
            }
        }
    }

    async fn accept(
        &self,
        batch: &str,
        host: &str,
        submission: Submission,
        start: Instant,
    ) -> Result<(), Refusal> {
        let me = Owner {
            vm: self.shared.identity.vm.clone(),
            incarnation: self.shared.identity.incarnation,
        };
        let encoded = rows::encode(&submission);
        let pieces: Vec<Bytes> = rows::pieces(&encoded).collect();
        let runner = self.boards.runner(&submission.model, start);
        let owner = runner.unwrap_or_else(|| me.clone());
        let mine = owner == me;
        let meta = Meta {
            owner: Some(owner),
            epoch: 1,
            writer: me.clone(),
            chunks: u32::try_from(pieces.len()).unwrap_or(u32::MAX),
            total: u32::try_from(submission.items.len()).unwrap_or(u32::MAX),
            host: host.to_owned(),
            model: submission.model.clone(),
            lag: self.lag(&submission),
            groups: submission.groups.iter().map(|group| rows::hash32(group)).collect(),
            accepted_ms: self.shared.link.borrow().store_ms(start),
            ended: false,
            complete: submission.items.is_empty(),
        };
        let mut last = self.store_pieces(batch, &me, pieces, start).await?;
        last.checks.push((rows::meta(batch), 0));
        last.writes.push((rows::meta(batch), rows::encode(&meta)));
        let committed = self.commit(batch, &me, last, start).await?;
        let Some(version) = committed.filter(|_| mine) else { return Ok(()) };
        let adoption = Adoption {
            batch: batch.to_owned(),
            meta,
            version,
            submission: Arc::new(submission),
            listed: Vec::new(),
            partials: Vec::new(),
        };
        // The task lives as long as the process.
        let _ = self.task.send(Command::Adopt(Box::new(adoption)));
        Ok(())
    }

    fn lag(&self, submission: &Submission) -> Option<u64> {
        let named = self.shared.versions.borrow().get(&submission.model).copied()?;
        named.checked_sub(submission.min_version)
    }

    /// Stores all but the last pieces of a submission; returns the transaction with the last ones.
    /// Pieces without an owner's row are no batch, so they need no check.
    async fn store_pieces(
        &self,
        batch: &str,
        me: &Owner,
        pieces: Vec<Bytes>,
        start: Instant,
    ) -> Result<Transaction, Refusal> {
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        for (number, piece) in pieces.into_iter().enumerate() {
            let full = bytes + piece.len() > MAX_TRANSACTION_BYTES
                || transaction.writes.len() + 4 > MAX_ENTRIES;
            if full {
                self.put(std::mem::take(&mut transaction), start).await?;
                bytes = 0;
            }
            bytes += piece.len();
            transaction.writes.push((rows::body(batch, me, number), piece));
        }
        Ok(transaction)
    }

    async fn put(&self, transaction: Transaction, start: Instant) -> Result<(), Refusal> {
        loop {
            match self.store.transact(transaction.clone()).await {
                Ok(_) => return Ok(()),
                Err(fault) if self.is_over(start, SUBMIT_PATIENCE) => {
                    return Err(Refusal::NotKept(fault));
                }
                Err(_) => sleep(STORE_RETRY).await,
            }
        }
    }

    /// Commits the owner's row; returns its version, or nothing if the batch was accepted before.
    async fn commit(
        &self,
        batch: &str,
        me: &Owner,
        transaction: Transaction,
        start: Instant,
    ) -> Result<Option<u64>, Refusal> {
        let mut unknown = false;
        loop {
            match self.store.transact(transaction.clone()).await {
                Ok(commit) => return Ok(Some(commit.version)),
                Err(Fault::Conflict(present)) => {
                    let row = present.into_iter().find(|row| row.key == batch);
                    let meta = row
                        .as_ref()
                        .and_then(|row| rows::decode::<Meta>(row.value.as_deref()?).ok());
                    // A commit of this very call whose answer was lost.
                    let mine =
                        meta.is_some_and(|meta| meta.epoch == 1 && meta.writer == *me && unknown);
                    return Ok(row.filter(|_| mine).map(|row| row.version));
                }
                Err(fault) => {
                    unknown |= matches!(fault, Fault::Unknown(_));
                    if self.is_over(start, SUBMIT_PATIENCE) {
                        return Err(match unknown {
                            true => Refusal::Unknown(fault),
                            false => Refusal::NotKept(fault),
                        });
                    }
                }
            }
            sleep(STORE_RETRY).await;
        }
    }

    fn is_over(&self, start: Instant, patience: Duration) -> bool {
        self.shared.now().since(start) >= patience || *self.shared.stopping.borrow()
    }

    /// Results from a position on; waits for one if there is none yet.
    pub async fn results<D: Dialect>(
        &self,
        batch: &str,
        after: usize,
        wait: Duration,
    ) -> Response<Body> {
        let start = self.shared.now();
        let note = |count: usize, source: &str| {
            Line::new("batch_read")
                .with("batch", batch)
                .with("after", after)
                .with("count", count)
                .with("source", source)
                .with("took_ms", self.shared.now().since(start).as_millis())
                .info();
        };
        if let Some(board) = self.boards.get(batch)
            && let Some(listed) = self.local(&board, after, wait).await
        {
            note(listed.len(), "memory");
            return listing::<D>(board.submission.items.len(), after, &listed);
        }
        if self.shared.link.borrow().lost.is_some() {
            Line::new("read_refused").with("batch", batch).with("reason", "store lost").info();
            return refuse("store unavailable", ELSEWHERE_RETRY_AFTER);
        }
        // The batch runs elsewhere, or its owner changed during the wait.
        loop {
            let found = self.stored(batch, after).await;
            let now = self.shared.now();
            match found {
                Ok(None) => {
                    Line::new("batch_not_found").with("batch", batch).info();
                    return json(StatusCode::NOT_FOUND, "no such batch");
                }
                Ok(Some((meta, listed))) => {
                    let closed = meta.ended || meta.complete || *self.shared.stopping.borrow();
                    if !listed.is_empty() || closed || now.since(start) + LOOK_INTERVAL > wait {
                        note(listed.len(), "store");
                        return listing::<D>(meta.total as usize, after, &listed);
                    }
                    sleep(LOOK_INTERVAL).await;
                }
                Err(fault) if self.is_hopeless(start, now) => {
                    Line::new("read_refused").with("batch", batch).with("reason", fault).info();
                    return refuse("store unavailable", ELSEWHERE_RETRY_AFTER);
                }
                Err(_) => sleep(STORE_RETRY).await,
            }
        }
    }

    /// Whether a caller is better served by another VM: this one has lost the store, or waits for
    /// it for too long already.
    fn is_hopeless(&self, start: Instant, now: Instant) -> bool {
        self.shared.link.borrow().lost.is_some() || now.since(start) >= CALL_PATIENCE
    }

    /// Results of a batch that runs here. Nothing if readers are better served elsewhere: the batch
    /// left this VM, or the store is lost and its results may be listed by another owner.
    async fn local(&self, board: &Board, after: usize, wait: Duration) -> Option<Vec<Listed>> {
        let mut count = board.count();
        let mut stopping = self.shared.stopping.subscribe();
        if *count.borrow() <= after && !*stopping.borrow() {
            let listed = count.wait_for(|count| *count > after);
            tokio::select! {
                // Both an elapsed wait and a batch that left this VM are judged below.
                _ = timeout(wait, listed) => {}
                _ = stopping.wait_for(|stopping| *stopping) => {}
            }
        }
        let listed = board.page(after);
        let lost = self.shared.link.borrow().lost.is_some();
        (!listed.is_empty() || !lost).then_some(listed)
    }

    async fn meta(&self, batch: &str) -> Result<Option<(Meta, u64)>, Fault> {
        let key = rows::meta(batch);
        let to = format!("{batch}\0");
        let range = Range { table: key.table, part: key.part, from: key.key, to, limit: 1 };
        let page = self.store.range(range).await?;
        let Some(row) = page.rows.into_iter().next() else { return Ok(None) };
        let meta = rows::decode(row.value.as_deref().unwrap_or_default())
            .map_err(|error| Fault::Unavailable(error.to_string()))?;
        Ok(Some((meta, row.version)))
    }

    async fn known_meta(&self, batch: &str) -> Result<Option<Meta>, Fault> {
        if let Some(meta) = self.boards.meta(batch) {
            return Ok(Some((*meta).clone()));
        }
        Ok(self.meta(batch).await?.map(|(meta, _)| meta))
    }

    async fn stored(
        &self,
        batch: &str,
        after: usize,
    ) -> Result<Option<(Meta, Vec<Listed>)>, Fault> {
        let Some(meta) = self.known_meta(batch).await? else { return Ok(None) };
        let found = self.store.range(rows::results(batch, after)).await?;
        let listed = rows::decode_results(&found.rows, after)
            .map_err(|error| Fault::Unavailable(error.to_string()))?;
        Ok(Some((meta, page(&listed))))
    }

    /// Body of an item.
    pub async fn item(&self, batch: &str, item: &str) -> Response<Body> {
        if let Some(board) = self.boards.get(batch) {
            return body(&board.submission, item);
        }
        let start = self.shared.now();
        loop {
            match self.submission(batch).await {
                Ok(Some(submission)) => return body(&submission, item),
                Ok(None) => return json(StatusCode::NOT_FOUND, "no such batch"),
                Err(fault) if self.is_hopeless(start, self.shared.now()) => {
                    Line::new("body_refused").with("batch", batch).with("reason", fault).info();
                    return refuse("store unavailable", ELSEWHERE_RETRY_AFTER);
                }
                Err(_) => sleep(STORE_RETRY).await,
            }
        }
    }

    async fn submission(&self, batch: &str) -> Result<Option<Submission>, Fault> {
        let Some(meta) = self.known_meta(batch).await? else { return Ok(None) };
        let found = takeover::read(&self.store, rows::bodies(batch, &meta.writer)).await?;
        rows::decode_submission(&found, &meta)
            .map(Some)
            .map_err(|error| Fault::Unavailable(error.to_string()))
    }

    /// Ends a batch; its owner stops within the time that its feed takes.
    pub async fn end(&self, batch: &str) -> Response<Body> {
        let start = self.shared.now();
        loop {
            match self.try_end(batch).await {
                Ok(Some((meta, version))) => {
                    let (batch, meta) = (batch.to_owned(), Box::new(meta));
                    // The task lives as long as the process.
                    let _ = self.task.send(Command::End { batch, meta, version });
                    return status(StatusCode::OK);
                }
                Ok(None) => return json(StatusCode::NOT_FOUND, "no such batch"),
                // The owner's row changed between the read and the write.
                Err(Fault::Conflict(_)) => {}
                Err(fault) if self.is_hopeless(start, self.shared.now()) => {
                    Line::new("end_refused").with("batch", batch).with("reason", fault).warn();
                    return refuse("store unavailable", ELSEWHERE_RETRY_AFTER);
                }
                Err(_) => sleep(STORE_RETRY).await,
            }
        }
    }

    /// Stores the end of a batch; returns the owner's row that says so.
    async fn try_end(&self, batch: &str) -> Result<Option<(Meta, u64)>, Fault> {
        let Some((meta, version)) = self.meta(batch).await? else { return Ok(None) };
        if meta.ended {
            return Ok(Some((meta, version)));
        }
        let meta = Meta { ended: true, ..meta };
        let transaction = Transaction {
            checks: vec![(rows::meta(batch), version)],
            writes: vec![(rows::meta(batch), rows::encode(&meta))],
            deletes: Vec::new(),
        };
        let commit = self.store.transact(transaction).await?;
        Line::new("batch_end_stored")
            .with("batch", batch)
            .with("row_version", commit.version)
            .info();
        Ok(Some((meta, commit.version)))
    }
}

fn listing<D: Dialect>(total: usize, after: usize, listed: &[Listed]) -> Response<Body> {
    filbertsail_http::server::json(StatusCode::OK, D::listing(total, after, listed).to_vec())
}

fn body(submission: &Submission, item: &str) -> Response<Body> {
    match submission.items.iter().find(|entry| entry.id == item) {
        Some(entry) => Response::new(Body::full(entry.body.clone())),
        None => json(StatusCode::NOT_FOUND, "no such item"),
    }
}
