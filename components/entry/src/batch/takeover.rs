//! Takeover of batches whose owner has failed.
//!
//! An owner has failed if its VM announced another incarnation, if it handed the batch over, or if
//! its heartbeat is overdue although this VM could read the store without interruption. VMs delay
//! their claims by different times, and the store decides between concurrent ones.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;
use filbertsail_ports::store::{Fault, Range, Row, Store, Transaction};
use filbertsail_telemetry::event::Line;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use super::{Meta, Owner, Partial, Record, Submission, rows};

/// Interval of the heartbeats of a VM that runs batches.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(700);
/// Time without a heartbeat after which an owner is presumed failed: three intervals.
pub const OWNER_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time after which a batch that this process owns but does not run is started: the reply to its
/// own commit may have been lost.
const LOST_ANSWER_DELAY: Duration = Duration::from_millis(400);
/// Time after which an outdated heartbeat row is deleted. Owners are presumed failed after seconds;
/// the row stays longer for operators who inspect the store.
const HEARTBEAT_RETENTION: Duration = Duration::from_secs(300);
/// Timeout for reading worker observations, several times the usual latency of the store. Batches
/// must not wait for them if only that part of the store is unavailable.
const OBSERVATIONS_TIMEOUT: Duration = Duration::from_millis(150);
/// Range of claim delays per VM. Other VMs learn of a claim within about 250 ms, so about six
/// claims overlap whatever the number of VMs.
const CLAIM_SPREAD_PER_VM: Duration = Duration::from_millis(40);
/// Smallest range of claim delays.
const MIN_CLAIM_SPREAD: Duration = Duration::from_millis(400);

/// Batch that this VM has acquired, with everything that is stored of it.
#[derive(Clone, Debug)]
pub struct Acquisition {
    /// Identifier of the batch.
    pub batch: String,
    pub meta: Meta,
    /// Version of the owner's row.
    pub row_version: u64,
    pub submission: Arc<Submission>,
    /// Results stored so far.
    pub results: Vec<Record>,
    /// Saved partial outputs.
    pub partials: Vec<Partial>,
    /// Worker observations of other VMs, by VM.
    pub observations: Vec<(String, Observations)>,
}

/// Batch that this VM should claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identifier of the batch.
    pub batch: String,
    pub meta: Meta,
    /// Version of the owner's row.
    pub row_version: u64,
    /// Whether the owner is only presumed failed because its heartbeat is overdue. This VM must
    /// then write its own heartbeat first: if that fails, the owner may be silent for the same
    /// reason.
    pub needs_confirmation: bool,
}

/// Certainty that an owner is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// It handed the batch over, or its process has exited.
    Certain,
    /// Its heartbeat is overdue.
    Silent,
}

/// Last known owner's row of a batch.
#[derive(Clone, Debug)]
struct Entry {
    meta: Meta,
    row_version: u64,
    seen_at: Instant,
    /// When the owner was first found to be absent.
    absent_since: Option<Instant>,
    is_claiming: bool,
}

/// Heartbeat row of a VM that runs batches. It is small, since every VM follows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    pub incarnation: u64,
    /// Increases with each heartbeat.
    pub number: u64,
}

/// Worker observations of one VM, which other owners use to place items.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Observations {
    /// Monotonic clock of the store at the time of writing, in milliseconds.
    pub at_ms: u64,
    /// Workers in use by the VM.
    pub workers: Vec<Observation>,
}

/// One VM's observation of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Short hash of the worker's identifier.
    pub worker: u32,
    /// Milliseconds between two events, rounded; 0 if unknown.
    pub pace_ms: u16,
    /// Requests of that VM in progress.
    pub in_flight: u16,
}

/// Last known heartbeat of a VM.
#[derive(Clone, Copy, Debug)]
struct Liveness {
    incarnation: u64,
    /// Version of the heartbeat row.
    row_version: u64,
    seen_at: Instant,
}

/// Last known owners' rows of all batches and heartbeats of all VMs.
#[derive(Debug)]
pub struct Registry {
    local_owner: Owner,
    batches: HashMap<String, Entry>,
    vms: HashMap<String, Liveness>,
}

impl Registry {
    /// Empty registry of the process `local_owner`.
    #[must_use]
    pub fn new(local_owner: Owner) -> Self {
        Self { local_owner, batches: HashMap::default(), vms: HashMap::default() }
    }

    /// Records the owner's row of a batch; returns whether it is newer than the known one.
    pub fn record_batch(
        &mut self,
        batch: &str,
        meta: Meta,
        row_version: u64,
        now: Instant,
    ) -> bool {
        let previous = self.batches.get(batch);
        if previous.is_some_and(|entry| entry.row_version >= row_version) {
            return false;
        }
        // A claim of this VM is in progress until the rows of the batch are loaded.
        let is_claiming = previous.is_some_and(|entry| entry.is_claiming)
            && meta.owner.as_ref() == Some(&self.local_owner);
        let entry = Entry { meta, row_version, seen_at: now, absent_since: None, is_claiming };
        self.batches.insert(batch.to_owned(), entry);
        true
    }

    /// Current owner's row of a batch that was claimed or accepted with `meta`; none if it has
    /// since been ended or claimed by another process, which can happen while its rows are loading.
    #[must_use]
    pub fn current_row(&self, batch: &str, meta: Meta, row_version: u64) -> Option<(Meta, u64)> {
        let newer = self.batches.get(batch).filter(|entry| entry.row_version > row_version);
        let (meta, row_version) =
            newer.map_or((meta, row_version), |entry| (entry.meta.clone(), entry.row_version));
        let is_runnable = !meta.ended && meta.owner.as_ref() == Some(&self.local_owner);
        is_runnable.then_some((meta, row_version))
    }

    /// Removes a batch whose row was deleted.
    pub fn forget_batch(&mut self, batch: &str) {
        self.batches.remove(batch);
    }

    pub fn record_heartbeat(&mut self, vm: &str, incarnation: u64, row_version: u64, now: Instant) {
        self.vms.insert(vm.to_owned(), Liveness { incarnation, row_version, seen_at: now });
    }

    /// Removes a VM whose row was deleted.
    pub fn forget_vm(&mut self, vm: &str) {
        self.vms.remove(vm);
    }

    /// Other VMs whose heartbeat row may be deleted, with its version.
    #[must_use]
    pub fn expired_vms(&self, now: Instant) -> Vec<(String, u64)> {
        let is_expired = |(vm, liveness): &(&String, &Liveness)| {
            **vm != self.local_owner.vm && now.since(liveness.seen_at) >= HEARTBEAT_RETENTION
        };
        self.vms
            .iter()
            .filter(is_expired)
            .map(|(vm, liveness)| (vm.clone(), liveness.row_version))
            .collect()
    }

    /// Whether this VM's heartbeat row names an earlier process, whose batches wait for a new
    /// owner.
    #[must_use]
    pub fn has_stale_heartbeat(&self) -> bool {
        self.vms
            .get(&self.local_owner.vm)
            .is_some_and(|row| row.incarnation != self.local_owner.incarnation)
    }

    /// Ends a claim that failed; the batch may be claimed again.
    pub fn release_claim(&mut self, batch: &str) {
        if let Some(entry) = self.batches.get_mut(batch) {
            entry.is_claiming = false;
        }
    }

    /// Batches to claim now, which are marked as being claimed. The store has answered without
    /// interruption since `steady.0`, last at `steady.1`; `vm_count` VMs compete for each batch.
    ///
    /// Load pattern: an owner fails, and hundreds of VMs detect it at the same moment.
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
                    row_version: entry.row_version,
                    needs_confirmation: absence == Absence::Silent,
                });
            }
        }
        targets
    }

    /// Whether a group of `batch` is also part of another known batch.
    #[must_use]
    pub fn is_carried_over(&self, batch: &str, group: u32) -> bool {
        let others = self.batches.iter().filter(|(name, _)| *name != batch);
        others.into_iter().any(|(_, entry)| entry.meta.groups.contains(&group))
    }

    /// Batches whose rows may be deleted: ended by their callers, and accepted more than
    /// `retention_ms` before `store_ms`, the clock of the store. A complete batch is kept while it is
    /// open.
    #[must_use]
    pub fn expired_batches(&self, store_ms: u64, retention_ms: u64) -> Vec<(String, Meta, u64)> {
        self.batches
            .iter()
            .filter(|(_, entry)| {
                entry.meta.ended && store_ms > entry.meta.accepted_ms + retention_ms
            })
            .map(|(batch, entry)| (batch.clone(), entry.meta.clone(), entry.row_version))
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
        // Another VM accepted it for this one, or the reply to a commit of this one was lost.
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
    // Counted up to the last reply of the store only, since the store itself may be unavailable.
    (last_answer_at.since(last_sign_at) >= OWNER_TIMEOUT).then_some(Absence::Silent)
}

/// Delay of this VM's claim; zero if an earlier process of this VM owned the batch.
fn claim_delay(local_owner: &Owner, batch: &str, meta: &Meta, vm_count: usize) -> Duration {
    if meta.owner.as_ref().is_some_and(|owner| owner.vm == local_owner.vm) {
        return Duration::ZERO;
    }
    let hash = rows::hash(&format!("{batch}/{}", local_owner.vm)) >> 32;
    let max_delay = CLAIM_SPREAD_PER_VM.mul_f64(vm_count as f64).max(MIN_CLAIM_SPREAD);
    max_delay.mul_f64(hash as f64 / f64::from(u32::MAX))
}

/// Claims a batch and loads its rows.
///
/// # Errors
/// Fails if another VM claimed it first, the store does not answer, or a row cannot be decoded.
pub async fn claim_batch<S: Store>(
    store: &S,
    local_owner: &Owner,
    batch: &str,
    meta: Meta,
    row_version: u64,
) -> Result<Acquisition, Fault> {
    if meta.owner.as_ref() == Some(local_owner) {
        return load_batch(store, batch, meta, row_version).await;
    }
    let meta = Meta { owner: Some(local_owner.clone()), epoch: meta.epoch + 1, ..meta };
    let transaction = Transaction {
        checks: vec![(rows::meta_key(batch), row_version)],
        writes: vec![(rows::meta_key(batch), rows::encode_meta(&meta))],
        deletes: Vec::new(),
    };
    let commit = store.transact(transaction).await?;
    load_batch(store, batch, meta, commit.version).await
}

/// Loads the rows of a batch that this VM owns.
///
/// # Errors
/// Fails if the store does not answer or a row cannot be decoded.
pub async fn load_batch<S: Store>(
    store: &S,
    batch: &str,
    meta: Meta,
    row_version: u64,
) -> Result<Acquisition, Fault> {
    let corrupt = |error: rows::DecodeError| {
        Line::new("batch_unreadable").with("batch", batch).with("reason", &error).error();
        Fault::Unavailable(error.to_string())
    };
    // The step waits for the slowest of these reads, so they run concurrently.
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
        let value = row.value.as_deref().unwrap_or_default();
        partials.push(rows::decode_partial(value).map_err(corrupt)?);
    }
    let submission = Arc::new(submission);
    let batch = batch.to_owned();
    Ok(Acquisition { batch, meta, row_version, submission, results, partials, observations })
}

/// Reads the worker observations of other VMs; empty if the store does not answer in time, since
/// batches run without them too.
pub async fn read_observations<S: Store>(store: &S) -> Vec<(String, Observations)> {
    let timed_out = |_| Fault::Unavailable("read of worker observations timed out".to_owned());
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

/// Reads all pages of a range.
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
