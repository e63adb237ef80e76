//! Staleness of samples, now and at the expected time of delivery.

/// Versions between the trainer's and the oldest one in a label; zero for newer samples.
#[must_use]
pub fn of(trainer_version: u64, oldest: u64) -> u64 {
    trainer_version.saturating_sub(oldest)
}

/// Observed fetch of a trainer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Observation {
    step: u64,
    version: u64,
}

/// Forecast of the version that a trainer will state when it fetches a step.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    earlier: Option<Observation>,
    last: Option<Observation>,
}

impl Forecast {
    /// Takes note of a fetch. A trainer that went back starts a new series.
    pub fn observe(&mut self, step: u64, version: u64) {
        let new = Observation { step, version };
        match self.last {
            Some(last) if step > last.step && version >= last.version => {
                self.earlier = Some(last);
                self.last = Some(new);
            }
            Some(last) if step == last.step && version >= last.version => self.last = Some(new),
            _ => {
                self.earlier = None;
                self.last = Some(new);
            }
        }
    }

    /// Version expected at the fetch of `step`, `None` before the first observation.
    ///
    /// Rounds up: an early replacement costs tokens, a late one stalls the trainer.
    #[must_use]
    pub fn expect(&self, step: u64) -> Option<u64> {
        let last = self.last?;
        let ahead = step.saturating_sub(last.step);
        let Some(earlier) = self.earlier else { return Some(last.version) };
        let steps = (last.step - earlier.step).max(1);
        let versions = last.version - earlier.version;
        Some(last.version + (ahead * versions).div_ceil(steps))
    }

    /// Oldest version that a sample for `step` may carry under `bound`.
    #[must_use]
    pub fn oldest_useful(&self, step: u64, bound: u64) -> Option<u64> {
        self.expect(step).map(|version| version.saturating_sub(bound))
    }
}

#[cfg(test)]
mod tests {
    use super::Forecast;

    /// Guards against a forecast that runs ahead after a trainer restarts from an earlier step.
    #[test]
    fn can_follow_a_trainer_that_goes_back() {
        let mut forecast = Forecast::default();
        assert_eq!(forecast.expect(1), None);
        forecast.observe(1, 10);
        forecast.observe(3, 11);
        assert_eq!(forecast.expect(4), Some(12));
        assert_eq!(forecast.expect(7), Some(13));
        forecast.observe(2, 10);
        assert_eq!(forecast.expect(5), Some(10));
        assert_eq!(forecast.oldest_useful(5, 3), Some(7));
    }
}
