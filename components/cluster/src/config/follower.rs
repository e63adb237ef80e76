//! State machine of a daemon that follows the configuration.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_config::inventory::Unconfirmed;

use super::Snapshot;

/// Age up to which a confirmation counts.
pub(crate) const CONFIRMATION_AGE: Duration = Duration::from_secs(8);

/// Configuration in force and its confirmation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Follower {
    current: Option<Arc<Snapshot>>,
    /// Highest version heard of.
    known: u64,
    /// Version that was the highest at a time.
    confirmed: Option<(u64, Instant)>,
}

impl Follower {
    pub(crate) fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    pub(crate) fn current(&self) -> Option<&Arc<Snapshot>> {
        self.current.as_ref()
    }

    /// Confirmation of the version in force.
    pub(crate) fn confirmed(&self) -> Option<(u64, Instant)> {
        self.confirmed.filter(|(version, _)| *version == self.version())
    }

    /// Whether a version is known that is not in force here.
    pub(crate) fn is_behind(&self) -> bool {
        self.known > self.version()
    }

    /// Takes `snapshot` into force if it is newer.
    pub(crate) fn adopt(&mut self, snapshot: Arc<Snapshot>) -> bool {
        let newer = snapshot.version > self.version();
        if newer {
            self.known = self.known.max(snapshot.version);
            self.current = Some(snapshot);
        }
        newer
    }

    /// A daemon or the table knows `version`; it was the highest at the time `at`, if that is
    /// known.
    pub(crate) fn hear(&mut self, version: u64, at: Option<Instant>) {
        self.known = self.known.max(version);
        let Some(at) = at else { return };
        let newer = |(old, old_at): (u64, Instant)| (version, at) > (old, old_at);
        if self.confirmed.is_none_or(newer) {
            self.confirmed = Some((version, at));
        }
    }

    /// Whether the version in force was the highest within the last 8 s.
    pub(crate) fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed().is_some_and(|(_, at)| now.since(at) < CONFIRMATION_AGE)
    }

    /// Whether the daemon may serve.
    pub(crate) fn is_ready(&self, now: Instant, majority: bool) -> bool {
        let Some(current) = &self.current else { return false };
        let lenient = current.inventory.deployment.unconfirmed == Unconfirmed::Serve;
        self.is_confirmed(now) || majority || lenient
    }
}

#[cfg(test)]
mod tests {
    use std::{sync::Arc, time::Duration};

    use filbertsail_clock::Instant;

    use super::{CONFIRMATION_AGE, Follower};
    use crate::config::Snapshot;

    fn follower(unconfirmed: &str) -> Follower {
        let text = format!(
            "zone = []\nservice = []\nworker = []\n[deployment]\nname = \"a\"\n\
             staleness_weight = 1.0\nidle_weight = 1.0\nunconfirmed = \"{unconfirmed}\"\n"
        );
        let digest = filbertsail_config::digest(&text);
        let snapshot = Snapshot::parse(3, &digest, &text).expect("inventory");
        let mut follower = Follower::default();
        assert!(follower.adopt(Arc::new(snapshot)));
        follower
    }

    /// Guards against an outage that stops a majority at any moment, and against a minority that
    /// serves for longer than a confirmation counts.
    #[test]
    fn can_serve_unconfirmed_only_with_a_majority() {
        let read = Instant::from_millis(1_000);
        let (mut stop, mut serve) = (follower("stop"), follower("serve"));
        stop.hear(3, Some(read));
        serve.hear(3, Some(read));
        for millis in (0..20_000).step_by(50) {
            let age = Duration::from_millis(millis);
            let now = read.after(age);
            assert!(stop.is_ready(now, true) && serve.is_ready(now, false));
            assert_eq!(stop.is_ready(now, false), age < CONFIRMATION_AGE, "after {age:?}");
        }
        // A later version that is not in force here ends the confirmation.
        stop.hear(4, Some(read));
        assert!(!stop.is_confirmed(read));
    }
}
