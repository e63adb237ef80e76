//! Tracks owners of claims that are no longer live members.

use std::{collections::HashMap, time::Duration};

use filbertsail_clock::Instant;

/// Time that an owner must be missing before its claims count as abandoned. A gateway that is
/// partitioned from the others for a shorter time may still finish its requests.
pub const ABANDON_TIMEOUT: Duration = Duration::from_secs(10);

/// Time since when each owner has been missing, as observed by this process.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    missing_since: HashMap<(String, u64), Instant>,
}

impl Owners {
    /// Records whether an owner is live at `now`. Returns whether it has been missing for longer
    /// than [`ABANDON_TIMEOUT`].
    pub fn observe(&mut self, owner: &str, incarnation: u64, live: bool, now: Instant) -> bool {
        let key = (owner.to_owned(), incarnation);
        if live {
            self.missing_since.remove(&key);
            return false;
        }
        let since = *self.missing_since.entry(key).or_insert(now);
        now.since(since) > ABANDON_TIMEOUT
    }
}

#[cfg(test)]
mod tests {
    use filbertsail_clock::Instant;

    use super::Owners;

    /// Guards against abandoning an owner that was missing several times, but each time briefly.
    #[test]
    fn can_restart_the_abandon_timeout() {
        let mut owners = Owners::default();
        let at = Instant::from_millis;
        assert!(!owners.observe("g", 1, false, at(0)));
        assert!(!owners.observe("g", 1, true, at(9_000)));
        assert!(!owners.observe("g", 1, false, at(9_500)));
        assert!(!owners.observe("g", 1, false, at(19_500)));
        assert!(owners.observe("g", 1, false, at(19_501)));
    }
}
