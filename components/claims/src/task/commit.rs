//! Background task that groups changes of claim rows into transactions.

use std::time::Duration;

use filbertsail_ports::table::{Error, Table};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};

use crate::batch::{Change, Outcome, conflict_outcome, distinct_prefix, transaction};

/// Longest wait for further changes after the first one of a transaction.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(5);
/// Largest number of changes in one transaction.
const MAX_BATCH_CHANGES: usize = 64;
/// Largest number of changes queued for the next transactions.
const QUEUE_CAPACITY: usize = 4_096;

/// Change and the channel for its outcome.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) change: Change,
    pub(super) reply: oneshot::Sender<Outcome>,
}

struct Committer<T> {
    table: T,
    token_prefix: String,
    transactions: u64,
}

/// Starts the task. It ends when all senders are dropped.
pub(super) fn start<T: Table>(table: T, token_prefix: String) -> mpsc::Sender<Request> {
    let (sender, inbox) = mpsc::channel(QUEUE_CAPACITY);
    tokio::spawn(Committer { table, token_prefix, transactions: 0 }.run(inbox));
    sender
}

impl<T: Table> Committer<T> {
    async fn run(mut self, mut inbox: mpsc::Receiver<Request>) {
        let mut queued = Vec::new();
        while let Some(first) = inbox.recv().await {
            queued.push(first);
            fill_batch(&mut inbox, &mut queued).await;
            while !queued.is_empty() {
                let count = distinct_prefix(queued.iter().map(|it| &*it.change.key));
                let batch = queued.drain(..count).collect();
                self.commit(batch).await;
            }
        }
    }

    /// Commits changes of distinct rows. Changes in conflict fail alone; the others are retried.
    async fn commit(&mut self, mut batch: Vec<Request>) {
        while !batch.is_empty() {
            self.transactions += 1;
            let token = format!("{}-claims-{:x}", self.token_prefix, self.transactions);
            let changes = batch.iter().map(|request| &request.change);
            let result = self.table.transact(transaction(token.clone(), changes)).await;
            let outcome = match result {
                Ok(_) => Outcome::Committed,
                Err(Error::Conflict(refusal)) => {
                    let before = batch.len();
                    batch = send_outcomes(batch, |key| conflict_outcome(&refusal, &token, key));
                    if batch.len() < before {
                        continue;
                    }
                    Outcome::Unavailable("refused without a conflict".to_owned())
                }
                Err(Error::Unknown(_)) => Outcome::Unknown,
                Err(error) => Outcome::Unavailable(error.to_string()),
            };
            batch = send_outcomes(batch, |_| Some(outcome.clone()));
        }
    }
}

async fn fill_batch(inbox: &mut mpsc::Receiver<Request>, queued: &mut Vec<Request>) {
    let deadline = Instant::now() + MAX_BATCH_DELAY;
    while queued.len() < MAX_BATCH_CHANGES {
        match timeout_at(deadline, inbox.recv()).await {
            Ok(Some(request)) => queued.push(request),
            _ => return,
        }
    }
}

/// Replies to the requests that have an outcome and returns the others.
fn send_outcomes(
    batch: Vec<Request>,
    outcome_of: impl Fn(&str) -> Option<Outcome>,
) -> Vec<Request> {
    let mut pending = Vec::new();
    for request in batch {
        match outcome_of(&request.change.key) {
            // Fails if the caller was dropped; its claim then ends as unknown.
            Some(outcome) => drop(request.reply.send(outcome)),
            None => pending.push(request),
        }
    }
    pending
}
