//! Posting of rounds.

use bytes::Bytes;
use filbertsail_api::{
    table::{Query, Refusal as TableRefusal, Row, Transaction},
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
    response::{Rejection, json},
    table_unavailable,
};
use crate::{holder::Holder, row, transaction_token};

/// Largest body of a posted round in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest number of samples in a round.
const MAX_SAMPLES: u64 = 65_536;

impl<T: Table, S: Store, H: Holder> Handler<T, S, H> {
    pub(super) async fn post<B>(&self, trainer: &str, body: B) -> Result<Response<Body>, Rejection>
    where
        B: hyper::body::Body<Data = Bytes> + Send,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
        let body = body.map_err(|error| Rejection::bad_request(&error.to_string()))?.to_bytes();
        let round: Round = serde_json::from_slice(&body)
            .map_err(|error| Rejection::bad_request(&error.to_string()))?;
        let samples = validate(&round, trainer)?;
        let digest = row::round_digest(&round);
        let object = format!("rounds/{trainer}/{}/{digest}", round.step);
        let stored = serde_json::to_vec(&round).expect("a round can be encoded as JSON");
        // The body alone posts nothing: even if only the reply was lost, the round is not posted.
        self.store.put(&object, stored.into()).await.map_err(|error| {
            Rejection::unavailable("object_store_unavailable", &error.to_string())
        })?;
        let state = row::State::Open;
        let value = row::Round { digest, object, state, samples, cursor: None };
        let inserted = self.insert(&round, &value).await;
        let recorded = inserted.is_ok();
        let created = match inserted {
            Ok(created) => created,
            Err(rejection) => self.offer(&round, &value, rejection).await?,
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

    /// Offers the lease holder a round that could not be written to the table. The holder processes
    /// the round and writes its row later.
    async fn offer(
        &self,
        round: &Round,
        value: &row::Round,
        rejection: Rejection,
    ) -> Result<bool, Rejection> {
        if !rejection.is_unavailable() {
            return Err(rejection);
        }
        let row::Round { digest, object, samples, .. } = value.clone();
        let (trainer, step) = (round.trainer.clone(), round.step);
        let offer = Offer { trainer, step, object, digest, samples };
        if self.holder.offer(offer).await { Ok(true) } else { Err(rejection) }
    }

    /// Notifies the holder in the background; the caller does not wait for it.
    pub(super) fn notify(&self, trainer: &str, step: u64) {
        let (holder, trainer) = (self.holder.clone(), trainer.to_owned());
        tokio::spawn(async move { holder.notify(Notice { trainer, step }).await });
    }

    /// Inserts the row of a round. Returns false if a row with the same content exists.
    async fn insert(&self, round: &Round, value: &row::Round) -> Result<bool, Rejection> {
        let key = row::round_key(&round.trainer, round.step);
        let transaction = Transaction {
            checks: vec![row::expect_absent(key.clone())],
            token: transaction_token(),
            writes: vec![row::write(key.clone(), value)],
        };
        match self.table.transact(transaction).await {
            Ok(_) => Ok(true),
            Err(Error::Conflict(TableRefusal { conflicts })) => {
                let row = conflicts.into_iter().find_map(|conflict| conflict.row);
                check_same_content(row.as_ref(), value)
            }
            Err(Error::Unknown(reason)) => self.resolve_unknown_insert(&key, value, &reason).await,
            Err(error) => Err(table_unavailable(Verdict::NotRun, &error.to_string())),
        }
    }

    /// Resolves an insert with an unknown outcome: a row with the same content counts as written.
    async fn resolve_unknown_insert(
        &self,
        key: &str,
        value: &row::Round,
        reason: &str,
    ) -> Result<bool, Rejection> {
        let rows = self.table.read(Query { keys: vec![key.to_owned()] }).await;
        match rows {
            Ok(rows) if !rows.is_empty() => check_same_content(rows.first(), value),
            _ => Err(table_unavailable(Verdict::MayHaveRun, reason)),
        }
    }
}

/// Returns `Ok(false)` if `row` has the content of `value` and is not cancelled.
fn check_same_content(row: Option<&Row>, value: &row::Round) -> Result<bool, Rejection> {
    let Some(existing) = row.and_then(row::decode::<row::Round>) else {
        let text = "the round's row cannot be read";
        return Err(Rejection::new(StatusCode::CONFLICT, "step_conflict", text));
    };
    if existing.digest != value.digest {
        let text = "the step was posted before with another content";
        return Err(Rejection::new(StatusCode::CONFLICT, "step_conflict", text));
    }
    if existing.state == row::State::Cancelled {
        return Err(Rejection::cancelled());
    }
    Ok(false)
}

/// Validates a posted round and returns its number of samples.
fn validate(round: &Round, trainer: &str) -> Result<u64, Rejection> {
    if round.trainer != trainer {
        let text = "the token belongs to another trainer";
        return Err(Rejection::new(StatusCode::FORBIDDEN, "forbidden", text));
    }
    let samples = round.prompts.len() as u64 * u64::from(round.group_size);
    if samples == 0 || samples > MAX_SAMPLES {
        return Err(Rejection::bad_request(&format!("a round holds 1 to {MAX_SAMPLES} samples")));
    }
    if round.max_tokens == 0 {
        return Err(Rejection::bad_request("max_tokens is 0"));
    }
    let scorer = round.scorer.as_deref();
    if scorer.is_some_and(|scorer| scorer.parse::<std::net::SocketAddr>().is_err()) {
        return Err(Rejection::bad_request("scorer is not an IP address with port"));
    }
    Ok(samples)
}
