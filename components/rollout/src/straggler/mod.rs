//! Detection of stragglers and the token budget for hedging them.

use std::time::Duration;

use filbertsail_clock::Instant;

use crate::round::{Key, Round};

/// Maximum tokens of losing attempts, as a fraction of the tokens of accepted responses.
pub const MAX_LOST_TOKEN_FRACTION: f64 = 0.10;
/// Multiple of the median duration from which an attempt is a straggler.
const STRAGGLER_FACTOR: f64 = 1.5;
/// Minimum number of samples for a median duration.
const MIN_SAMPLES: usize = 3;

/// Token budget for hedged attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    pub accepted_tokens: u64,
    pub accepted_responses: u64,
    /// Tokens of losing attempts.
    pub lost_tokens: u64,
    /// Tokens reserved for running hedged attempts.
    pub reserved_tokens: u64,
}

impl Budget {
    /// Expected cost, in tokens, of hedging an attempt that has `tokens` tokens: if the hedge wins,
    /// the first attempt has meanwhile generated another response of average length.
    #[must_use]
    pub fn cost(&self, tokens: u32, max_tokens: u32) -> u32 {
        let average = self
            .accepted_tokens
            .checked_div(self.accepted_responses)
            .unwrap_or(u64::from(max_tokens));
        let average = u32::try_from(average).unwrap_or(u32::MAX);
        tokens.saturating_add(average).min(max_tokens)
    }

    /// Reserves `cost` tokens for a hedged attempt; returns whether the budget allowed it.
    pub fn reserve(&mut self, cost: u32) -> bool {
        let total = self.lost_tokens + self.reserved_tokens + u64::from(cost);
        #[allow(clippy::cast_precision_loss)]
        let allowed = total as f64 <= self.accepted_tokens as f64 * MAX_LOST_TOKEN_FRACTION;
        if allowed {
            self.reserved_tokens += u64::from(cost);
        }
        allowed
    }

    /// Releases a reservation of `cost` tokens and adds the `tokens` that were actually lost.
    pub fn settle(&mut self, cost: u32, tokens: u32) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(u64::from(cost));
        self.lost_tokens += u64::from(tokens);
    }
}

/// Stragglers of `round` that are not hedged yet, slowest first.
#[must_use]
pub fn find(round: &Round, now: Instant) -> Vec<Key> {
    let round_median = median_duration(round.slots().map(|(_, slot)| slot));
    let mut stragglers = Vec::new();
    for group in 0..round.spec().groups {
        let median = median_duration(round.group(group).iter()).or(round_median);
        let Some(median) = median else { continue };
        for (slot, state) in (0_u32..).zip(round.group(group)) {
            let [attempt] = state.attempts.as_slice() else { continue };
            let elapsed = now.since(attempt.started_at);
            if elapsed > median.mul_f64(STRAGGLER_FACTOR) {
                stragglers.push((elapsed, Key { group, slot }));
            }
        }
    }
    stragglers.sort_by(|a, b| b.cmp(a));
    stragglers.into_iter().map(|(_, key)| key).collect()
}

fn median_duration<'a>(slots: impl Iterator<Item = &'a crate::round::Slot>) -> Option<Duration> {
    let mut durations: Vec<Duration> =
        slots.filter_map(|slot| slot.sample.as_ref()?.took).collect();
    if durations.len() < MIN_SAMPLES {
        return None;
    }
    let middle = durations.len() / 2;
    Some(*durations.select_nth_unstable(middle).1)
}

#[cfg(test)]
mod tests {
    use super::Budget;

    /// Guards against losing attempts that exceed the budget, whichever attempt wins.
    #[test]
    fn can_keep_extra_tokens_in_budget() {
        let mut budget = Budget { accepted_tokens: 1_000, ..Budget::default() };
        assert!(budget.reserve(60));
        assert!(!budget.reserve(60));
        assert!(budget.reserve(40));
        budget.settle(60, 60);
        assert!(!budget.reserve(1));
        budget.settle(40, 10);
        assert!(budget.reserve(30));
        assert_eq!((budget.lost_tokens, budget.reserved_tokens), (70, 30));
        budget.accepted_responses = 50;
        assert_eq!((budget.cost(30, 100), budget.cost(90, 100)), (50, 100));
    }
}
