//! Bound on the log lines about callers without a known key.
//!
//! Load pattern: any number of requests a second with made-up keys, on a VM whose log has a limited
//! rate. Lines about other requests must not be pushed out.

use std::time::Duration;

use filbertsail_clock::Instant;

/// Length of a window.
const WINDOW: Duration = Duration::from_secs(1);
/// Lines in one window; enough to see which callers are concerned.
const MAX_LINES: u32 = 20;

/// Sample of the lines of one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    window_start: Option<Instant>,
    lines: u32,
    left_out: u64,
}

impl Sample {
    /// Admits a line at `now`. Returns the number of lines left out since the last admitted one, or
    /// none if this one is left out as well.
    pub fn admit(&mut self, now: Instant) -> Option<u64> {
        if self.window_start.is_none_or(|start| now.since(start) >= WINDOW) {
            self.window_start = Some(now);
            self.lines = 0;
        }
        if self.lines == MAX_LINES {
            self.left_out += 1;
            return None;
        }
        self.lines += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
