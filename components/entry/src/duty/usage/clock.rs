//! Agreed time: this VM's proposal, and the agreement of all VMs as last read.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use filbertsail_clock::{Instant, remote};
use filbertsail_ports::store::{Key, Store, Transaction};
use filbertsail_telemetry::event::Line;
use filbertsail_usage::{Agreement, Proposal};
use tokio::time::sleep;

use super::{
    super::Context,
    rows::{self, agreed_key, clock_range, is_agreed, proposal_key},
};
use crate::{
    batch::rows::{decode, encode, hash},
    relay::Peers,
    shared::Shared,
};

/// Time between two looks at the store's clock.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two proposals of a VM.
const PROPOSAL_INTERVAL: Duration = Duration::from_secs(60);
/// Time before a proposal that was not stored is repeated, and between two reads while there is no
/// agreement: 420 VMs make 420 reads a second then.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two reads of an agreement, which changes by 3 ms in it at most.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Time between two confirmations by the holder.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(60);
/// Time between two reads and two confirmations while the agreement is young, and may change by more.
const YOUNG_INTERVAL: Duration = Duration::from_secs(5);
/// Age in the store's time from which the proposal of a VM that is gone is deleted.
const DELETE_AFTER_MS: i64 = 600_000;
/// Largest number of such proposals deleted at a time.
const MAX_DELETES: usize = 50;

#[derive(Debug, Default)]
struct State {
    agreement: Option<Agreement>,
    /// Restarts of the store's clock before the agreement was read.
    restarts: u64,
    /// Store's clock when it was first read after the start or after its last restart, and how often
    /// it had restarted before.
    started: Option<(u64, u64)>,
}

/// Agreed time, cheap to clone.
#[derive(Clone, Debug)]
pub(super) struct Clock<S> {
    shared: Shared,
    store: S,
    peers: Peers,
    state: Arc<Mutex<State>>,
}

impl<S: Store> Clock<S> {
    pub fn new<P>(context: &Context<S, P>) -> Self {
        Self {
            shared: context.shared.clone(),
            store: context.store.clone(),
            peers: context.peers.clone(),
            state: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Store's clock as last known.
    fn store_clock(&self) -> remote::Clock {
        self.shared.link.borrow().clock
    }

    /// Store's clock at `at`; nothing before it was first read.
    fn store_ms(&self, at: Instant) -> Option<i64> {
        let clock = self.store_clock();
        let store_ms = clock.ms(at)?;
        let mut state = self.lock();
        if state.started.is_none_or(|(_, restarts)| restarts != clock.restarts()) {
            if state.started.is_some() {
                Line::new("usage_clock_restarted").with("store_ms", store_ms).warn();
            }
            state.started = Some((u64::try_from(store_ms).unwrap_or(0), clock.restarts()));
        }
        Some(store_ms)
    }

    /// How often the store's clock has restarted.
    pub fn restarts(&self) -> u64 {
        self.store_clock().restarts()
    }

    /// Agreement as last read, if it is still valid.
    pub fn agreement(&self, now: Instant) -> Option<Agreement> {
        let store_ms = self.store_ms(now)?;
        let restarts = self.restarts();
        let state = self.lock();
        let agreement = state.agreement.filter(|_| state.restarts == restarts)?;
        agreement.is_valid(store_ms).then_some(agreement)
    }

    /// Function from the local to the true time; nothing without an agreement.
    pub fn mapping(&self, now: Instant) -> Option<impl Fn(Instant) -> i64 + use<S>> {
        let (agreement, clock) = (self.agreement(now)?, self.store_clock());
        Some(move |at| clock.ms(at).unwrap_or_default() + agreement.offset_ms)
    }

    /// Proposes an offset and reads the agreement again and again; never returns.
    pub async fn follow(&self) {
        // VMs that started together spread their later calls.
        let spread = (hash(&self.shared.identity.vm) % 1_000) as f64 / 1_000.0;
        let (mut propose_at, mut read_at) = (Instant::default(), Instant::default());
        let mut restarts = 0;
        loop {
            let now = self.shared.now();
            let store_ms = self.store_ms(now);
            let is_lost = self.shared.link.borrow().lost.is_some();
            if self.restarts() > restarts {
                restarts = self.restarts();
                (propose_at, read_at) = (now, now);
            }
            if let (Some(store_ms), false) = (store_ms, is_lost) {
                if now >= propose_at {
                    let stored = self.propose(store_ms).await;
                    let interval = PROPOSAL_INTERVAL.mul_f64(0.75 + spread / 4.0);
                    propose_at = now.after(if stored { interval } else { RETRY_INTERVAL });
                }
                if now >= read_at
                    || (self.agreement(now).is_none() && read_at.since(now) > RETRY_INTERVAL)
                {
                    self.read().await;
                    read_at = now.after(match self.agreement(now) {
                        Some(it) if it.is_young(store_ms) => YOUNG_INTERVAL,
                        Some(_) => READ_INTERVAL.mul_f64(0.75 + spread / 4.0),
                        None => RETRY_INTERVAL,
                    });
                }
            }
            sleep(ROUND_INTERVAL).await;
        }
    }

    async fn propose(&self, store_ms: i64) -> bool {
        let now = self.shared.now();
        let (Some(store_now), Some((started_ms, _))) = (self.store_ms(now), self.lock().started)
        else {
            return false;
        };
        let at_ms = u64::try_from(store_ms).unwrap_or(0);
        let proposal = Proposal { offset_ms: wall_ms() - store_now, at_ms, started_ms };
        let writes = vec![(proposal_key(&self.shared.identity.vm), encode(&proposal))];
        self.store.transact(Transaction { writes, ..Transaction::default() }).await.is_ok()
    }

    async fn read(&self) {
        let Ok(page) = self.store.range(clock_range(false)).await else { return };
        let agreement = page.rows.first().and_then(|row| decode(row.value.as_deref()?).ok());
        self.set(agreement);
    }

    fn set(&self, agreement: Option<Agreement>) {
        let restarts = self.restarts();
        let mut state = self.lock();
        (state.agreement, state.restarts) = (agreement, restarts);
    }

    /// Agrees on an offset, or confirms the present one, for all VMs; only the holder of the duty
    /// does so. `waited` is the time for which proposals have been collected since the store's clock
    /// restarted for the `restarts`th time. Returns the time until the next confirmation; nothing
    /// if there is no agreement.
    pub async fn agree(&self, waited: Duration, restarts: u64) -> Option<Duration> {
        let page = rows::read_all(&self.store, clock_range(true)).await.ok()?;
        // If the clock has restarted meanwhile, the proposals at hand may be those of a few VMs.
        let store_ms = self.store_ms(self.shared.now()).filter(|_| self.restarts() == restarts)?;
        let agreed = page.iter().find(|row| is_agreed(row));
        let version = agreed.map_or(0, |row| row.version);
        let present: Option<Agreement> = agreed.and_then(|row| decode(row.value.as_deref()?).ok());
        let proposals: Vec<(&str, Proposal)> = page
            .iter()
            .filter(|row| !is_agreed(row))
            .filter_map(|row| Some((row.key.as_str(), decode(row.value.as_deref()?).ok()?)))
            .collect();
        let values: Vec<Proposal> = proposals.iter().map(|(_, proposal)| *proposal).collect();
        let known = self.peers.len() + 1;
        let confirmed = present.and_then(|it| it.confirm(&values, known, store_ms));
        let agreement = confirmed.or_else(|| Agreement::reach(&values, known, waited, store_ms))?;
        let is_outdated = |proposal: &Proposal| {
            store_ms - i64::try_from(proposal.at_ms).unwrap_or(i64::MAX) > DELETE_AFTER_MS
        };
        let outdated = proposals.iter().filter(|(_, proposal)| is_outdated(proposal));
        let deletes = outdated
            .take(MAX_DELETES)
            .map(|(key, _)| Key { key: (*key).to_owned(), ..agreed_key() });
        let transaction = Transaction {
            checks: vec![(agreed_key(), version)],
            writes: vec![(agreed_key(), encode(&agreement))],
            deletes: deletes.collect(),
        };
        let stored = self.store.transact(transaction).await.is_ok();
        let is_change = present.map(|it| it.offset_ms) != Some(agreement.offset_ms);
        if is_change || !stored {
            Line::new("usage_clock_agreed")
                .with("offset_ms", agreement.offset_ms)
                .with("previous_ms", present.map_or(0, |it| it.offset_ms))
                .with("proposals", values.len())
                .with("vms", known)
                .with("waited_ms", waited.as_millis())
                .with("stored", stored)
                .info();
        }
        stored.then(|| {
            self.set(Some(agreement));
            if agreement.is_young(store_ms) { YOUNG_INTERVAL } else { CONFIRM_INTERVAL }
        })
    }
}

/// Time of day in milliseconds since the start of 1970, as the VM's own clock shows it.
fn wall_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    i64::try_from(since.as_millis()).unwrap_or(i64::MAX)
}
