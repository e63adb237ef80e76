//! Retry budget: retries stay a fixed share of first attempts.

/// Share of a retry that each first attempt earns.
const EARNED: f64 = 0.1;
/// Retries that may be saved up.
const CEILING: f64 = 50.0;
/// Retries at the start.
const INITIAL: f64 = 10.0;

/// Retry budget of one service.
#[derive(Clone, Copy, Debug)]
pub struct Budget(f64);

impl Default for Budget {
    fn default() -> Self {
        Self(INITIAL)
    }
}

impl Budget {
    /// Notes a first attempt.
    pub fn earn(&mut self) {
        self.0 = (self.0 + EARNED).min(CEILING);
    }

    /// Takes one retry if there is one.
    pub fn take(&mut self) -> bool {
        let granted = self.0 >= 1.0;
        if granted {
            self.0 -= 1.0;
        }
        granted
    }
}

#[cfg(test)]
mod tests {
    use super::Budget;

    /// Guards against retries that multiply the load of a failing service.
    #[test]
    fn can_bound_retries() {
        let mut budget = Budget::default();
        let retries = (0..1_000)
            .filter(|_| {
                budget.earn();
                budget.take()
            })
            .count();
        assert!((100..=111).contains(&retries), "{retries}");
    }
}
