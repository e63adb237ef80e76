//! Division of engine capacity between trainers.

/// Share of one trainer in the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Configured weight, relative to the other trainers.
    pub weight: f64,
    /// Whether this is the trainer whose quota is computed.
    pub is_requester: bool,
}

/// Maximum number of concurrent attempts of one trainer.
///
/// Each trainer may use its share of the capacity. Unused capacity (`idle`) is divided by the same
/// shares, so that lease holders on different VMs do not claim the same idle capacity twice.
#[must_use]
pub fn quota(capacity: u32, idle: u32, running: usize, shares: &[Share]) -> usize {
    let total: f64 = shares.iter().map(|share| share.weight.max(0.0)).sum();
    let requested: f64 =
        shares.iter().filter(|share| share.is_requester).map(|share| share.weight.max(0.0)).sum();
    if total <= 0.0 || capacity == 0 {
        return usize::from(capacity > 0);
    }
    let fraction = requested / total;
    let guaranteed = scaled(capacity, fraction).max(1);
    guaranteed.max(running + scaled(idle, fraction))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn scaled(value: u32, fraction: f64) -> usize {
    (f64::from(value) * fraction).floor() as usize
}

#[cfg(test)]
mod tests {
    use super::{Share, quota};

    /// Guards against a trainer whose small share rounds down to no attempts.
    #[test]
    fn can_divide_by_share() {
        let shares =
            [Share { weight: 3.0, is_requester: true }, Share { weight: 1.0, is_requester: false }];
        assert_eq!(quota(16, 0, 0, &shares), 12);
        assert_eq!(quota(16, 8, 12, &shares), 18);
        let small = [
            Share { weight: 0.01, is_requester: true },
            Share { weight: 1.0, is_requester: false },
        ];
        assert_eq!(quota(4, 0, 0, &small), 1);
        assert_eq!(quota(0, 0, 0, &small), 0);
    }
}
