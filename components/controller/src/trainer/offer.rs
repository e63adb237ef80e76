//! Rounds that gateways hand over while the table does not answer.
//!
//! Their bodies are in the object store. The lease holder starts their samples at once and writes
//! their rows as soon as the table answers, as a gateway would have done. If the holder crashes
//! before that, the rounds are unknown and the trainer posts them again.

use std::time::Duration;

use filbertsail_clock::Source;
use filbertsail_ports::{
    object::Store,
    table::{Error, Table},
};
use filbertsail_rounds::{row, transaction_token};
use filbertsail_telemetry::event::Line;
use filbertsail_wire::{
    Frame,
    frame::{Done, Offer},
};
use tokio::{sync::oneshot, time::sleep};

use super::{Event, term::Term};
use crate::{
    gateways::Gateways,
    refusal::{fault, not_holder},
};

/// Pause between two attempts to write the row of an offered round.
const ROW_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of offered rounds without a row.
const MAX_UNRECORDED_OFFERS: usize = 64;

impl<T: Table, S: Store, G: Gateways, C: Source> Term<T, S, G, C> {
    /// Answers an offer and accepts its round unless it must be refused.
    pub(super) fn handle_offer(&mut self, offer: Offer, reply: oneshot::Sender<Frame>) {
        let answer = match self.offer_refusal(&offer) {
            Some(refusal) => refusal,
            None => {
                self.accept_offer(offer);
                Done.into()
            }
        };
        // Fails only if the caller no longer waits; a repeated offer is harmless.
        let _ = reply.send(answer);
    }

    fn offer_refusal(&self, offer: &Offer) -> Option<Frame> {
        if !(self.is_held() || self.may_act_without_table()) || self.draining {
            return Some(not_holder());
        }
        if let Some(active) = self.active_rounds.get(&offer.step) {
            let same_content = row::round_digest(&active.posted) == offer.digest;
            return (!same_content).then(|| fault("step_conflict", "the step has a round"));
        }
        if self.closed_steps.contains(&offer.step) {
            return Some(fault("closed", "the round was closed"));
        }
        if self.loading_steps.contains(&offer.step)
            && !self.unrecorded_offers.contains_key(&offer.step)
        {
            return Some(fault("loading", "the round of the step is being loaded"));
        }
        (self.unrecorded_offers.len() >= MAX_UNRECORDED_OFFERS)
            .then(|| fault("too_many_offers", "too many rounds wait for the table"))
    }

    /// Loads an offered round and writes its row in the background.
    pub(super) fn accept_offer(&mut self, offer: Offer) {
        let (step, object) = (offer.step, offer.object.clone());
        // The round is already active, or its batch is recorded.
        if self.active_rounds.contains_key(&step) || self.ledger.is_settled(step) {
            return;
        }
        if self.unrecorded_offers.insert(step, offer.clone()).is_some() {
            return;
        }
        Line::new("round_offered")
            .with("trainer", &self.trainer)
            .with("step", step)
            .with("epoch", self.epoch)
            .info();
        self.load_round(step, object);
        let (table, event_sender) = (self.context.table.clone(), self.event_sender.clone());
        // Not part of the term's tasks: it continues after the term, so that the next holder finds
        // the row.
        tokio::spawn(async move {
            write_row(table, offer).await;
            // Fails only after the end of the term.
            let _ = event_sender.send(Event::RowWritten(step));
        });
    }

    /// Compares an offered round with its row. If the contents differ, the row takes precedence.
    pub(super) fn row_written(&mut self, step: u64, round: &row::Round) {
        let Some(offer) = self.unrecorded_offers.remove(&step) else { return };
        if offer.digest != round.digest {
            self.drop_round(step);
        }
    }
}

/// Writes the row of an offered round and retries without limit. An existing row is left as it is.
async fn write_row<T: Table>(table: T, offer: Offer) {
    let Offer { trainer, step, object, digest, samples } = offer;
    let key = row::round_key(&trainer, step);
    let value = row::Round { digest, object, state: row::State::Open, samples, cursor: None };
    loop {
        let transaction = filbertsail_api::table::Transaction {
            checks: vec![row::expect_absent(key.clone())],
            token: transaction_token(),
            writes: vec![row::write(key.clone(), &value)],
        };
        match table.transact(transaction).await {
            Ok(_) | Err(Error::Conflict(_)) => return,
            Err(_) => sleep(ROW_RETRY_INTERVAL).await,
        }
    }
}
