//! Decisions on one lease.

use std::time::Duration;

use filbertsail_api::table::{Check, Expect, Row, Transaction, Write};
use filbertsail_clock::Instant;

use super::{Holding, Times, Value, key};

/// Divisor of times that gives the margin for clock rate error: a holder gives it away, a new
/// holder waits for it in addition.
const MARGIN_DIVISOR: u32 = 10;
/// Renewals per TTL.
const RENEWALS_PER_TTL: u32 = 3;

/// Next thing to do for a lease.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the row.
    Look,
    /// Send the transaction; the outcome goes to [`Machine::written`] or [`Machine::unknown`].
    Write(Transaction),
    /// Nothing before that time.
    Wait(Instant),
}

/// Row as this daemon saw it.
#[derive(Clone, Debug)]
struct Seen {
    revision: Option<u64>,
    value: Option<Value>,
    /// First time at which it was seen unchanged.
    since: Instant,
}

/// Write under way or of unknown outcome.
#[derive(Clone, Debug)]
struct Attempt {
    token: String,
    sent: Instant,
    holding: Holding,
}

/// Wish of one daemon for one lease.
#[derive(Clone, Debug)]
pub struct Machine {
    scope: String,
    name: String,
    incarnation: u64,
    times: Times,
    seen: Option<Seen>,
    attempt: Option<Attempt>,
    holding: Option<Holding>,
    renew_at: Instant,
    /// A read is needed before anything else.
    stale: bool,
    look_at: Instant,
    /// Whether an earlier process of this name has surely ended.
    succeeds: bool,
}

impl Machine {
    /// Machine of the daemon `name` for `scope`.
    #[must_use]
    pub fn new(scope: &str, name: &str, incarnation: u64, times: Times) -> Self {
        Self {
            scope: scope.to_owned(),
            name: name.to_owned(),
            incarnation,
            times,
            seen: None,
            attempt: None,
            holding: None,
            renew_at: Instant::default(),
            stale: true,
            look_at: Instant::default(),
            succeeds: false,
        }
    }

    /// Takes a lease of an earlier process of the same name at once and without waiting for its
    /// orders. Only where a VM runs one process, which has ended before the next one starts, and
    /// engines tell holders apart by VM.
    #[must_use]
    pub fn succeeding(self) -> Self {
        Self { succeeds: true, ..self }
    }

    fn is_predecessor(&self, value: &Value) -> bool {
        self.succeeds
            && value.holder.as_ref() == Some(&self.name)
            && value.incarnation != self.incarnation
    }

    /// Lease while it is held at `now`.
    #[must_use]
    pub fn holding(&self, now: Instant) -> Option<Holding> {
        self.holding.filter(|holding| holding.is_valid(now))
    }

    /// Whether another daemon holds the lease as far as known, so that an early look does no harm.
    #[must_use]
    pub fn contends(&self) -> bool {
        let value = self.seen.as_ref().and_then(|seen| seen.value.as_ref());
        value.is_some_and(|value| !self.is_mine(value)) && !self.stale
    }

    /// Time between two looks of a contender.
    fn look_interval(&self) -> Duration {
        self.times.ttl / 4
    }

    fn is_mine(&self, value: &Value) -> bool {
        value.holder.as_ref() == Some(&self.name) && value.incarnation == self.incarnation
    }

    /// What to do at `now`. `delay` holds back a daemon that is not the preferred holder.
    pub fn next(&mut self, now: Instant, delay: Duration, token: String) -> Action {
        let Some(seen) = self.seen.clone() else {
            return if now >= self.look_at { Action::Look } else { Action::Wait(self.look_at) };
        };
        if self.stale {
            return if now >= self.look_at { Action::Look } else { Action::Wait(self.look_at) };
        }
        let mine = seen.value.as_ref().is_some_and(|value| self.is_mine(value));
        let due = if mine { self.renew_at } else { self.free_from(&seen, delay) };
        if now >= due {
            return Action::Write(self.write(now, &seen, token));
        }
        if mine || now < self.look_at {
            return Action::Wait(if mine { due } else { due.min(self.look_at) });
        }
        Action::Look
    }

    /// Time from which the lease may be taken.
    fn free_from(&self, seen: &Seen, delay: Duration) -> Instant {
        match &seen.value {
            Some(value) if self.is_predecessor(value) => seen.since,
            Some(value) if value.holder.is_some() => {
                seen.since.after(Duration::from_millis(value.ttl_ms)).after(delay)
            }
            _ => seen.since.after(delay),
        }
    }

    fn write(&mut self, now: Instant, seen: &Seen, token: String) -> Transaction {
        let mine = seen.value.as_ref().is_some_and(|value| self.is_mine(value));
        let before = seen.value.as_ref().map_or(0, |value| value.epoch);
        let epoch = if mine { before } else { before + 1 };
        let orders_from = match (&self.holding, &seen.value) {
            (Some(holding), _) if mine => holding.orders_from,
            (_, None) => now,
            // Its last order and the next one come from the same VM.
            (_, Some(value)) if self.is_predecessor(value) && value.ordering => now,
            // The old lease has expired or was released; its last order may still be alive.
            _ => now.after(self.times.order_life + self.times.order_life / MARGIN_DIVISOR),
        };
        let deadline = now.after(self.times.ttl - self.times.ttl / MARGIN_DIVISOR);
        let holding = Holding { epoch, deadline, orders_from };
        // A holder may order until its deadline, so what begins before it counts.
        let ordering = orders_from <= deadline;
        self.attempt = Some(Attempt { token: token.clone(), sent: now, holding });
        // Until the outcome is known nothing else may be decided.
        self.stale = true;
        self.look_at = now;
        self.transaction(seen, token, epoch, Some(self.name.clone()), ordering)
    }

    fn transaction(
        &self,
        seen: &Seen,
        token: String,
        epoch: u64,
        holder: Option<String>,
        ordering: bool,
    ) -> Transaction {
        let key = key(&self.scope);
        let expect = seen.revision.map_or(Expect::Absent, |revision| Expect::Revision { revision });
        let ttl_ms = u64::try_from(self.times.ttl.as_millis()).unwrap_or(u64::MAX);
        let value = Value { holder, incarnation: self.incarnation, epoch, ttl_ms, ordering };
        let value = serde_json::to_value(value).ok();
        Transaction {
            token,
            checks: vec![Check { key: key.clone(), expect }],
            writes: vec![Write { key, value }],
        }
    }

    /// Epoch and transaction that releases the lease if it is held; it is not held any more afterwards.
    pub fn release(&mut self, token: String) -> Option<(u64, Transaction)> {
        // A write of unknown outcome must not count as a success of the release.
        (self.holding, self.attempt, self.stale) = (None, None, true);
        let seen = self.seen.take()?;
        let value = seen.value.as_ref().filter(|value| self.is_mine(value))?;
        Some((value.epoch, self.transaction(&seen, token, value.epoch, None, false)))
    }

    /// The write committed with `revision`.
    pub fn written(&mut self, now: Instant, revision: u64) {
        let Some(attempt) = self.attempt.take() else { return };
        let value = Value {
            holder: Some(self.name.clone()),
            incarnation: self.incarnation,
            epoch: attempt.holding.epoch,
            ttl_ms: u64::try_from(self.times.ttl.as_millis()).unwrap_or(u64::MAX),
            ordering: attempt.holding.orders_from <= attempt.holding.deadline,
        };
        self.seen = Some(Seen { revision: Some(revision), value: Some(value), since: now });
        self.adopt(&attempt);
        self.stale = false;
    }

    fn adopt(&mut self, attempt: &Attempt) {
        self.holding = Some(attempt.holding);
        self.renew_at = attempt.sent.after(self.times.ttl / RENEWALS_PER_TTL);
    }

    /// The write failed or its outcome is unknown: look again after a short time.
    pub fn unknown(&mut self, now: Instant) {
        self.stale = true;
        self.look_at = now.after(self.times.ttl / 20);
    }

    /// The write conflicted: look again at once.
    pub fn conflict(&mut self, now: Instant) {
        self.stale = true;
        self.look_at = now;
    }

    /// The row could not be read. What its holder did meanwhile is not known, so its silence counts
    /// anew; after an outage of the table the holder is the first to renew.
    pub fn unread(&mut self, now: Instant) {
        if let Some(seen) = &mut self.seen {
            seen.since = now;
        }
        self.look_at = now.after(self.times.ttl / 10);
    }

    /// The row was read; `now` is the time after the answer arrived.
    pub fn read(&mut self, now: Instant, row: Option<&Row>) {
        self.stale = false;
        self.look_at = now.after(self.look_interval());
        let value = row.and_then(|row| serde_json::from_value::<Value>(row.value.clone()).ok());
        let revision = row.map(|row| row.revision);
        let unchanged = self.seen.as_ref().is_some_and(|seen| seen.revision == revision);
        let since = self.seen.as_ref().filter(|_| unchanged).map_or(now, |seen| seen.since);
        let mine = value.as_ref().is_some_and(|value| self.is_mine(value));
        self.seen = Some(Seen { revision, value, since });
        if let Some(attempt) = self.attempt.take()
            && row.is_some_and(|row| row.token == attempt.token)
        {
            return self.adopt(&attempt);
        }
        if mine {
            // Written by an earlier attempt that arrived late; the next renewal sets a deadline.
            self.renew_at = now;
        } else {
            self.holding = None;
        }
    }
}
