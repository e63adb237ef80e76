//! Exponential backoff with equal jitter: each delay is between half and all of the current bound.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Delays between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first delay.
    pub base: Duration,
    /// Upper bound of every delay.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(50), max: Duration::from_secs(2) }
    }
}

impl Backoff {
    /// Delay after failed attempt number `attempt`, counted from 0.
    pub fn delay(&self, attempt: u32, rng: &mut impl Rng) -> Duration {
        let bound = self.base.saturating_mul(1_u32 << attempt.min(16)).min(self.max);
        bound.mul_f64(rng.random_range(0.5..1.0))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use rand::{SeedableRng, rngs::StdRng};

    use super::Backoff;

    /// Guards against delays that overflow or exceed the bound after many failures.
    #[test]
    fn can_bound_every_delay() {
        let mut rng = StdRng::seed_from_u64(1);
        let backoff = Backoff::default();
        assert!(backoff.delay(0, &mut rng) <= backoff.base);
        assert!(backoff.delay(u32::MAX, &mut rng) <= backoff.max);
        assert!(backoff.delay(9, &mut rng) >= Duration::from_secs(1));
    }
}
