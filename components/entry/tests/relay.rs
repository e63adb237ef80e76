//! Attempts to reach the store through peers in an outage.

use filbertsail_clock::Instant;
use filbertsail_entry::relay::Budget;

/// Guards against an outage in which every VM calls every other one. Load: the store is away for
/// 7 s for all of 195 VMs, each of which makes 6 calls a second and tries 3 peers for each.
#[test]
fn can_limit_attempts_in_an_outage() {
    let (mut attempts, mut most_in_a_second) = (0, 0);
    let mut budgets = vec![Budget::default(); 195];
    for second in 0..7_u64 {
        let before = attempts;
        for call in 0..6 {
            let now = Instant::from_millis(1_000_000 + second * 1_000 + call * 166);
            for budget in &mut budgets {
                attempts += (0..3).take_while(|_| budget.take(now)).count();
            }
        }
        most_in_a_second = most_in_a_second.max(attempts - before);
    }
    // Without a limit there are 195 VMs x 7 s x 18 attempts, 24,570 of them.
    assert!(attempts <= 195 * (6 + 2 * 7), "{attempts} attempts");
    assert!(most_in_a_second <= 195 * 8, "{most_in_a_second} attempts in one second");
}

/// Guards against a VM that gives up on peers although most of them reach the store, and against
/// one that never tries again after a long outage.
#[test]
fn can_try_on_while_peers_answer() {
    let now = Instant::from_millis(1_000_000);
    let mut budget = Budget::default();
    for _ in 0..100 {
        assert!(budget.take(now));
        budget.record_success();
    }
    while budget.take(now) {}
    assert!(!budget.take(Instant::from_millis(1_000_100)));
    assert!(budget.take(Instant::from_millis(1_001_000)));
}
