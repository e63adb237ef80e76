//! Reads of results and bodies, from memory or from the store.

use std::time::Duration;

use filbertsail_http::Body;
use filbertsail_ports::store::{Fault, Store};
use filbertsail_telemetry::event::Line;
use http::{Response, StatusCode};
use tokio::time::{sleep, timeout};

use super::{Calls, ELSEWHERE_RETRY_AFTER, STORE_RETRY};
use crate::{
    batch::{
        Listed, Meta, Submission,
        board::{Board, page},
        rows, takeover,
    },
    dialect::Dialect,
    forward::reply::{json, refuse},
};

/// Time between two looks at the store for a reader of a batch that runs elsewhere.
const LOOK_INTERVAL: Duration = Duration::from_millis(180);

impl<S: Store> Calls<S> {
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
}

fn listing<D: Dialect>(total: usize, after: usize, listed: &[Listed]) -> Response<Body> {
    filbertsail_http::server::json(StatusCode::OK, D::encode_results(total, after, listed).to_vec())
}

fn body(submission: &Submission, item: &str) -> Response<Body> {
    match submission.items.iter().find(|entry| entry.id == item) {
        Some(entry) => Response::new(Body::full(entry.body.clone())),
        None => json(StatusCode::NOT_FOUND, "no such item"),
    }
}
