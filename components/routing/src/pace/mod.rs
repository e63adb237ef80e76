//! Limit on the concurrent requests that one gateway or VM sends to a worker.
//!
//! A mature worker has its full limit; a gateway also lowers it on overload ([`adaptive`]). A
//! worker that has just started or recovered has a lower limit for about a second ([`ramp`]), until
//! its answers have shown that it serves at the usual speed.

pub mod adaptive;
pub mod ramp;

use std::time::Duration;

use filbertsail_clock::Instant;

pub use adaptive::Adaptive;
pub use ramp::{Cause, Ramp};

/// Consecutive failures that begin a ramp. One may be due to the request or to a broken connection;
/// five open the circuit breaker.
const MIN_FAILURES: u32 = 2;
/// Time without a success during which a worker refuses, after which its return begins a ramp. A
/// full worker refuses for some tenths of a second.
const LONG_REFUSAL: Duration = Duration::from_secs(1);

/// What is known when a ramp begins.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Number of VMs that send to the worker, as far as it is known.
    pub vms: u32,
    /// Random number that distinguishes the VMs.
    pub seed: u64,
    /// How much longer the worker stays slow after its start, as it estimates.
    pub warmup: Duration,
}

/// Begin or end of a ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Began(Cause),
    Ended {
        cause: Cause,
        /// Time since the ramp began.
        took: Duration,
        /// How often the limit fell.
        falls: u32,
    },
}

/// Concurrency limit of one worker.
#[derive(Clone, Debug)]
pub struct Pace {
    max_limit: u32,
    adaptive: Option<Adaptive>,
    ramp: Option<Box<Ramp>>,
    consecutive_failures: u32,
    /// Time of the first of the refusals since the last success.
    refuses_since: Option<Instant>,
    /// Time that work takes there relative to the usual time, as the worker states.
    work_time: f64,
}

impl Pace {
    /// Limit of `max_limit` requests that only a ramp lowers.
    #[must_use]
    pub fn new(max_limit: u32) -> Self {
        Self {
            max_limit: max_limit.max(1),
            adaptive: None,
            ramp: None,
            consecutive_failures: 0,
            refuses_since: None,
            work_time: 1.0,
        }
    }

    /// Limit of at most `max_limit` requests that overload lowers as well.
    #[must_use]
    pub fn adaptive(max_limit: u32) -> Self {
        Self { adaptive: Some(Adaptive::new(max_limit)), ..Self::new(max_limit) }
    }

    /// Changes the maximum; an adapted limit is scaled with it.
    pub fn set_max_limit(&mut self, max_limit: u32) {
        self.max_limit = max_limit.max(1);
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.set_max_limit(max_limit);
        }
        if let Some(ramp) = &mut self.ramp {
            ramp.set_max_limit(self.max_limit);
        }
    }

    /// Ramp in progress.
    #[must_use]
    pub fn ramp(&self, now: Instant) -> Option<&Ramp> {
        self.ramp.as_deref().filter(|ramp| !ramp.is_expired(now))
    }

    /// Number of concurrent requests that the worker should get from all VMs, by the answers that
    /// this one had.
    #[must_use]
    pub fn limit(&self, now: Instant) -> u32 {
        let limit = self.adaptive.as_ref().map_or(self.max_limit, Adaptive::get);
        self.ramp(now).map_or(limit, |ramp| limit.min(ramp.limit()))
    }

    /// Whether a request may be sent beside `in_flight` others of this VM.
    #[must_use]
    pub fn allows(&self, in_flight: u32, now: Instant) -> bool {
        self.adaptive.as_ref().is_none_or(|adaptive| in_flight < adaptive.get())
            && self.ramp(now).is_none_or(|ramp| ramp.allows(in_flight, now))
    }

    /// Moving average of the durations of successes; zero before the first, or without adaptation.
    #[must_use]
    pub fn average_duration_ms(&self) -> f64 {
        self.adaptive.as_ref().map_or(0.0, Adaptive::average_duration_ms)
    }

    /// Begins a ramp. One in progress continues with a lower limit instead.
    pub fn begin(&mut self, cause: Cause, terms: Terms, now: Instant) -> Option<Change> {
        self.expire(now);
        if let Some(ramp) = &mut self.ramp {
            ramp.fall(now);
            return None;
        }
        self.ramp = Some(Box::new(Ramp::new(cause, self.max_limit, self.work_time, terms, now)));
        Some(Change::Began(cause))
    }

    /// Ends a ramp that has had no failure, refusal or late answer for long enough.
    pub fn expire(&mut self, now: Instant) -> Option<Change> {
        self.end_if(now, |ramp| ramp.is_expired(now))
    }

    /// Records the time that work takes at the worker, in percent of the usual time.
    pub fn record_work_time(&mut self, percent: u32) {
        self.work_time = f64::from(percent) / 100.0;
        if let Some(ramp) = &mut self.ramp {
            ramp.record_work_time(self.work_time);
        }
    }

    /// Records a success after `duration`, with `in_flight` requests at that time. `typical` is the
    /// usual duration at the workers of the service; zero if unknown.
    pub fn record_success(
        &mut self,
        duration: Duration,
        typical: Duration,
        in_flight: u32,
        now: Instant,
    ) -> Option<Change> {
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.record_success(now, duration, in_flight);
        }
        (self.consecutive_failures, self.refuses_since) = (0, None);
        let expired = self.expire(now);
        let Some(ramp) = &mut self.ramp else { return expired };
        if ramp.is_late(duration.as_secs_f64(), typical.as_secs_f64(), now) {
            ramp.fall(now);
        } else {
            ramp.rise(now);
        }
        self.end_if(now, Ramp::is_complete)
    }

    /// Records the time between two events of a stream in progress. `typical_ms` is that of a fast
    /// worker of the service; zero if unknown.
    pub fn record_interval(
        &mut self,
        interval_ms: f64,
        typical_ms: f64,
        now: Instant,
    ) -> Option<Change> {
        let expired = self.expire(now);
        let Some(ramp) = &mut self.ramp else { return expired };
        if ramp.is_late(interval_ms, typical_ms, now) {
            ramp.fall(now);
        } else {
            ramp.rise_by_interval(now);
        }
        self.end_if(now, Ramp::is_complete)
    }

    /// Records the success of the probe of an open circuit breaker.
    pub fn record_circuit_closed(&mut self, terms: Terms, now: Instant) -> Option<Change> {
        if self.ramp(now).is_some() { None } else { self.begin(Cause::Circuit, terms, now) }
    }

    /// Records a failure.
    pub fn record_failure(&mut self, terms: Terms, now: Instant) -> Option<Change> {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let begins = self.ramp(now).is_some() || self.consecutive_failures >= MIN_FAILURES;
        if begins { self.begin(Cause::Failures, terms, now) } else { None }
    }

    /// Records a refusal by an overloaded worker.
    pub fn record_refusal(&mut self, terms: Terms, now: Instant) -> Option<Change> {
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.record_overload(now);
        }
        let since = *self.refuses_since.get_or_insert(now);
        let begins = self.ramp(now).is_some() || now.since(since) >= LONG_REFUSAL;
        if begins { self.begin(Cause::Refusals, terms, now) } else { None }
    }

    /// Records a request that exceeded its deadline after `duration`. Only raises the average
    /// duration, since the deadline may have been too short.
    pub fn record_deadline_exceeded(&mut self, duration: Duration) {
        if let Some(adaptive) = &mut self.adaptive {
            adaptive.record_deadline_exceeded(duration);
        }
    }

    fn end_if(&mut self, now: Instant, ends: impl FnOnce(&Ramp) -> bool) -> Option<Change> {
        let ramp = self.ramp.take_if(|ramp| ends(ramp))?;
        Some(Change::Ended {
            cause: ramp.cause(),
            took: now.since(ramp.begun_at()),
            falls: ramp.falls(),
        })
    }
}
