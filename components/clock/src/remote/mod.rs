//! Monotonic clock of another process, as known from its answers.
//!
//! An answer states the clock at some time between the sending of its request and its arrival. These
//! may be far apart: the answer waits in a socket while the VM is frozen, and a loaded process answers
//! late. So each reading bounds the clock from both sides, and the tightest bounds of all readings
//! count. A late answer neither moves the clock back nor loosens its bounds.

use super::Instant;

/// Largest difference in rate between two clocks in parts per million: time synchronization changes
/// each of them by at most 500.
const MAX_DRIFT_PPM: i64 = 1_000;
/// Resolution of a stated clock in microseconds.
const RESOLUTION: i64 = 1_000;
/// Milliseconds by which a clock goes back at least when it restarts. It steps by less when its VM is
/// moved to another host.
const RESTART_MS: i64 = 2_000;

/// Clock stated in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Stated clock in milliseconds.
    pub ms: u64,
    /// Time at or before the sending of the request.
    pub sent_at: Instant,
    /// Time at or after the arrival of the answer.
    pub received_at: Instant,
}

/// Effect of a reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It agrees with earlier readings.
    Consistent,
    /// It contradicts earlier readings by at least these milliseconds and replaces them: the clock
    /// has restarted or stepped.
    Stepped(i64),
    /// Its request was sent before the last step was known, so that it is ignored.
    Outdated,
}

/// Known time of the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Anchor {
    micros: i64,
    at: Instant,
}

impl Anchor {
    /// Clock in microseconds at `at`, if its error grows by `drift_ppm` with the distance in time.
    fn micros(self, at: Instant, drift_ppm: i64) -> i64 {
        let elapsed = signed(at.as_micros()).saturating_sub(signed(self.at.as_micros()));
        let drift = elapsed.abs().saturating_mul(drift_ppm) / 1_000_000;
        self.micros.saturating_add(elapsed).saturating_add(drift)
    }
}

/// Bounds of the clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bounds {
    /// The clock showed this or more when an answer arrived.
    lower: Anchor,
    /// The clock showed this or less when a request was sent.
    upper: Anchor,
}

impl Bounds {
    fn new(reading: Reading) -> Self {
        let micros = signed(reading.ms.saturating_mul(1_000));
        Self {
            lower: Anchor { micros, at: reading.received_at },
            upper: Anchor { micros: micros.saturating_add(RESOLUTION), at: reading.sent_at },
        }
    }

    fn earliest(self, at: Instant) -> i64 {
        self.lower.micros(at, -MAX_DRIFT_PPM)
    }

    fn latest(self, at: Instant) -> i64 {
        self.upper.micros(at, MAX_DRIFT_PPM)
    }

    /// Microseconds by which the bounds of `new` lie outside of these; zero if both overlap.
    fn contradiction(self, new: Self) -> i64 {
        let ahead = new.lower.micros.saturating_sub(self.latest(new.lower.at));
        let behind = new.upper.micros.saturating_sub(self.earliest(new.upper.at));
        ahead.max(0) + behind.min(0)
    }
}

/// Clock of another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Clock {
    bounds: Option<Bounds>,
    /// Arrival of the answer that showed the last step.
    stepped_at: Instant,
    restarts: u64,
}

impl Clock {
    /// Records what an answer states. Answers may be recorded in any order.
    pub fn record(&mut self, reading: Reading) -> Change {
        let new = Bounds::new(reading);
        let Some(bounds) = &mut self.bounds else {
            self.bounds = Some(new);
            return Change::Consistent;
        };
        if reading.sent_at < self.stepped_at {
            return Change::Outdated;
        }
        let step = bounds.contradiction(new);
        if step != 0 {
            *bounds = new;
            self.stepped_at = reading.received_at;
            self.restarts += u64::from(step <= -RESTART_MS * 1_000);
            return Change::Stepped(step / 1_000);
        }
        if new.lower.micros > bounds.earliest(new.lower.at) {
            bounds.lower = new.lower;
        }
        if new.upper.micros < bounds.latest(new.upper.at) {
            bounds.upper = new.upper;
        }
        Change::Consistent
    }

    /// Clock at `at` in milliseconds according to the fastest answer; nothing before the first one.
    #[must_use]
    pub fn ms(&self, at: Instant) -> Option<i64> {
        Some(self.bounds?.lower.micros(at, 0).div_euclid(1_000))
    }

    /// Least that the clock may show at `at`, in milliseconds; nothing before the first reading.
    #[must_use]
    pub fn earliest_ms(&self, at: Instant) -> Option<i64> {
        Some(self.bounds?.earliest(at).div_euclid(1_000))
    }

    /// Most that the clock may show at `at`, in milliseconds; nothing before the first reading.
    #[must_use]
    pub fn latest_ms(&self, at: Instant) -> Option<i64> {
        Some(self.bounds?.latest(at).div_euclid(1_000))
    }

    /// How often the clock has restarted.
    #[must_use]
    pub const fn restarts(&self) -> u64 {
        self.restarts
    }
}

fn signed(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
