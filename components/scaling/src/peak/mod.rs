//! Largest value within a sliding window.

use std::{collections::VecDeque, time::Duration};

use filbertsail_clock::Instant;

/// Largest of the values recorded within a window of fixed length.
#[derive(Clone, Debug)]
pub struct Peak {
    window: Duration,
    first_at: Option<Instant>,
    /// Values that no later one exceeds, oldest first.
    values: VecDeque<(Instant, f64)>,
}

impl Peak {
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self { window, first_at: None, values: VecDeque::new() }
    }

    /// Records a value; `now` must not decrease.
    pub fn record(&mut self, value: f64, now: Instant) {
        self.first_at.get_or_insert(now);
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
        while self.values.front().is_some_and(|(at, _)| now.since(*at) > self.window) {
            self.values.pop_front();
        }
    }

    /// Largest value; nothing until values of a whole window are known.
    #[must_use]
    pub fn get(&self, now: Instant) -> Option<f64> {
        let is_full = self.first_at.is_some_and(|first| now.since(first) >= self.window);
        self.values.front().filter(|_| is_full).map(|(_, value)| *value)
    }
}
