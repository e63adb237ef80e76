//! Handover of all batches to other VMs at a graceful shutdown.

use bytes::Bytes;
use filbertsail_ports::store::{Fault, Key, MAX_VALUE_BYTES, Store, Transaction};
use filbertsail_telemetry::event::Line;
use tokio::{
    sync::oneshot,
    time::{sleep, timeout},
};

use super::{
    MAX_RESULTS_PER_TRANSACTION, STORE_RETRY_DELAY, Task,
    results::{MAX_BYTES_PER_TRANSACTION, results_transaction, take_next_results},
};
use crate::{
    batch::{
        Meta,
        execution::{Execution, Phase},
        rows,
    },
    dialect::Dialect,
};

impl<D: Dialect, S: Store> Task<D, S> {
    pub(super) fn hand_over(&mut self, done: oneshot::Sender<()>) {
        self.is_leaving = true;
        let limit = self.shared.times.stop_limit / 2;
        let batches: Vec<String> = self.execution_keys.keys().cloned().collect();
        let mut tasks = Vec::new();
        for batch in batches {
            let Some(key) = self.execution_keys.remove(&batch) else { continue };
            self.directory.remove(&batch);
            let Some(mut execution) = self.executions.remove(key) else { continue };
            self.abort_all_items(&mut execution);
            let store = self.store.clone();
            tasks.push(tokio::spawn(async move {
                let outcome = timeout(limit, hand_over(&store, &batch, execution)).await;
                match outcome {
                    Ok(Ok(())) => Line::new("batch_handed_over").with("batch", &batch).info(),
                    Ok(Err(fault)) => Line::new("handover_failed")
                        .with("batch", &batch)
                        .with("reason", fault)
                        .warn(),
                    Err(_) => Line::new("handover_failed")
                        .with("batch", &batch)
                        .with("reason", "handover timed out")
                        .warn(),
                }
            }));
        }
        tokio::spawn(async move {
            for task in tasks {
                // A panic in one handover must not stop the others.
                let _ = task.await;
            }
            let _ = done.send(());
        });
    }
}

/// Stores the results and partial outputs of a batch and releases its ownership.
async fn hand_over<S: Store>(
    store: &S,
    batch: &str,
    mut execution: Execution,
) -> Result<(), Fault> {
    while execution.pending_append.is_some() || !execution.unstored.is_empty() {
        if execution.pending_append.is_none() {
            execution.pending_append = Some(take_next_results(&mut execution));
        }
        let Some(transaction) = results_transaction(batch, &execution) else { break };
        match store.transact(transaction).await {
            Ok(commit) => {
                execution.stored_count +=
                    execution.pending_append.take().map_or(0, |append| append.results.len());
                if execution.is_fully_stored() {
                    (execution.meta.complete, execution.row_version) = (true, commit.version);
                }
            }
            Err(Fault::Conflict(present)) => {
                let position = rows::result_key(batch, execution.stored_count, 0).key;
                let owner = present.iter().find(|row| row.key == batch);
                let is_owner = owner.is_some_and(|row| row.version == execution.row_version);
                let committed = present.iter().any(|row| row.key == position && row.version > 0);
                if !is_owner || !committed {
                    return Err(Fault::Conflict(present));
                }
                execution.stored_count +=
                    execution.pending_append.take().map_or(0, |append| append.results.len());
            }
            Err(_) => sleep(STORE_RETRY_DELAY).await,
        }
    }
    if execution.is_fully_stored() {
        return Ok(());
    }
    let mut pending: Vec<(Key, Bytes)> = Vec::new();
    let mut bytes = 0;
    for (item, state) in execution.states.iter().enumerate() {
        let mut partial = std::mem::take(&mut state.output.lock().partial);
        let has_progress = partial.events > 0 || state.failures > 0;
        if matches!(state.phase, Phase::Ended) || !has_progress {
            continue;
        }
        partial.failures = state.failures;
        partial.id.clone_from(&execution.submission.items[item].id);
        let value = rows::encode_partial(&partial);
        // A longer output does not fit into a row; its item restarts from the beginning.
        if value.len() > MAX_VALUE_BYTES {
            continue;
        }
        bytes += value.len();
        pending.push((rows::partial_key(batch, item), value));
        if pending.len() >= MAX_RESULTS_PER_TRANSACTION || bytes > MAX_BYTES_PER_TRANSACTION {
            bytes = 0;
            write_rows(store, batch, execution.row_version, std::mem::take(&mut pending)).await?;
        }
    }
    let meta = Meta { owner: None, ..execution.meta.clone() };
    pending.push((rows::meta_key(batch), rows::encode_meta(&meta)));
    write_rows(store, batch, execution.row_version, pending).await
}

/// Writes rows if the owner's row still has `row_version`; retries until the store answers.
async fn write_rows<S: Store>(
    store: &S,
    batch: &str,
    row_version: u64,
    writes: Vec<(Key, Bytes)>,
) -> Result<(), Fault> {
    let transaction = Transaction {
        checks: vec![(rows::meta_key(batch), row_version)],
        writes,
        deletes: Vec::new(),
    };
    loop {
        match store.transact(transaction.clone()).await {
            Ok(_) => return Ok(()),
            Err(fault @ Fault::Conflict(_)) => return Err(fault),
            Err(_) => sleep(STORE_RETRY_DELAY).await,
        }
    }
}
