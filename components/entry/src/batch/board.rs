//! Results of the batches that this VM runs, for readers.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;
use tokio::sync::watch;

use super::{Listed, Meta, Owner, Submission};

/// Most bytes of text in one answer to a reader, which takes 1 MB.
const MAX_TEXT_BYTES: usize = 700 * 1024;

/// Age of a renewal up to which a VM is given further batches: two renewals and the pause of a feed.
const RUNNER_AGE: Duration = Duration::from_millis(2_000);

/// Results of one batch.
#[derive(Debug)]
pub struct Board {
    /// Submission.
    pub submission: Arc<Submission>,
    listed: Mutex<Vec<Listed>>,
    count: watch::Sender<usize>,
}

impl Board {
    /// Board with the results listed so far.
    #[must_use]
    pub fn new(submission: Arc<Submission>, listed: Vec<Listed>) -> Self {
        let count = watch::channel(listed.len()).0;
        Self { submission, listed: Mutex::new(listed), count }
    }

    /// Adds results that lie in the store.
    pub fn push(&self, results: Vec<Listed>) {
        let mut listed = self.lock();
        listed.extend(results);
        self.count.send_replace(listed.len());
    }

    /// Results from `after` on, as many as one answer holds.
    #[must_use]
    pub fn page(&self, after: usize) -> Vec<Listed> {
        page(self.lock().get(after..).unwrap_or_default())
    }

    /// Number of results, which wakes waiting readers.
    #[must_use]
    pub fn count(&self) -> watch::Receiver<usize> {
        self.count.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Listed>> {
        self.listed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// First results that fit into one answer; at least one if there is one.
#[must_use]
pub fn page(results: &[Listed]) -> Vec<Listed> {
    let mut bytes = 0;
    let fits = |listed: &&Listed| {
        bytes += listed.text.len() + 256;
        bytes <= MAX_TEXT_BYTES || bytes == listed.text.len() + 256
    };
    results.iter().take_while(fits).cloned().collect()
}

/// Batches that this VM runs, and owners' rows of all batches, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Boards {
    // Identifiers of accepted batches only.
    boards: Arc<Mutex<HashMap<String, Arc<Board>>>>,
    metas: Arc<Mutex<HashMap<String, Arc<Meta>>>>,
    runners: Arc<Mutex<Runners>>,
}

/// Who runs the batches of each model, and when each VM last renewed its row.
#[derive(Debug, Default)]
struct Runners {
    models: HashMap<String, (u64, Owner)>,
    vms: HashMap<String, (u64, Instant)>,
}

impl Boards {
    /// Board of a batch that runs here.
    #[must_use]
    pub fn get(&self, batch: &str) -> Option<Arc<Board>> {
        self.boards.lock().unwrap_or_else(PoisonError::into_inner).get(batch).cloned()
    }

    /// Adds a batch.
    pub fn insert(&self, batch: &str, board: Arc<Board>) {
        self.boards.lock().unwrap_or_else(PoisonError::into_inner).insert(batch.to_owned(), board);
    }

    /// Removes a batch; readers are served from the store afterwards.
    pub fn remove(&self, batch: &str) {
        self.boards.lock().unwrap_or_else(PoisonError::into_inner).remove(batch);
    }

    /// Owner's row of a batch as last seen.
    #[must_use]
    pub fn meta(&self, batch: &str) -> Option<Arc<Meta>> {
        self.metas.lock().unwrap_or_else(PoisonError::into_inner).get(batch).cloned()
    }

    /// Process that runs the newest batch of a model, if it has renewed its row of late. It has open
    /// connections to the workers, knows their pace, and sees the steps that overlap.
    #[must_use]
    pub fn runner(&self, model: &str, now: Instant) -> Option<Owner> {
        let runners = self.runners.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, owner) = runners.models.get(model)?;
        let (incarnation, renewed) = runners.vms.get(&owner.vm)?;
        let lives = *incarnation == owner.incarnation && now.since(*renewed) < RUNNER_AGE;
        lives.then(|| owner.clone())
    }

    /// Notes that a VM renewed its row.
    pub fn renewed(&self, vm: &str, incarnation: u64, now: Instant) {
        let mut runners = self.runners.lock().unwrap_or_else(PoisonError::into_inner);
        runners.vms.insert(vm.to_owned(), (incarnation, now));
    }

    /// Notes who runs a batch.
    fn note_runner(&self, meta: &Meta) {
        let mut runners = self.runners.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = runners.models.get(&meta.model).map(|(accepted_ms, _)| *accepted_ms);
        if newest.is_some_and(|newest| newest > meta.accepted_ms) {
            return;
        }
        match &meta.owner {
            Some(owner) => {
                runners.models.insert(meta.model.clone(), (meta.accepted_ms, owner.clone()));
            }
            None => {
                runners.models.remove(&meta.model);
            }
        }
    }

    /// Notes the owner's row of a batch, or that it was deleted.
    pub fn set_meta(&self, batch: &str, meta: Option<Meta>) {
        if let Some(meta) = &meta {
            self.note_runner(meta);
        }
        let mut metas = self.metas.lock().unwrap_or_else(PoisonError::into_inner);
        match meta {
            Some(meta) => metas.insert(batch.to_owned(), Arc::new(meta)),
            None => metas.remove(batch),
        };
    }
}
