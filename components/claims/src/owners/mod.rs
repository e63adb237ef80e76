//! Owners of claims that are no longer live members.

use std::{collections::HashMap, time::Duration};

use filbertsail_clock::Instant;

/// Time that an owner must be gone before its claims count as abandoned. A gateway that is cut off
/// from the others for a shorter time may still finish.
pub const CLAIM_TIME: Duration = Duration::from_secs(10);

/// Since when owners have been missing, as observed by this process.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    missing: HashMap<(String, u64), Instant>,
}

impl Owners {
    /// Notes whether an owner is live at `now`; returns whether it has been gone for longer than
    /// [`CLAIM_TIME`].
    pub fn observe(&mut self, owner: &str, incarnation: u64, live: bool, now: Instant) -> bool {
        let key = (owner.to_owned(), incarnation);
        if live {
            self.missing.remove(&key);
            return false;
        }
        let since = *self.missing.entry(key).or_insert(now);
        now.since(since) > CLAIM_TIME
    }
}

#[cfg(test)]
mod tests {
    use filbertsail_clock::Instant;

    use super::Owners;

    /// Guards against an owner that is given up while it was only missing now and then.
    #[test]
    fn can_start_the_wait_again() {
        let mut owners = Owners::default();
        let at = Instant::from_millis;
        assert!(!owners.observe("g", 1, false, at(0)));
        assert!(!owners.observe("g", 1, true, at(9_000)));
        assert!(!owners.observe("g", 1, false, at(9_500)));
        assert!(!owners.observe("g", 1, false, at(19_500)));
        assert!(owners.observe("g", 1, false, at(19_501)));
    }
}
