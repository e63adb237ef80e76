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

use super::{Meta, Owner, Partial, Record, Submission, rows};

/// Time between two renewals of an owner's row.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Silence after which an owner counts as gone: three renewals.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time after which a row that names this process, though it runs no such batch, is taken up.
const LOST_ANSWER_DELAY: Duration = Duration::from_millis(400);
/// Time after which the row of a VM that does not renew it is deleted. Owners count as gone after
/// seconds; the rest is for operators who look into the store.
const HEARTBEAT_RETENTION: Duration = Duration::from_secs(300);
/// Time for reading what other VMs know of the workers, several times what the store takes. Batches
/// must not wait for it where just that part of the store is silent.
const OBSERVATIONS_TIMEOUT: Duration = Duration::from_millis(150);
/// Time over which candidates spread, for each VM. News of a claim reaches the other VMs within about
/// a quarter of a second, so that some six of them meet, however many there are.
const CLAIM_SPREAD_PER_VM: Duration = Duration::from_millis(40);
/// Least time over which candidates spread.
const MIN_CLAIM_SPREAD: Duration = Duration::from_millis(400);

/// Batch that this VM now owns.
#[derive(Clone, Debug)]
pub struct Acquisition {
    /// Batch.
    pub batch: String,
    /// Owner's row.
    pub meta: Meta,
    /// Its version.
    pub version: u64,
    /// Submission.
    pub submission: Arc<Submission>,
    /// Results listed so far.
    pub results: Vec<Record>,
    /// Unfinished outputs of a handover.
    pub partials: Vec<Partial>,
    /// What other VMs know of the workers, by VM.
    pub observations: Vec<(String, Observations)>,
}

/// Batch to claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Batch.
    pub batch: String,
    /// Owner's row.
    pub meta: Meta,
    /// Its version.
    pub version: u64,
    /// Whether only its silence speaks against the owner. Then this VM renews its own row first:
    /// if that fails, the owner may be silent for the same reason.
    pub needs_confirmation: bool,
}

/// Why an owner counts as gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// It gave the batch up, or its process has ended.
    Certain,
    /// It has not renewed its row.
    Silent,
}

/// Owner's row as last seen.
#[derive(Clone, Debug)]
struct Entry {
    meta: Meta,
    version: u64,
    seen_at: Instant,
    /// When the owner was first taken to be gone.
    absent_since: Option<Instant>,
    is_claiming: bool,
}

/// Row that a VM with batches renews. Every VM follows it, so it is small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the process.
    pub incarnation: u64,
    /// Rises with each renewal.
    pub number: u64,
}

/// What a VM has learnt of workers, so that other owners place items by it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    /// Steady clock of the store when it was written, in milliseconds.
    pub at_ms: u64,
    /// Workers that the VM uses.
    pub workers: Vec<Observation>,
}

/// Worker as another VM sees it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Short hash of the worker's identifier.
    pub worker: u32,
    /// Milliseconds between two events, rounded; zero if not known.
    pub pace_ms: u16,
    /// Requests of that VM under way.
    pub in_flight: u16,
}

/// Row that a VM renews, as last seen.
#[derive(Clone, Copy, Debug)]
struct Liveness {
    incarnation: u64,
    /// Version of the row.
    version: u64,
    seen_at: Instant,
}

/// Owners' rows of all batches.
#[derive(Debug)]
pub struct Registry {
    local_owner: Owner,
    batches: HashMap<String, Entry>,
    vms: HashMap<String, Liveness>,
}

impl Registry {
    /// Empty register of the process `me`.
    #[must_use]
    pub fn new(local_owner: Owner) -> Self {
        Self { local_owner, batches: HashMap::default(), vms: HashMap::default() }
    }

    /// Notes the row of a batch; returns whether it is news.
    pub fn record_batch(&mut self, batch: &str, meta: Meta, version: u64, now: Instant) -> bool {
        let previous = self.batches.get(batch);
        if previous.is_some_and(|entry| entry.version >= version) {
            return false;
        }
        // A claim of this VM goes on until its rows are read.
        let is_claiming = previous.is_some_and(|entry| entry.is_claiming)
            && meta.owner.as_ref() == Some(&self.local_owner);
        let entry = Entry { meta, version, seen_at: now, absent_since: None, is_claiming };
        self.batches.insert(batch.to_owned(), entry);
        true
    }

    /// Row under which a batch that was claimed or accepted with `meta` may run now. Nothing if it
    /// has been ended or claimed by another process since: loading its rows takes a while.
    #[must_use]
    pub fn current_row(&self, batch: &str, meta: Meta, version: u64) -> Option<(Meta, u64)> {
        let newer = self.batches.get(batch).filter(|entry| entry.version > version);
        let (meta, version) =
            newer.map_or((meta, version), |entry| (entry.meta.clone(), entry.version));
        let is_runnable = !meta.ended && meta.owner.as_ref() == Some(&self.local_owner);
        is_runnable.then_some((meta, version))
    }

    /// Forgets a batch whose row was deleted.
    pub fn forget_batch(&mut self, batch: &str) {
        self.batches.remove(batch);
    }

    /// Notes the row that a VM renews.
    pub fn record_heartbeat(&mut self, vm: &str, incarnation: u64, version: u64, now: Instant) {
        self.vms.insert(vm.to_owned(), Liveness { incarnation, version, seen_at: now });
    }

    /// Forgets a VM whose row was deleted.
    pub fn forget_vm(&mut self, vm: &str) {
        self.vms.remove(vm);
    }

    /// Other VMs that have not renewed their rows for long, with the versions of these.
    #[must_use]
    pub fn expired_vms(&self, now: Instant) -> Vec<(String, u64)> {
        let is_expired = |(vm, liveness): &(&String, &Liveness)| {
            **vm != self.local_owner.vm && now.since(liveness.seen_at) >= HEARTBEAT_RETENTION
        };
        self.vms
            .iter()
            .filter(is_expired)
            .map(|(vm, liveness)| (vm.clone(), liveness.version))
            .collect()
    }

    /// Whether this VM's row names an earlier process, whose batches wait for a new owner.
    #[must_use]
    pub fn has_stale_heartbeat(&self) -> bool {
        self.vms
            .get(&self.local_owner.vm)
            .is_some_and(|row| row.incarnation != self.local_owner.incarnation)
    }

    /// A claim did not succeed; the row's next change or the next look decides.
    pub fn release_claim(&mut self, batch: &str) {
        if let Some(entry) = self.batches.get_mut(batch) {
            entry.is_claiming = false;
        }
    }

    /// Batches to claim now. The store has answered without interruption from `steady.0` on, last
    /// at `steady.1`; `vms` are candidates.
    ///
    /// Load pattern: an owner dies, and hundreds of VMs see it in the same moment.
    pub fn claim_targets(
        &mut self,
        steady: (Instant, Instant),
        vm_count: usize,
        now: Instant,
        is_running_here: impl Fn(&str) -> bool,
    ) -> Vec<Target> {
        let mut targets = Vec::new();
        for (batch, entry) in &mut self.batches {
            let is_closed = entry.meta.ended || entry.meta.complete;
            if is_closed || entry.is_claiming || is_running_here(batch) {
                continue;
            }
            let Some(absence) = owner_absence(entry, &self.vms, &self.local_owner, steady, now)
            else {
                entry.absent_since = None;
                continue;
            };
            let since = *entry.absent_since.get_or_insert(now);
            if now >= since.after(claim_delay(&self.local_owner, batch, &entry.meta, vm_count)) {
                entry.is_claiming = true;
                targets.push(Target {
                    batch: batch.clone(),
                    meta: entry.meta.clone(),
                    version: entry.version,
                    needs_confirmation: absence == Absence::Silent,
                });
            }
        }
        targets
    }

    /// Whether a group of `batch` was part of another batch before.
    #[must_use]
    pub fn is_carried_over(&self, batch: &str, group: u32) -> bool {
        let others = self.batches.iter().filter(|(name, _)| *name != batch);
        others.into_iter().any(|(_, entry)| entry.meta.groups.contains(&group))
    }

    /// Batches whose rows may be deleted: ended or complete, and older than `retention` by the
    /// store's clock `store_ms`.
    #[must_use]
    pub fn expired_batches(&self, store_ms: u64, retention_ms: u64) -> Vec<(String, Meta, u64)> {
        self.batches
            .iter()
            .filter(|(_, entry)| entry.meta.ended || entry.meta.complete)
            .filter(|(_, entry)| store_ms > entry.meta.accepted_ms + retention_ms)
            .map(|(batch, entry)| (batch.clone(), entry.meta.clone(), entry.version))
            .collect()
    }
}

fn owner_absence(
    entry: &Entry,
    vms: &HashMap<String, Liveness>,
    local_owner: &Owner,
    (steady_since, last_answer_at): (Instant, Instant),
    now: Instant,
) -> Option<Absence> {
    let row_seen_at = entry.seen_at;
    let Some(owner) = &entry.meta.owner else { return Some(Absence::Certain) };
    if owner == local_owner {
        // Accepted by another VM for this one, or a commit of this one whose answer was lost.
        let is_due =
            entry.meta.writer.vm != local_owner.vm || now.since(row_seen_at) >= LOST_ANSWER_DELAY;
        return is_due.then_some(Absence::Certain);
    }
    if owner.vm == local_owner.vm {
        return Some(Absence::Certain);
    }
    let liveness = vms.get(&owner.vm);
    if liveness.is_some_and(|row| row.incarnation != owner.incarnation && row.seen_at > row_seen_at)
    {
        return Some(Absence::Certain);
    }
    let last_sign_at =
        liveness.map_or(row_seen_at, |row| row.seen_at.max(row_seen_at)).max(steady_since);
    // Silence counts up to the store's last answer only: it may itself have fallen silent.
    (last_answer_at.since(last_sign_at) >= OWNER_TIMEOUT).then_some(Absence::Silent)
}

/// Time for which a candidate waits: none for the VM whose own process was replaced.
fn claim_delay(local_owner: &Owner, batch: &str, meta: &Meta, vm_count: usize) -> Duration {
    if meta.owner.as_ref().is_some_and(|owner| owner.vm == local_owner.vm) {
        return Duration::ZERO;
    }
    let hash = rows::hash(&format!("{batch}/{}", local_owner.vm)) >> 32;
    let max_delay = CLAIM_SPREAD_PER_VM.mul_f64(vm_count as f64).max(MIN_CLAIM_SPREAD);
    max_delay.mul_f64(hash as f64 / f64::from(u32::MAX))
}

/// Claims a batch and reads what is known of it.
///
/// # Errors
/// Fails if another VM was faster or the store does not answer.
pub async fn claim_batch<S: Store>(
    store: &S,
    local_owner: &Owner,
    batch: &str,
    meta: Meta,
    version: u64,
) -> Result<Acquisition, Fault> {
    if meta.owner.as_ref() == Some(local_owner) {
        return load_batch(store, batch, meta, version).await;
    }
    let meta = Meta { owner: Some(local_owner.clone()), epoch: meta.epoch + 1, ..meta };
    let transaction = Transaction {
        checks: vec![(rows::meta_key(batch), version)],
        writes: vec![(rows::meta_key(batch), rows::encode(&meta))],
        deletes: Vec::new(),
    };
    let commit = store.transact(transaction).await?;
    load_batch(store, batch, meta, commit.version).await
}

/// Reads what is known of a batch that this VM owns.
///
/// # Errors
/// Fails if the store does not answer, or a row cannot be decoded.
pub async fn load_batch<S: Store>(
    store: &S,
    batch: &str,
    meta: Meta,
    version: u64,
) -> Result<Acquisition, Fault> {
    let corrupt = |error: rows::DecodeError| {
        Line::new("batch_unreadable").with("batch", batch).with("reason", &error).error();
        Fault::Unavailable(error.to_string())
    };
    // A step waits for the slowest of these reads, so they are made at once.
    let (body, results, outputs, observations) = tokio::try_join!(
        read_range(store, rows::bodies_range(batch, &meta.writer)),
        read_range(store, rows::results_range(batch, 0)),
        read_range(store, rows::partials_range(batch)),
        async { Ok(read_observations(store).await) },
    )?;
    let submission = rows::decode_submission(&body, &meta).map_err(corrupt)?;
    let results = rows::decode_results(&results, 0).map_err(corrupt)?;
    let mut partials = Vec::new();
    for row in outputs {
        partials.push(rows::decode(row.value.as_deref().unwrap_or_default()).map_err(corrupt)?);
    }
    let submission = Arc::new(submission);
    let batch = batch.to_owned();
    Ok(Acquisition { batch, meta, version, submission, results, partials, observations })
}

/// Reads what other VMs know of the workers; nothing if the store does not answer at once, since a
/// batch runs without it too.
pub async fn read_observations<S: Store>(store: &S) -> Vec<(String, Observations)> {
    let timed_out = |_| Fault::Unavailable("no answer in time".to_owned());
    let rows = timeout(OBSERVATIONS_TIMEOUT, read_range(store, rows::loads_range())).await;
    let rows = match rows.map_err(timed_out).flatten() {
        Ok(rows) => rows,
        Err(fault) => {
            Line::new("loads_unknown").with("reason", fault).info();
            return Vec::new();
        }
    };
    let decoded = rows.into_iter().filter_map(|row| {
        match rows::decode(row.value.as_deref().unwrap_or_default()) {
            Ok(observations) => Some((row.key, observations)),
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
pub async fn read_range<S: Store>(store: &S, mut range: Range) -> Result<Vec<Row>, Fault> {
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
