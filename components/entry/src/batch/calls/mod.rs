//! Requests of callers on batches.

mod read;
mod submit;

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_http::Body;
use filbertsail_ports::store::{Fault, Range, Store, Transaction};
use filbertsail_telemetry::event::Line;
use http::{Response, StatusCode};
use tokio::{sync::mpsc, time::sleep};

pub use submit::Origin;

use super::{Meta, listing::Directory, rows, task::Command};
use crate::{
    access::Authorization,
    dialect::CallerKey,
    forward::reply::{json, refuse, status},
    shared::Shared,
};

/// Delay before a store call is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Timeout of reads and of the end of a batch while the store does not answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Retry time for callers that another VM can serve: the next attempt reaches another VM.
const OTHER_VM_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Handler of batch requests, cheap to clone.
#[derive(Clone, Debug)]
pub struct Calls<S> {
    /// Shared state of the daemon.
    pub shared: Shared,
    pub store: S,
    /// Listings and owners' rows.
    pub directory: Directory,
    /// Task that runs the batches of this VM.
    pub task: mpsc::UnboundedSender<Command>,
}

impl<S: Store> Calls<S> {
    fn is_expired(&self, start: Instant, timeout: Duration) -> bool {
        self.shared.now().since(start) >= timeout || *self.shared.stopping.borrow()
    }

    /// Whether another VM can serve the caller better: this one has lost the store or has waited
    /// too long for it.
    fn should_redirect(&self, start: Instant, now: Instant) -> bool {
        self.shared.link.borrow().lost.is_some() || now.since(start) >= CALL_TIMEOUT
    }

    /// Authorization of a call without a key on a batch of no workspace. Only rows that this VM follows count:
    /// a read of the store for each unknown batch would be load that anybody can cause, and would
    /// take longer than the refusal for a known batch of a workspace.
    #[must_use]
    pub fn keyless_pass(&self, batch: &str, key: &CallerKey) -> Option<Authorization> {
        let has_workspaces = self.shared.config()?.directory.is_some();
        if !has_workspaces || *key != CallerKey::Absent {
            return None;
        }
        self.directory.meta(batch).filter(|meta| meta.workspace.is_none())?;
        self.shared.metrics.count_access("no_workspace");
        Some(Authorization::Open { is_public: true })
    }

    /// Owner's row of a batch that `authorization` may use, from the store; none if there is no such batch.
    async fn read_visible_meta(
        &self,
        batch: &str,
        authorization: &Authorization,
    ) -> Result<Option<(Meta, u64)>, Fault> {
        let found = self.read_meta(batch).await?;
        Ok(found.filter(|(meta, _)| authorization.may_use(meta.workspace.as_deref())))
    }

    /// Last known owner's row of a batch that `authorization` may use.
    fn visible_meta(&self, batch: &str, authorization: &Authorization) -> Option<Arc<Meta>> {
        self.directory.meta(batch).filter(|meta| authorization.may_use(meta.workspace.as_deref()))
    }

    async fn read_meta(&self, batch: &str) -> Result<Option<(Meta, u64)>, Fault> {
        let key = rows::meta_key(batch);
        let to = format!("{batch}\0");
        let range = Range { table: key.table, part: key.part, from: key.key, to, limit: 1 };
        let page = self.store.range(range).await?;
        let Some(row) = page.rows.into_iter().next() else { return Ok(None) };
        let meta = rows::decode_meta(row.value.as_deref().unwrap_or_default())
            .map_err(|error| Fault::Unavailable(error.to_string()))?;
        Ok(Some((meta, row.version)))
    }

    /// Ends a batch; a remote owner stops once its feed delivers the change.
    pub async fn end_batch(&self, batch: &str, authorization: &Authorization) -> Response<Body> {
        let start = self.shared.now();
        loop {
            match self.store_end(batch, authorization).await {
                Ok(Some((meta, row_version))) => {
                    let (batch, meta) = (batch.to_owned(), Box::new(meta));
                    // The receiver lives as long as the process.
                    let _ = self.task.send(Command::EndBatch { batch, meta, row_version });
                    return status(StatusCode::OK);
                }
                Ok(None) => return json(StatusCode::NOT_FOUND, "no such batch"),
                // The owner's row changed between the read and the write; try again.
                Err(Fault::Conflict(_)) => {}
                Err(fault) if self.should_redirect(start, self.shared.now()) => {
                    Line::new("end_refused").with("batch", batch).with("reason", fault).warn();
                    return refuse("store unavailable", OTHER_VM_RETRY_AFTER);
                }
                Err(_) => sleep(STORE_RETRY_DELAY).await,
            }
        }
    }

    /// Stores the end of a batch; returns its owner's row, or none if there is no such batch.
    async fn store_end(
        &self,
        batch: &str,
        authorization: &Authorization,
    ) -> Result<Option<(Meta, u64)>, Fault> {
        let Some((meta, row_version)) = self.read_visible_meta(batch, authorization).await? else {
            return Ok(None);
        };
        if meta.ended {
            return Ok(Some((meta, row_version)));
        }
        let meta = Meta { ended: true, ..meta };
        let transaction = Transaction {
            checks: vec![(rows::meta_key(batch), row_version)],
            writes: vec![(rows::meta_key(batch), rows::encode_meta(&meta))],
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
