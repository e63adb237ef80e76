//! Acknowledgement and cancellation.

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
    answer::{Refusal, json},
    write_failed,
};
use crate::{reach::Holder, row, token};

impl<T: Table, S: Store, H: Holder> Handler<T, S, H> {
    /// Confirms a delivery. A cursor that comes along is kept for the holder to record.
    pub(super) async fn acknowledge(
        &self,
        trainer: &str,
        step: u64,
        query: &Query,
    ) -> Result<Response<Body>, Refusal> {
        let cursor = self.cursor(trainer, query)?;
        let (row, mut round, manifest) = self.rows(trainer, step).await?;
        let taken = cursor.is_some_and(|cursor| cursor.taken.iter().any(|it| it.step == step));
        if manifest.is_none() && !taken {
            let text = "the step has not been delivered";
            return Err(Refusal::new(StatusCode::CONFLICT, "not_delivered", text));
        }
        match round.state {
            row::State::Cancelled => return Err(Refusal::cancelled()),
            row::State::Acknowledged => return Ok(done()),
            row::State::Open => round.state = row::State::Acknowledged,
        }
        round.cursor = query.text("cursor").filter(|_| taken).map(str::to_owned);
        self.replace(&row, &round, Vec::new()).await?;
        self.closed("round_acknowledged", trainer, step);
        Ok(done())
    }

    /// Withdraws a round that has no batch yet.
    pub(super) async fn cancel(&self, trainer: &str, step: u64) -> Result<Response<Body>, Refusal> {
        let (row, mut round, manifest) = self.rows(trainer, step).await?;
        if round.state == row::State::Cancelled {
            return Ok(done());
        }
        if manifest.is_some() || round.state == row::State::Acknowledged {
            let text = "the step has been delivered";
            return Err(Refusal::new(StatusCode::CONFLICT, "delivered", text));
        }
        round.state = row::State::Cancelled;
        let undelivered = row::absent(row::manifest_key(trainer, step));
        self.replace(&row, &round, vec![undelivered]).await?;
        self.closed("round_cancelled", trainer, step);
        Ok(done())
    }

    fn closed(&self, event: &str, trainer: &str, step: u64) {
        Line::new(event).with("trainer", trainer).with("step", step).info();
        self.notify(trainer, step);
    }

    async fn rows(
        &self,
        trainer: &str,
        step: u64,
    ) -> Result<(Row, row::Round, Option<Row>), Refusal> {
        let keys = vec![row::round_key(trainer, step), row::manifest_key(trainer, step)];
        let query = filbertsail_api::table::Query { keys: keys.clone() };
        let rows = self.table.read(query).await;
        let rows = rows.map_err(|error| write_failed(Verdict::NotRun, &error.to_string()))?;
        let find = |key: &String| rows.iter().find(|row| row.key == *key).cloned();
        let row = find(&keys[0]).ok_or_else(Refusal::round)?;
        let round = row::parse::<row::Round>(&row).ok_or_else(Refusal::round)?;
        Ok((row, round, find(&keys[1])))
    }

    async fn replace(
        &self,
        row: &Row,
        round: &row::Round,
        mut checks: Vec<filbertsail_api::table::Check>,
    ) -> Result<(), Refusal> {
        checks.push(row::unchanged(row));
        let writes = vec![row::write(row.key.clone(), round)];
        match self.table.transact(Transaction { checks, token: token(), writes }).await {
            Ok(_) => Ok(()),
            Err(Error::Conflict(_)) => {
                let text = "the round changed at the same time; try again";
                Err(Refusal::new(StatusCode::CONFLICT, "changed", text))
            }
            Err(Error::Unknown(reason)) => Err(write_failed(Verdict::MayHaveRun, &reason)),
            Err(error) => Err(write_failed(Verdict::NotRun, &error.to_string())),
        }
    }
}

fn done() -> Response<Body> {
    json(StatusCode::OK, &serde_json::json!({}))
}
