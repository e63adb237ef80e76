//! Shared state of the access checks.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;
use filbertsail_ports::store::Key;
use filbertsail_telemetry::event::Line;
use filbertsail_workspaces::{Call, Digest, Freshness, Inquiry, Sample, Secret, Step};
use tokio::sync::watch;

/// Row from which the active configuration was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    pub key: Key,
    /// Version of the row.
    pub version: u64,
}

/// State of the access checks, cheap to clone.
#[derive(Clone, Debug)]
pub struct State {
    secret: Secret,
    inner: Arc<Mutex<Inner>>,
    /// Number of the newest confirmation that was asked for.
    wanted: Arc<watch::Sender<u64>>,
    /// Number of ended confirmations.
    ended: Arc<watch::Sender<u64>>,
}

#[derive(Debug)]
struct Inner {
    freshness: Freshness,
    inquiry: Inquiry,
    /// Lines about refused callers without a known key.
    sample: Sample,
    origin: Option<Origin>,
    /// Version of the last malformed row by its key.
    malformed: HashMap<String, u64>,
    /// Outcome of the last confirmation, for the log; absent before the first one.
    is_confirmed: Option<bool>,
}

impl State {
    /// State without a configuration. Withdrawn keys must not work for longer than `revocation`.
    #[must_use]
    pub fn new(revocation: Option<Duration>) -> Self {
        let inner = Inner {
            freshness: Freshness::new(revocation),
            inquiry: Inquiry::default(),
            sample: Sample::default(),
            origin: None,
            malformed: HashMap::default(),
            is_confirmed: None,
        };
        Self {
            secret: Secret::default(),
            inner: Arc::new(Mutex::new(inner)),
            wanted: Arc::new(watch::channel(0).0),
            ended: Arc::new(watch::channel(0).0),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Secret for the hashes of keys.
    #[must_use]
    pub fn secret(&self) -> &Secret {
        &self.secret
    }

    /// Hash of a key.
    #[must_use]
    pub fn digest(&self, key: &[u8]) -> Digest {
        self.secret.digest(key)
    }

    /// What is proved about the age of the configuration.
    #[must_use]
    pub fn freshness(&self) -> Freshness {
        self.inner().freshness
    }

    /// Age of the newest proof; none if there is none.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.inner().freshness.age(now)
    }

    /// Row of the active configuration.
    #[must_use]
    pub fn origin(&self) -> Option<Origin> {
        self.inner().origin.clone()
    }

    /// Records that the active configuration is at least as new as the row `origin`; returns whether
    /// that row is newer than the known one.
    pub fn record_origin(&self, origin: Origin) -> bool {
        let mut inner = self.inner();
        let is_newer = inner.origin.as_ref().is_none_or(|known| known.version < origin.version);
        if is_newer {
            inner.origin = Some(origin);
        }
        is_newer
    }

    /// Whether the row `origin` is known to be malformed.
    #[must_use]
    pub fn is_malformed(&self, origin: &Origin) -> bool {
        self.inner().malformed.get(&origin.key.key) == Some(&origin.version)
    }

    /// Records that the row `origin` is malformed, so that it is decoded and logged once although
    /// each confirmation reads it.
    pub fn record_malformed(&self, origin: &Origin) {
        self.inner().malformed.insert(origin.key.key.clone(), origin.version);
    }

    /// Records that a call sent at `sent_at` found the active configuration to be the newest.
    pub fn confirmed(&self, sent_at: Instant) {
        self.inner().freshness.confirmed(sent_at);
    }

    /// Sets the number of VMs that share the store.
    pub fn set_vms(&self, vms: usize) {
        self.inner().inquiry.set_vms(vms);
    }

    /// Least time between two confirmations; a proof is as good as a new one for as long.
    #[must_use]
    pub fn interval(&self) -> Duration {
        self.inner().inquiry.interval()
    }

    /// Asks for a confirmation.
    pub fn ask(&self, now: Instant) -> Step {
        let step = self.inner().inquiry.ask(now);
        if let Some(number) = step.start {
            self.wanted.send_replace(number);
        }
        step
    }

    /// Admits a line about a caller without a known key; see [`Sample::admit`].
    pub fn admit_line(&self, now: Instant) -> Option<u64> {
        self.inner().sample.admit(now)
    }

    /// Call by which to confirm the configuration.
    #[must_use]
    pub fn call(&self, now: Instant) -> Call {
        self.inner().inquiry.call(now)
    }

    /// Records whether the store accepted a check.
    pub fn record_check(&self, accepted: bool, now: Instant) {
        self.inner().inquiry.record_check(accepted, now);
    }

    /// Records the end of confirmation `number`, and why it failed.
    pub fn finish(&self, number: u64, result: Result<(), String>, now: Instant) {
        let mut inner = self.inner();
        inner.inquiry.finish(number, result.is_ok(), now);
        let age_ms = inner.freshness.age(now).map_or(0, |age| age.as_millis());
        if inner.is_confirmed.replace(result.is_ok()) != Some(result.is_ok()) {
            match result {
                Ok(()) => Line::new("config_confirmed").with("config_age_ms", age_ms).info(),
                Err(reason) => Line::new("config_unconfirmed")
                    .with("config_age_ms", age_ms)
                    .with("reason", reason)
                    .warn(),
            }
        }
        drop(inner);
        self.ended.send_modify(|count| *count += 1);
    }

    /// Number of ended confirmations, to wait for the next one.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.ended.subscribe()
    }

    /// Number of the newest confirmation that was asked for.
    #[must_use]
    pub fn wanted(&self) -> watch::Receiver<u64> {
        self.wanted.subscribe()
    }
}
