//! Active round: its samples and attempts, and the bodies that it writes to the object store.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use filbertsail_api::trainer::{self, Group, Label};
use filbertsail_clock::Instant;
use filbertsail_rollout::{
    label::Range,
    ledger::Manifest,
    round::{self, Key, Sample, Spec},
    staleness,
};
use filbertsail_rounds::{
    manifest::{self, Listing},
    row,
};
use tokio::task::AbortHandle;

/// Attempt that is running.
pub struct Running {
    /// Cancels the attempt.
    pub abort: AbortHandle,
    /// Number of tokens received so far.
    pub tokens: Arc<AtomicU32>,
    /// Gateway that the attempt was sent to.
    pub gateway: Option<SocketAddr>,
}

impl Running {
    pub fn tokens(&self) -> u32 {
        self.tokens.load(Ordering::Relaxed)
    }
}

/// Group whose body is in the object store or being written to it.
struct Body {
    object: String,
    group: Group,
    stored: bool,
}

/// Round whose samples are being generated.
pub struct Round {
    /// Round as posted.
    pub posted: trainer::Round,
    /// Samples and attempts.
    pub round: round::Round,
    /// Running attempts by ID.
    pub running: HashMap<u64, Running>,
    /// Tokens reserved for hedges, by slot.
    pub reserved_tokens: HashMap<Key, u32>,
    /// Samples whose scores were requested, by slot and text.
    pub scoring: HashSet<(Key, String)>,
    /// Time of the last write of the progress row.
    pub progress_written_at: Instant,
    /// Whether a group was stored since then.
    pub progress_changed: bool,
    groups: BTreeMap<u32, Body>,
    /// Manifest of the complete batch, and whether its listing is stored.
    listing: Option<(Manifest, bool)>,
}

impl Round {
    /// New round that is due `deadline_ms` after `now`.
    pub fn new(posted: trainer::Round, now: Instant) -> Self {
        let spec = Spec {
            step: posted.step,
            groups: u32::try_from(posted.prompts.len()).unwrap_or(u32::MAX),
            group_size: posted.group_size,
            max_tokens: posted.max_tokens,
            max_staleness: posted.staleness_bound,
            due_at: now.after(Duration::from_millis(posted.deadline_ms)),
            needs_scores: posted.scorer.is_some(),
        };
        Self {
            posted,
            round: round::Round::new(spec),
            running: HashMap::new(),
            reserved_tokens: HashMap::new(),
            scoring: HashSet::new(),
            progress_written_at: now,
            progress_changed: false,
            groups: BTreeMap::new(),
            listing: None,
        }
    }

    /// Restores a group that an earlier lease holder stored.
    pub fn restore(&mut self, object: String, group: Group) {
        let spec = self.round.spec();
        let complete = group.samples.len() == spec.group_size as usize;
        if group.group >= spec.groups {
            return;
        }
        for sample in &group.samples {
            let key = Key { group: group.group, slot: sample.slot };
            if sample.slot < self.posted.group_size {
                self.round.restore_sample(key, sample_from_api(sample));
            }
        }
        if complete {
            self.groups.insert(group.group, Body { object, group, stored: true });
        }
    }

    /// Object keys and bodies of groups that have become complete. With `partial` also those of
    /// incomplete groups without a running attempt. A complete body replaces a partial one, for
    /// example when the last scores of a group arrive during a graceful shutdown.
    pub fn complete_groups(&mut self, partial: bool) -> Vec<(String, Bytes)> {
        let mut bodies = Vec::new();
        for index in 0..self.round.spec().groups {
            let complete = self.round.is_group_complete(index);
            let has_body = self
                .groups
                .get(&index)
                .is_some_and(|body| !complete || self.has_all_samples(&body.group));
            if has_body || !(complete || partial) {
                continue;
            }
            let running = self.round.group(index).iter().any(|slot| !slot.attempts.is_empty());
            let group = self.group_to_api(index);
            if !complete && (running || group.samples.is_empty()) {
                continue;
            }
            let (object, body) =
                manifest::group_object(&self.posted.trainer, self.posted.step, &group);
            self.groups.insert(index, Body { object: object.clone(), group, stored: false });
            bodies.push((object, body));
        }
        bodies
    }

    /// Object key and body of the batch listing, once all group bodies are stored.
    pub fn complete_listing(&mut self, epoch: u64) -> Option<(String, Bytes)> {
        let stored = self.groups.values().filter(|body| body.stored).count();
        let complete = self.round.is_complete() && stored == self.round.spec().groups as usize;
        if self.listing.is_some() || !complete {
            return None;
        }
        let groups = self.groups.values().map(|body| body.object.clone()).collect();
        let listing = Listing { groups };
        let (trainer, step) = (&self.posted.trainer, self.posted.step);
        let (object, body, digest) = manifest::listing_object(trainer, step, &listing);
        let (oldest, bound) = (self.round.oldest_version()?, self.posted.staleness_bound);
        let manifest = Manifest { epoch, digest, object: object.clone(), oldest, bound };
        self.listing = Some((manifest, false));
        Some((object, body))
    }

    /// Whether all bodies are in the object store.
    pub fn is_stored(&self) -> bool {
        let listing = self.listing.as_ref().is_none_or(|(_, stored)| *stored);
        listing && self.groups.values().all(|body| body.stored)
    }

    /// Marks a body as stored.
    pub fn mark_stored(&mut self, object: &str) {
        if let Some(body) = self.groups.values_mut().find(|body| body.object == object) {
            body.stored = true;
            self.progress_changed = true;
        }
        if let Some((manifest, stored)) = &mut self.listing
            && manifest.object == object
        {
            *stored = true;
        }
    }

    /// Manifest of the complete batch, once all its bodies are stored.
    pub fn stored_manifest(&self) -> Option<&Manifest> {
        self.listing.as_ref().filter(|(_, stored)| *stored).map(|(manifest, _)| manifest)
    }

    /// Sample groups of the batch.
    pub fn batch(&self) -> Vec<Group> {
        self.groups.values().map(|body| body.group.clone()).collect()
    }

    /// Progress row: the stored groups, for the next lease holder.
    pub fn progress(&self) -> row::Progress {
        let stored = self.groups.iter().filter(|(_, body)| body.stored);
        row::Progress {
            groups: stored.map(|(group, body)| (*group, body.object.clone())).collect(),
        }
    }

    /// Stored groups with their object keys.
    pub fn stored_groups(&self) -> Vec<(String, Group)> {
        let stored = self.groups.values().filter(|body| body.stored);
        stored.map(|body| (body.object.clone(), body.group.clone())).collect()
    }

    /// Drops samples that are too old for a trainer at `version` and returns their slots.
    pub fn drop_stale(&mut self, version: u64) -> Vec<Key> {
        let stale = self.round.drop_stale(version);
        for key in &stale {
            self.groups.remove(&key.group);
            self.listing = None;
        }
        stale
    }

    /// Whether new samples of weight version `newest` are within the staleness bound of a trainer
    /// at `version`.
    pub fn can_replace(&self, version: u64, newest: u64) -> bool {
        staleness::of(version, newest) <= self.posted.staleness_bound
    }

    fn has_all_samples(&self, group: &Group) -> bool {
        group.samples.len() == self.posted.group_size as usize
    }

    fn group_to_api(&self, group: u32) -> Group {
        let slots = (0_u32..).zip(self.round.group(group));
        let scored = self.round.spec().needs_scores;
        let samples = slots.filter_map(|(slot, state)| {
            let sample = state.sample.as_ref().filter(|_| state.is_ready(scored))?;
            let (trainer, step) = (&self.posted.trainer, self.posted.step);
            let id = format!("{trainer}/{step}/{group}/{slot}");
            let label = |it: &Range| Label { from: it.from, to: it.to, version: it.version };
            let labels = sample.labels.iter().map(label).collect();
            let (text, tokens, score) = (sample.text.clone(), sample.tokens, sample.score);
            Some(trainer::Sample { group, id, labels, score, slot, text, tokens })
        });
        Group { group, samples: samples.collect() }
    }
}

fn sample_from_api(sample: &trainer::Sample) -> Sample {
    let range = |it: &Label| Range { version: it.version, from: it.from, to: it.to };
    Sample {
        labels: sample.labels.iter().map(range).collect(),
        tokens: sample.tokens,
        text: sample.text.clone(),
        score: sample.score,
        took: None,
    }
}

#[cfg(test)]
mod tests {
    use filbertsail_api::trainer::{Group, Label, Round, Sample};
    use filbertsail_clock::Instant;

    use super::Round as ActiveRound;

    fn group(slots: &[u32]) -> Group {
        let sample = |slot: &u32| Sample {
            group: 0,
            id: format!("t/1/0/{slot}"),
            labels: vec![Label { from: 0, to: 1, version: 1 }],
            score: Some(1.0),
            slot: *slot,
            text: "x".to_owned(),
            tokens: 1,
        };
        Group { group: 0, samples: slots.iter().map(sample).collect() }
    }

    /// Guards against a batch with a partial group, stored by a graceful shutdown before its last
    /// score.
    #[test]
    fn can_replace_a_partial_body() {
        let posted = Round {
            trainer: "t".to_owned(),
            step: 1,
            prompts: vec!["p".to_owned()],
            group_size: 2,
            max_tokens: 1,
            staleness_bound: 1,
            deadline_ms: 1_000,
            scorer: Some("127.0.0.1:1".to_owned()),
        };
        let mut active = ActiveRound::new(posted, Instant::default());
        active.restore("old".to_owned(), group(&[0]));
        let bodies = active.complete_groups(true);
        assert_eq!(bodies.len(), 1);
        active.mark_stored(&bodies[0].0);
        active.restore("old".to_owned(), group(&[1]));
        let bodies = active.complete_groups(true);
        assert_eq!(bodies.len(), 1, "the complete body replaces the partial one");
        assert!(active.complete_listing(1).is_none(), "the complete body is not stored yet");
        active.mark_stored(&bodies[0].0);
        assert!(active.complete_listing(1).is_some());
        assert_eq!(active.batch()[0].samples.len(), 2);
        assert!(active.complete_groups(true).is_empty());
    }
}
