//! Admission of requests to a plain service whose capacity is short, on one VM.
//!
//! Load patterns: one workspace sends half of all requests and capacity is half of the demand; 87
//! workspaces, a few of them large; a burst of one second; workers that come back after an outage.
//!
//! While a worker with room is known, every request is sent. While capacity is short, a workspace
//! within its fair share uses the rest of the workers' queues or waits for a place, and a workspace
//! above it is refused. Each VM sees only part of the traffic, so the share is one of what this VM
//! could send lately. The crate does no I/O; the time and the random numbers are arguments.

pub mod capacity;
pub mod returns;
pub mod share;

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use filbertsail_clock::Instant;
use filbertsail_routing::queue::{Entry, Queue};
use rand::{Rng, RngExt};

use crate::{
    capacity::Capacity,
    returns::Returns,
    share::{Key, Shares},
};

/// Requests that wait on one VM at most. It sees a few requests a second, and each waits a few tens
/// of milliseconds.
const QUEUE_CAPACITY: usize = 64;
/// Cost of a request in the queue: that of one round, so that teams take turns.
const REQUEST_COST: u64 = 256;
/// Part of the target latency that a request may wait. A refusal must be out after a quarter; the
/// rest is for waking the request and writing the refusal on a busy VM, for which 5 ms were not
/// always enough.
const MAX_WAIT_SHARE: u32 = 5;
/// How long a worker's refusal counts as a sign of shortage: about as long as a slot stays busy.
pub const REFUSAL_PAUSE: Duration = Duration::from_millis(60);
/// Weight of the newest measurement in the usual times.
const SMOOTHING: f64 = 0.1;

/// Request to decide on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Workspace of the caller; requests without one share a team.
    pub workspace: Option<&'a Arc<str>>,
    /// Rank; 0 is the highest.
    pub priority: u8,
    pub arrived: Instant,
    /// When the response is of no use any more.
    pub deadline: Instant,
    /// Latency up to which a response has its full value.
    pub target_latency: Duration,
    /// Whether a worker has refused it before.
    pub is_repeat: bool,
}

impl Request<'_> {
    fn key(&self) -> Key {
        Key { priority: self.priority, workspace: self.workspace.cloned() }
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    #[display("workspace above its share")]
    AboveShare,
    #[display("cannot be served in time")]
    TooLate,
    #[display("no room in time")]
    NoRoom,
    #[display("queue full")]
    QueueFull,
    #[display("refused by the workers")]
    Refused,
}

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub reason: Reason,
    /// When the caller may return.
    pub retry_after: Duration,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    Send,
    /// Waits for a place, at most until the given time.
    Wait(Ticket, Instant),
    Refuse(Refusal),
}

#[derive(Clone, Debug)]
struct Waiter<T> {
    ticket: Ticket,
    key: Key,
    /// Deadline of the caller.
    deadline: Instant,
    /// Time up to which a response has its full value.
    target: Instant,
    item: T,
}

/// Admission to one service. `T` represents a waiting request; it is returned once the request may
/// be sent, and dropped if it was displaced by others.
#[derive(Clone, Debug)]
pub struct Admission<T> {
    queue: Queue<Waiter<T>>,
    shares: Shares,
    returns: Returns,
    /// Usual time of a request in a slot.
    service_time: Option<Duration>,
    /// Usual time until a response, which includes the worker's queue.
    response_time: Option<Duration>,
    refused_at: Option<Instant>,
    tickets: u64,
}

impl<T> Default for Admission<T> {
    fn default() -> Self {
        Self {
            queue: Queue::new(QUEUE_CAPACITY),
            shares: Shares::default(),
            returns: Returns::default(),
            service_time: None,
            response_time: None,
            refused_at: None,
            tickets: 0,
        }
    }
}

impl<T> Admission<T> {
    /// Number of waiting requests.
    #[must_use]
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Decides on a request; `item` represents it while it waits.
    pub fn decide<R: Rng>(
        &mut self,
        request: &Request<'_>,
        item: T,
        capacity: Capacity,
        now: Instant,
        rng: &mut R,
    ) -> Decision {
        let key = request.key();
        let is_return = if request.is_repeat {
            false
        } else {
            self.shares.record_asked(&key, now);
            self.returns.take_due(&key, now)
        };
        if !self.is_short(capacity, now) {
            self.shares.record_sent(&key, now);
            return Decision::Send;
        }
        if !self.shares.is_within(&key, now) {
            return Decision::Refuse(self.refuse(request, Reason::AboveShare, now, rng));
        }
        let target = request.arrived.after(request.target_latency);
        let deadline = request.deadline;
        if self.has_place(capacity, deadline, target, now) {
            self.shares.record_sent(&key, now);
            return Decision::Send;
        }
        let until = self.wait_limit(request);
        if until <= now {
            return Decision::Refuse(self.refuse(request, Reason::TooLate, now, rng));
        }
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let entry = Entry {
            priority: u32::from(u8::MAX - request.priority),
            team: request.workspace.map_or_else(String::new, |name| name.as_ref().to_owned()),
            cost: REQUEST_COST,
            deadline: until,
            item: Waiter { ticket, key, deadline, target, item },
        };
        // A caller that returns goes before the new requests of its workspace.
        if is_return && self.queue.len() < QUEUE_CAPACITY {
            self.queue.requeue(entry);
        } else if self.queue.push(entry).is_some_and(|shed| shed.item.ticket == ticket) {
            return Decision::Refuse(self.refuse(request, Reason::QueueFull, now, rng));
        }
        Decision::Wait(ticket, until)
    }

    /// Takes the next waiting request that may be sent.
    pub fn next(&mut self, capacity: Capacity, now: Instant) -> Option<T> {
        self.queue.remove_expired(now);
        let waiters = || self.queue.iter().map(|entry| &entry.item);
        let deadline = waiters().map(|waiter| waiter.deadline).min()?;
        let target = waiters().map(|waiter| waiter.target).min()?;
        if self.is_short(capacity, now) && !self.has_place(capacity, deadline, target, now) {
            return None;
        }
        let Waiter { key, item, .. } = self.queue.pop()?.item;
        self.shares.record_sent(&key, now);
        Some(item)
    }

    /// Removes a waiting request whose caller has left or whose time is over.
    pub fn leave(&mut self, ticket: Ticket) {
        self.queue.remove_if(|entry| entry.item.ticket == ticket);
    }

    /// Refuses a request.
    pub fn refuse<R: Rng>(
        &mut self,
        request: &Request<'_>,
        reason: Reason,
        now: Instant,
        rng: &mut R,
    ) -> Refusal {
        let rate = self.shares.sent_per_s(now);
        let time_left = request.deadline.since(now);
        let retry_after =
            self.returns.schedule(&request.key(), rate, time_left, rng.random::<f64>(), now);
        Refusal { reason, retry_after }
    }

    /// Records that a worker refused a request that had been sent.
    pub fn record_refusal(&mut self, request: &Request<'_>, now: Instant) {
        self.refused_at = Some(now);
        self.shares.remove_sent(&request.key(), now);
    }

    /// Records a response that took `took` at a worker with `load_per_slot` requests per slot.
    pub fn record_response(&mut self, took: Duration, load_per_slot: f64) {
        smooth(&mut self.response_time, took);
        smooth(&mut self.service_time, took.div_f64(load_per_slot.max(1.0)));
    }

    /// Whether less capacity than demand is known. Without a load statement, only a recent refusal
    /// shows it.
    fn is_short(&self, capacity: Capacity, now: Instant) -> bool {
        match capacity {
            Capacity::Room => false,
            Capacity::Probe | Capacity::Reserve { .. } | Capacity::Full => true,
            Capacity::Unusable => self.refused_at.is_some_and(|at| now.since(at) < REFUSAL_PAUSE),
        }
    }

    /// Whether a worker may have a place that leads to a response in time.
    fn has_place(
        &self,
        capacity: Capacity,
        deadline: Instant,
        target: Instant,
        now: Instant,
    ) -> bool {
        let in_time = |time: Duration, limit: Instant| now.after(time) <= limit;
        let service_time = self.service_time.unwrap_or_default();
        match capacity {
            Capacity::Room => true,
            Capacity::Probe => in_time(self.response_time.unwrap_or_default(), deadline),
            Capacity::Reserve { load_per_slot } => {
                in_time(service_time.mul_f64(load_per_slot + 1.0), target)
            }
            Capacity::Full | Capacity::Unusable => false,
        }
    }

    /// End of the time that a request may wait.
    fn wait_limit(&self, request: &Request<'_>) -> Instant {
        let in_time = request.deadline.before(self.service_time.unwrap_or_default());
        request.arrived.after(request.target_latency / MAX_WAIT_SHARE).min(in_time)
    }
}

/// Moves an average towards a measurement.
fn smooth(average: &mut Option<Duration>, measured: Duration) {
    let known = average.unwrap_or(measured);
    *average = Some(known.mul_f64(1.0 - SMOOTHING) + measured.mul_f64(SMOOTHING));
}
