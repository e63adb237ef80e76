//! Which batches of other owners this VM takes over, and how.
//!
//! An owner is gone when its VM has announced another incarnation, when it handed the batch over,
//! or when it has not renewed its row for a while although this VM's feed was steady all the time.
//! Candidates wait for different times, and the store decides between them.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;
use filbertsail_ports::store::{Fault, Range, Row, Store, Transaction};
use filbertsail_telemetry::event::Line;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::{Listed, Meta, Owner, Partial, Submission, rows};

/// Time between two renewals of an owner's row.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(700);
/// Silence after which an owner counts as gone: three renewals.
pub const SILENCE: Duration = Duration::from_millis(2_200);
/// Time after which a row that names this process, though it runs no such batch, is taken up.
const LOST_ANSWER: Duration = Duration::from_millis(400);
/// Time after which the row of a VM that does not renew it is deleted. Owners count as gone after
/// seconds; the rest is for operators who look into the store.
const VM_RETENTION: Duration = Duration::from_secs(300);
/// Time for reading what other VMs know of the workers, several times what the store takes. Batches
/// must not wait for it where just that part of the store is silent.
const SIGHTS_TIMEOUT: Duration = Duration::from_millis(150);
/// Time over which candidates spread, for each VM. News of a claim reaches the other VMs within about
/// a quarter of a second, so that some six of them meet, however many there are.
const SPREAD_PER_VM: Duration = Duration::from_millis(40);
/// Least time over which candidates spread.
const LEAST_SPREAD: Duration = Duration::from_millis(400);

/// Batch that this VM now owns.
#[derive(Clone, Debug)]
pub struct Adoption {
    /// Batch.
    pub batch: String,
    /// Owner's row.
    pub meta: Meta,
    /// Its version.
    pub version: u64,
    /// Submission.
    pub submission: Arc<Submission>,
    /// Results listed so far.
    pub listed: Vec<Listed>,
    /// Unfinished outputs of a handover.
    pub partials: Vec<Partial>,
    /// What other VMs know of the workers, by VM.
    pub sights: Vec<(String, Sights)>,
}

/// Batch to claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    /// Batch.
    pub batch: String,
    /// Owner's row.
    pub meta: Meta,
    /// Its version.
    pub version: u64,
    /// Whether only its silence speaks against the owner. Then this VM renews its own row first:
    /// if that fails, the owner may be silent for the same reason.
    pub is_silent: bool,
}

/// Why an owner counts as gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Gone {
    /// It gave the batch up, or its process has ended.
    Surely,
    /// It has not renewed its row.
    Silent,
}

/// Owner's row as last seen.
#[derive(Clone, Debug)]
struct Known {
    meta: Meta,
    version: u64,
    seen: Instant,
    /// When the owner was first taken to be gone.
    gone: Option<Instant>,
    claiming: bool,
}

/// Row that a VM with batches renews. Every VM follows it, so it is small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Rises with each renewal.
    pub number: u64,
}

/// What a VM has learnt of workers, so that other owners place items by it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sights {
    /// Steady clock of the store when it was written, in milliseconds.
    pub at_ms: u64,
    /// Workers that the VM uses.
    pub workers: Vec<Sight>,
}

/// Worker as another VM sees it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sight {
    /// Short hash of the worker's identifier.
    pub worker: u32,
    /// Milliseconds between two events, rounded; zero if not known.
    pub pace_ms: u16,
    /// Requests of that VM under way.
    pub in_flight: u16,
}

/// Row that a VM renews, as last seen.
#[derive(Clone, Copy, Debug)]
struct Sign {
    incarnation: u64,
    /// Version of the row.
    version: u64,
    seen: Instant,
}

/// Owners' rows of all batches.
#[derive(Debug)]
pub struct Register {
    me: Owner,
    batches: HashMap<String, Known>,
    vms: HashMap<String, Sign>,
}

impl Register {
    /// Empty register of the process `me`.
    #[must_use]
    pub fn new(me: Owner) -> Self {
        Self { me, batches: HashMap::default(), vms: HashMap::default() }
    }

    /// Notes the row of a batch; returns whether it is news.
    pub fn note(&mut self, batch: &str, meta: Meta, version: u64, now: Instant) -> bool {
        let before = self.batches.get(batch);
        if before.is_some_and(|known| known.version >= version) {
            return false;
        }
        // A claim of this VM goes on until its rows are read.
        let claiming =
            before.is_some_and(|known| known.claiming) && meta.owner.as_ref() == Some(&self.me);
        let known = Known { meta, version, seen: now, gone: None, claiming };
        self.batches.insert(batch.to_owned(), known);
        true
    }

    /// Row under which a batch that was claimed or accepted with `meta` may run now. Nothing if it
    /// has been ended or claimed by another process since: loading its rows takes a while.
    #[must_use]
    pub fn current(&self, batch: &str, meta: Meta, version: u64) -> Option<(Meta, u64)> {
        let newer = self.batches.get(batch).filter(|known| known.version > version);
        let (meta, version) =
            newer.map_or((meta, version), |known| (known.meta.clone(), known.version));
        let runs = !meta.ended && meta.owner.as_ref() == Some(&self.me);
        runs.then_some((meta, version))
    }

    /// Forgets a batch whose row was deleted.
    pub fn forget(&mut self, batch: &str) {
        self.batches.remove(batch);
    }

    /// Notes the row that a VM renews.
    pub fn renewed(&mut self, vm: &str, incarnation: u64, version: u64, now: Instant) {
        self.vms.insert(vm.to_owned(), Sign { incarnation, version, seen: now });
    }

    /// Forgets a VM whose row was deleted.
    pub fn forget_vm(&mut self, vm: &str) {
        self.vms.remove(vm);
    }

    /// Other VMs that have not renewed their rows for long, with the versions of these.
    #[must_use]
    pub fn silent_vms(&self, now: Instant) -> Vec<(String, u64)> {
        let silent = |(vm, sign): &(&String, &Sign)| {
            **vm != self.me.vm && now.since(sign.seen) >= VM_RETENTION
        };
        self.vms.iter().filter(silent).map(|(vm, sign)| (vm.clone(), sign.version)).collect()
    }

    /// Whether this VM's row names an earlier process, whose batches wait for a new owner.
    #[must_use]
    pub fn must_announce(&self) -> bool {
        self.vms.get(&self.me.vm).is_some_and(|row| row.incarnation != self.me.incarnation)
    }

    /// A claim did not succeed; the row's next change or the next look decides.
    pub fn unclaimed(&mut self, batch: &str) {
        if let Some(known) = self.batches.get_mut(batch) {
            known.claiming = false;
        }
    }

    /// Batches to claim now. The store has answered without interruption from `steady.0` on, last
    /// at `steady.1`; `vms` are candidates.
    ///
    /// Load pattern: an owner dies, and hundreds of VMs see it in the same moment.
    pub fn due(
        &mut self,
        steady: (Instant, Instant),
        vms: usize,
        now: Instant,
        runs_here: impl Fn(&str) -> bool,
    ) -> Vec<Due> {
        let mut due = Vec::new();
        for (batch, known) in &mut self.batches {
            let closed = known.meta.ended || known.meta.complete;
            if closed || known.claiming || runs_here(batch) {
                continue;
            }
            let Some(gone) = is_gone(known, &self.vms, &self.me, steady, now) else {
                known.gone = None;
                continue;
            };
            let since = *known.gone.get_or_insert(now);
            if now >= since.after(delay(&self.me, batch, &known.meta, vms)) {
                known.claiming = true;
                due.push(Due {
                    batch: batch.clone(),
                    meta: known.meta.clone(),
                    version: known.version,
                    is_silent: gone == Gone::Silent,
                });
            }
        }
        due
    }

    /// Whether a group of `batch` was part of another batch before.
    #[must_use]
    pub fn is_carried(&self, batch: &str, group: u32) -> bool {
        let others = self.batches.iter().filter(|(name, _)| *name != batch);
        others.into_iter().any(|(_, known)| known.meta.groups.contains(&group))
    }

    /// Batches whose rows may be deleted: ended or complete, and older than `retention` by the
    /// store's clock `store_ms`.
    #[must_use]
    pub fn outdated(&self, store_ms: u64, retention_ms: u64) -> Vec<(String, Meta, u64)> {
        self.batches
            .iter()
            .filter(|(_, known)| known.meta.ended || known.meta.complete)
            .filter(|(_, known)| store_ms > known.meta.accepted_ms + retention_ms)
            .map(|(batch, known)| (batch.clone(), known.meta.clone(), known.version))
            .collect()
    }
}

fn is_gone(
    known: &Known,
    vms: &HashMap<String, Sign>,
    me: &Owner,
    (steady_since, answered): (Instant, Instant),
    now: Instant,
) -> Option<Gone> {
    let seen = known.seen;
    let Some(owner) = &known.meta.owner else { return Some(Gone::Surely) };
    if owner == me {
        // Accepted by another VM for this one, or a commit of this one whose answer was lost.
        let due = known.meta.writer.vm != me.vm || now.since(seen) >= LOST_ANSWER;
        return due.then_some(Gone::Surely);
    }
    if owner.vm == me.vm {
        return Some(Gone::Surely);
    }
    let sign = vms.get(&owner.vm);
    if sign.is_some_and(|row| row.incarnation != owner.incarnation && row.seen > seen) {
        return Some(Gone::Surely);
    }
    let heard = sign.map_or(seen, |row| row.seen.max(seen)).max(steady_since);
    // Silence counts up to the store's last answer only: it may itself have fallen silent.
    (answered.since(heard) >= SILENCE).then_some(Gone::Silent)
}

/// Time for which a candidate waits: none for the VM whose own process was replaced.
fn delay(me: &Owner, batch: &str, meta: &Meta, vms: usize) -> Duration {
    if meta.owner.as_ref().is_some_and(|owner| owner.vm == me.vm) {
        return Duration::ZERO;
    }
    let draw = rows::hash(&format!("{batch}/{}", me.vm)) >> 32;
    let spread = SPREAD_PER_VM.mul_f64(vms as f64).max(LEAST_SPREAD);
    spread.mul_f64(draw as f64 / f64::from(u32::MAX))
}

/// Claims a batch and reads what is known of it.
///
/// # Errors
/// Fails if another VM was faster or the store does not answer.
pub async fn claim<S: Store>(
    store: &S,
    me: &Owner,
    batch: &str,
    meta: Meta,
    version: u64,
) -> Result<Adoption, Fault> {
    if meta.owner.as_ref() == Some(me) {
        return load(store, batch, meta, version).await;
    }
    let meta = Meta { owner: Some(me.clone()), epoch: meta.epoch + 1, ..meta };
    let transaction = Transaction {
        checks: vec![(rows::meta(batch), version)],
        writes: vec![(rows::meta(batch), rows::encode(&meta))],
        deletes: Vec::new(),
    };
    let commit = store.transact(transaction).await?;
    load(store, batch, meta, commit.version).await
}

/// Reads what is known of a batch that this VM owns.
///
/// # Errors
/// Fails if the store does not answer, or a row cannot be decoded.
pub async fn load<S: Store>(
    store: &S,
    batch: &str,
    meta: Meta,
    version: u64,
) -> Result<Adoption, Fault> {
    let corrupt = |error: rows::Corrupt| {
        Line::new("batch_unreadable").with("batch", batch).with("reason", &error).error();
        Fault::Unavailable(error.to_string())
    };
    // A step waits for the slowest of these reads, so they are made at once.
    let (body, results, outputs, sights) = tokio::try_join!(
        read(store, rows::bodies(batch, &meta.writer)),
        read(store, rows::results(batch, 0)),
        read(store, rows::partials(batch)),
        async { Ok(sights(store).await) },
    )?;
    let submission = rows::decode_submission(&body, &meta).map_err(corrupt)?;
    let listed = rows::decode_results(&results, 0).map_err(corrupt)?;
    let mut partials = Vec::new();
    for row in outputs {
        partials.push(rows::decode(row.value.as_deref().unwrap_or_default()).map_err(corrupt)?);
    }
    let submission = Arc::new(submission);
    let batch = batch.to_owned();
    Ok(Adoption { batch, meta, version, submission, listed, partials, sights })
}

/// Reads what other VMs know of the workers; nothing if the store does not answer at once, since a
/// batch runs without it too.
pub async fn sights<S: Store>(store: &S) -> Vec<(String, Sights)> {
    let silent = |_| Fault::Unavailable("no answer in time".to_owned());
    let found = timeout(SIGHTS_TIMEOUT, read(store, rows::loads())).await;
    let found = match found.map_err(silent).flatten() {
        Ok(found) => found,
        Err(fault) => {
            Line::new("loads_unknown").with("reason", fault).info();
            return Vec::new();
        }
    };
    let decoded = found.into_iter().filter_map(|row| {
        match rows::decode(row.value.as_deref().unwrap_or_default()) {
            Ok(sights) => Some((row.key, sights)),
            Err(error) => {
                Line::new("row_corrupt").with("vm", row.key).with("reason", error).error();
                None
            }
        }
    });
    decoded.collect()
}

/// Reads a whole range.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn read<S: Store>(store: &S, mut range: Range) -> Result<Vec<Row>, Fault> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let mut page = store.range(range.clone()).await?;
        let more = page.has_more && !page.rows.is_empty();
        if let Some(last) = page.rows.last() {
            range.from = format!("{}\0", last.key);
        }
        rows.append(&mut page.rows);
        if !more {
            return Ok(rows);
        }
    }
}
