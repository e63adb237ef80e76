//! Store calls through another VM.
//!
//! Single VMs may lose the connection to the store, or be refused by it, while it serves the
//! others. Such a VM makes its calls through a peer, so that its batches and its lease continue. A
//! peer executes relayed calls itself and never forwards them. Direct calls resume as soon as the
//! store answers a probe.

mod budget;
mod call;
mod peers;

use std::{future::Future, pin::pin, sync::Arc, time::Duration};

use filbertsail_clock::{Boot, Instant, Source, running};
use filbertsail_ports::store::{Commit, Fault, Page, Range, Store, Transaction};
use filbertsail_telemetry::event::Line;
use tokio::{sync::watch, time::sleep};

pub use budget::Budget;
pub use call::{Answer, Call, Tables};
pub use peers::{PEERS_TABLE, Peers, ranks_within, run};

/// Time without an answer to a direct call after which further calls go through a peer. A slow
/// store answers within a few hundred milliseconds.
const FAILOVER_DELAY: Duration = Duration::from_millis(450);
/// Time between two probes of the store while calls go through peers.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a relayed call, in addition to the wait of the call itself.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Store that is called directly or through a peer, cheap to clone.
#[derive(Clone, Debug)]
pub struct Relay<S> {
    direct: S,
    peers: Peers,
    tables: Tables,
    /// When direct calls began to fail; absent while calls are direct.
    unreachable_since: Arc<watch::Sender<Option<Instant>>>,
}

impl<S: Store> Relay<S> {
    /// Calls the store `direct`, with `peers` as fallback. Relayed calls may only access `tables`.
    #[must_use]
    pub fn new(direct: S, peers: Peers, tables: Tables) -> Self {
        Self { direct, peers, tables, unreachable_since: Arc::new(watch::channel(None).0) }
    }

    /// Makes a call directly, or through a peer while direct calls fail.
    async fn call<T, F: Future<Output = Result<T, Fault>> + Send>(
        &self,
        direct: impl Fn() -> F + Send,
        call: Call,
        wait: Duration,
        decode: impl Fn(Answer) -> Result<T, Fault>,
    ) -> Result<T, Fault> {
        let is_transaction = matches!(call, Call::Transact { .. });
        if self.unreachable_since.borrow().is_none() {
            let result = self.await_direct(direct(), wait).await;
            let fault = match result {
                Ok(value) => return Ok(value),
                Err(fault @ (Fault::Conflict(_) | Fault::Expired)) => return Err(fault),
                Err(fault) => fault,
            };
            self.fail_over();
            // The caller must find out the outcome of a transaction before it is repeated.
            if is_transaction && matches!(fault, Fault::Unknown(_)) {
                return Err(fault);
            }
            return match self.relay(&call, wait).await {
                Some(answer) => decode(answer),
                // The store answers again, so that the fault is out of date.
                None if self.unreachable_since.borrow().is_none() && !self.peers.is_empty() => {
                    direct().await
                }
                None => Err(fault),
            };
        }
        match self.relay(&call, wait).await {
            Some(answer) => decode(answer),
            None => direct().await,
        }
    }

    /// Awaits a direct call. Other calls fail over if it is slow, even before it times out.
    async fn await_direct<T>(
        &self,
        direct: impl Future<Output = Result<T, Fault>> + Send,
        wait: Duration,
    ) -> Result<T, Fault> {
        let mut direct = pin!(direct);
        match running::timeout(wait + FAILOVER_DELAY, direct.as_mut()).await {
            Ok(result) => result,
            Err(_) => {
                self.fail_over();
                direct.await
            }
        }
    }

    /// Makes a call through a peer; nothing if no peer answers. A peer that the store refuses is
    /// not tried again for a while, and failed attempts are limited, so that an outage does not
    /// multiply the calls to the store and the connections between VMs.
    async fn relay(&self, call: &Call, wait: Duration) -> Option<Answer> {
        let limit = wait + RELAY_TIMEOUT;
        let is_transaction = matches!(call, Call::Transact { .. });
        let mut refusal = None;
        let mut unreachable_since = self.unreachable_since.subscribe();
        for peer in self.peers.candidates(Boot.now()) {
            // Without an attempt left, the call is made directly: the store may serve some of them.
            if !self.peers.may_try(Boot.now()) {
                return refusal;
            }
            let exchange = tokio::select! {
                exchange = peer.call(call, limit) => exchange,
                // The store answers again, which a peer that is cut off would hold up.
                Ok(_) = unreachable_since.wait_for(Option::is_none) => {
                    let reason = "the store answers directly again".to_owned();
                    return is_transaction.then_some(Answer::Unknown(reason));
                }
            };
            match exchange {
                // The call had no effect: the store refuses this peer too, or refuses all VMs.
                Ok(Answer::Unavailable(reason)) => {
                    self.peers.record_failure(&peer, &reason, true, Boot.now());
                    refusal = Some(Answer::Unavailable(reason));
                    continue;
                }
                Ok(answer) => {
                    self.peers.record_success(&peer);
                    return Some(answer);
                }
                Err(error) => {
                    self.peers.record_failure(&peer, &error.to_string(), false, Boot.now());
                }
            }
            // A transaction that may have been committed is not sent through another peer.
            if is_transaction {
                return Some(Answer::Unknown("relayed transaction got no answer".to_owned()));
            }
        }
        refusal
    }

    /// Switches to calls through peers until the store answers a probe.
    fn fail_over(&self) {
        if self.peers.is_empty() {
            return;
        }
        let now = Boot.now();
        let is_new = self.unreachable_since.send_if_modified(|unreachable_since| {
            let is_new = unreachable_since.is_none();
            unreachable_since.get_or_insert(now);
            is_new
        });
        if !is_new {
            return;
        }
        Line::new("store_relayed").with("peers", self.peers.len()).info();
        let relay = self.clone();
        tokio::spawn(async move {
            loop {
                sleep(PROBE_INTERVAL).await;
                if relay.direct.range(peers::probe()).await.is_ok() {
                    break;
                }
            }
            let since = relay.unreachable_since.send_replace(None);
            let lasted = since.map_or(0, |since| Boot.now().since(since).as_millis());
            Line::new("store_direct").with("relayed_ms", lasted).info();
        });
    }
}

impl<S: Store> Store for Relay<S> {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Fault> {
        let call = self.tables.transact(&transaction);
        let direct = || self.direct.transact(transaction.clone());
        self.call(direct, call, Duration::ZERO, Answer::commit).await
    }

    async fn range(&self, range: Range) -> Result<Page, Fault> {
        let call = self.tables.range(&range);
        let direct = || self.direct.range(range.clone());
        self.call(direct, call, Duration::ZERO, Answer::page).await
    }

    async fn changes(
        &self,
        table: &'static str,
        version: u64,
        wait: Duration,
    ) -> Result<Page, Fault> {
        let call = self.tables.changes(table, version, wait);
        let direct = || self.direct.changes(table, version, wait);
        self.call(direct, call, wait, Answer::page).await
    }
}
