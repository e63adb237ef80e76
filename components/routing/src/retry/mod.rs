//! Retry budget: bounds retries to a fixed fraction of first attempts.

/// Retries deposited per first attempt.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
/// Upper bound on the retries in the budget.
const MAX_RETRIES: f64 = 50.0;
/// Retries in a new budget.
const INITIAL_RETRIES: f64 = 10.0;

/// Retry budget of one service, in retries.
#[derive(Clone, Copy, Debug)]
pub struct Budget(f64);

impl Default for Budget {
    fn default() -> Self {
        Self(INITIAL_RETRIES)
    }
}

impl Budget {
    /// Adds the retries earned by a first attempt.
    pub fn deposit(&mut self) {
        self.0 = (self.0 + RETRIES_PER_ATTEMPT).min(MAX_RETRIES);
    }

    /// Withdraws one retry; returns whether the budget allowed it.
    pub fn try_withdraw(&mut self) -> bool {
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

    /// Guards against retries that multiply the load on a failing service.
    #[test]
    fn can_bound_retries() {
        let mut budget = Budget::default();
        let retries = (0..1_000)
            .filter(|_| {
                budget.deposit();
                budget.try_withdraw()
            })
            .count();
        assert!((100..=111).contains(&retries), "{retries}");
    }
}
