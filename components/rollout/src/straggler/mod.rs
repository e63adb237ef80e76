//! Second starts for the slowest members of a group.

use std::time::Duration;

use filbertsail_clock::Instant;

use crate::round::{Key, Round};

/// Share of the tokens of winning answers that losing attempts may cost.
pub const EXTRA_TOKEN_SHARE: f64 = 0.10;
/// Multiple of the usual time after which a member counts as a straggler.
const SLOW_FACTOR: f64 = 1.5;
/// Finished members that make a usual time.
const MIN_FINISHED: usize = 3;

/// Tokens won and lost, by which second starts are limited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    /// Tokens of answers that filled a slot.
    pub won: u64,
    /// Answers that filled a slot.
    pub answers: u64,
    /// Tokens of attempts that lost.
    pub lost: u64,
    /// Tokens set aside for second starts under way.
    pub reserved: u64,
}

impl Budget {
    /// Expected cost of a second start when the first attempt has `tokens` tokens: if the second
    /// one wins, the first one has gone on for a usual answer.
    #[must_use]
    pub fn cost(&self, tokens: u32, max_tokens: u32) -> u32 {
        let usual = self.won.checked_div(self.answers).unwrap_or(u64::from(max_tokens));
        let usual = u32::try_from(usual).unwrap_or(u32::MAX);
        tokens.saturating_add(usual).min(max_tokens)
    }

    /// Sets tokens aside for a second start, if the budget allows it.
    pub fn reserve(&mut self, cost: u32) -> bool {
        let after = self.lost + self.reserved + u64::from(cost);
        #[allow(clippy::cast_precision_loss)]
        let allowed = after as f64 <= self.won as f64 * EXTRA_TOKEN_SHARE;
        if allowed {
            self.reserved += u64::from(cost);
        }
        allowed
    }

    /// Ends a second start that cost `tokens` extra tokens.
    pub fn settle(&mut self, cost: u32, tokens: u32) {
        self.reserved = self.reserved.saturating_sub(u64::from(cost));
        self.lost += u64::from(tokens);
    }
}

/// Stragglers of `round` that have no second start yet, slowest first.
#[must_use]
pub fn find(round: &Round, now: Instant) -> Vec<Key> {
    let whole = usual(round.slots().map(|(_, slot)| slot));
    let mut slow = Vec::new();
    for group in 0..round.spec().groups {
        let usual = usual(round.group(group).iter()).or(whole);
        let Some(usual) = usual else { continue };
        for (slot, state) in (0_u32..).zip(round.group(group)) {
            let [attempt] = state.attempts.as_slice() else { continue };
            let elapsed = now.since(attempt.started);
            if elapsed > usual.mul_f64(SLOW_FACTOR) {
                slow.push((elapsed, Key { group, slot }));
            }
        }
    }
    slow.sort_by(|a, b| b.cmp(a));
    slow.into_iter().map(|(_, key)| key).collect()
}

fn usual<'a>(slots: impl Iterator<Item = &'a crate::round::Slot>) -> Option<Duration> {
    let mut times: Vec<Duration> = slots.filter_map(|slot| slot.sample.as_ref()?.took).collect();
    if times.len() < MIN_FINISHED {
        return None;
    }
    let middle = times.len() / 2;
    Some(*times.select_nth_unstable(middle).1)
}

#[cfg(test)]
mod tests {
    use super::Budget;

    /// Guards against second starts whose losers cost more than the budget, whichever one wins.
    #[test]
    fn can_keep_extra_tokens_in_budget() {
        let mut budget = Budget { won: 1_000, ..Budget::default() };
        assert!(budget.reserve(60));
        assert!(!budget.reserve(60));
        assert!(budget.reserve(40));
        budget.settle(60, 60);
        assert!(!budget.reserve(1));
        budget.settle(40, 10);
        assert!(budget.reserve(30));
        assert_eq!((budget.lost, budget.reserved), (70, 30));
        budget.answers = 50;
        assert_eq!((budget.cost(30, 100), budget.cost(90, 100)), (50, 100));
    }
}
