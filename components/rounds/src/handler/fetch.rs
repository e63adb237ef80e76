//! Fetch of batches.

use std::time::Duration;

use filbertsail_api::{
    table,
    trainer::{Batch, Progress},
};
use filbertsail_http::{Body, server};
use filbertsail_ports::{object::Store, table::Table};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::{Frame, frame};
use http::{Response, StatusCode};
use tokio::time::{Instant, sleep};

use super::{
    Handler, Query,
    response::{Rejection, json},
};
use crate::{holder::Holder, manifest, row};

/// Longest wait of one fetch, in milliseconds.
const MAX_WAIT_MS: u64 = 120_000;
/// Delay before a fetch is retried when no lease holder was reached.
const HOLDER_RETRY_DELAY: Duration = Duration::from_millis(200);

impl<T: Table, S: Store, H: Holder> Handler<T, S, H> {
    pub(super) async fn fetch(
        &self,
        trainer: &str,
        step: u64,
        query: &Query,
    ) -> Result<Response<Body>, Rejection> {
        let Some(version) = query.number("version")? else {
            return Err(Rejection::bad_request("version is missing"));
        };
        let wait_ms = query.number("wait_ms")?.unwrap_or(0).min(MAX_WAIT_MS);
        let cursor = self.cursor(trainer, query)?;
        // A cursor must go to the holder, which records the listed batches before it delivers.
        if cursor.is_none()
            && let Some(batch) = self.read_recorded(trainer, step, version).await?
        {
            return Ok(json(StatusCode::OK, &batch));
        }
        let cursor = query.get("cursor").map(str::to_owned);
        let trainer = trainer.to_owned();
        self.fetch_from_holder(frame::Fetch { trainer, step, version, wait_ms, cursor }).await
    }

    /// Reads the batch of a step whose manifest is in the table.
    async fn read_recorded(
        &self,
        trainer: &str,
        step: u64,
        version: u64,
    ) -> Result<Option<Batch>, Rejection> {
        let keys = vec![
            row::manifest_key(trainer, step),
            row::round_key(trainer, step),
            row::lease_key(trainer),
        ];
        // If the table is unavailable, the holder decides.
        let Ok(rows) = self.table.read(table::Query { keys: keys.clone() }).await else {
            return Ok(None);
        };
        let find = |key: &String| rows.iter().find(|row| row.key == *key);
        let Some(round) = find(&keys[1]).and_then(row::decode::<row::Round>) else {
            return Err(Rejection::unknown_round());
        };
        if round.state == row::State::Cancelled {
            return Err(Rejection::cancelled());
        }
        let Some(manifest) = find(&keys[0]).and_then(row::decode::<row::Manifest>) else {
            return Ok(None);
        };
        if manifest.is_stale(version) {
            return Err(Rejection::stale());
        }
        let lease = find(&keys[2]).and_then(row::decode::<row::Lease>);
        let epoch = lease.map_or(0, |lease| lease.epoch).max(manifest.epoch);
        let batch = manifest::read_batch(&self.store, trainer, step, epoch, &manifest).await;
        let batch = batch.map_err(|error| {
            Rejection::unavailable("object_store_unavailable", &error.to_string())
        })?;
        Line::new("batch_delivered")
            .with("trainer", trainer)
            .with("step", step)
            .with("epoch", epoch)
            .with("digest", &manifest.digest)
            .with("reason", "recorded")
            .info();
        Ok(Some(batch))
    }

    /// Fetches from the lease holder and retries until the wait ends if no holder is reached.
    async fn fetch_from_holder(
        &self,
        mut fetch: frame::Fetch,
    ) -> Result<Response<Body>, Rejection> {
        let deadline = Instant::now() + Duration::from_millis(fetch.wait_ms);
        loop {
            let reply = self.holder.fetch(fetch.clone()).await;
            let retry = match &reply {
                None => true,
                Some(Frame::Fault(fault)) => fault.code == "not_holder",
                Some(_) => false,
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !retry || remaining.is_zero() {
                return response(reply, &fetch);
            }
            sleep(HOLDER_RETRY_DELAY.min(remaining)).await;
            fetch.wait_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        }
    }
}

fn response(reply: Option<Frame>, fetch: &frame::Fetch) -> Result<Response<Body>, Rejection> {
    match reply {
        Some(Frame::Batch(batch)) => Ok(server::json(StatusCode::OK, batch.body)),
        Some(Frame::Progress(frame::Progress { ready, wanted })) => {
            let (step, trainer) = (fetch.step, fetch.trainer.clone());
            Ok(json(StatusCode::ACCEPTED, &Progress { ready, step, trainer, wanted }))
        }
        Some(Frame::Fault(fault)) => Err(match fault.code.as_str() {
            "stale" => Rejection::stale(),
            "unknown_round" => Rejection::unknown_round(),
            "cancelled" => Rejection::cancelled(),
            code => Rejection::unavailable(code, &fault.message),
        }),
        Some(_) => Err(Rejection::unavailable("unexpected_reply", "the holder sent no batch")),
        None => Err(Rejection::unavailable("holder_unreachable", "no holder of the lease answers")),
    }
}
