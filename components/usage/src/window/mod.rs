//! Windows of true time, counted from the start of 1970.

use std::time::Duration;

/// Division of true time into windows of one length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    length_ms: u64,
}

impl Window {
    /// Windows of `length`; nothing if that is less than a millisecond.
    #[must_use]
    pub fn new(length: Duration) -> Option<Self> {
        let length_ms = u64::try_from(length.as_millis()).ok()?;
        (length_ms > 0).then_some(Self { length_ms })
    }

    /// Length in milliseconds.
    #[must_use]
    pub const fn length_ms(self) -> u64 {
        self.length_ms
    }

    /// Index of the window that contains `true_ms`; the first one for times before 1970.
    #[must_use]
    pub fn index(self, true_ms: i64) -> u64 {
        u64::try_from(true_ms).unwrap_or(0) / self.length_ms
    }

    /// End of a window; saturates.
    #[must_use]
    pub fn end_ms(self, index: u64) -> i64 {
        let end = index.saturating_add(1).saturating_mul(self.length_ms);
        i64::try_from(end).unwrap_or(i64::MAX)
    }
}
