//! Division of the engines among trainers.

/// What one trainer asks of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Configured share.
    pub share: f64,
    /// The trainer asking.
    pub mine: bool,
}

/// Attempts that the asking trainer may run at a time.
///
/// Each trainer may use its part of the capacity. Capacity that nobody uses (`idle`) is divided by
/// the same shares, so that holders on different VMs that see the same idle capacity do not take it
/// twice.
#[must_use]
pub fn quota(capacity: u32, idle: u32, running: usize, claims: &[Claim]) -> usize {
    let total: f64 = claims.iter().map(|claim| claim.share.max(0.0)).sum();
    let mine: f64 =
        claims.iter().filter(|claim| claim.mine).map(|claim| claim.share.max(0.0)).sum();
    if total <= 0.0 || capacity == 0 {
        return usize::from(capacity > 0);
    }
    let part = mine / total;
    let base = scaled(capacity, part).max(1);
    base.max(running + scaled(idle, part))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(value: u32, part: f64) -> usize {
    (f64::from(value) * part).floor() as usize
}

#[cfg(test)]
mod tests {
    use super::{Claim, quota};

    /// Guards against a trainer with a small share that gets nothing at all.
    #[test]
    fn can_divide_by_share() {
        let claims = [Claim { share: 3.0, mine: true }, Claim { share: 1.0, mine: false }];
        assert_eq!(quota(16, 0, 0, &claims), 12);
        assert_eq!(quota(16, 8, 12, &claims), 18);
        let small = [Claim { share: 0.01, mine: true }, Claim { share: 1.0, mine: false }];
        assert_eq!(quota(4, 0, 0, &small), 1);
        assert_eq!(quota(0, 0, 0, &small), 0);
    }
}
