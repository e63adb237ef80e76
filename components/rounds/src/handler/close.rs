//! Acknowledgement and cancellation of rounds.

use filbertsail_api::table::{Row, Transaction};
use filbertsail_errors::Verdict;
use filbertsail_http::Body;
use filbertsail_ports::{
    object::Store,
    table::{Error, Table},
};
use filbertsail_telemetry::event::Line;
use http::{Response, StatusCode};

use super::{
    Handler, Query,
    response::{Rejection, json},
    table_unavailable,
};
use crate::{holder::Holder, row, transaction_token};

impl<T: Table, S: Store, H: Holder> Handler<T, S, H> {
    /// Acknowledges a delivery. If the request carries a cursor, it is stored in the row for the
    /// lease holder to record.
    pub(super) async fn acknowledge(
        &self,
        trainer: &str,
        step: u64,
        query: &Query,
    ) -> Result<Response<Body>, Rejection> {
        let cursor = self.cursor(trainer, query)?;
        let (row, mut round, manifest) = self.read_round(trainer, step).await?;
        let is_delivered =
            cursor.is_some_and(|cursor| cursor.taken.iter().any(|it| it.step == step));
        if manifest.is_none() && !is_delivered {
            let text = "the step has not been delivered";
            return Err(Rejection::new(StatusCode::CONFLICT, "not_delivered", text));
        }
        match round.state {
            row::State::Cancelled => return Err(Rejection::cancelled()),
            row::State::Acknowledged => return Ok(empty_object()),
            row::State::Open => round.state = row::State::Acknowledged,
        }
        round.cursor = query.get("cursor").filter(|_| is_delivered).map(str::to_owned);
        self.replace_round(&row, &round, Vec::new()).await?;
        self.log_and_notify("round_acknowledged", trainer, step);
        Ok(empty_object())
    }

    /// Cancels a round that has no batch yet.
    pub(super) async fn cancel(
        &self,
        trainer: &str,
        step: u64,
    ) -> Result<Response<Body>, Rejection> {
        let (row, mut round, manifest) = self.read_round(trainer, step).await?;
        if round.state == row::State::Cancelled {
            return Ok(empty_object());
        }
        if manifest.is_some() || round.state == row::State::Acknowledged {
            let text = "the step has been delivered";
            return Err(Rejection::new(StatusCode::CONFLICT, "delivered", text));
        }
        round.state = row::State::Cancelled;
        let no_manifest = row::expect_absent(row::manifest_key(trainer, step));
        self.replace_round(&row, &round, vec![no_manifest]).await?;
        self.log_and_notify("round_cancelled", trainer, step);
        Ok(empty_object())
    }

    fn log_and_notify(&self, event: &str, trainer: &str, step: u64) {
        Line::new(event).with("trainer", trainer).with("step", step).info();
        self.notify(trainer, step);
    }

    /// Reads a round and its manifest row, if there is one.
    async fn read_round(
        &self,
        trainer: &str,
        step: u64,
    ) -> Result<(Row, row::Round, Option<Row>), Rejection> {
        let keys = vec![row::round_key(trainer, step), row::manifest_key(trainer, step)];
        let query = filbertsail_api::table::Query { keys: keys.clone() };
        let rows = self.table.read(query).await;
        let rows = rows.map_err(|error| table_unavailable(Verdict::NotRun, &error.to_string()))?;
        let find = |key: &String| rows.iter().find(|row| row.key == *key).cloned();
        let row = find(&keys[0]).ok_or_else(Rejection::unknown_round)?;
        let round = row::decode::<row::Round>(&row).ok_or_else(Rejection::unknown_round)?;
        Ok((row, round, find(&keys[1])))
    }

    /// Writes `round` over `row` unless the row has changed.
    async fn replace_round(
        &self,
        row: &Row,
        round: &row::Round,
        mut checks: Vec<filbertsail_api::table::Check>,
    ) -> Result<(), Rejection> {
        checks.push(row::expect_unchanged(row));
        let writes = vec![row::write(row.key.clone(), round)];
        match self.table.transact(Transaction { checks, token: transaction_token(), writes }).await
        {
            Ok(_) => Ok(()),
            Err(Error::Conflict(_)) => {
                let text = "the round changed at the same time; try again";
                Err(Rejection::new(StatusCode::CONFLICT, "changed", text))
            }
            Err(Error::Unknown(reason)) => Err(table_unavailable(Verdict::MayHaveRun, &reason)),
            Err(error) => Err(table_unavailable(Verdict::NotRun, &error.to_string())),
        }
    }
}

fn empty_object() -> Response<Body> {
    json(StatusCode::OK, &serde_json::json!({}))
}
