//! State of one batch at its owner.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, arena::Key};
use tokio::{sync::watch, task::AbortHandle};

use super::{Meta, Outcome, Partial, Record, Submission, listing::Listing};
use crate::fleet::{End, Fleet, Worker};

/// Longest time for which finished items wait for others to share a transaction. Readers come twice a
/// second and take what is there, so a result that shows a little earlier than the one that
/// completes a step delays the trainer by half a second.
const FLUSH_DELAY: Duration = Duration::from_millis(250);
/// Finished items that are listed without further delay.
const FLUSH_COUNT: usize = 16;

/// Output of an item so far, written by the task that reads it.
#[derive(Debug, Default)]
pub struct Progress {
    /// Text, versions and last event.
    pub partial: Partial,
    /// When the newest event came.
    pub last_event_at: Option<Instant>,
}

/// Shared progress, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Output(Arc<Mutex<Progress>>);

impl Output {
    /// Output that goes on from `partial`.
    #[must_use]
    pub fn new(partial: Partial) -> Self {
        Self(Arc::new(Mutex::new(Progress { partial, last_event_at: None })))
    }

    /// Progress so far.
    pub fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What an item is doing.
#[derive(Debug)]
pub enum Phase {
    /// It waits for a worker, at the earliest until the given time.
    Waiting(Instant),
    /// It runs.
    Running(Assignment),
    /// It ended and waits to be listed, or is listed.
    Ended,
}

/// Run of an item at a worker.
#[derive(Debug)]
pub struct Assignment {
    /// Number of the attempt.
    pub attempt: u64,
    /// Worker.
    pub worker: Key<Worker>,
    /// Tokens that it is expected to hold in memory.
    pub tokens: u64,
    /// When it was sent.
    pub sent_at: Instant,
    /// Ends the run and closes its connection.
    pub abort: AbortHandle,
    /// Whether events are left unread while a successor waits to be admitted.
    pub pause: watch::Sender<bool>,
    /// Run at another worker that takes over once it is admitted; a refusal costs nothing then.
    pub successor: Option<Box<Assignment>>,
}

impl Assignment {
    /// Ends the run and its successor.
    pub fn stop(&self, fleet: &mut Fleet, now: Instant) {
        for assignment in [Some(self), self.successor.as_deref()].into_iter().flatten() {
            assignment.abort.abort();
            fleet.finished(assignment.worker, assignment.tokens, End::Abandoned, now, 0.0);
        }
    }
}

/// Item with its state.
#[derive(Debug)]
pub struct State {
    /// What it is doing.
    pub phase: Phase,
    /// Output so far.
    pub output: Output,
    /// Failures that the worker stated.
    pub failures: u32,
    /// Worker that it last failed on.
    pub avoid: Option<Key<Worker>>,
    /// Runs so far.
    pub attempts: u32,
    /// Events of the output that lie in the store.
    pub saved_events: u32,
}

/// Results on their way to the store. A transaction without an answer is repeated as it is, so that
/// a late commit and its repetition give the same positions.
#[derive(Clone, Debug)]
pub struct Append {
    /// First position.
    pub first: usize,
    /// Results.
    pub results: Vec<Record>,
}

/// Batch at its owner.
#[derive(Debug)]
pub struct Execution {
    /// Identifier.
    pub batch: String,
    /// Owner's row.
    pub meta: Meta,
    /// Version of the owner's row.
    pub version: u64,
    /// Submission.
    pub submission: Arc<Submission>,
    /// When it was accepted.
    pub accepted: Instant,
    /// Items in the order of the submission.
    pub states: Vec<State>,
    /// Readers' view.
    pub listing: Arc<Listing>,
    /// Results stored so far.
    pub stored_count: usize,
    /// Results that wait to be stored.
    pub unstored: VecDeque<Record>,
    /// When the first of them came.
    unstored_since: Instant,
    /// Results being stored.
    pub append: Option<Append>,
    /// Whether unfinished outputs are being stored.
    pub is_saving: bool,
    /// Worker that has read the prompt of each group.
    pub prompt_workers: Vec<Option<Key<Worker>>>,
    /// Whether the trainer waits for each group.
    pub wanted: Vec<bool>,
    /// Whether each group is carried over from an earlier step.
    carried: Vec<bool>,
    /// Items of each group that have not ended.
    unfinished: Vec<u32>,
    /// Tokens of an event.
    pub tokens_per_event: u64,
    /// Expected tokens of output of each group's longest item.
    pub group_tokens: Vec<u64>,
    longest_item_tokens: u64,
    indexes: HashMap<String, usize>,
}

impl Execution {
    /// State of a batch of which `listed` are stored and `partials` are known.
    #[must_use]
    pub fn new(
        batch: &str,
        meta: Meta,
        version: u64,
        submission: Arc<Submission>,
        accepted: Instant,
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
                states[index].saved_events = partial.events;
                states[index].output = Output::new(partial);
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
            version,
            accepted,
            states,
            stored_count: results.len(),
            listing: Arc::new(Listing::new(Arc::clone(&submission), results)),
            submission,
            unstored: VecDeque::new(),
            unstored_since: accepted,
            append: None,
            is_saving: false,
            prompt_workers: vec![None; groups],
            wanted: vec![false; groups],
            carried: vec![false; groups],
            unfinished: vec![0; groups],
            tokens_per_event: 1,
            group_tokens: vec![0; groups],
            longest_item_tokens: 0,
            indexes,
        };
        execution.count_groups();
        execution
    }

    fn count_groups(&mut self) {
        for (item, state) in self.submission.items.iter().zip(&self.states) {
            let group = item.group as usize;
            self.group_tokens[group] = item.expected_tokens.max(self.group_tokens[group]);
            self.unfinished[group] += u32::from(!matches!(state.phase, Phase::Ended));
        }
        // Asked for with each placement.
        self.longest_item_tokens = self.group_tokens.iter().copied().max().unwrap_or(0);
    }

    /// Marks the groups that the trainer waits for: those carried over from an earlier step, then
    /// the ones that are expected to be done first.
    pub fn mark_wanted_groups(&mut self, is_carried: impl Fn(&str) -> bool) {
        let mut groups_by_urgency: Vec<usize> = (0..self.group_tokens.len()).collect();
        self.carried = self.submission.groups.iter().map(|group| is_carried(group)).collect();
        groups_by_urgency
            .sort_by_key(|&group| (!self.carried[group], self.group_tokens[group], group));
        for &group in groups_by_urgency.iter().take(self.submission.wanted as usize) {
            self.wanted[group] = true;
        }
    }

    /// Expected tokens of output of the longest item.
    #[must_use]
    pub fn longest_item_tokens(&self) -> u64 {
        self.longest_item_tokens
    }

    /// Index of an item.
    #[must_use]
    pub fn index_of(&self, item: &str) -> Option<usize> {
        self.indexes.get(item).copied()
    }

    /// Whether the groups that the trainer waits for are whole.
    #[must_use]
    pub fn has_wanted_groups(&self) -> bool {
        let complete = self.unfinished.iter().filter(|unfinished| **unfinished == 0).count();
        let mut carried =
            self.carried.iter().zip(&self.unfinished).filter(|(carried, _)| **carried);
        complete >= self.submission.wanted as usize
            && carried.all(|(_, unfinished)| *unfinished == 0)
    }

    /// Whether finished items are to be listed now.
    ///
    /// Load pattern: the last items of a step end within some hundred milliseconds of each other,
    /// while its reader comes twice a second.
    #[must_use]
    pub fn must_flush(&self, now: Instant) -> bool {
        let unstored = self.unstored.len();
        let is_delayed = now.since(self.unstored_since) >= FLUSH_DELAY;
        unstored > 0 && (is_delayed || unstored >= FLUSH_COUNT || self.has_wanted_groups())
    }

    /// Takes note that an item ended; the result waits to be stored.
    pub fn finish_item(&mut self, index: usize, outcome: Outcome, now: Instant) {
        if self.unstored.is_empty() {
            self.unstored_since = now;
        }
        let group = self.submission.items[index].group as usize;
        self.unfinished[group] = self.unfinished[group].saturating_sub(1);
        let state = &mut self.states[index];
        state.phase = Phase::Ended;
        let partial = std::mem::take(&mut state.output.lock().partial);
        let mut versions = partial.versions;
        versions.sort_unstable();
        let text = if outcome == Outcome::Completed { partial.text } else { String::new() };
        let versions = if outcome == Outcome::Completed { versions } else { Vec::new() };
        let id = self.submission.items[index].id.clone();
        self.unstored.push_back(Record { id, outcome, text, versions });
    }

    /// Whether every item has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.states.iter().all(|state| matches!(state.phase, Phase::Ended))
    }

    /// Whether every item is listed.
    #[must_use]
    pub fn is_fully_stored(&self) -> bool {
        self.stored_count == self.states.len()
    }

    /// Items that wait or run.
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
            saved_events: 0,
        }
    }
}
