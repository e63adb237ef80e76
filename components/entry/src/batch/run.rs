//! State of one batch at its owner.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, arena::Key};
use tokio::{sync::watch, task::AbortHandle};

use super::{Listed, Meta, Outcome, Partial, Submission, board::Board};
use crate::fleet::{End, Fleet, Worker};

/// Longest time for which finished items wait for others to share a transaction. Readers come twice a
/// second and take what is there, so a result that shows a little earlier than the one that
/// completes a step delays the trainer by half a second.
const LIST_DELAY: Duration = Duration::from_millis(250);
/// Finished items that are listed without further delay.
const LIST_AT_ONCE: usize = 16;

/// Output of an item so far, written by the task that reads it.
#[derive(Debug, Default)]
pub struct Progress {
    /// Text, versions and last event.
    pub partial: Partial,
    /// When the newest event came.
    pub last_at: Option<Instant>,
}

/// Shared progress, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Output(Arc<Mutex<Progress>>);

impl Output {
    /// Output that goes on from `partial`.
    #[must_use]
    pub fn new(partial: Partial) -> Self {
        Self(Arc::new(Mutex::new(Progress { partial, last_at: None })))
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
    Running(Running),
    /// It ended and waits to be listed, or is listed.
    Ended,
}

/// Run of an item at a worker.
#[derive(Debug)]
pub struct Running {
    /// Number of the attempt.
    pub attempt: u64,
    /// Worker.
    pub worker: Key<Worker>,
    /// Tokens that it is expected to hold in memory.
    pub tokens: u64,
    /// When it was sent.
    pub since: Instant,
    /// Ends the run and closes its connection.
    pub abort: AbortHandle,
    /// Whether events are left unread while a successor waits to be admitted.
    pub hold: watch::Sender<bool>,
    /// Run at another worker that takes over once it is admitted; a refusal costs nothing then.
    pub successor: Option<Box<Running>>,
}

impl Running {
    /// Ends the run and its successor.
    pub fn stop(&self, fleet: &mut Fleet, now: Instant) {
        for running in [Some(self), self.successor.as_deref()].into_iter().flatten() {
            running.abort.abort();
            fleet.finished(running.worker, running.tokens, End::Abandoned, now, 0.0);
        }
    }
}

/// Item with its state.
#[derive(Debug)]
pub struct Slot {
    /// What it is doing.
    pub phase: Phase,
    /// Output so far.
    pub output: Output,
    /// Failures that the worker stated.
    pub failures: u32,
    /// Worker that it last failed on.
    pub avoid: Option<Key<Worker>>,
    /// Runs so far.
    pub runs: u32,
    /// Events of the output that lie in the store.
    pub saved: u32,
}

/// Results on their way to the store. A transaction without an answer is repeated as it is, so that
/// a late commit and its repetition give the same positions.
#[derive(Clone, Debug)]
pub struct Storing {
    /// First position.
    pub first: usize,
    /// Results.
    pub results: Vec<Listed>,
}

/// Batch at its owner.
#[derive(Debug)]
pub struct Run {
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
    pub slots: Vec<Slot>,
    /// Readers' view.
    pub board: Arc<Board>,
    /// Results stored so far.
    pub stored: usize,
    /// Results that wait to be stored.
    pub finished: VecDeque<Listed>,
    /// When the first of them came.
    finished_since: Instant,
    /// Results being stored.
    pub storing: Option<Storing>,
    /// Whether unfinished outputs are being stored.
    pub saving: bool,
    /// Worker that has read the prompt of each group.
    pub prompts: Vec<Option<Key<Worker>>>,
    /// Whether the trainer waits for each group.
    pub wanted: Vec<bool>,
    /// Whether each group is carried over from an earlier step.
    carried: Vec<bool>,
    /// Items of each group that have not ended.
    open: Vec<u32>,
    /// Tokens of an event.
    pub stride: u64,
    /// Expected tokens of output of each group's longest item.
    pub spans: Vec<u64>,
    longest: u64,
    ids: HashMap<String, usize>,
}

impl Run {
    /// State of a batch of which `listed` are stored and `partials` are known.
    #[must_use]
    pub fn new(
        batch: &str,
        meta: Meta,
        version: u64,
        submission: Arc<Submission>,
        accepted: Instant,
        listed: Vec<Listed>,
        partials: Vec<Partial>,
    ) -> Self {
        let ids: HashMap<String, usize> = submission
            .items
            .iter()
            .enumerate()
            .map(|(index, item)| (item.id.clone(), index))
            .collect();
        let mut slots: Vec<Slot> = submission.items.iter().map(|_| Slot::default()).collect();
        for partial in partials {
            if let Some(&index) = ids.get(&partial.id) {
                slots[index].saved = partial.events;
                slots[index].output = Output::new(partial);
            }
        }
        for listed in &listed {
            if let Some(&index) = ids.get(&listed.id) {
                slots[index].phase = Phase::Ended;
            }
        }
        let groups = submission.groups.len();
        let mut run = Self {
            batch: batch.to_owned(),
            meta,
            version,
            accepted,
            slots,
            stored: listed.len(),
            board: Arc::new(Board::new(Arc::clone(&submission), listed)),
            submission,
            finished: VecDeque::new(),
            finished_since: accepted,
            storing: None,
            saving: false,
            prompts: vec![None; groups],
            wanted: vec![false; groups],
            carried: vec![false; groups],
            open: vec![0; groups],
            stride: 1,
            spans: vec![0; groups],
            longest: 0,
            ids,
        };
        run.measure_groups();
        run
    }

    fn measure_groups(&mut self) {
        for (item, slot) in self.submission.items.iter().zip(&self.slots) {
            let group = item.group as usize;
            self.spans[group] = item.expected_tokens.max(self.spans[group]);
            self.open[group] += u32::from(!matches!(slot.phase, Phase::Ended));
        }
        // Asked for with each placement.
        self.longest = self.spans.iter().copied().max().unwrap_or(0);
    }

    /// Marks the groups that the trainer waits for: those carried over from an earlier step, then
    /// the ones that are expected to be done first.
    pub fn want_groups(&mut self, is_carried: impl Fn(&str) -> bool) {
        let mut order: Vec<usize> = (0..self.spans.len()).collect();
        self.carried = self.submission.groups.iter().map(|group| is_carried(group)).collect();
        order.sort_by_key(|&group| (!self.carried[group], self.spans[group], group));
        for &group in order.iter().take(self.submission.wanted as usize) {
            self.wanted[group] = true;
        }
    }

    /// Expected tokens of output of the longest item.
    #[must_use]
    pub fn longest(&self) -> u64 {
        self.longest
    }

    /// Index of an item.
    #[must_use]
    pub fn index(&self, item: &str) -> Option<usize> {
        self.ids.get(item).copied()
    }

    /// Whether the groups that the trainer waits for are whole.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        let whole = self.open.iter().filter(|open| **open == 0).count();
        let mut carried = self.carried.iter().zip(&self.open).filter(|(carried, _)| **carried);
        whole >= self.submission.wanted as usize && carried.all(|(_, open)| *open == 0)
    }

    /// Whether finished items are to be listed now.
    ///
    /// Load pattern: the last items of a step end within some hundred milliseconds of each other,
    /// while its reader comes twice a second.
    #[must_use]
    pub fn must_list(&self, now: Instant) -> bool {
        let finished = self.finished.len();
        let waited = now.since(self.finished_since) >= LIST_DELAY;
        finished > 0 && (waited || finished >= LIST_AT_ONCE || self.is_whole())
    }

    /// Takes note that an item ended; the result waits to be stored.
    pub fn end_item(&mut self, index: usize, outcome: Outcome, now: Instant) {
        if self.finished.is_empty() {
            self.finished_since = now;
        }
        let group = self.submission.items[index].group as usize;
        self.open[group] = self.open[group].saturating_sub(1);
        let slot = &mut self.slots[index];
        slot.phase = Phase::Ended;
        let partial = std::mem::take(&mut slot.output.lock().partial);
        let mut versions = partial.versions;
        versions.sort_unstable();
        let text = if outcome == Outcome::Completed { partial.text } else { String::new() };
        let versions = if outcome == Outcome::Completed { versions } else { Vec::new() };
        let id = self.submission.items[index].id.clone();
        self.finished.push_back(Listed { id, outcome, text, versions });
    }

    /// Whether every item has ended.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.slots.iter().all(|slot| matches!(slot.phase, Phase::Ended))
    }

    /// Whether every item is listed.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.stored == self.slots.len()
    }

    /// Items that wait or run.
    #[must_use]
    pub fn open_items(&self) -> usize {
        self.slots.iter().filter(|slot| !matches!(slot.phase, Phase::Ended)).count()
    }
}

impl Default for Slot {
    fn default() -> Self {
        Self {
            phase: Phase::Waiting(Instant::default()),
            output: Output::default(),
            failures: 0,
            avoid: None,
            runs: 0,
            saved: 0,
        }
    }
}
