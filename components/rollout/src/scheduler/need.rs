//! When a trainer will need its next batches.

use std::time::Duration;

use filbertsail_clock::Instant;

/// Forecast from the time that a trainer spends on a batch.
///
/// Stated deadlines are no more than limits, and the time between two fetches includes the time
/// that the trainer waited; only the time from a delivery to the next fetch is its own.
#[derive(Clone, Copy, Debug, Default)]
pub struct Need {
    delivered: Option<(u64, Instant)>,
    fetched: Option<u64>,
    step_time: Option<Duration>,
}

impl Need {
    /// Takes note of a fetch; repeated ones say nothing new.
    pub fn fetched(&mut self, step: u64, now: Instant) {
        if self.fetched == Some(step) {
            return;
        }
        self.fetched = Some(step);
        if let Some((last, at)) = self.delivered
            && last + 1 == step
        {
            let took = now.since(at);
            self.step_time = Some(self.step_time.map_or(took, |usual| (usual + took) / 2));
        }
    }

    /// Takes note of a delivery.
    pub fn delivered(&mut self, step: u64, now: Instant) {
        self.delivered = Some((step, now));
    }

    /// Time at which `step` will be fetched, once known.
    #[must_use]
    pub fn expect(&self, step: u64) -> Option<Instant> {
        let (last, at) = self.delivered?;
        let steps = u32::try_from(step.saturating_sub(last)).unwrap_or(u32::MAX);
        Some(at.after(self.step_time?.saturating_mul(steps)))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use filbertsail_clock::Instant;

    use super::Need;

    /// Guards against a forecast that takes the trainer's waiting for its work.
    #[test]
    fn can_tell_work_from_waiting() {
        let at = |seconds: u64| Instant::from_millis(seconds * 1_000);
        let mut need = Need::default();
        need.fetched(1, at(0));
        need.delivered(1, at(50));
        assert_eq!(need.expect(2), None);
        need.fetched(2, at(60));
        need.fetched(2, at(65));
        need.delivered(2, at(90));
        assert_eq!(need.expect(4), Some(at(90).after(Duration::from_secs(20))));
    }
}
