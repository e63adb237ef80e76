//! Rise of the limit of a worker that has just started or recovered.
//!
//! Load patterns: a release replaces workers one after another; empty workers are added; a worker
//! flaps; a tenth of the workers crashes and returns; a slow worker recovers; 90 VMs discover one
//! worker within 100 ms. All VMs prefer a worker without load, and none knows yet what the others
//! send.
//!
//! The level is the number of requests that the worker should get from all VMs together. It begins
//! at a quarter of the slots and, like slow start, doubles per round trip up to half of the slots,
//! then rises linearly, and is halved on a failure, a refusal or a late answer. Each VM takes an
//! equal share of the level. A VM whose share is below one sends with that probability in each
//! round, and also counts silence as success, because the answers that raise the level go to other
//! VMs.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use derive_more::Display;
use filbertsail_clock::Instant;

use super::Terms;

/// Share of the full limit at which a ramp begins.
const START_SHARE: f64 = 0.25;
/// Share of the full limit up to which the level doubles per round trip.
const DOUBLING_SHARE: f64 = 0.5;
/// Round trips of linear rise from zero to the full limit; half of them are needed without a fall.
const LINEAR_ROUNDS: f64 = 8.0;
/// Lower bound on the level.
const MIN_LEVEL: f64 = 1.0;
/// Factor on the level on a failure, a refusal or a late answer.
const FALL_FACTOR: f64 = 0.5;
/// Time that counts as a round trip. Requests to plain services take 30 to 200 ms, and several
/// failures within this time have the same cause.
const ROUND: Duration = Duration::from_millis(100);
/// Time without any answer after which one request is sent whatever the share.
const MAX_SILENCE: Duration = Duration::from_millis(500);
/// Duration relative to the typical one above which an answer is late. Half of the workers may
/// permanently be slower than the others by a factor of two.
const LATE_RATIO: f64 = 2.5;
/// Time from the begin of the ramp within which lateness counts. A worker that is still slow later
/// is slow for another reason, and would never reach its full limit.
const LATENESS_WINDOW: Duration = Duration::from_secs(3);
/// Time without failure, refusal or late answer after which the ramp ends at a VM that had too few
/// requests to raise the level.
const EXPIRY: Duration = Duration::from_secs(4);
/// Slowness assumed of a worker that states that it is warming up.
const WARMUP_SLOWNESS: f64 = 2.0;
/// Upper bound on the warm-up time that a worker states, which is only a hint.
const MAX_WARMUP: Duration = Duration::from_secs(5);
/// Upper bound on the slowness that a worker states, which is only a hint.
const MAX_SLOWNESS: f64 = 4.0;

/// Why a ramp began.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Cause {
    /// The worker is new.
    #[display("added")]
    Added,
    /// The worker has restarted.
    #[display("restarted")]
    Restarted,
    /// The circuit breaker has closed.
    #[display("circuit_closed")]
    Circuit,
    /// Consecutive failures.
    #[display("failures")]
    Failures,
    /// It has refused for a long time.
    #[display("refusals")]
    Refusals,
}

/// Limit of one worker while it rises.
#[derive(Clone, Debug)]
pub struct Ramp {
    cause: Cause,
    begun_at: Instant,
    vms: f64,
    seed: u64,
    full: f64,
    level: f64,
    /// Level from which the rise is linear.
    threshold: f64,
    /// Time of the last change of the level.
    changed_at: Instant,
    /// Time of the last answer.
    answered_at: Instant,
    fell_at: Option<Instant>,
    falls: u32,
    /// Time that work takes relative to the usual time, as the worker states.
    work_time: f64,
    warm_at: Instant,
}

impl Ramp {
    pub(super) fn new(
        cause: Cause,
        max_limit: u32,
        work_time: f64,
        terms: Terms,
        now: Instant,
    ) -> Self {
        let full = f64::from(max_limit);
        let mut ramp = Self {
            cause,
            begun_at: now,
            vms: f64::from(terms.vms.max(1)),
            seed: terms.seed,
            full,
            level: full,
            threshold: full * DOUBLING_SHARE,
            changed_at: now,
            answered_at: now,
            fell_at: None,
            falls: 0,
            work_time,
            warm_at: now.after(terms.warmup.min(MAX_WARMUP)),
        };
        ramp.level = (full * START_SHARE / ramp.slowness(now)).max(MIN_LEVEL);
        ramp
    }

    /// Why it began.
    #[must_use]
    pub fn cause(&self) -> Cause {
        self.cause
    }

    /// When it began.
    #[must_use]
    pub fn begun_at(&self) -> Instant {
        self.begun_at
    }

    /// How often the level fell.
    #[must_use]
    pub fn falls(&self) -> u32 {
        self.falls
    }

    /// Level that answers have shown to be possible, in whole requests.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn limit(&self) -> u32 {
        self.level as u32
    }

    /// Whether a request may be sent beside `in_flight` others of this VM.
    #[must_use]
    pub fn allows(&self, in_flight: u32, now: Instant) -> bool {
        let share = self.current_level(now) / self.vms;
        if share >= 1.0 {
            return f64::from(in_flight) < share.floor();
        }
        in_flight == 0 && (self.draw(now) < share || self.is_silent(now))
    }

    pub(super) fn set_max_limit(&mut self, max_limit: u32) {
        self.full = f64::from(max_limit);
        self.level = self.level.min(self.full);
    }

    pub(super) fn record_work_time(&mut self, work_time: f64) {
        self.work_time = work_time;
    }

    /// Whether an answer that took `duration` is late; `typical` is zero if unknown.
    pub(super) fn is_late(&self, duration: f64, typical: f64, now: Instant) -> bool {
        now.since(self.begun_at) < LATENESS_WINDOW
            && typical > 0.0
            && duration > typical * LATE_RATIO * self.slowness(now)
    }

    /// Raises the level after an answer in time. A VM receives `level / vms` answers per round, or
    /// one in several rounds.
    pub(super) fn rise(&mut self, now: Instant) {
        self.answered_at = now;
        let level = self.current_level(now);
        let doubling = level.min(self.vms);
        let gain = if level < self.threshold {
            doubling
        } else {
            (self.linear_step() * self.vms / level).min(level)
        };
        self.set_level(level + gain, now);
    }

    /// Raises the level after an event in time of a stream in progress, once per round.
    pub(super) fn rise_by_interval(&mut self, now: Instant) {
        self.answered_at = now;
        if now.since(self.changed_at) < ROUND {
            return;
        }
        let gain = if self.level < self.threshold { self.level } else { self.linear_step() };
        self.set_level(self.level + gain, now);
    }

    /// Lowers the level after a failure, a refusal or a late answer.
    pub(super) fn fall(&mut self, now: Instant) {
        self.answered_at = now;
        if self.fell_at.is_some_and(|at| now.since(at) < ROUND) {
            return;
        }
        self.fell_at = Some(now);
        self.falls = self.falls.saturating_add(1);
        let level = self.current_level(now) * FALL_FACTOR;
        self.set_level(level, now);
        self.threshold = self.level;
    }

    /// Whether the full limit is reached.
    pub(super) fn is_complete(&self) -> bool {
        self.level >= self.full
    }

    pub(super) fn is_expired(&self, now: Instant) -> bool {
        now.since(self.fell_at.unwrap_or(self.begun_at)) >= EXPIRY
    }

    fn set_level(&mut self, level: f64, now: Instant) {
        self.level = level.clamp(MIN_LEVEL, self.full.max(MIN_LEVEL));
        self.changed_at = now;
    }

    fn linear_step(&self) -> f64 {
        (self.full / LINEAR_ROUNDS).max(1.0)
    }

    /// Level with the rise that a VM assumes whose share is below one and which has seen no fall.
    fn current_level(&self, now: Instant) -> f64 {
        let bound = self.threshold.min(self.vms);
        if self.level >= bound || self.falls > 0 {
            return self.level;
        }
        let rounds = now.since(self.changed_at).as_secs_f64() / ROUND.as_secs_f64();
        (self.level * rounds.exp2()).min(bound)
    }

    /// Random number from 0 to 1 for this VM in the current round.
    fn draw(&self, now: Instant) -> f64 {
        self.random(now.since(self.begun_at).as_micros() / ROUND.as_micros())
    }

    /// Whether no answer has come for so long that one request should be sent. The VMs reach this
    /// at different times, spread so that they use half of the worker.
    fn is_silent(&self, now: Instant) -> bool {
        let spread = ROUND.mul_f64(self.vms / (self.full * DOUBLING_SHARE).max(MIN_LEVEL));
        now.since(self.answered_at) >= MAX_SILENCE + spread.mul_f64(self.random(u128::MAX))
    }

    #[expect(clippy::cast_precision_loss)]
    fn random(&self, index: u128) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, index).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }

    fn slowness(&self, now: Instant) -> f64 {
        let warmup = if now < self.warm_at { WARMUP_SLOWNESS } else { 1.0 };
        self.work_time.clamp(1.0, MAX_SLOWNESS).max(warmup)
    }
}
