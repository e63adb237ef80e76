//! Rounds that gateways hand over while the table does not answer.
//!
//! Their bodies are in the object store. The holder works them off at once and writes their rows as
//! soon as the table answers, as a gateway would have done. If the holder dies before that, the
//! rounds are unknown and the trainer posts them again.

use std::time::Duration;

use filbertsail_clock::Source;
use filbertsail_ports::{
    object::Store,
    table::{Error, Table},
};
use filbertsail_rounds::{row, token};
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

/// Time between two attempts to write a row.
const PAUSE: Duration = Duration::from_millis(500);
/// Rounds that may wait for their rows.
const MAX_OFFERS: usize = 64;

impl<T: Table, S: Store, G: Gateways, C: Source> Term<T, S, G, C> {
    /// Answers an offer and takes the round over.
    pub(super) fn offered(&mut self, offer: Offer, reply: oneshot::Sender<Frame>) {
        let answer = match self.refusal(&offer) {
            Some(refusal) => refusal,
            None => {
                self.take_over(offer);
                Done.into()
            }
        };
        // Fails only if the caller is gone; a repeated offer is harmless.
        let _ = reply.send(answer);
    }

    fn refusal(&self, offer: &Offer) -> Option<Frame> {
        if !(self.is_held() || self.is_detached()) || self.draining {
            return Some(not_holder());
        }
        if let Some(work) = self.works.get(&offer.step) {
            let same = row::digest(&work.posted) == offer.digest;
            return (!same).then(|| fault("step_conflict", "the step has a round"));
        }
        if self.closed.contains(&offer.step) {
            return Some(fault("closed", "the round was closed"));
        }
        if self.loading.contains(&offer.step) && !self.offers.contains_key(&offer.step) {
            return Some(fault("loading", "the round of the step is being loaded"));
        }
        (self.offers.len() >= MAX_OFFERS)
            .then(|| fault("too_many_offers", "too many rounds wait for the table"))
    }

    /// Works the round off and writes its row in the background.
    pub(super) fn take_over(&mut self, offer: Offer) {
        let (step, object) = (offer.step, offer.object.clone());
        // A step that is worked off or delivered needs nothing more.
        if self.works.contains_key(&step) || self.ledger.is_settled(step) {
            return;
        }
        if self.offers.insert(step, offer.clone()).is_some() {
            return;
        }
        Line::new("round_offered")
            .with("trainer", &self.trainer)
            .with("step", step)
            .with("epoch", self.epoch)
            .info();
        self.load(step, object);
        let (table, sender) = (self.ports.table.clone(), self.sender.clone());
        // Goes on after the term, so that the next holder finds the row.
        tokio::spawn(async move {
            enter(table, offer).await;
            // Fails only after the end of the term.
            let _ = sender.send(Event::Entered(step));
        });
    }

    /// Takes note of a round's row. A row of other content wins over the offer.
    pub(super) fn entered(&mut self, step: u64, round: &row::Round) {
        let Some(offer) = self.offers.remove(&step) else { return };
        if offer.digest != round.digest {
            self.end_work(step);
        }
    }
}

/// Writes the row of an offered round, however long it takes. A row that exists stays.
async fn enter<T: Table>(table: T, offer: Offer) {
    let Offer { trainer, step, object, digest, samples } = offer;
    let key = row::round_key(&trainer, step);
    let value = row::Round { digest, object, state: row::State::Open, samples, cursor: None };
    loop {
        let transaction = filbertsail_api::table::Transaction {
            checks: vec![row::absent(key.clone())],
            token: token(),
            writes: vec![row::write(key.clone(), &value)],
        };
        match table.transact(transaction).await {
            Ok(_) | Err(Error::Conflict(_)) => return,
            Err(_) => sleep(PAUSE).await,
        }
    }
}
