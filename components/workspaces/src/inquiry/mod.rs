//! When the configuration is confirmed at the store.
//!
//! Load pattern: hundreds of VMs, requests with any number of made-up keys, and a store that
//! accepts a limited number of calls from all of them, is down, or is slow. All requests of a VM
//! share one confirmation, and at most one starts a second, fewer where VMs are many. After a failure nobody waits for the
//! next one: a request that cannot be served is refused at once.

use std::time::Duration;

use filbertsail_clock::Instant;

/// Least time between the starts of two confirmations.
pub const MIN_INTERVAL: Duration = Duration::from_millis(1_000);
/// Largest of these times. A withdrawal must be in force within three seconds on VMs that reach the
/// store, also if its feed is silent.
const MAX_INTERVAL: Duration = Duration::from_millis(2_800);
/// Checks a second of all VMs together. They commit one after another in one partition of the
/// store, which takes 200 transactions a second.
const MAX_CHECKS_PER_S: f64 = 150.0;
/// Longest time of a confirmation. One that takes longer was frozen with its VM or is lost.
pub const TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time from which a confirmation has certainly been frozen with its VM, which says nothing about
/// the store. Timers of a busy VM are late by a few hundred milliseconds.
const FROZEN_AFTER: Duration = Duration::from_millis(2_500);
/// Time after a failure within which requests do not wait for the next confirmation.
const FAILURE_MEMORY: Duration = Duration::from_millis(3_000);
/// Refused checks, each followed by a successful read, after which reads are used. A single one may
/// be a short outage between the two calls.
const MAX_REFUSED_CHECKS: u32 = 3;
/// Time after a refused check until another one is tried in place of reads, which transfer the whole
/// configuration. The refusals may have been a fault of the store that has ended.
const CHECK_RETRY_INTERVAL: Duration = Duration::from_secs(60);
/// `Retry-After` while a confirmation is in progress: a few calls to the store.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Call by which the configuration is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Transaction that only checks the version of the row; small whatever the configuration.
    Check,
    /// Read of the row, for a store that refuses transactions without changes.
    Read,
}

/// What a request that needs a confirmation does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Number of the confirmation to start.
    pub start: Option<u64>,
    /// Whether to wait for the end of the confirmation in progress.
    pub wait: bool,
    /// Time after which a refused request may succeed.
    pub retry_after: Duration,
}

/// Confirmations of one VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Inquiry {
    number: u64,
    started_at: Option<Instant>,
    is_running: bool,
    failed_at: Option<Instant>,
    refused_checks: u32,
    /// Number of VMs that may confirm at the same time.
    vms: u32,
    /// Time of the last refused check; absent once a check was accepted.
    refused_at: Option<Instant>,
}

impl Inquiry {
    /// Sets the number of VMs that share the store.
    pub fn set_vms(&mut self, vms: usize) {
        self.vms = u32::try_from(vms).unwrap_or(u32::MAX);
    }

    /// Least time between the starts of two confirmations of this VM.
    #[must_use]
    pub fn interval(&self) -> Duration {
        let spread = Duration::try_from_secs_f64(f64::from(self.vms) / MAX_CHECKS_PER_S);
        spread.unwrap_or(MAX_INTERVAL).clamp(MIN_INTERVAL, MAX_INTERVAL)
    }

    /// Asks for a confirmation at `now`.
    pub fn ask(&mut self, now: Instant) -> Step {
        let elapsed = self.started_at.map(|at| now.since(at));
        let is_running = self.is_running && elapsed.is_some_and(|elapsed| elapsed < TIMEOUT);
        let may_start = !is_running && elapsed.is_none_or(|elapsed| elapsed >= self.interval());
        if may_start {
            self.number += 1;
            self.started_at = Some(now);
            self.is_running = true;
        }
        let has_failed = self.failed_at.is_some_and(|at| now.since(at) < FAILURE_MEMORY);
        let rest = self.interval().saturating_sub(elapsed.unwrap_or_default());
        Step {
            start: may_start.then_some(self.number),
            wait: (is_running || may_start) && !has_failed,
            retry_after: match is_running || may_start {
                true => IN_PROGRESS_RETRY_AFTER,
                false => rest + IN_PROGRESS_RETRY_AFTER,
            },
        }
    }

    /// Records the end of confirmation `number`; one that was given up before changes nothing.
    pub fn finish(&mut self, number: u64, succeeded: bool, now: Instant) {
        if number == self.number {
            self.is_running = false;
            let is_frozen = self.started_at.is_some_and(|at| now.since(at) >= FROZEN_AFTER);
            self.failed_at = (!succeeded && !is_frozen).then_some(now);
        }
    }

    /// Call to use first.
    #[must_use]
    pub fn call(&self, now: Instant) -> Call {
        let is_due = self.refused_at.is_none_or(|at| now.since(at) >= CHECK_RETRY_INTERVAL);
        if self.refused_checks < MAX_REFUSED_CHECKS || is_due { Call::Check } else { Call::Read }
    }

    /// Records whether the store accepted a check. A refusal counts only if a read right after it
    /// succeeded.
    pub fn record_check(&mut self, accepted: bool, now: Instant) {
        self.refused_at = (!accepted).then_some(now);
        self.refused_checks = if accepted { 0 } else { self.refused_checks + 1 };
    }
}
