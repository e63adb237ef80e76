//! What workers last stated of themselves, and which statement is the newest.
//!
//! Statements arrive in any order: an entry seconds after a newer one, a response after the entry of its
//! worker was removed or came back. The start time tells the lifetimes of an identifier apart, and the
//! number of an entry orders those of one lifetime; the numbers of the next lifetime begin anew. A
//! removal ends no lifetime, since entries are also removed when the store does not hear of a worker: a
//! newer entry brings it back. A statement that the worker is leaving holds for the rest of its
//! lifetime.
//!
//! The registry does not show a new entry that differs in its number only, and removes the entries of
//! workers that it does not hear of. So an outdated entry that stays is repeated by its worker, and
//! counts after [`CONFIRMATION`].

use std::{net::SocketAddr, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_collections::{HashMap, arena::Key};

use super::{Entry, Worker};

/// How long a worker is remembered after its entry was removed. One that is leaving exits within
/// seconds to a minute, and its entry may come back until then.
const RETENTION: Duration = Duration::from_secs(300);

/// Time after which an outdated entry counts that is still registered. The platform removes the entries
/// of silent workers after three intervals of about a second.
const CONFIRMATION: Duration = Duration::from_secs(30);

/// Order of an entry and what is known of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Order {
    /// First entry of a worker or of its new lifetime.
    First,
    /// Entry of the known lifetime that is not older than the last one.
    Current,
    /// Older than what is known.
    Outdated,
}

/// Lifetime of a worker: the time from a start to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Lifetime {
    started_ms: Option<u64>,
    /// Tells lifetimes apart whose start time is not stated.
    address: SocketAddr,
}

impl Lifetime {
    fn of(entry: &Entry) -> Self {
        Self { started_ms: entry.started_ms, address: entry.address }
    }

    /// Whether `other` is the same lifetime, of the same identifier.
    fn matches(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
            && (self.started_ms.is_some() || self.address == other.address)
    }
}

/// Newest statements of a worker.
#[derive(Clone, Debug)]
struct Record {
    lifetime: Lifetime,
    /// Number of the newest entry; absent if entries are not numbered.
    sequence: Option<u64>,
    /// Whether it stated in a response that it is leaving.
    is_leaving: bool,
    /// When its entry was removed; absent while there is one.
    removed_at: Option<Instant>,
}

/// Worker that was removed, to whose requests responses may still arrive.
#[derive(Clone, Debug)]
struct Removed {
    id: String,
    lifetime: Lifetime,
    at: Instant,
}

/// Newest statements of all workers, by identifier.
#[derive(Debug, Default)]
pub(super) struct History {
    // The keys come from the registry, which only the platform writes, so they are trusted.
    records: HashMap<String, Record>,
    /// Registered entries that are outdated, and since when that is known.
    outdated: HashMap<String, (Entry, Option<Instant>)>,
    removed: HashMap<Key<Worker>, Removed>,
}

impl History {
    /// Records an entry, which replaces the one registered before.
    pub fn record_entry(&mut self, entry: &Entry) -> Order {
        let order = self.order(entry);
        if order == Order::Outdated {
            let since = self.outdated.remove(&entry.id).and_then(|(_, since)| since);
            self.outdated.insert(entry.id.clone(), (entry.clone(), since));
        } else {
            self.outdated.remove(&entry.id);
        }
        order
    }

    /// Orders an entry and, unless it is outdated, records it.
    fn order(&mut self, entry: &Entry) -> Order {
        let lifetime = Lifetime::of(entry);
        let Some(known) = self.records.get_mut(&entry.id) else {
            return self.begin(entry, lifetime);
        };
        let has_ended = match (known.lifetime.started_ms, lifetime.started_ms) {
            (Some(known), Some(started)) => started < known,
            // Without start times, the last entry to arrive counts.
            _ => false,
        };
        if has_ended {
            return Order::Outdated;
        }
        if !known.lifetime.matches(&lifetime) {
            return self.begin(entry, lifetime);
        }
        let is_numbered = lifetime.started_ms.is_some();
        if is_numbered && entry.sequence.is_some() && entry.sequence < known.sequence {
            return Order::Outdated;
        }
        known.lifetime = lifetime;
        known.sequence = entry.sequence;
        known.removed_at = None;
        Order::Current
    }

    fn begin(&mut self, entry: &Entry, lifetime: Lifetime) -> Order {
        let record =
            Record { lifetime, sequence: entry.sequence, is_leaving: false, removed_at: None };
        self.records.insert(entry.id.clone(), record);
        Order::First
    }

    /// Identifiers of registered entries that are outdated.
    pub fn outdated_ids(&self) -> impl Iterator<Item = &str> {
        self.outdated.keys().map(String::as_str)
    }

    /// Forgets the outdated entry of the worker `id`, which is no longer registered.
    pub fn record_absence(&mut self, id: &str) {
        self.outdated.remove(id);
    }

    /// Takes the outdated entries that count now, which are the newest statements from then on. The
    /// registry is known as of `known_at`, and the store has answered since `steady_since`.
    pub fn take_confirmed(&mut self, steady_since: Instant, known_at: Instant) -> Vec<Entry> {
        let mut confirmed = Vec::new();
        self.outdated.retain(|_, (entry, since)| {
            let since = (*since.get_or_insert(known_at)).max(steady_since);
            let is_confirmed = known_at.since(since) >= CONFIRMATION;
            if is_confirmed {
                confirmed.push(entry.clone());
            }
            !is_confirmed
        });
        for entry in &confirmed {
            match self.records.get_mut(&entry.id) {
                Some(known) if known.lifetime.matches(&Lifetime::of(entry)) => {
                    known.sequence = entry.sequence;
                }
                _ => _ = self.records.remove(&entry.id),
            }
        }
        confirmed
    }

    /// Records that the entry `entry` of the worker `key` was removed.
    pub fn record_removal(&mut self, key: Key<Worker>, entry: &Entry, now: Instant) {
        let is_recent = |at: Instant| now.since(at) < RETENTION;
        self.records.retain(|_, record| record.removed_at.is_none_or(is_recent));
        self.removed.retain(|_, removed| is_recent(removed.at));
        if let Some(record) = self.records.get_mut(&entry.id) {
            record.removed_at = Some(now);
        }
        let removed = Removed { id: entry.id.clone(), lifetime: Lifetime::of(entry), at: now };
        self.removed.insert(key, removed);
    }

    /// Identifier of a removed worker, unless it has started again since.
    pub fn removed_id(&self, key: Key<Worker>) -> Option<&str> {
        let removed = self.removed.get(&key)?;
        let record = self.records.get(&removed.id)?;
        record.lifetime.matches(&removed.lifetime).then_some(removed.id.as_str())
    }

    /// Records that the worker `id` stated in its present lifetime that it is leaving; returns whether
    /// this is new.
    pub fn record_leaving(&mut self, id: &str) -> bool {
        let record = self.records.get_mut(id);
        record.is_some_and(|record| !std::mem::replace(&mut record.is_leaving, true))
    }

    /// Whether the worker `id` has stated in a response that it is leaving.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(|record| record.is_leaving)
    }
}
