//! In-memory results and owners' rows, for readers and submissions.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;
use tokio::sync::watch;

use super::{Meta, Owner, Record, Submission};

/// Limit of result text in one response; readers accept 1 MB.
const MAX_PAGE_TEXT_BYTES: usize = 700 * 1024;

/// Age of a heartbeat up to which a VM is given further batches: two intervals and the delay of the
/// feed.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(2_000);

/// Stored results of one batch.
#[derive(Debug)]
pub struct Listing {
    pub submission: Arc<Submission>,
    listed: Mutex<Vec<Record>>,
    count: watch::Sender<usize>,
}

impl Listing {
    /// Listing with the results stored so far.
    #[must_use]
    pub fn new(submission: Arc<Submission>, listed: Vec<Record>) -> Self {
        let count = watch::channel(listed.len()).0;
        Self { submission, listed: Mutex::new(listed), count }
    }

    /// Appends results that are in the store.
    pub fn append(&self, results: Vec<Record>) {
        let mut listed = self.lock();
        listed.extend(results);
        self.count.send_replace(listed.len());
    }

    /// Results from position `after` on, as many as fit into one response.
    #[must_use]
    pub fn page_after(&self, after: usize) -> Vec<Record> {
        first_page(self.lock().get(after..).unwrap_or_default())
    }

    /// Number of results; its changes wake waiting readers.
    #[must_use]
    pub fn subscribe_count(&self) -> watch::Receiver<usize> {
        self.count.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// First results that fit into one response; at least one unless `results` is empty.
#[must_use]
pub fn first_page(results: &[Record]) -> Vec<Record> {
    let mut bytes = 0;
    let fits = |record: &&Record| {
        bytes += record.text.len() + 256;
        bytes <= MAX_PAGE_TEXT_BYTES || bytes == record.text.len() + 256
    };
    results.iter().take_while(fits).cloned().collect()
}

/// Listings of the batches that this VM runs, and owners' rows of all batches; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    // Holds identifiers of accepted batches only.
    listings: Arc<Mutex<HashMap<String, Arc<Listing>>>>,
    metas: Arc<Mutex<HashMap<String, Arc<Meta>>>>,
    owners: Arc<Mutex<Owners>>,
}

/// Owner of the newest batch of each model, and last heartbeat of each VM.
#[derive(Debug, Default)]
struct Owners {
    by_model: HashMap<String, (u64, Owner)>,
    heartbeats: HashMap<String, (u64, Instant)>,
}

impl Directory {
    /// Listing of a batch that runs here.
    #[must_use]
    pub fn get(&self, batch: &str) -> Option<Arc<Listing>> {
        self.listings.lock().unwrap_or_else(PoisonError::into_inner).get(batch).cloned()
    }

    /// Adds the listing of a batch.
    pub fn insert(&self, batch: &str, listing: Arc<Listing>) {
        self.listings
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(batch.to_owned(), listing);
    }

    /// Removes the listing of a batch; readers are served from the store afterwards.
    pub fn remove(&self, batch: &str) {
        self.listings.lock().unwrap_or_else(PoisonError::into_inner).remove(batch);
    }

    /// Last known owner's row of a batch.
    #[must_use]
    pub fn meta(&self, batch: &str) -> Option<Arc<Meta>> {
        self.metas.lock().unwrap_or_else(PoisonError::into_inner).get(batch).cloned()
    }

    /// Owner of the newest batch of a model, if its heartbeat is recent. It has open connections to
    /// the workers, knows their speed and sees the overlapping steps.
    #[must_use]
    pub fn active_owner(&self, model: &str, now: Instant) -> Option<Owner> {
        let owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, owner) = owners.by_model.get(model)?;
        let (incarnation, heartbeat_at) = owners.heartbeats.get(&owner.vm)?;
        let is_alive =
            *incarnation == owner.incarnation && now.since(*heartbeat_at) < MAX_HEARTBEAT_AGE;
        is_alive.then(|| owner.clone())
    }

    pub fn record_heartbeat(&self, vm: &str, incarnation: u64, now: Instant) {
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        owners.heartbeats.insert(vm.to_owned(), (incarnation, now));
    }

    fn record_owner(&self, meta: &Meta) {
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = owners.by_model.get(&meta.model).map(|(accepted_ms, _)| *accepted_ms);
        if newest.is_some_and(|newest| newest > meta.accepted_ms) {
            return;
        }
        match &meta.owner {
            Some(owner) => {
                owners.by_model.insert(meta.model.clone(), (meta.accepted_ms, owner.clone()));
            }
            None => {
                owners.by_model.remove(&meta.model);
            }
        }
    }

    /// Sets the owner's row of a batch; `None` if it was deleted.
    pub fn set_meta(&self, batch: &str, meta: Option<Meta>) {
        if let Some(meta) = &meta {
            self.record_owner(meta);
        }
        let mut metas = self.metas.lock().unwrap_or_else(PoisonError::into_inner);
        match meta {
            Some(meta) => metas.insert(batch.to_owned(), Arc::new(meta)),
            None => metas.remove(batch),
        };
    }
}
