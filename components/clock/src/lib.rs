//! Monotonic time that can be controlled in tests.
//!
//! Decision functions take the current time as an [`Instant`]; only tasks read a [`Source`].
//! [`Boot`] reads `CLOCK_BOOTTIME`, which, unlike `std::time::Instant`, includes the time that the
//! VM is suspended: a lease holder must notice after a resume that its lease has expired.

pub mod remote;
pub mod running;

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use derive_more::{Debug, Display};
use rustix::time::{ClockId, clock_gettime};

/// Point in time, in microseconds since an arbitrary origin on this VM.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[debug("{_0}us")]
#[display("{_0}us")]
pub struct Instant(u64);

impl Instant {
    /// Instant `micros` microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Instant `millis` milliseconds after the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time elapsed since `earlier`; zero if `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Instant `duration` later; saturates.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }

    /// Instant `duration` earlier; saturates at the origin.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// Source of the current time.
pub trait Source: Clone + Send + Sync + 'static {
    /// Current time.
    fn now(&self) -> Instant;
}

/// Distance from the origin of instants to the boot of the VM: ages of what is older than the VM can
/// be stated.
const BOOT_OFFSET_SECONDS: u64 = 366 * 24 * 3_600;

/// System clock that includes the time that the VM is suspended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Source for Boot {
    fn now(&self) -> Instant {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
        Instant((seconds + BOOT_OFFSET_SECONDS) * 1_000_000 + nanos / 1_000)
    }
}

/// Clock for tests that advances only on request.
#[derive(Clone, Debug, Default)]
pub struct Manual(Arc<AtomicU64>);

impl Manual {
    /// Advances the clock.
    pub fn advance(&self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.0.fetch_add(micros, Ordering::SeqCst);
    }
}

impl Source for Manual {
    fn now(&self) -> Instant {
        Instant(self.0.load(Ordering::SeqCst))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::{Boot, Instant, Manual, Source};

    #[test]
    fn can_saturate_instead_of_wrapping() {
        let origin = Instant::default();
        assert_eq!(origin.before(Duration::from_secs(1)), origin);
        assert_eq!(origin.since(Instant::from_millis(5)), Duration::ZERO);
        assert_eq!(Instant::from_micros(u64::MAX).after(Duration::MAX).as_micros(), u64::MAX);
    }

    #[test]
    fn can_share_a_manual_clock() {
        let clock = Manual::default();
        let copy = clock.clone();
        clock.advance(Duration::from_millis(7));
        assert_eq!(copy.now(), Instant::from_millis(7));
    }

    #[test]
    fn can_read_a_monotonic_boot_clock() {
        let first = Boot.now();
        assert!(first.as_micros() > 0);
        assert!(Boot.now() >= first);
    }
}
