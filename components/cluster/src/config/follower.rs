//! State machine that tracks the active configuration version and its confirmation.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_config::inventory::Unconfirmed;

use super::Snapshot;

/// Age up to which a confirmation is valid.
pub(crate) const CONFIRMATION_MAX_AGE: Duration = Duration::from_secs(8);

/// Active configuration and its last confirmation.
#[derive(Clone, Debug, Default)]
pub(crate) struct Follower {
    active: Option<Arc<Snapshot>>,
    highest_known: u64,
    /// Version known to have been the highest, and when.
    confirmed: Option<(u64, Instant)>,
}

impl Follower {
    pub(crate) fn version(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.version)
    }

    pub(crate) fn active(&self) -> Option<&Arc<Snapshot>> {
        self.active.as_ref()
    }

    /// Last confirmation of the active version.
    pub(crate) fn confirmed(&self) -> Option<(u64, Instant)> {
        self.confirmed.filter(|(version, _)| *version == self.version())
    }

    /// Whether a newer version than the active one is known.
    pub(crate) fn is_behind(&self) -> bool {
        self.highest_known > self.version()
    }

    /// Activates `snapshot` if it is newer; returns whether it did.
    pub(crate) fn activate(&mut self, snapshot: Arc<Snapshot>) -> bool {
        let newer = snapshot.version > self.version();
        if newer {
            self.highest_known = self.highest_known.max(snapshot.version);
            self.active = Some(snapshot);
        }
        newer
    }

    /// Records a `version` known to a daemon or the table; `at` is when it was the highest, if
    /// known.
    pub(crate) fn observe_version(&mut self, version: u64, at: Option<Instant>) {
        self.highest_known = self.highest_known.max(version);
        let Some(at) = at else { return };
        let newer = |(old, old_at): (u64, Instant)| (version, at) > (old, old_at);
        if self.confirmed.is_none_or(newer) {
            self.confirmed = Some((version, at));
        }
    }

    /// Whether the active version was the highest within [`CONFIRMATION_MAX_AGE`].
    pub(crate) fn is_confirmed(&self, now: Instant) -> bool {
        self.confirmed().is_some_and(|(_, at)| now.since(at) < CONFIRMATION_MAX_AGE)
    }

    /// Whether the daemon may serve.
    pub(crate) fn is_ready(&self, now: Instant, has_majority: bool) -> bool {
        let Some(active) = &self.active else { return false };
        let may_serve_unconfirmed = active.inventory.deployment.unconfirmed == Unconfirmed::Serve;
        self.is_confirmed(now) || has_majority || may_serve_unconfirmed
    }
}

#[cfg(test)]
mod tests {
    use std::{sync::Arc, time::Duration};

    use filbertsail_clock::Instant;

    use super::{CONFIRMATION_MAX_AGE, Follower};
    use crate::config::Snapshot;

    fn follower(unconfirmed: &str) -> Follower {
        let text = format!(
            "zone = []\nservice = []\nworker = []\n[deployment]\nname = \"a\"\n\
             staleness_weight = 1.0\nidle_weight = 1.0\nunconfirmed = \"{unconfirmed}\"\n"
        );
        let digest = filbertsail_config::digest(&text);
        let snapshot = Snapshot::parse(3, &digest, &text).expect("inventory");
        let mut follower = Follower::default();
        assert!(follower.activate(Arc::new(snapshot)));
        follower
    }

    /// Guards against an outage that stops a majority, and against a minority that serves for
    /// longer than a confirmation is valid.
    #[test]
    fn can_serve_unconfirmed_only_with_a_majority() {
        let read = Instant::from_millis(1_000);
        let (mut stop, mut serve) = (follower("stop"), follower("serve"));
        stop.observe_version(3, Some(read));
        serve.observe_version(3, Some(read));
        for millis in (0..20_000).step_by(50) {
            let age = Duration::from_millis(millis);
            let now = read.after(age);
            assert!(stop.is_ready(now, true) && serve.is_ready(now, false));
            assert_eq!(stop.is_ready(now, false), age < CONFIRMATION_MAX_AGE, "after {age:?}");
        }
        // A newer version that is not active here ends the confirmation.
        stop.observe_version(4, Some(read));
        assert!(!stop.is_confirmed(read));
    }
}
