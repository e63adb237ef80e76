//! Ramps of workers that start or recover, as [`filbertsail_routing::pace`] decides.
//!
//! Load patterns: see [`filbertsail_routing::pace::ramp`]. Refusals of engines are ignored: they
//! refuse while they load weights, and afterwards their slots are known to be free.

use std::time::Duration;

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_collections::arena::Key;
use filbertsail_routing::{
    breaker::State,
    pace::{Cause, Change, Terms},
};

use super::{End, Fleet, Worker};

/// Weight of the newest duration in the moving average of a service.
const DURATION_SMOOTHING: f64 = 0.05;
/// Largest number of transitions kept for the log.
const MAX_TRANSITIONS: usize = 1_024;

/// Begin or end of the ramp of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    pub worker: String,
    pub change: Change,
    /// Number of VMs that the limit was shared among.
    pub vms: u32,
    pub at: Instant,
}

/// Change of the circuit breaker of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct CircuitChange {
    pub worker: String,
    /// State after the change.
    pub state: State,
    pub cause: CircuitCause,
    pub at: Instant,
}

/// Cause of a change of a circuit breaker.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CircuitCause {
    /// A request was sent to probe the worker.
    #[display("probe")]
    Probe,
    /// The probe has delivered its first event.
    #[display("event")]
    Event,
    /// A request has ended.
    #[display("request_end")]
    RequestEnd,
}

impl Worker {
    /// Whether its pace allows another request of this VM.
    pub(super) fn is_within_pace(&self, now: Instant) -> bool {
        self.pace.allows(self.in_flight, now)
    }

    /// Slots that may be used now.
    pub(super) fn slots(&self, now: Instant) -> u32 {
        self.entry.slots.min(self.pace.limit(now))
    }

    fn is_engine(&self) -> bool {
        !self.entry.models.is_empty()
    }
}

impl Fleet {
    /// Records the number of other VMs that send to the workers.
    pub fn set_peers(&mut self, peers: u32) {
        self.peers = peers;
    }

    /// Begins the ramp of a worker that was added or has restarted.
    pub fn begin_ramp(&mut self, key: Key<Worker>, cause: Cause, now: Instant, seed: u64) {
        let vms = self.peers.saturating_add(1);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let terms = Terms { vms, seed, warmup: worker.entry.warmup_left };
        let change = worker.pace.begin(cause, terms, now);
        self.keep(key, change, now);
    }

    /// Number of workers whose limit rises.
    #[must_use]
    pub fn ramps(&self, now: Instant) -> usize {
        self.workers.iter().filter(|(_, worker)| worker.pace.ramp(now).is_some()).count()
    }

    /// Ends the ramps of workers that have had too few requests to raise their limit; returns the
    /// transitions since the last call.
    pub fn take_transitions(&mut self, now: Instant) -> Vec<Transition> {
        let expired: Vec<(Key<Worker>, Change)> = self
            .workers
            .iter_mut()
            .filter_map(|(key, worker)| Some((key, worker.pace.expire(now)?)))
            .collect();
        for (key, change) in expired {
            self.keep(key, Some(change), now);
        }
        std::mem::take(&mut self.transitions)
    }

    /// Records the end of a request; `has_closed` if it closed the circuit breaker.
    pub(super) fn record_end(
        &mut self,
        key: Key<Worker>,
        end: End,
        has_closed: bool,
        now: Instant,
        random: f64,
    ) {
        let vms = self.peers.saturating_add(1);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let terms = Terms { vms, seed: random.to_bits(), warmup: Duration::ZERO };
        let in_flight = worker.in_flight;
        let change = match end {
            End::Answered { took } if !worker.is_engine() => {
                let mut typical_ms = 0.0;
                if let Some(service) = self.services.get_mut(&worker.entry.service) {
                    typical_ms = service.duration_ms;
                    if worker.pace.ramp(now).is_none() {
                        service.record_duration(took);
                    }
                }
                let typical = Duration::from_secs_f64(typical_ms / 1_000.0);
                worker.pace.record_success(took, typical, in_flight, now)
            }
            // Durations of streams, items and reward calls differ too much to be compared.
            End::Success | End::Answered { .. } => {
                worker.pace.record_success(Duration::ZERO, Duration::ZERO, in_flight, now)
            }
            End::Failure => worker.pace.record_failure(terms, now),
            End::Refused { .. } if !worker.is_engine() => worker.pace.record_refusal(terms, now),
            End::Refused { .. } | End::Inconclusive => None,
        };
        let closed = if has_closed { worker.pace.record_circuit_closed(terms, now) } else { None };
        self.keep(key, change, now);
        self.keep(key, closed, now);
    }

    /// Records an event interval, which shows the speed of an engine before its requests end.
    pub(super) fn record_progress(&mut self, key: Key<Worker>, interval_ms: f64, now: Instant) {
        let Some(worker) = self.workers.get(key) else { return };
        let typical_ms = self.typical_interval_ms(&worker.entry.service);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let change = worker.pace.record_interval(interval_ms, typical_ms, now);
        self.keep(key, change, now);
    }

    /// Records the first event of a stream that was requested at `sent_at`. If it is the probe of a
    /// half-open circuit breaker, the worker gets further requests, under a ramp.
    pub fn record_first_event(&mut self, key: Key<Worker>, sent_at: Instant, now: Instant) {
        let vms = self.peers.saturating_add(1);
        let Some(worker) = self.workers.get_mut(key) else { return };
        let was_closed = worker.breaker.state() == State::Closed;
        worker.breaker.record_progress(sent_at);
        if was_closed || worker.breaker.state() != State::Closed {
            return;
        }
        let terms = Terms { vms, seed: now.as_micros(), warmup: Duration::ZERO };
        let change = worker.pace.record_circuit_closed(terms, now);
        self.keep(key, change, now);
        self.keep_circuit(key, CircuitCause::Event, now);
    }

    /// Records a change of the circuit breaker of a worker for the log.
    pub(super) fn keep_circuit(&mut self, key: Key<Worker>, cause: CircuitCause, now: Instant) {
        let Some(worker) = self.workers.get(key) else { return };
        if self.circuit_changes.len() < MAX_TRANSITIONS {
            let (worker, state) = (worker.entry.id.clone(), worker.breaker.state());
            self.circuit_changes.push(CircuitChange { worker, state, cause, at: now });
        }
    }

    /// Changes of circuit breakers since the last call.
    pub fn take_circuit_changes(&mut self) -> Vec<CircuitChange> {
        std::mem::take(&mut self.circuit_changes)
    }

    fn keep(&mut self, key: Key<Worker>, change: Option<Change>, now: Instant) {
        let (Some(change), Some(worker)) = (change, self.workers.get(key)) else { return };
        if self.transitions.len() < MAX_TRANSITIONS {
            let vms = self.peers.saturating_add(1);
            let worker = worker.entry.id.clone();
            self.transitions.push(Transition { worker, change, vms, at: now });
        }
    }
}

impl super::Service {
    fn record_duration(&mut self, took: Duration) {
        let duration_ms = took.as_secs_f64() * 1_000.0;
        if self.duration_ms == 0.0 {
            self.duration_ms = duration_ms;
        }
        self.duration_ms += DURATION_SMOOTHING * (duration_ms - self.duration_ms);
    }
}
