//! Submission of batches.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use filbertsail_clock::Instant;
use filbertsail_http::Body;
use filbertsail_ports::store::{
    Fault, Key, MAX_ENTRIES, MAX_TRANSACTION_BYTES, Store, Transaction,
};
use filbertsail_telemetry::event::Line;
use http::{Response, StatusCode};
use tokio::time::sleep;

use super::{Calls, STORE_RETRY};
use crate::{
    batch::{
        Meta, Owner, Submission, Writer, rows,
        takeover::{self, Adoption},
        task::Command,
    },
    dialect::Dialect,
    forward::reply::{json, refuse, status},
};

/// Time for which a submission waits for a store that does not answer. A caller may come back once,
/// so a refusal after a short outage can cost it the whole step.
const SUBMIT_PATIENCE: Duration = Duration::from_millis(2_500);
/// Time after which a caller refused for want of the store should come back: another VM may reach
/// it already.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Time after which the pieces of a submission that was not accepted are deleted. A commit without an
/// answer may still be made seconds later.
const DISCARD_AFTER: Duration = Duration::from_secs(30);
/// Times that a failed deletion is repeated, each after the same time.
const DISCARD_TRIES: u32 = 10;

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
        let submission = match D::decode_submission(body) {
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
        let writer = Writer { vm: me.vm.clone(), call: rand::random() };
        let mine = owner == me;
        let meta = Meta {
            owner: Some(owner),
            epoch: 1,
            writer,
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
        // A VM that ran no batch so far knows nothing of the workers.
        let sights = async { if mine { takeover::sights(&self.store).await } else { Vec::new() } };
        let (committed, sights) = tokio::join!(self.store(batch, &meta, pieces, start), sights);
        let Some(version) = committed?.filter(|_| mine) else { return Ok(()) };
        let adoption = Adoption {
            batch: batch.to_owned(),
            meta,
            version,
            submission: Arc::new(submission),
            listed: Vec::new(),
            partials: Vec::new(),
            sights,
        };
        // The task lives as long as the process.
        let _ = self.task.send(Command::Adopt(Box::new(adoption)));
        Ok(())
    }

    /// Stores a submission; returns the version of the owner's row, or nothing if another copy was
    /// accepted before.
    async fn store(
        &self,
        batch: &str,
        meta: &Meta,
        pieces: Vec<Bytes>,
        start: Instant,
    ) -> Result<Option<u64>, Refusal> {
        // A caller that leaves ends this call anywhere.
        let (calls, writer) = (self.clone(), meta.writer.clone());
        let mut copy =
            Unaccepted { calls, batch: batch.to_owned(), writer, pause: Some(DISCARD_AFTER) };
        let mut last = self.store_pieces(batch, &meta.writer, pieces, start).await?;
        last.checks.push((rows::meta(batch), 0));
        last.writes.push((rows::meta(batch), rows::encode(meta)));
        let version = self.commit(batch, &meta.writer, last, start).await?;
        copy.pause = version.is_none().then_some(Duration::ZERO);
        Ok(version)
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
        writer: &Writer,
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
            transaction.writes.push((rows::body(batch, writer, number), piece));
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
        writer: &Writer,
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
                    let mine = meta.is_some_and(|meta| meta.epoch == 1 && meta.writer == *writer);
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
}

/// Copy of a submission whose owner's row is not committed; its rows are deleted when it is dropped.
struct Unaccepted<S: Store> {
    calls: Calls<S>,
    batch: String,
    writer: Writer,
    /// Time until the deletion; absent once the copy is accepted.
    pause: Option<Duration>,
}

impl<S: Store> Drop for Unaccepted<S> {
    fn drop(&mut self) {
        let Some(pause) = self.pause else { return };
        let (calls, batch) = (self.calls.clone(), std::mem::take(&mut self.batch));
        let writer = self.writer.clone();
        tokio::spawn(async move { calls.discard(&batch, &writer, pause).await });
    }
}

impl<S: Store> Calls<S> {
    /// Deletes the rows of a copy that was not accepted.
    async fn discard(&self, batch: &str, writer: &Writer, pause: Duration) {
        sleep(pause).await;
        for _ in 0..DISCARD_TRIES {
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
            sleep(DISCARD_AFTER).await;
        }
    }

    /// Number of rows deleted.
    async fn try_discard(&self, batch: &str, writer: &Writer) -> Result<usize, Fault> {
        // A commit without an answer may have been made after all.
        if self.meta(batch).await?.is_some_and(|(meta, _)| meta.writer == *writer) {
            return Ok(0);
        }
        let found = takeover::read(&self.store, rows::bodies(batch, writer)).await?;
        let (table, count) = (rows::BODIES, found.len());
        let keys: Vec<Key> =
            found.into_iter().map(|row| Key { table, part: row.part, key: row.key }).collect();
        for keys in keys.chunks(MAX_ENTRIES) {
            let transaction = Transaction { deletes: keys.to_vec(), ..Transaction::default() };
            self.store.transact(transaction).await?;
        }
        Ok(count)
    }
}
