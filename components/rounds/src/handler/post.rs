//! Post of a round.

use bytes::Bytes;
use filbertsail_api::{
    table::{Query, Refusal as Conflicts, Row, Transaction},
    trainer::{Receipt, Round},
};
use filbertsail_errors::Verdict;
use filbertsail_http::Body;
use filbertsail_ports::{
    object::Store,
    table::{Error, Table},
};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::frame::{Notice, Offer};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};

use super::{
    Handler,
    answer::{Refusal, json},
    write_failed,
};
use crate::{reach::Holder, row, token};

/// Largest body of a posted round in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest number of samples in a round.
const MAX_SAMPLES: u64 = 65_536;

impl<T: Table, S: Store, H: Holder> Handler<T, S, H> {
    pub(super) async fn post<B>(&self, trainer: &str, body: B) -> Result<Response<Body>, Refusal>
    where
        B: hyper::body::Body<Data = Bytes> + Send,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|error| Refusal::bad(&error.to_string()))?.to_bytes();
        let round: Round =
            serde_json::from_slice(&body).map_err(|error| Refusal::bad(&error.to_string()))?;
        let samples = check(&round, trainer)?;
        let digest = row::digest(&round);
        let object = format!("rounds/{trainer}/{}/{digest}", round.step);
        let stored = serde_json::to_vec(&round).expect("a round has a JSON form");
        // The body alone posts nothing, so even a lost answer proves that the round was not posted.
        self.store.put(&object, stored.into()).await.map_err(|error| {
            Refusal::unavailable("object_store_unavailable", &error.to_string())
        })?;
        let state = row::State::Open;
        let value = row::Round { digest, object, state, samples, cursor: None };
        let inserted = self.insert(&round, &value).await;
        let recorded = inserted.is_ok();
        let created = match inserted {
            Ok(created) => created,
            Err(refusal) => self.offer(&round, &value, refusal).await?,
        };
        let (trainer, step) = (trainer.to_owned(), round.step);
        Line::new("round_posted")
            .with("trainer", &trainer)
            .with("step", step)
            .with("samples", samples)
            .with("created", created)
            .with("recorded", recorded)
            .info();
        if recorded {
            self.notify(&trainer, step);
        }
        let status = match (recorded, created) {
            (false, _) => StatusCode::ACCEPTED,
            (true, true) => StatusCode::CREATED,
            (true, false) => StatusCode::OK,
        };
        Ok(json(status, &Receipt { created, recorded, samples, step, trainer }))
    }

    /// Hands a round that the table did not take to the holder, which works it off and writes its
    /// row later.
    async fn offer(
        &self,
        round: &Round,
        value: &row::Round,
        refusal: Refusal,
    ) -> Result<bool, Refusal> {
        if !refusal.is_outage() {
            return Err(refusal);
        }
        let row::Round { digest, object, samples, .. } = value.clone();
        let (trainer, step) = (round.trainer.clone(), round.step);
        let offer = Offer { trainer, step, object, digest, samples };
        if self.holder.offer(offer).await { Ok(true) } else { Err(refusal) }
    }

    /// Tells the holder in the background; the caller does not wait for it.
    pub(super) fn notify(&self, trainer: &str, step: u64) {
        let (holder, trainer) = (self.holder.clone(), trainer.to_owned());
        tokio::spawn(async move { holder.notify(Notice { trainer, step }).await });
    }

    async fn insert(&self, round: &Round, value: &row::Round) -> Result<bool, Refusal> {
        let key = row::round_key(&round.trainer, round.step);
        let transaction = Transaction {
            checks: vec![row::absent(key.clone())],
            token: token(),
            writes: vec![row::write(key.clone(), value)],
        };
        match self.table.transact(transaction).await {
            Ok(_) => Ok(true),
            Err(Error::Conflict(Conflicts { conflicts })) => {
                let row = conflicts.into_iter().find_map(|conflict| conflict.row);
                same(row.as_ref(), value)
            }
            Err(Error::Unknown(reason)) => self.resolve(&key, value, &reason).await,
            Err(error) => Err(write_failed(Verdict::NotRun, &error.to_string())),
        }
    }

    /// Reads back after a lost answer: a row with the same content is as good as the own one.
    async fn resolve(&self, key: &str, value: &row::Round, reason: &str) -> Result<bool, Refusal> {
        let rows = self.table.read(Query { keys: vec![key.to_owned()] }).await;
        match rows {
            Ok(rows) if !rows.is_empty() => same(rows.first(), value),
            _ => Err(write_failed(Verdict::MayHaveRun, reason)),
        }
    }
}

fn same(row: Option<&Row>, value: &row::Round) -> Result<bool, Refusal> {
    let Some(known) = row.and_then(row::parse::<row::Round>) else {
        let text = "the round's row cannot be read";
        return Err(Refusal::new(StatusCode::CONFLICT, "step_conflict", text));
    };
    if known.digest != value.digest {
        let text = "the step was posted before with another content";
        return Err(Refusal::new(StatusCode::CONFLICT, "step_conflict", text));
    }
    if known.state == row::State::Cancelled {
        return Err(Refusal::cancelled());
    }
    Ok(false)
}

fn check(round: &Round, trainer: &str) -> Result<u64, Refusal> {
    if round.trainer != trainer {
        let text = "the token belongs to another trainer";
        return Err(Refusal::new(StatusCode::FORBIDDEN, "forbidden", text));
    }
    let samples = round.prompts.len() as u64 * u64::from(round.group_size);
    if samples == 0 || samples > MAX_SAMPLES {
        return Err(Refusal::bad(&format!("a round holds 1 to {MAX_SAMPLES} samples")));
    }
    if round.max_tokens == 0 {
        return Err(Refusal::bad("max_tokens is 0"));
    }
    let scorer = round.scorer.as_deref();
    if scorer.is_some_and(|scorer| scorer.parse::<std::net::SocketAddr>().is_err()) {
        return Err(Refusal::bad("scorer is not an IP address with port"));
    }
    Ok(samples)
}
