//! Task that groups changes into transactions.

use std::time::Duration;

use filbertsail_ports::table::{Error, Table};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Instant, timeout_at},
};

use crate::batch::{Change, Settled, distinct, settled, transaction};

/// Longest wait for further changes.
const GATHER_TIME: Duration = Duration::from_millis(5);
/// Most changes in one transaction.
const BATCH_ROWS: usize = 64;
/// Changes that wait for the transaction before theirs.
const QUEUED_CHANGES: usize = 4_096;

/// Change and where its result goes.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) change: Change,
    pub(super) reply: oneshot::Sender<Settled>,
}

struct Committer<T> {
    table: T,
    prefix: String,
    count: u64,
}

/// Starts the task; it ends when all senders are dropped.
pub(super) fn start<T: Table>(table: T, prefix: String) -> mpsc::Sender<Request> {
    let (sender, inbox) = mpsc::channel(QUEUED_CHANGES);
    tokio::spawn(Committer { table, prefix, count: 0 }.run(inbox));
    sender
}

impl<T: Table> Committer<T> {
    async fn run(mut self, mut inbox: mpsc::Receiver<Request>) {
        let mut waiting = Vec::new();
        while let Some(first) = inbox.recv().await {
            waiting.push(first);
            gather(&mut inbox, &mut waiting).await;
            while !waiting.is_empty() {
                let count = distinct(waiting.iter().map(|it| &*it.change.key));
                let batch = waiting.drain(..count).collect();
                self.commit(batch).await;
            }
        }
    }

    /// Commits changes of different rows; those in conflict do not hold back the others.
    async fn commit(&mut self, mut batch: Vec<Request>) {
        while !batch.is_empty() {
            self.count += 1;
            let token = format!("{}-claims-{:x}", self.prefix, self.count);
            let changes = batch.iter().map(|request| &request.change);
            let result = self.table.transact(transaction(token.clone(), changes)).await;
            let all = match result {
                Ok(_) => Settled::Done,
                Err(Error::Conflict(refusal)) => {
                    let before = batch.len();
                    batch = reply_where(batch, |key| settled(&refusal, &token, key));
                    if batch.len() < before {
                        continue;
                    }
                    Settled::Unavailable("refused without a conflict".to_owned())
                }
                Err(Error::Unknown(_)) => Settled::Unknown,
                Err(error) => Settled::Unavailable(error.to_string()),
            };
            batch = reply_where(batch, |_| Some(all.clone()));
        }
    }
}

async fn gather(inbox: &mut mpsc::Receiver<Request>, waiting: &mut Vec<Request>) {
    let until = Instant::now() + GATHER_TIME;
    while waiting.len() < BATCH_ROWS {
        match timeout_at(until, inbox.recv()).await {
            Ok(Some(request)) => waiting.push(request),
            _ => return,
        }
    }
}

/// Answers the requests that `outcome` settles and returns the others.
fn reply_where(batch: Vec<Request>, outcome: impl Fn(&str) -> Option<Settled>) -> Vec<Request> {
    let mut rest = Vec::new();
    for request in batch {
        match outcome(&request.change.key) {
            // Fails if the caller is gone; its ticket or claim then ends as unknown.
            Some(settled) => drop(request.reply.send(settled)),
            None => rest.push(request),
        }
    }
    rest
}
