//! Forecast of the times at which a trainer fetches its next batches.

use std::time::Duration;

use filbertsail_clock::Instant;

/// Forecast of fetches from the training time per batch.
///
/// Training time is measured from a delivery to the next fetch: the time between two fetches also
/// includes the wait for the batch, and the deadlines of rounds are only upper bounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Demand {
    last_delivery: Option<(u64, Instant)>,
    last_fetched: Option<u64>,
    training_time: Option<Duration>,
}

impl Demand {
    /// Records a fetch; repeated fetches of a step are ignored.
    pub fn record_fetch(&mut self, step: u64, now: Instant) {
        if self.last_fetched == Some(step) {
            return;
        }
        self.last_fetched = Some(step);
        if let Some((last, at)) = self.last_delivery
            && last + 1 == step
        {
            let elapsed = now.since(at);
            self.training_time =
                Some(self.training_time.map_or(elapsed, |average| (average + elapsed) / 2));
        }
    }

    pub fn record_delivery(&mut self, step: u64, now: Instant) {
        self.last_delivery = Some((step, now));
    }

    /// Expected time of the fetch of `step`; `None` until a training time is known.
    #[must_use]
    pub fn expected_fetch_at(&self, step: u64) -> Option<Instant> {
        let (last, at) = self.last_delivery?;
        let steps = u32::try_from(step.saturating_sub(last)).unwrap_or(u32::MAX);
        Some(at.after(self.training_time?.saturating_mul(steps)))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use filbertsail_clock::Instant;

    use super::Demand;

    /// Guards against a forecast that counts the trainer's wait as training time.
    #[test]
    fn can_exclude_waiting_from_the_training_time() {
        let at = |seconds: u64| Instant::from_millis(seconds * 1_000);
        let mut demand = Demand::default();
        demand.record_fetch(1, at(0));
        demand.record_delivery(1, at(50));
        assert_eq!(demand.expected_fetch_at(2), None);
        demand.record_fetch(2, at(60));
        demand.record_fetch(2, at(65));
        demand.record_delivery(2, at(90));
        assert_eq!(demand.expected_fetch_at(4), Some(at(90).after(Duration::from_secs(20))));
    }
}
