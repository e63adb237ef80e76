//! Reports of windows by the holder of the duty.
//!
//! Load pattern: the holder is killed between any two steps, writes take effect without a response
//! or seconds late, calls are lost or doubled, and the store or the platform is away for longer than
//! a window. The steps for a window are: collect the counts, store the report on the condition that
//! there is none, send it until it is accepted, delete the counts, and delete the report together
//! with the advance to the next window. [`State`] names the window and its step. Each write of a
//! report expects the version of the state that was read before, so that a write which takes effect
//! late, after another holder has gone on, changes nothing. A stored report is sent unchanged by any
//! holder; therefore no two different reports exist for a window.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_ports::duty::{Fault, Usage};
use serde::{Deserialize, Serialize};

use crate::{pace::Pace, window::Window};

/// Time from the end of a window, or from the return of the store, until all VMs have written their
/// counts, in addition to the time between two writes: one lost response and a repetition.
const SETTLE_TIME: Duration = Duration::from_millis(1_250);
/// Time before a report is due at which it is stored, whatever VMs may still write: the calls.
const DUE_MARGIN: Duration = Duration::from_millis(1_500);
/// Least time for the steps from the read of the counts to the call, in an undisturbed system.
const MIN_DUE_MARGIN: Duration = Duration::from_millis(400);
/// Least time for VMs to write after the return of the store, if the report is due before long.
const MIN_SETTLE_TIME: Duration = Duration::from_millis(750);
/// Share of the platform's call rate for usage reports; orders of workers need the rest.
const CALL_SHARE: f64 = 0.2;
/// Time before the next call after one that the platform refused, for instance with 429.
const REFUSED_DELAY: Duration = Duration::from_millis(500);
/// Time before a call without a response is repeated.
const UNKNOWN_DELAY: Duration = Duration::from_millis(200);
/// Time before a step that failed at the store is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Calls that may fail as invalid before a report is given up, so that later ones are not held up.
const MAX_INVALID_CALLS: u32 = 3;

/// Progress of all reports, stored as a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Oldest window that is not reported.
    pub next: u64,
    /// First window whose report is not stored: `next`, or the one after it.
    pub first_open: u64,
}

/// Time limits of reports.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub window: Window,
    /// Time after the end of a window at which its report is due.
    pub due: Duration,
    /// Calls a second that the platform accepts for all duties.
    pub calls_per_s: f64,
}

/// What a step is decided on.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    pub now: Instant,
    pub true_ms: i64,
    /// True time since which all VMs can write: when the store last returned or the time was agreed.
    pub writable_since_ms: i64,
    /// True time at which the first process of the system started.
    pub started_ms: i64,
    /// Number of VMs.
    pub vms: usize,
    /// Whether the platform may be called.
    pub may_call: bool,
}

/// Next step.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the state and the stored report.
    Load,
    /// Store the first state, on the condition that there is none.
    Create(State),
    /// Read the counts of the window.
    Collect(u64),
    /// Store the report and the state, which must have this version before.
    Store { usage: Usage, state: State, version: u64 },
    /// Send the report.
    Send(Usage),
    /// Delete the counts up to the window, then the report, and store the state, which must have
    /// this version before.
    Finish { window: u64, state: State, version: u64 },
}

/// Result of a step.
#[derive(Clone, Debug)]
pub enum Event {
    /// The state with its version, and the stored report.
    Loaded {
        state: Option<(State, u64)>,
        report: Option<Usage>,
    },
    Collected(Usage),
    /// The report, or the state after a report, is stored with this version.
    Stored(u64),
    Sent(Result<(), Fault>),
    /// The step failed; it may have taken effect.
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    Unread,
    Absent,
    Open,
    Collected(Usage),
    Stored(Usage),
    Sent,
}

/// State machine of the holder.
#[derive(Clone, Debug)]
pub struct Report {
    limits: Limits,
    state: State,
    version: u64,
    stage: Stage,
    next_step: Instant,
    next_call: Instant,
    invalid_calls: u32,
}

impl Report {
    /// Holder that has read nothing yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            state: State { next: 0, first_open: 0 },
            version: 0,
            stage: Stage::Unread,
            next_step: Instant::default(),
            next_call: Instant::default(),
            invalid_calls: 0,
        }
    }

    /// Next step; nothing if none is due.
    #[must_use]
    pub fn next(&self, moment: Moment) -> Option<Action> {
        if moment.now < self.next_step {
            return None;
        }
        let window = self.state.next;
        let after = State { next: window, first_open: window + 1 };
        match &self.stage {
            Stage::Unread => Some(Action::Load),
            Stage::Absent => {
                let first = self.limits.window.index(moment.started_ms);
                Some(Action::Create(State { next: first, first_open: first }))
            }
            Stage::Open => {
                (moment.true_ms >= self.collect_at(moment)).then_some(Action::Collect(window))
            }
            Stage::Collected(usage) => {
                Some(Action::Store { usage: usage.clone(), state: after, version: self.version })
            }
            Stage::Stored(usage) => {
                let may_call = moment.may_call && moment.now >= self.next_call;
                may_call.then(|| Action::Send(usage.clone()))
            }
            Stage::Sent => Some(Action::Finish {
                window,
                state: State { next: window + 1, first_open: window + 1 },
                version: self.version,
            }),
        }
    }

    /// True time at which the counts of the oldest window are read. After an outage of the store,
    /// VMs get time to write first, as long as the report can still be sent in time.
    fn collect_at(&self, moment: Moment) -> i64 {
        let settle = millis(SETTLE_TIME + Pace::interval(moment.vms));
        let end = self.limits.window.end_ms(self.state.next);
        let at = end.max(moment.writable_since_ms).saturating_add(settle);
        let due = end.saturating_add(millis(self.limits.due));
        let latest = due.saturating_sub(millis(DUE_MARGIN));
        let least = end.max(moment.writable_since_ms).saturating_add(millis(MIN_SETTLE_TIME));
        // The full time is left to the VMs only if the report is late anyway.
        if least.saturating_add(millis(MIN_DUE_MARGIN)) <= due {
            at.min(latest.max(least))
        } else {
            at
        }
    }

    /// Records the result of the last step.
    pub fn record(&mut self, event: Event, now: Instant) {
        match event {
            Event::Loaded { state: None, .. } => self.stage = Stage::Absent,
            Event::Loaded { state: Some((state, version)), report } => {
                (self.state, self.version) = (state, version);
                self.stage = match report {
                    // Rows of a report that the state does not name were not completed or sent.
                    _ if state.first_open <= state.next => Stage::Open,
                    Some(usage) if usage.window == state.next => Stage::Stored(usage),
                    // A report that cannot be read may have been sent; another one could differ.
                    _ => Stage::Sent,
                };
            }
            Event::Collected(usage) => self.stage = Stage::Collected(usage),
            Event::Stored(version) => self.record_stored(version),
            Event::Sent(result) => self.record_sent(result, now),
            Event::Failed => {
                // The outcome is read back.
                self.stage = Stage::Unread;
                self.next_step = now.after(RETRY_DELAY);
            }
        }
    }

    fn record_stored(&mut self, version: u64) {
        self.version = version;
        self.stage = match std::mem::replace(&mut self.stage, Stage::Unread) {
            Stage::Collected(usage) => {
                self.state.first_open = usage.window + 1;
                Stage::Stored(usage)
            }
            Stage::Sent => {
                self.state.next += 1;
                self.state.first_open = self.state.next;
                Stage::Open
            }
            _ => Stage::Unread,
        };
    }

    fn record_sent(&mut self, result: Result<(), Fault>, now: Instant) {
        let gap = Duration::try_from_secs_f64(1.0 / (self.limits.calls_per_s * CALL_SHARE));
        let gap = gap.unwrap_or(REFUSED_DELAY);
        let delay = match &result {
            Ok(()) => Duration::ZERO,
            Err(Fault::Unknown(_)) => UNKNOWN_DELAY,
            Err(_) => REFUSED_DELAY,
        };
        self.next_call = now.after(gap.max(delay));
        if matches!(result, Err(Fault::Invalid(_) | Fault::SoldOut)) {
            self.invalid_calls += 1;
        }
        if result.is_ok() || self.invalid_calls >= MAX_INVALID_CALLS {
            (self.stage, self.invalid_calls) = (Stage::Sent, 0);
        }
    }

    /// Whether the report was refused as invalid too often, and is not sent again.
    #[must_use]
    pub fn is_given_up(&self) -> bool {
        self.stage == Stage::Sent
    }

    /// Window whose report is due next, once the state is known.
    #[must_use]
    pub fn window(&self) -> Option<u64> {
        (!matches!(self.stage, Stage::Unread | Stage::Absent)).then_some(self.state.next)
    }

    /// Time since the end of the oldest window that is not reported; nothing before its end.
    #[must_use]
    pub fn age(&self, true_ms: i64) -> Option<Duration> {
        let age = true_ms - self.limits.window.end_ms(self.window()?);
        Some(Duration::from_millis(u64::try_from(age).ok()?))
    }
}

fn millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
