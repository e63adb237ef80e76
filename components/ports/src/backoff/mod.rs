//! Exponential backoff with full jitter.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Waits between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first wait.
    pub base: Duration,
    /// Upper bound of every wait.
    pub max: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self { base: Duration::from_millis(50), max: Duration::from_secs(2) }
    }
}

impl Backoff {
    /// Wait after the failed attempt number `attempt`, counted from 0.
    pub fn wait(&self, attempt: u32, rng: &mut impl Rng) -> Duration {
        let bound = self.base.saturating_mul(1_u32 << attempt.min(16)).min(self.max);
        bound.mul_f64(rng.random_range(0.5..1.0))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use rand::{SeedableRng, rngs::StdRng};

    use super::Backoff;

    /// Guards against waits that overflow or exceed the bound after many failures.
    #[test]
    fn can_bound_every_wait() {
        let mut rng = StdRng::seed_from_u64(1);
        let backoff = Backoff::default();
        assert!(backoff.wait(0, &mut rng) <= backoff.base);
        assert!(backoff.wait(u32::MAX, &mut rng) <= backoff.max);
        assert!(backoff.wait(9, &mut rng) >= Duration::from_secs(1));
    }
}
