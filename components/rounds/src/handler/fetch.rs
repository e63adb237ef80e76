//! Fetch of a batch.

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
    answer::{Refusal, json},
};
use crate::{manifest, reach::Holder, row};

/// Longest wait of one fetch.
const MAX_WAIT_MS: u64 = 120_000;
/// Pause before a holder that was not reached is looked up again.
const REACH_PAUSE: Duration = Duration::from_millis(200);

impl<T: Table, S: Store, H: Holder> Handler<T, S, H> {
    pub(super) async fn fetch(
        &self,
        trainer: &str,
        step: u64,
        query: &Query,
    ) -> Result<Response<Body>, Refusal> {
        let Some(version) = query.number("version")? else {
            return Err(Refusal::bad("version is missing"));
        };
        let wait_ms = query.number("wait_ms")?.unwrap_or(0).min(MAX_WAIT_MS);
        let cursor = self.cursor(trainer, query)?;
        // A cursor goes to the holder, which records what it states before anything is delivered.
        if cursor.is_none()
            && let Some(batch) = self.recorded(trainer, step, version).await?
        {
            return Ok(json(StatusCode::OK, &batch));
        }
        let cursor = query.text("cursor").map(str::to_owned);
        let trainer = trainer.to_owned();
        self.ask(frame::Fetch { trainer, step, version, wait_ms, cursor }).await
    }

    /// Batch whose manifest the table records.
    async fn recorded(
        &self,
        trainer: &str,
        step: u64,
        version: u64,
    ) -> Result<Option<Batch>, Refusal> {
        let keys = vec![
            row::manifest_key(trainer, step),
            row::round_key(trainer, step),
            row::lease_key(trainer),
        ];
        // Without the table the holder decides.
        let Ok(rows) = self.table.read(table::Query { keys: keys.clone() }).await else {
            return Ok(None);
        };
        let find = |key: &String| rows.iter().find(|row| row.key == *key);
        let Some(round) = find(&keys[1]).and_then(row::parse::<row::Round>) else {
            return Err(Refusal::round());
        };
        if round.state == row::State::Cancelled {
            return Err(Refusal::cancelled());
        }
        let Some(manifest) = find(&keys[0]).and_then(row::parse::<row::Manifest>) else {
            return Ok(None);
        };
        if manifest.is_stale(version) {
            return Err(Refusal::stale());
        }
        let lease = find(&keys[2]).and_then(row::parse::<row::Lease>);
        let epoch = lease.map_or(0, |lease| lease.epoch).max(manifest.epoch);
        let batch = manifest::read(&self.store, trainer, step, epoch, &manifest).await;
        let batch = batch.map_err(|error| {
            Refusal::unavailable("object_store_unavailable", &error.to_string())
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

    async fn ask(&self, mut fetch: frame::Fetch) -> Result<Response<Body>, Refusal> {
        let until = Instant::now() + Duration::from_millis(fetch.wait_ms);
        loop {
            let reply = self.holder.fetch(fetch.clone()).await;
            let retry = match &reply {
                None => true,
                Some(Frame::Fault(fault)) => fault.code == "not_holder",
                Some(_) => false,
            };
            let left = until.saturating_duration_since(Instant::now());
            if !retry || left.is_zero() {
                return answer(reply, &fetch);
            }
            sleep(REACH_PAUSE.min(left)).await;
            fetch.wait_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        }
    }
}

fn answer(reply: Option<Frame>, fetch: &frame::Fetch) -> Result<Response<Body>, Refusal> {
    match reply {
        Some(Frame::Batch(batch)) => Ok(server::json(StatusCode::OK, batch.body)),
        Some(Frame::Progress(frame::Progress { ready, wanted })) => {
            let (step, trainer) = (fetch.step, fetch.trainer.clone());
            Ok(json(StatusCode::ACCEPTED, &Progress { ready, step, trainer, wanted }))
        }
        Some(Frame::Fault(fault)) => Err(match fault.code.as_str() {
            "stale" => Refusal::stale(),
            "unknown_round" => Refusal::round(),
            "cancelled" => Refusal::cancelled(),
            code => Refusal::unavailable(code, &fault.message),
        }),
        Some(_) => Err(Refusal::unavailable("unexpected_reply", "the holder sent no batch")),
        None => Err(Refusal::unavailable("holder_unreachable", "no holder of the lease answers")),
    }
}
