//! Agreed offset between the store's monotonic clock and true time.
//!
//! Load pattern: the clocks of a quarter of the VMs jump by seconds in one direction, in the middle
//! of a window. No VM uses its own time of day: it reads the store's clock and adds the agreed
//! offset, which is the median of the offsets that the VMs propose. Once agreed, it follows the
//! median by [`MAX_SLEW_PPM`] at most, which corrects the drift of the store's clock without moving
//! a window's end noticeably. If the store's clock restarts, the agreement and all proposals are
//! void and the VMs agree anew.

use std::time::Duration;

use filbertsail_clock::Instant;
use serde::{Deserialize, Serialize};

/// Least time for which proposals are collected: VMs of one installation start within seconds.
const MIN_COLLECTION: Duration = Duration::from_secs(3);
/// Time after which the proposals at hand are used, so that the first window is reported in time.
const MAX_COLLECTION: Duration = Duration::from_secs(6);
/// Share of the known VMs whose proposals suffice: with a quarter of all clocks wrong, more than
/// half of these are right.
const QUORUM: f64 = 0.75;
/// Growth of the number of proposals with which the VMs agree anew: the first VMs of a fleet that
/// starts may be few, and most of their clocks wrong.
const REVISION_GROWTH: usize = 2;
/// Time after an agreement for which it is young: VMs that start may still change it.
const YOUNG: Duration = Duration::from_secs(60);
/// Age from which a proposal is ignored; VMs repeat theirs every minute.
const MAX_PROPOSAL_AGE_MS: u64 = 150_000;
/// Difference between two readings of the store's clock that shows a restart. A call whose response
/// arrives later than this has failed before.
const RESTART_MS: i64 = 2_000;
/// Largest change of the agreed offset, in parts per million: crystals drift by up to 50.
const MAX_SLEW_PPM: u64 = 100;
/// Difference that is not corrected: reading the clocks is no more exact.
const DEAD_BAND_MS: i64 = 10;
/// Time between two attempts to agree.
const AGREE_INTERVAL: Duration = Duration::from_millis(500);

/// Offset that a VM proposes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// Time of day of the VM less the store's clock.
    pub offset_ms: i64,
    /// Store's clock at the time of the proposal.
    pub at_ms: u64,
    /// Store's clock when the VM's process first read it.
    pub started_ms: u64,
}

impl Proposal {
    /// Whether the proposal was made recently, and in the present run of the store's clock.
    #[must_use]
    pub fn is_fresh(&self, store_ms: i64) -> bool {
        let at = signed(self.at_ms);
        at <= store_ms + RESTART_MS && store_ms - at < signed(MAX_PROPOSAL_AGE_MS)
    }
}

/// Offset that all VMs use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Agreement {
    /// True time less the store's clock.
    pub offset_ms: i64,
    /// Store's clock when the offset was last confirmed.
    pub at_ms: u64,
    /// Store's clock when the first of the proposing processes started.
    pub started_ms: u64,
    /// Store's clock when the offset was agreed.
    pub agreed_ms: u64,
    /// Number of proposals on which it was agreed.
    pub proposals: u32,
}

impl Agreement {
    /// Agrees on the median of the fresh `proposals` of `known` VMs, which have been collected for
    /// `waited`; nothing if too few of them have arrived yet.
    #[must_use]
    pub fn reach(
        proposals: &[Proposal],
        known: usize,
        waited: Duration,
        store_ms: i64,
    ) -> Option<Self> {
        let fresh: Vec<_> = proposals.iter().filter(|it| it.is_fresh(store_ms)).collect();
        let has_quorum = fresh.len() as f64 >= known.max(1) as f64 * QUORUM;
        if waited < MIN_COLLECTION || (!has_quorum && waited < MAX_COLLECTION) {
            return None;
        }
        let at_ms = u64::try_from(store_ms).ok()?;
        let started_ms = fresh.iter().map(|it| it.started_ms).min()?;
        let offset_ms = median(fresh.iter().map(|it| it.offset_ms).collect())?;
        let proposals = u32::try_from(fresh.len()).unwrap_or(u32::MAX);
        Some(Self { offset_ms, at_ms, started_ms, agreed_ms: at_ms, proposals })
    }

    /// Follows the median of the fresh `proposals` of `known` VMs slowly, or at once if far more VMs
    /// propose than at the agreement; nothing if the store's clock restarted.
    #[must_use]
    pub fn confirm(&self, proposals: &[Proposal], known: usize, store_ms: i64) -> Option<Self> {
        if !self.is_valid(store_ms) {
            return None;
        }
        let at_ms = u64::try_from(store_ms).ok()?.max(self.at_ms);
        let fresh: Vec<_> =
            proposals.iter().filter(|it| it.is_fresh(store_ms)).map(|it| it.offset_ms).collect();
        let count = fresh.len();
        let has_quorum = count as f64 >= known.max(1) as f64 * QUORUM;
        let difference = match median(fresh) {
            Some(median) if has_quorum => median - self.offset_ms,
            _ => 0,
        };
        let change = if difference.abs() > DEAD_BAND_MS { difference } else { 0 };
        if has_quorum && count > self.proposals as usize * REVISION_GROWTH {
            let proposals = u32::try_from(count).unwrap_or(u32::MAX);
            return Some(Self { offset_ms: self.offset_ms + change, at_ms, proposals, ..*self });
        }
        let limit = signed((at_ms - self.at_ms).saturating_mul(MAX_SLEW_PPM) / 1_000_000);
        Some(Self { offset_ms: self.offset_ms + change.clamp(-limit, limit), at_ms, ..*self })
    }

    /// Whether VMs that start may still change the agreement.
    #[must_use]
    pub fn is_young(&self, store_ms: i64) -> bool {
        store_ms - signed(self.agreed_ms) < YOUNG.as_millis() as i64
    }

    /// Whether the store's clock has run on since the agreement.
    #[must_use]
    pub fn is_valid(&self, store_ms: i64) -> bool {
        store_ms + RESTART_MS >= signed(self.at_ms)
    }
}

/// When the holder of the duty agrees with the VMs or confirms the agreement.
///
/// Load pattern: the store's clock restarts between two confirmations, and the proposals of the VMs
/// arrive one after the other, the first of them possibly from a wrong clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    next_at: Instant,
    tried_at: Instant,
    /// Start of the holder's term or of the present run of the store's clock, whichever is later.
    collecting_since: Instant,
    restarts: u64,
}

impl Schedule {
    /// Schedule of a term that begins at `now`, while the store's clock has restarted `restarts` times.
    #[must_use]
    pub const fn new(restarts: u64, now: Instant) -> Self {
        Self { next_at: now, tried_at: now, collecting_since: now, restarts }
    }

    /// Time for which proposals have been collected, if an attempt is due.
    pub fn begin(&mut self, has_agreement: bool, restarts: u64, now: Instant) -> Option<Duration> {
        if restarts != self.restarts {
            (self.collecting_since, self.restarts) = (now, restarts);
        }
        let is_overdue = !has_agreement && now.since(self.tried_at) >= AGREE_INTERVAL;
        if now < self.next_at && !is_overdue {
            return None;
        }
        self.tried_at = now;
        Some(now.since(self.collecting_since))
    }

    /// Records the end of an attempt; `interval` is the time until the next confirmation, absent
    /// without an agreement.
    pub fn record(&mut self, interval: Option<Duration>, now: Instant) {
        self.next_at = now.after(interval.unwrap_or(AGREE_INTERVAL));
    }
}

fn signed(ms: u64) -> i64 {
    i64::try_from(ms).unwrap_or(i64::MAX)
}

fn median(mut values: Vec<i64>) -> Option<i64> {
    values.sort_unstable();
    let upper = *values.get(values.len() / 2)?;
    let lower = *values.get((values.len() - 1) / 2)?;
    Some(lower + (upper - lower) / 2)
}
