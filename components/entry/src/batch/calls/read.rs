//! Reads of results and item bodies, from memory or from the store.

use std::{sync::Arc, time::Duration};

use filbertsail_http::Body;
use filbertsail_ports::store::{Fault, Store};
use filbertsail_telemetry::event::Line;
use http::{Response, StatusCode};
use tokio::time::{sleep, timeout};

use super::{Calls, OTHER_VM_RETRY_AFTER, STORE_RETRY_DELAY};
use crate::{
    access::Authorization,
    batch::{
        Meta, Record, Submission,
        listing::{Listing, first_page},
        rows, takeover,
    },
    dialect::Dialect,
    forward::reply::{json, refuse},
};

/// Interval of store reads for a reader that waits for a batch of another VM.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(180);

impl<S: Store> Calls<S> {
    /// Responds with the results from position `after` on; waits for one if there is none yet.
    pub async fn results<D: Dialect>(
        &self,
        batch: &str,
        after: usize,
        wait: Duration,
        authorization: &Authorization,
    ) -> Response<Body> {
        let start = self.shared.now();
        let log_read = |count: usize, source: &str| {
            Line::new("batch_read")
                .with("batch", batch)
                .with("after", after)
                .with("count", count)
                .with("source", source)
                .with("took_ms", self.shared.now().since(start).as_millis())
                .info();
        };
        if let Some(listing) = self.listing(batch, authorization)
            && let Some(listed) = self.results_from_memory(&listing, after, wait).await
        {
            log_read(listed.len(), "memory");
            return results_response::<D>(listing.submission.items.len(), after, &listed);
        }
        if self.shared.link.borrow().lost.is_some() {
            Line::new("read_refused")
                .with("batch", batch)
                .with("reason", "no connection to the store")
                .info();
            return refuse("store unavailable", OTHER_VM_RETRY_AFTER);
        }
        // Another VM runs the batch, or its owner changed during the wait.
        loop {
            let found = self.results_from_store(batch, after, authorization).await;
            let now = self.shared.now();
            match found {
                Ok(None) => {
                    Line::new("batch_not_found").with("batch", batch).info();
                    return json(StatusCode::NOT_FOUND, "no such batch");
                }
                Ok(Some((meta, listed))) => {
                    let closed = meta.ended || meta.complete || *self.shared.stopping.borrow();
                    if !listed.is_empty() || closed || now.since(start) + STORE_POLL_INTERVAL > wait
                    {
                        log_read(listed.len(), "store");
                        return results_response::<D>(meta.total as usize, after, &listed);
                    }
                    sleep(STORE_POLL_INTERVAL).await;
                }
                Err(fault) if self.should_redirect(start, now) => {
                    Line::new("read_refused").with("batch", batch).with("reason", fault).info();
                    return refuse("store unavailable", OTHER_VM_RETRY_AFTER);
                }
                Err(_) => sleep(STORE_RETRY_DELAY).await,
            }
        }
    }

    /// Results of a batch that runs here. None if another VM can serve the reader better: the batch
    /// left this VM, or the store is unreachable and another owner may have stored results.
    async fn results_from_memory(
        &self,
        listing: &Listing,
        after: usize,
        wait: Duration,
    ) -> Option<Vec<Record>> {
        let mut count = listing.subscribe_count();
        let mut stopping = self.shared.stopping.subscribe();
        if *count.borrow() <= after && !*stopping.borrow() {
            let listed = count.wait_for(|count| *count > after);
            tokio::select! {
                // A timeout and a batch that left this VM are both handled below.
                _ = timeout(wait, listed) => {}
                _ = stopping.wait_for(|stopping| *stopping) => {}
            }
        }
        let listed = listing.page_after(after);
        let lost = self.shared.link.borrow().lost.is_some();
        (!listed.is_empty() || !lost).then_some(listed)
    }

    /// Listing of a batch that runs here and that `authorization` may use.
    fn listing(&self, batch: &str, authorization: &Authorization) -> Option<Arc<Listing>> {
        let listing = self.directory.get(batch)?;
        // Without workspaces the row is not needed.
        let is_visible =
            !authorization.has_workspaces() || self.visible_meta(batch, authorization).is_some();
        is_visible.then_some(listing)
    }

    /// Owner's row of a batch that `authorization` may use. Another workspace's batch is looked up in the
    /// store like an unknown one, so that both get the same response also in an outage.
    async fn known_meta(
        &self,
        batch: &str,
        authorization: &Authorization,
    ) -> Result<Option<Meta>, Fault> {
        if let Some(meta) = self.visible_meta(batch, authorization) {
            return Ok(Some((*meta).clone()));
        }
        Ok(self.read_visible_meta(batch, authorization).await?.map(|(meta, _)| meta))
    }

    async fn results_from_store(
        &self,
        batch: &str,
        after: usize,
        authorization: &Authorization,
    ) -> Result<Option<(Meta, Vec<Record>)>, Fault> {
        let Some(meta) = self.known_meta(batch, authorization).await? else { return Ok(None) };
        let found = self.store.range(rows::results_range(batch, after)).await?;
        let listed = rows::decode_results(&found.rows, after)
            .map_err(|error| Fault::Unavailable(error.to_string()))?;
        Ok(Some((meta, first_page(&listed))))
    }

    /// Responds with the request body of an item.
    pub async fn item(
        &self,
        batch: &str,
        item: &str,
        authorization: &Authorization,
    ) -> Response<Body> {
        if let Some(listing) = self.listing(batch, authorization) {
            return body_response(&listing.submission, item);
        }
        let start = self.shared.now();
        loop {
            match self.read_submission(batch, authorization).await {
                Ok(Some(submission)) => return body_response(&submission, item),
                Ok(None) => return json(StatusCode::NOT_FOUND, "no such batch"),
                Err(fault) if self.should_redirect(start, self.shared.now()) => {
                    Line::new("body_refused").with("batch", batch).with("reason", fault).info();
                    return refuse("store unavailable", OTHER_VM_RETRY_AFTER);
                }
                Err(_) => sleep(STORE_RETRY_DELAY).await,
            }
        }
    }

    async fn read_submission(
        &self,
        batch: &str,
        authorization: &Authorization,
    ) -> Result<Option<Submission>, Fault> {
        let Some(meta) = self.known_meta(batch, authorization).await? else { return Ok(None) };
        let found =
            takeover::read_range(&self.store, rows::bodies_range(batch, &meta.writer)).await?;
        rows::decode_submission(&found, &meta)
            .map(Some)
            .map_err(|error| Fault::Unavailable(error.to_string()))
    }
}

fn results_response<D: Dialect>(total: usize, after: usize, listed: &[Record]) -> Response<Body> {
    filbertsail_http::server::json(StatusCode::OK, D::encode_results(total, after, listed).to_vec())
}

fn body_response(submission: &Submission, item: &str) -> Response<Body> {
    match submission.items.iter().find(|submitted| submitted.id == item) {
        Some(submitted) => Response::new(Body::full(submitted.body.clone())),
        None => json(StatusCode::NOT_FOUND, "no such item"),
    }
}
