//! Staleness of samples, now and at the expected delivery.

/// Number of weight versions by which `oldest` is behind the trainer; zero if it is not.
#[must_use]
pub fn of(trainer_version: u64, oldest: u64) -> u64 {
    trainer_version.saturating_sub(oldest)
}

/// Step and weight version of a fetch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Fetch {
    step: u64,
    version: u64,
}

/// Forecast of the weight version of a trainer at the fetch of a step.
#[derive(Clone, Debug, Default)]
pub struct Forecast {
    previous: Option<Fetch>,
    last: Option<Fetch>,
}

impl Forecast {
    /// Records a fetch. The forecast restarts if the step or the version decreases.
    pub fn record_fetch(&mut self, step: u64, version: u64) {
        let fetch = Fetch { step, version };
        match self.last {
            Some(last) if step > last.step && version >= last.version => {
                self.previous = Some(last);
                self.last = Some(fetch);
            }
            Some(last) if step == last.step && version >= last.version => self.last = Some(fetch),
            _ => {
                self.previous = None;
                self.last = Some(fetch);
            }
        }
    }

    /// Expected version at the fetch of `step`; `None` before the first fetch.
    ///
    /// Rounds up: replacing a sample too early costs tokens, too late stalls the trainer.
    #[must_use]
    pub fn expected_version(&self, step: u64) -> Option<u64> {
        let last = self.last?;
        let steps_ahead = step.saturating_sub(last.step);
        let Some(previous) = self.previous else { return Some(last.version) };
        let steps = (last.step - previous.step).max(1);
        let versions = last.version - previous.version;
        Some(last.version + (steps_ahead * versions).div_ceil(steps))
    }

    /// Oldest version that is within the staleness bound at the fetch of `step`.
    #[must_use]
    pub fn min_useful_version(&self, step: u64, bound: u64) -> Option<u64> {
        self.expected_version(step).map(|version| version.saturating_sub(bound))
    }
}

#[cfg(test)]
mod tests {
    use super::Forecast;

    /// Guards against a forecast that is too high after a trainer restarts from an earlier step.
    #[test]
    fn can_restart_with_the_trainer() {
        let mut forecast = Forecast::default();
        assert_eq!(forecast.expected_version(1), None);
        forecast.record_fetch(1, 10);
        forecast.record_fetch(3, 11);
        assert_eq!(forecast.expected_version(4), Some(12));
        assert_eq!(forecast.expected_version(7), Some(13));
        forecast.record_fetch(2, 10);
        assert_eq!(forecast.expected_version(5), Some(10));
        assert_eq!(forecast.min_useful_version(5, 3), Some(7));
    }
}
