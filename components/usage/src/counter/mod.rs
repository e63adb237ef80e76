//! Counts of one VM by workspace and window, and what of them is not stored yet.
//!
//! Load pattern: up to 10,000 workspaces, and a store that is away for seconds or refuses this VM,
//! during which counts stay in memory. A count is kept under the local time at which the worker
//! began until the agreed time is known, so that requests before the agreement are not lost.
//!
//! The counts of a window are stored in chunks, each of them a row. A workspace stays in the chunk
//! in which it was first counted, so that a write holds only the chunks that changed. The counts in
//! a row are cumulative. Each write expects the version of the row that this VM wrote last: a write
//! that takes effect seconds late would otherwise replace newer counts by older ones.

use std::{collections::BTreeMap, sync::Arc};

use filbertsail_clock::Instant;
use filbertsail_collections::HashMap;

use crate::window::Window;

/// Length of the intervals in which counts are kept until their window is known, in milliseconds:
/// less than the error of the agreed time.
const BUCKET_MS: u64 = 20;
/// Size in bytes from which a chunk gets no further workspace: a sixth of the largest row, so that a
/// write of one count stays small.
pub const CHUNK_BYTES: usize = 8 * 1024;
/// Bytes of a count without the name of its workspace.
const COUNT_BYTES: usize = 12;
/// Windows for which stored counts are kept after a newer one has begun. A late count can still be
/// added to them.
const KEPT_WINDOWS: u64 = 3;
/// Largest number of counts in memory, about 15 MB. Beyond it the oldest window is dropped.
const MAX_ENTRIES: usize = 150_000;

/// Counts of a workspace.
pub type Count = (Arc<str>, u64);

/// Row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Write {
    pub window: u64,
    pub chunk: usize,
    /// Version of the row that is replaced; 0 if there is none.
    pub version: u64,
    pub counts: Vec<Count>,
    /// Sum of the counts.
    pub total: u64,
}

#[derive(Debug, Default)]
struct Chunk {
    counts: Vec<Count>,
    bytes: usize,
    total: u64,
    /// Sum of the counts that are known to be stored.
    stored: u64,
    version: u64,
}

#[derive(Debug, Default)]
struct Sheet {
    chunks: Vec<Chunk>,
    /// Chunk and position of each workspace.
    places: HashMap<Arc<str>, (usize, usize)>,
}

impl Sheet {
    fn add(&mut self, workspace: &Arc<str>, count: u64) {
        let (chunk, position) = match self.places.get(workspace) {
            Some(place) => *place,
            None => self.insert(workspace),
        };
        let chunk = &mut self.chunks[chunk];
        chunk.counts[position].1 += count;
        chunk.total += count;
    }

    fn insert(&mut self, workspace: &Arc<str>) -> (usize, usize) {
        if self.chunks.last().is_none_or(|chunk| chunk.bytes >= CHUNK_BYTES) {
            self.chunks.push(Chunk::default());
        }
        let number = self.chunks.len() - 1;
        let chunk = &mut self.chunks[number];
        let place = (number, chunk.counts.len());
        chunk.counts.push((Arc::clone(workspace), 0));
        chunk.bytes += workspace.len() + COUNT_BYTES;
        self.places.insert(Arc::clone(workspace), place);
        place
    }

    fn unstored(&self) -> u64 {
        self.chunks.iter().map(|chunk| chunk.total - chunk.stored).sum()
    }
}

/// Counts of one VM.
#[derive(Debug, Default)]
pub struct Counter {
    /// Counts by local time in units of [`BUCKET_MS`].
    unassigned: BTreeMap<u64, HashMap<Arc<str>, u64>>,
    sheets: BTreeMap<u64, Sheet>,
    /// First window that may still get counts: those before it are reported or were forgotten.
    open_from: u64,
    first_unstored: Option<Instant>,
    dropped: u64,
}

impl Counter {
    /// Counts a request of `workspace` that a worker began at `now`.
    pub fn record(&mut self, workspace: &Arc<str>, now: Instant) {
        self.first_unstored.get_or_insert(now);
        let bucket = self.unassigned.entry(now.as_micros() / 1_000 / BUCKET_MS).or_default();
        *bucket.entry(Arc::clone(workspace)).or_default() += 1;
    }

    /// Time of the first count that is not stored; nothing if all are.
    #[must_use]
    pub fn first_unstored(&self) -> Option<Instant> {
        self.first_unstored
    }

    /// Assigns all counts to windows; `true_ms` tells the true time from the local time.
    pub fn assign(&mut self, window: Window, true_ms: impl Fn(Instant) -> i64) {
        for (bucket, counts) in std::mem::take(&mut self.unassigned) {
            let began = Instant::from_millis(bucket * BUCKET_MS + BUCKET_MS / 2);
            let index = window.index(true_ms(began));
            if index < self.open_from {
                self.dropped += counts.values().sum::<u64>();
                continue;
            }
            let sheet = self.sheets.entry(index).or_default();
            for (workspace, count) in counts {
                sheet.add(&workspace, count);
            }
        }
        self.forget_stored();
    }

    /// Drops the oldest counts beyond [`MAX_ENTRIES`].
    pub fn limit_memory(&mut self) {
        while self.entries() > MAX_ENTRIES {
            if let Some((index, sheet)) = self.sheets.pop_first() {
                self.dropped += sheet.unstored();
                self.open_from = self.open_from.max(index + 1);
            } else if let Some((_, counts)) = self.unassigned.pop_first() {
                self.dropped += counts.values().sum::<u64>();
            }
        }
    }

    fn entries(&self) -> usize {
        let assigned: usize = self.sheets.values().map(|sheet| sheet.places.len()).sum();
        assigned + self.unassigned.values().map(HashMap::len).sum::<usize>()
    }

    fn forget_stored(&mut self) {
        let Some((&newest, _)) = self.sheets.last_key_value() else { return };
        while let Some(oldest) = self.sheets.first_entry()
            && *oldest.key() + KEPT_WINDOWS < newest
            && oldest.get().unstored() == 0
        {
            self.open_from = self.open_from.max(oldest.key() + 1);
            oldest.remove();
        }
    }

    /// Rows to write, those of the oldest windows first, up to `max_rows`.
    #[must_use]
    pub fn writes(&self, max_rows: usize) -> Vec<Write> {
        let chunks = self.sheets.iter().flat_map(|(window, sheet)| {
            sheet.chunks.iter().enumerate().map(move |(number, chunk)| (*window, number, chunk))
        });
        let changed = chunks.filter(|(.., chunk)| chunk.total != chunk.stored).take(max_rows);
        changed
            .map(|(window, number, chunk)| Write {
                window,
                chunk: number,
                version: chunk.version,
                counts: chunk.counts.clone(),
                total: chunk.total,
            })
            .collect()
    }

    /// Records that `writes`, which were read at `since`, are stored with `version`.
    pub fn record_stored(&mut self, writes: &[Write], version: u64, since: Instant) {
        for write in writes {
            if let Some(chunk) = self.chunk(write) {
                (chunk.version, chunk.stored) = (version, write.total);
            }
        }
        self.update_first_unstored(since);
    }

    /// Records the present version of the row of `write`, which was not the expected one; 0 if the
    /// row does not exist. An earlier write whose response was lost has changed it, or the row was
    /// deleted after the report of its window.
    pub fn record_version(&mut self, write: &Write, version: u64) {
        if version == 0 && write.version > 0 {
            self.drop_window(write.window);
        } else if let Some(chunk) = self.chunk(write) {
            chunk.version = version;
        }
    }

    /// Drops the counts of the windows before `first_open`, whose reports are fixed.
    pub fn drop_reported(&mut self, first_open: u64) {
        let reported: Vec<u64> = self.sheets.range(..first_open).map(|(index, _)| *index).collect();
        for index in reported {
            self.drop_window(index);
        }
        self.open_from = self.open_from.max(first_open);
    }

    fn drop_window(&mut self, index: u64) {
        if let Some(sheet) = self.sheets.remove(&index) {
            self.dropped += sheet.unstored();
            self.open_from = self.open_from.max(index + 1);
        }
    }

    /// Number of counts dropped since the last call.
    pub fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Number of counts that are not stored.
    #[must_use]
    pub fn unstored(&self) -> u64 {
        let unassigned = self.unassigned.values().flat_map(HashMap::values).sum::<u64>();
        unassigned + self.sheets.values().map(Sheet::unstored).sum::<u64>()
    }

    /// Updates the time of the first unstored count after a change; the counts that remain are not
    /// older than `since`, or could not be stored.
    pub fn update_first_unstored(&mut self, since: Instant) {
        self.first_unstored = (self.unstored() > 0).then_some(since);
    }

    fn chunk(&mut self, write: &Write) -> Option<&mut Chunk> {
        self.sheets.get_mut(&write.window)?.chunks.get_mut(write.chunk)
    }
}
