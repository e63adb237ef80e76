//! Division of engine capacity between trainers.

/// Share of one trainer in the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Claim {
    /// Configured share, relative to the other trainers.
    pub share: f64,
    /// Whether this is the trainer whose quota is computed.
    pub mine: bool,
}

/// Maximum number of concurrent attempts of one trainer.
///
/// Each trainer may use its share of the capacity. Unused capacity (`idle`) is divided by the same
/// shares, so that lease holders on different VMs do not claim the same idle capacity twice.
#[must_use]
pub fn quota(capacity: u32, idle: u32, running: usize, claims: &[Claim]) -> usize {
    let total: f64 = claims.iter().map(|claim| claim.share.max(0.0)).sum();
    let mine: f64 =
        claims.iter().filter(|claim| claim.mine).map(|claim| claim.share.max(0.0)).sum();
    if total <= 0.0 || capacity == 0 {
        return usize::from(capacity > 0);
    }
    let fraction = mine / total;
    let guaranteed = scaled(capacity, fraction).max(1);
    guaranteed.max(running + scaled(idle, fraction))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(value: u32, fraction: f64) -> usize {
    (f64::from(value) * fraction).floor() as usize
}

#[cfg(test)]
mod tests {
    use super::{Claim, quota};

    /// Guards against a trainer whose small share rounds down to no attempts.
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
