//! State machine with which one daemon acquires, renews and releases one lease.

use std::time::Duration;

use filbertsail_api::table::{Check, Expect, Row, Transaction, Write};
use filbertsail_clock::Instant;

use super::{Grant, Timing, Value, key};

/// Share of a duration, as a divisor, that allows for clock drift: a holder stops that much early,
/// a new holder waits that much longer.
const CLOCK_DRIFT_DIVISOR: u32 = 10;
const RENEWALS_PER_TTL: u32 = 3;

/// Next step for a lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the lease row; the result goes to [`Elector::on_read`] or [`Elector::on_read_failed`].
    Read,
    /// Send the transaction; the outcome goes to [`Elector::on_committed`],
    /// [`Elector::on_conflict`] or [`Elector::on_unknown_outcome`].
    Write(Transaction),
    /// Do nothing until that time.
    Wait(Instant),
}

/// Lease row as last read or written by this daemon.
#[derive(Clone, Debug)]
struct Observation {
    revision: Option<u64>,
    value: Option<Value>,
    /// Time since which the row has been unchanged.
    unchanged_since: Instant,
}

/// Write that is in flight or whose outcome is unknown.
#[derive(Clone, Debug)]
struct Attempt {
    token: String,
    sent_at: Instant,
    grant: Grant,
}

impl Attempt {
    /// Whether the wait for the orders of earlier holders was over when the write was sent.
    ///
    /// A write that is sent during the wait must not state its end: the next process of this VM
    /// would send orders as soon as it reads the row.
    fn has_waited(&self) -> bool {
        self.sent_at >= self.grant.orders_allowed_from
    }
}

/// Acquires and renews one lease for one daemon.
#[derive(Clone, Debug)]
pub struct Elector {
    scope: String,
    name: String,
    incarnation: u64,
    timing: Timing,
    observed: Option<Observation>,
    attempt: Option<Attempt>,
    grant: Option<Grant>,
    renew_at: Instant,
    /// The row must be read before the next write.
    stale: bool,
    read_at: Instant,
    /// Any earlier process of this name is known to have ended.
    predecessor_ended: bool,
}

impl Elector {
    /// Elector of the daemon `name` for `scope`.
    #[must_use]
    pub fn new(scope: &str, name: &str, incarnation: u64, timing: Timing) -> Self {
        Self {
            scope: scope.to_owned(),
            name: name.to_owned(),
            incarnation,
            timing,
            observed: None,
            attempt: None,
            grant: None,
            renew_at: Instant::default(),
            stale: true,
            read_at: Instant::default(),
            predecessor_ended: false,
        }
    }

    /// Takes over a lease of an earlier process of the same name at once, without waiting for its
    /// orders to expire. Safe only if a VM runs one such process, which has ended before the next
    /// one starts, and engines distinguish holders by VM.
    #[must_use]
    pub fn with_predecessor_ended(self) -> Self {
        Self { predecessor_ended: true, ..self }
    }

    /// Waits for the orders of an earlier process of the same name to expire, as for those of any
    /// other daemon.
    #[must_use]
    pub fn with_wait_for_predecessor(self) -> Self {
        Self { predecessor_ended: false, ..self }
    }

    fn is_predecessor(&self, value: &Value) -> bool {
        self.predecessor_ended
            && value.holder.as_ref() == Some(&self.name)
            && value.incarnation != self.incarnation
    }

    /// The lease, if it is held at `now`.
    #[must_use]
    pub fn grant(&self, now: Instant) -> Option<Grant> {
        self.grant.filter(|grant| grant.is_valid(now))
    }

    /// Whether the row was read and does not name this process, so that an early read is harmless.
    #[must_use]
    pub fn is_standby(&self) -> bool {
        let value = self.observed.as_ref().and_then(|observed| observed.value.as_ref());
        value.is_some_and(|value| !self.is_own(value)) && !self.stale
    }

    /// Time between two reads of the row by a daemon that does not hold the lease.
    fn read_interval(&self) -> Duration {
        self.timing.ttl / 4
    }

    fn is_own(&self, value: &Value) -> bool {
        value.holder.as_ref() == Some(&self.name) && value.incarnation == self.incarnation
    }

    /// Step to take at `now`. `delay` holds back a daemon that is not the preferred holder.
    pub fn next_action(&mut self, now: Instant, delay: Duration, token: String) -> Action {
        let Some(observed) = self.observed.clone() else {
            return if now >= self.read_at { Action::Read } else { Action::Wait(self.read_at) };
        };
        if self.stale {
            return if now >= self.read_at { Action::Read } else { Action::Wait(self.read_at) };
        }
        let own = observed.value.as_ref().is_some_and(|value| self.is_own(value));
        let due = if own { self.renew_at } else { self.available_at(&observed, delay) };
        if now >= due {
            return Action::Write(self.next_write(now, &observed, token));
        }
        if own || now < self.read_at {
            return Action::Wait(if own { due } else { due.min(self.read_at) });
        }
        Action::Read
    }

    /// Time from which the lease may be acquired.
    fn available_at(&self, observed: &Observation, delay: Duration) -> Instant {
        match &observed.value {
            Some(value) if self.is_predecessor(value) => observed.unchanged_since,
            Some(value) if value.holder.is_some() => {
                observed.unchanged_since.after(Duration::from_millis(value.ttl_ms)).after(delay)
            }
            _ => observed.unchanged_since.after(delay),
        }
    }

    fn next_write(&mut self, now: Instant, observed: &Observation, token: String) -> Transaction {
        let own = observed.value.as_ref().is_some_and(|value| self.is_own(value));
        let previous_epoch = observed.value.as_ref().map_or(0, |value| value.epoch);
        let epoch = if own { previous_epoch } else { previous_epoch + 1 };
        let orders_allowed_from = match (&self.grant, &observed.value) {
            (Some(grant), _) if own => grant.orders_allowed_from,
            (_, None) => now,
            // The predecessor sent its orders from the same VM.
            (_, Some(value)) if self.is_predecessor(value) && value.ordering => now,
            // Orders sent under the expired or released lease may still take effect.
            _ => now.after(
                self.timing.order_lifetime + self.timing.order_lifetime / CLOCK_DRIFT_DIVISOR,
            ),
        };
        let deadline = now.after(self.timing.ttl - self.timing.ttl / CLOCK_DRIFT_DIVISOR);
        let grant = Grant { epoch, deadline, orders_allowed_from };
        let attempt = Attempt { token: token.clone(), sent_at: now, grant };
        let ordering = attempt.has_waited();
        self.attempt = Some(attempt);
        // The row must be read again unless the outcome of this write becomes known.
        self.stale = true;
        self.read_at = now;
        self.transaction(observed, token, epoch, Some(self.name.clone()), ordering)
    }

    fn transaction(
        &self,
        observed: &Observation,
        token: String,
        epoch: u64,
        holder: Option<String>,
        ordering: bool,
    ) -> Transaction {
        let key = key(&self.scope);
        let expect =
            observed.revision.map_or(Expect::Absent, |revision| Expect::Revision { revision });
        let ttl_ms = u64::try_from(self.timing.ttl.as_millis()).unwrap_or(u64::MAX);
        let value = Value { holder, incarnation: self.incarnation, epoch, ttl_ms, ordering };
        let value = serde_json::to_value(value).ok();
        Transaction {
            token,
            checks: vec![Check { key: key.clone(), expect }],
            writes: vec![Write { key, value }],
        }
    }

    /// Gives up the lease; returns its epoch and the transaction that clears the row, if the row
    /// names this process as the holder.
    pub fn release(&mut self, token: String) -> Option<(u64, Transaction)> {
        // Otherwise the answer of the release could be taken for that of an earlier renewal.
        (self.grant, self.attempt, self.stale) = (None, None, true);
        let observed = self.observed.take()?;
        let value = observed.value.as_ref().filter(|value| self.is_own(value))?;
        Some((value.epoch, self.transaction(&observed, token, value.epoch, None, false)))
    }

    /// Handles a write that committed with `revision`.
    pub fn on_committed(&mut self, now: Instant, revision: u64) {
        let Some(attempt) = self.attempt.take() else { return };
        let value = Value {
            holder: Some(self.name.clone()),
            incarnation: self.incarnation,
            epoch: attempt.grant.epoch,
            ttl_ms: u64::try_from(self.timing.ttl.as_millis()).unwrap_or(u64::MAX),
            ordering: attempt.has_waited(),
        };
        self.observed = Some(Observation {
            revision: Some(revision),
            value: Some(value),
            unchanged_since: now,
        });
        self.record_grant(&attempt);
        self.stale = false;
    }

    fn record_grant(&mut self, attempt: &Attempt) {
        self.grant = Some(attempt.grant);
        self.renew_at = attempt.sent_at.after(self.timing.ttl / RENEWALS_PER_TTL);
    }

    /// Handles a write that failed or has an unknown outcome: the row is read after a short delay.
    pub fn on_unknown_outcome(&mut self, now: Instant) {
        self.stale = true;
        self.read_at = now.after(self.timing.ttl / 20);
    }

    /// Handles a write that conflicted: the row is read at once.
    pub fn on_conflict(&mut self, now: Instant) {
        self.stale = true;
        self.read_at = now;
    }

    /// Handles a failed read. The holder may have renewed in the meantime, so the TTL starts over;
    /// after a table outage the holder can thus renew before others acquire the lease.
    pub fn on_read_failed(&mut self, now: Instant) {
        if let Some(observed) = &mut self.observed {
            observed.unchanged_since = now;
        }
        self.read_at = now.after(self.timing.ttl / 10);
    }

    /// Handles the row that was read; `now` is the time after the answer arrived.
    pub fn on_read(&mut self, now: Instant, row: Option<&Row>) {
        self.stale = false;
        self.read_at = now.after(self.read_interval());
        let value = row.and_then(|row| serde_json::from_value::<Value>(row.value.clone()).ok());
        let revision = row.map(|row| row.revision);
        let unchanged =
            self.observed.as_ref().is_some_and(|observed| observed.revision == revision);
        let unchanged_since = self
            .observed
            .as_ref()
            .filter(|_| unchanged)
            .map_or(now, |observed| observed.unchanged_since);
        let own = value.as_ref().is_some_and(|value| self.is_own(value));
        self.observed = Some(Observation { revision, value, unchanged_since });
        if let Some(attempt) = self.attempt.take()
            && row.is_some_and(|row| row.token == attempt.token)
        {
            return self.record_grant(&attempt);
        }
        if own {
            // An earlier write of unknown outcome took effect; the next renewal sets a deadline.
            self.renew_at = now;
        } else {
            self.grant = None;
        }
    }
}
