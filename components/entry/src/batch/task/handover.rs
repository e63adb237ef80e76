//! Handover of all batches at a planned stop.

use bytes::Bytes;
use filbertsail_ports::store::{Fault, Key, MAX_VALUE_BYTES, Store, Transaction};
use filbertsail_telemetry::event::Line;
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::{
    MAX_RESULTS, STORE_RETRY, Task,
    results::{MAX_RESULT_BYTES, next_results, transaction},
};
use crate::{
    batch::{
        Meta, rows,
        run::{Phase, Run},
    },
    dialect::Dialect,
};

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn hand_over(&mut self, done: oneshot::Sender<()>) {
        self.leaving = true;
        let limit = self.shared.times.stop_limit / 2;
        let names: Vec<String> = self.names.keys().cloned().collect();
        let mut tasks = Vec::new();
        for batch in names {
            let Some(key) = self.names.remove(&batch) else { continue };
            self.boards.remove(&batch);
            let Some(mut run) = self.runs.remove(key) else { continue };
            self.abort_all(&mut run);
            let store = self.store.clone();
            tasks.push(tokio::spawn(async move {
                let handed = timeout(limit, hand_over(&store, &batch, run)).await;
                match handed {
                    Ok(Ok(())) => Line::new("batch_handed_over").with("batch", &batch).info(),
                    Ok(Err(fault)) => Line::new("handover_failed")
                        .with("batch", &batch)
                        .with("reason", fault)
                        .warn(),
                    Err(_) => Line::new("handover_failed")
                        .with("batch", &batch)
                        .with("reason", "no time left")
                        .warn(),
                }
            }));
        }
        tokio::spawn(async move {
            for task in tasks {
                // A panic in one handover leaves the others as they are.
                let _ = task.await;
            }
            let _ = done.send(());
        });
    }
}

/// Stores what is known of a batch and gives it up.
async fn hand_over<S: Store>(store: &S, batch: &str, mut run: Run) -> Result<(), Fault> {
    while run.storing.is_some() || !run.finished.is_empty() {
        if run.storing.is_none() {
            run.storing = Some(next_results(&mut run));
        }
        let Some(transaction) = transaction(batch, &run) else { break };
        match store.transact(transaction).await {
            Ok(commit) => {
                run.stored += run.storing.take().map_or(0, |storing| storing.results.len());
                if run.is_listed() {
                    (run.meta.complete, run.version) = (true, commit.version);
                }
            }
            Err(Fault::Conflict(present)) => {
                let position = rows::result(batch, run.stored, 0).key;
                let owner = present.iter().find(|row| row.key == batch);
                let same = owner.is_some_and(|row| row.version == run.version);
                let committed = present.iter().any(|row| row.key == position && row.version > 0);
                if !same || !committed {
                    return Err(Fault::Conflict(present));
                }
                run.stored += run.storing.take().map_or(0, |storing| storing.results.len());
            }
            Err(_) => sleep(STORE_RETRY).await,
        }
    }
    if run.is_listed() {
        return Ok(());
    }
    let mut pending: Vec<(Key, Bytes)> = Vec::new();
    let mut bytes = 0;
    for (item, slot) in run.slots.iter().enumerate() {
        let mut partial = std::mem::take(&mut slot.output.lock().partial);
        if matches!(slot.phase, Phase::Ended) || partial.events == 0 {
            continue;
        }
        partial.id.clone_from(&run.submission.items[item].id);
        let value = rows::encode(&partial);
        // A longer text does not fit into a row; its item starts anew.
        if value.len() > MAX_VALUE_BYTES {
            continue;
        }
        bytes += value.len();
        pending.push((rows::partial(batch, item), value));
        if pending.len() >= MAX_RESULTS || bytes > MAX_RESULT_BYTES {
            bytes = 0;
            write(store, batch, run.version, std::mem::take(&mut pending)).await?;
        }
    }
    let meta = Meta { owner: None, ..run.meta.clone() };
    pending.push((rows::meta(batch), rows::encode(&meta)));
    write(store, batch, run.version, pending).await
}

/// Writes rows under the owner's row, again while the store does not answer.
async fn write<S: Store>(
    store: &S,
    batch: &str,
    version: u64,
    writes: Vec<(Key, Bytes)>,
) -> Result<(), Fault> {
    let transaction =
        Transaction { checks: vec![(rows::meta(batch), version)], writes, deletes: Vec::new() };
    loop {
        match store.transact(transaction.clone()).await {
            Ok(_) => return Ok(()),
            Err(fault @ Fault::Conflict(_)) => return Err(fault),
            Err(_) => sleep(STORE_RETRY).await,
        }
    }
}
