//! Times at which refused callers return.
//!
//! Refusals get successive places in a schedule whose spacing follows from the rate at which
//! requests are sent, so that those refused first return first, and not all at once.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use filbertsail_clock::Instant;

use crate::share::Key;

/// Part of the remaining time of a caller after which it returns at the latest; later, the response
/// would not arrive in time.
const MAX_RETURN_SHARE: u32 = 3;
/// Least time until a caller returns, unless its remaining time is too short for it.
const MIN_RETURN: Duration = Duration::from_millis(40);
/// Longest time between two returns, for a VM that sends little.
const MAX_SPACING: Duration = Duration::from_millis(250);
/// Length of the schedule. Callers have a second and a half, and return within a third of it.
const MAX_BACKLOG: Duration = Duration::from_millis(500);
/// Part of the longest time over which callers are spread if the schedule is longer.
const LATE_SPREAD: f64 = 0.5;
/// Time after the return time within which a request counts as a return.
const RETURN_WINDOW: Duration = Duration::from_millis(500);
/// Expected returns remembered on one VM at most.
const MAX_EXPECTED: usize = 1_024;
/// Resolution of the time that is stated to callers.
const RESOLUTION_MS: u128 = 10;

/// Schedule of the returns to one service on one VM.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    last: Instant,
    expected: HashMap<Key, VecDeque<Instant>>,
    expected_len: usize,
}

impl Returns {
    /// Time after which a caller of `key` with `time_left` returns, if `rate` requests per second
    /// are sent; `jitter` is from 0 to 1.
    pub fn schedule(
        &mut self,
        key: &Key,
        rate: f64,
        time_left: Duration,
        jitter: f64,
        now: Instant,
    ) -> Duration {
        let longest = time_left / MAX_RETURN_SHARE;
        let spacing = Duration::try_from_secs_f64(1.0 / rate)
            .map_or(MAX_SPACING, |spacing| spacing.min(MAX_SPACING));
        let place = self.last.max(now.after(MIN_RETURN));
        let scheduled = place.after(spacing.mul_f64(jitter)).since(now);
        self.last = place.after(spacing).min(now.after(MAX_BACKLOG));
        let spread = longest.mul_f64(1.0 - LATE_SPREAD * jitter);
        let chosen = if scheduled <= longest { scheduled } else { spread };
        let retry_after = round_down(chosen);
        self.expect(key, now.after(retry_after), now);
        retry_after
    }

    /// Whether a refused caller of `key` is expected to return by now; each counts once.
    pub fn take_due(&mut self, key: &Key, now: Instant) -> bool {
        let Some(times) = self.expected.get_mut(key) else { return false };
        let before = times.len();
        times.retain(|at| now.since(*at) < RETURN_WINDOW);
        let due = times.iter().position(|at| *at <= now);
        if let Some(index) = due {
            times.remove(index);
        }
        self.expected_len -= before - times.len();
        if times.is_empty() {
            self.expected.remove(key);
        }
        due.is_some()
    }

    fn expect(&mut self, key: &Key, at: Instant, now: Instant) {
        if self.expected_len >= MAX_EXPECTED {
            for times in self.expected.values_mut() {
                times.retain(|at| now.since(*at) < RETURN_WINDOW);
            }
            self.expected.retain(|_, times| !times.is_empty());
            self.expected_len = self.expected.values().map(VecDeque::len).sum();
        }
        if self.expected_len < MAX_EXPECTED {
            self.expected.entry(key.clone()).or_default().push_back(at);
            self.expected_len += 1;
        }
    }
}

/// Rounds down to what the header of the response can state.
fn round_down(time: Duration) -> Duration {
    let ms = time.as_millis() / RESOLUTION_MS * RESOLUTION_MS;
    Duration::from_millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
