//! Execution state of one batch at its owner.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, arena::Key};
use tokio::{sync::watch, task::AbortHandle};

use super::{Meta, Outcome, Partial, Record, Submission, listing::Listing, reward::Scoring};
use crate::{
    config::{Config, Route},
    fleet::{End, Fleet, Worker},
};

/// Longest delay of finished results that wait to share a transaction. Readers poll twice a second
/// and return with what is available, so a result that is published shortly before the last one of
/// a step costs the trainer half a second.
const FLUSH_DELAY: Duration = Duration::from_millis(250);
/// Longest delay in the tail of a step. A reader that waits when the step becomes complete gets it
/// at once; one that has just been given a single result comes back half a second later, and ends
/// the step half a second after that.
const TAIL_FLUSH_DELAY: Duration = Duration::from_secs(2);
/// First delay of an item that exceeds the memory of the engine that refused it; it doubles with
/// each refusal. An engine may have more memory than its service is configured with, so it is tried
/// now and then.
const MIN_REFUSAL_DELAY: Duration = Duration::from_millis(400);
/// Limit of the doublings of that delay.
const MAX_REFUSAL_DOUBLINGS: u32 = 4;
/// Share of the wanted items that are unfinished in the tail of a step.
const TAIL_SHARE: f64 = 0.1;
/// Number of waiting results that triggers a flush without further delay.
const FLUSH_COUNT: usize = 16;

/// Output received for an item, written by the task that reads the stream.
#[derive(Debug, Default)]
pub struct Progress {
    /// Text, weight versions and number of the last event.
    pub partial: Partial,
    /// When the last event arrived.
    pub last_event_at: Option<Instant>,
}

/// Shared progress of an item, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Output(Arc<Mutex<Progress>>);

impl Output {
    /// Output that resumes from `partial`.
    #[must_use]
    pub fn new(partial: Partial) -> Self {
        Self(Arc::new(Mutex::new(Progress { partial, last_event_at: None })))
    }

    /// Locks the progress for reading or writing.
    pub fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Phase of an item.
#[derive(Debug)]
pub enum Phase {
    /// Waits for a worker, at least until the given time.
    Waiting(Instant),
    /// Runs on a worker.
    Running(Assignment),
    /// The output is complete and waits for its score.
    Scoring(Scoring),
    /// Ended; its result is stored or waits to be.
    Ended,
}

/// One attempt of an item on a worker.
#[derive(Debug)]
pub struct Assignment {
    /// Number of the attempt.
    pub attempt: u64,
    pub worker: Key<Worker>,
    /// Expected tokens of prompt and output in the worker's memory.
    pub tokens: u64,
    pub sent_at: Instant,
    /// Cancels the attempt and closes its connection.
    pub abort: AbortHandle,
    /// Set to stop reading events while a successor waits for admission.
    pub pause: watch::Sender<bool>,
    /// Attempt on another worker that replaces this one once admitted. This one keeps its slot
    /// until then, so a refusal costs nothing.
    pub successor: Option<Box<Assignment>>,
}

impl Assignment {
    /// Cancels the attempt and its successor.
    pub fn stop(&self, fleet: &mut Fleet, now: Instant) {
        for assignment in [Some(self), self.successor.as_deref()].into_iter().flatten() {
            assignment.abort.abort();
            fleet.record_completion(
                assignment.worker,
                assignment.tokens,
                End::Inconclusive,
                now,
                0.0,
            );
        }
    }
}

/// State of one item.
#[derive(Debug)]
pub struct State {
    pub phase: Phase,
    pub output: Output,
    /// Failures reported by workers, to earlier owners too.
    pub failures: u32,
    /// Worker of the last failed attempt.
    pub avoid: Option<Key<Worker>>,
    /// Attempts started.
    pub attempts: u32,
    /// Attempts that stalled since the last event.
    pub stalls: u32,
    /// Number of events at the last stall.
    stalled_after: u32,
    /// Refusals because it exceeds the memory of an engine.
    refusals: u32,
    /// Events of the output that are saved in the store. The end of an output that waits for its
    /// score counts as one.
    pub saved_events: u32,
    /// Failures that are saved in the store.
    pub saved_failures: u32,
}

/// Transaction in progress that appends results. If its outcome is unknown, it is repeated
/// unchanged, so that a late commit and the repetition write the same positions.
#[derive(Clone, Debug)]
pub struct Append {
    /// Position of the first result.
    pub first: usize,
    pub results: Vec<Record>,
}

/// Execution of a batch at its owner.
#[derive(Debug)]
pub struct Execution {
    /// Identifier of the batch.
    pub batch: String,
    /// Owner's row.
    pub meta: Meta,
    /// Version of the owner's row.
    pub row_version: u64,
    pub submission: Arc<Submission>,
    /// When it was accepted.
    pub accepted_at: Instant,
    /// State of each item, in the order of the submission.
    pub states: Vec<State>,
    /// Stored results for readers.
    pub listing: Arc<Listing>,
    /// Number of results stored.
    pub stored_count: usize,
    /// Results that wait to be stored.
    pub unstored: VecDeque<Record>,
    /// When the oldest unstored result was added.
    unstored_since: Instant,
    /// Transaction in progress, at most one at a time.
    pub pending_append: Option<Append>,
    /// Whether a transaction that saves partial outputs is in progress.
    pub is_saving: bool,
    /// Worker that last started an item of each group, and so has the prompt in its cache.
    pub prompt_workers: Vec<Option<Key<Worker>>>,
    /// Whether the trainer is expected to wait for each group.
    pub wanted_groups: Vec<bool>,
    /// Whether each group is carried over from an earlier step.
    carried_groups: Vec<bool>,
    /// Number of items of each group.
    items_by_group: Vec<u32>,
    /// Number of unfinished items of each group.
    unfinished_by_group: Vec<u32>,
    pub tokens_per_event: u64,
    /// Expected output tokens of the longest item in each group.
    pub expected_group_tokens: Vec<u64>,
    longest_item_tokens: u64,
    indexes: HashMap<String, usize>,
}

impl Execution {
    /// Execution that resumes after the stored `results` with the outputs in `partials`.
    #[must_use]
    pub fn new(
        batch: &str,
        meta: Meta,
        row_version: u64,
        submission: Arc<Submission>,
        accepted_at: Instant,
        results: Vec<Record>,
        partials: Vec<Partial>,
    ) -> Self {
        let indexes: HashMap<String, usize> = submission
            .items
            .iter()
            .enumerate()
            .map(|(index, item)| (item.id.clone(), index))
            .collect();
        let mut states: Vec<State> = submission.items.iter().map(|_| State::default()).collect();
        for partial in partials {
            if let Some(&index) = indexes.get(&partial.id) {
                let state = &mut states[index];
                state.saved_events = partial.saved_events();
                (state.failures, state.saved_failures) = (partial.failures, partial.failures);
                if partial.is_complete {
                    state.phase = Phase::Scoring(Scoring::new(accepted_at));
                }
                state.output = Output::new(partial);
            }
        }
        for result in &results {
            if let Some(&index) = indexes.get(&result.id) {
                states[index].phase = Phase::Ended;
            }
        }
        let groups = submission.groups.len();
        let mut execution = Self {
            batch: batch.to_owned(),
            meta,
            row_version,
            accepted_at,
            states,
            stored_count: results.len(),
            listing: Arc::new(Listing::new(Arc::clone(&submission), results)),
            submission,
            unstored: VecDeque::new(),
            unstored_since: accepted_at,
            pending_append: None,
            is_saving: false,
            prompt_workers: vec![None; groups],
            wanted_groups: vec![false; groups],
            carried_groups: vec![false; groups],
            items_by_group: vec![0; groups],
            unfinished_by_group: vec![0; groups],
            tokens_per_event: 1,
            expected_group_tokens: vec![0; groups],
            longest_item_tokens: 0,
            indexes,
        };
        execution.count_groups();
        execution
    }

    /// Whether `config` may decide about the routes of the batch. An older configuration than the
    /// one under which the batch was accepted may lack them, or have others in their place.
    #[must_use]
    pub fn accepts_config(&self, config: &Config) -> bool {
        config.version >= self.meta.config_version
    }

    /// Route of an item; none also if the batch may not use it.
    #[must_use]
    pub fn route<'a>(&self, item: usize, config: &'a Config) -> Option<&'a Route> {
        let path = &self.submission.items.get(item)?.path;
        config.batch_route(self.meta.is_public, &self.meta.host, path)
    }

    /// Route of an item's reward call; none also if the batch may not use it.
    #[must_use]
    pub fn call_route<'a>(&self, item: usize, config: &'a Config) -> Option<&'a Route> {
        let call = self.submission.items.get(item)?.reward.as_ref()?;
        config.batch_route(self.meta.is_public, &call.host, &call.path)
    }

    fn count_groups(&mut self) {
        for (item, state) in self.submission.items.iter().zip(&self.states) {
            let group = item.group as usize;
            self.expected_group_tokens[group] =
                item.expected_tokens.max(self.expected_group_tokens[group]);
            self.items_by_group[group] += 1;
            self.unfinished_by_group[group] += u32::from(!matches!(state.phase, Phase::Ended));
        }
        // Cached, since each placement reads it.
        self.longest_item_tokens = self.expected_group_tokens.iter().copied().max().unwrap_or(0);
    }

    /// Marks the groups that the trainer waits for: those carried over from an earlier step, then
    /// those expected to finish first.
    pub fn mark_wanted_groups(&mut self, is_carried: impl Fn(&str) -> bool) {
        let mut groups_by_urgency: Vec<usize> = (0..self.expected_group_tokens.len()).collect();
        self.carried_groups =
            self.submission.groups.iter().map(|group| is_carried(group)).collect();
        groups_by_urgency.sort_by_key(|&group| {
            (!self.carried_groups[group], self.expected_group_tokens[group], group)
        });
        for &group in groups_by_urgency.iter().take(self.submission.wanted as usize) {
            self.wanted_groups[group] = true;
        }
    }

    /// Expected output tokens of the longest item.
    #[must_use]
    pub fn longest_item_tokens(&self) -> u64 {
        self.longest_item_tokens
    }

    /// Index of the item with the identifier `item`.
    #[must_use]
    pub fn index_of(&self, item: &str) -> Option<usize> {
        self.indexes.get(item).copied()
    }

    /// Whether enough groups, and all carried-over ones, are complete for the trainer to continue.
    #[must_use]
    pub fn has_wanted_groups(&self) -> bool {
        let complete =
            self.unfinished_by_group.iter().filter(|unfinished| **unfinished == 0).count();
        let mut carried = self
            .carried_groups
            .iter()
            .zip(&self.unfinished_by_group)
            .filter(|(carried, _)| **carried);
        complete >= self.submission.wanted as usize
            && carried.all(|(_, unfinished)| *unfinished == 0)
    }

    /// Whether few items are unfinished in the groups that the trainer waits for.
    fn is_in_tail(&self) -> bool {
        let wanted = || (0..self.wanted_groups.len()).filter(|group| self.wanted_groups[*group]);
        let unfinished: u32 = wanted().map(|group| self.unfinished_by_group[group]).sum();
        let items: u32 = wanted().map(|group| self.items_by_group[group]).sum();
        unfinished > 0 && f64::from(unfinished) <= f64::from(items) * TAIL_SHARE
    }

    /// Whether finished results must be stored now.
    ///
    /// Load pattern: the last items of a step end within a few hundred milliseconds of each other,
    /// while the reader polls twice a second.
    #[must_use]
    pub fn must_flush(&self, now: Instant) -> bool {
        let unstored = self.unstored.len();
        let delay = if self.is_in_tail() { TAIL_FLUSH_DELAY } else { FLUSH_DELAY };
        let is_overdue = now.since(self.unstored_since) >= delay;
        unstored > 0 && (is_overdue || unstored >= FLUSH_COUNT || self.has_wanted_groups())
    }

    /// Handles the complete output of an item, which ends it unless it has a reward call.
    pub fn output_complete(&mut self, index: usize, now: Instant) {
        if self.submission.items[index].reward.is_none() {
            return self.finish_item(index, Outcome::Completed, now);
        }
        let state = &mut self.states[index];
        state.output.lock().partial.is_complete = true;
        state.phase = Phase::Scoring(Scoring::new(now));
    }

    /// Ends an item and queues its result for the store.
    pub fn finish_item(&mut self, index: usize, outcome: Outcome, now: Instant) {
        if self.unstored.is_empty() {
            self.unstored_since = now;
        }
        let group = self.submission.items[index].group as usize;
        self.unfinished_by_group[group] = self.unfinished_by_group[group].saturating_sub(1);
        let state = &mut self.states[index];
        state.phase = Phase::Ended;
        let partial = std::mem::take(&mut state.output.lock().partial);
        let mut versions = partial.versions;
        versions.sort_unstable();
        let (text, versions) = match outcome {
            Outcome::Completed | Outcome::Scored(_) => (partial.text, versions),
            Outcome::Dead => (String::new(), Vec::new()),
        };
        let id = self.submission.items[index].id.clone();
        self.unstored.push_back(Record { id, outcome, text, versions });
    }

    /// Whether an output waits for its score.
    #[must_use]
    pub fn has_unscored_items(&self) -> bool {
        self.states.iter().any(|state| matches!(state.phase, Phase::Scoring(_)))
    }

    /// Number of items of a group without a result.
    #[must_use]
    pub fn unfinished_in_group(&self, group: usize) -> u32 {
        self.unfinished_by_group[group]
    }

    /// Whether every item has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|state| matches!(state.phase, Phase::Ended))
    }

    /// Whether the results of all items are stored.
    #[must_use]
    pub fn is_fully_stored(&self) -> bool {
        self.stored_count == self.states.len()
    }

    /// Number of items that wait or run.
    #[must_use]
    pub fn unfinished_items(&self) -> usize {
        self.states.iter().filter(|state| !matches!(state.phase, Phase::Ended)).count()
    }
}

impl Default for State {
    fn default() -> Self {
        Self {
            phase: Phase::Waiting(Instant::default()),
            output: Output::default(),
            failures: 0,
            avoid: None,
            attempts: 0,
            stalls: 0,
            stalled_after: 0,
            refusals: 0,
            saved_events: 0,
            saved_failures: 0,
        }
    }
}

impl State {
    /// Records an attempt that ended because no event arrived in time.
    pub fn record_stall(&mut self) {
        let events = self.output.lock().partial.events;
        self.stalls = if events == self.stalled_after { self.stalls + 1 } else { 1 };
        self.stalled_after = events;
    }

    /// Records that an engine refused it because it exceeds the memory; returns the delay before
    /// the next attempt.
    pub fn record_refusal(&mut self) -> Duration {
        let delay = MIN_REFUSAL_DELAY * 2_u32.pow(self.refusals.min(MAX_REFUSAL_DOUBLINGS));
        self.refusals = self.refusals.saturating_add(1);
        delay
    }
}
