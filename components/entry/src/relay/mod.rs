//! Store calls through another VM.
//!
//! The store may refuse single VMs, or they may lose the way to it, while the others are served.
//! Such a VM makes its calls through a peer, so that its batches and its lease go on. A peer makes
//! relayed calls itself and never relays them further. Calls go straight to the store again as soon
//! as it answers a probe.

mod call;
mod peers;

use std::{future::Future, pin::pin, sync::Arc, time::Duration};

use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_ports::store::{Commit, Fault, Page, Range, Store, Transaction};
use filbertsail_telemetry::event::Line;
use tokio::{
    sync::watch,
    time::{sleep, timeout},
};

pub use call::{Answer, Call, Tables};
pub use peers::{PEERS, Peers, is_among, run};

/// Time after which a call without an answer makes others try a peer. A slow store answers in a
/// few hundred milliseconds.
const SUSPECT_AFTER: Duration = Duration::from_millis(450);
/// Time between two probes of a store that is not reached directly.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for a relayed call beyond what the call itself may wait.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Store that is reached directly or through a peer, cheap to clone.
#[derive(Clone, Debug)]
pub struct Relay<S> {
    direct: S,
    peers: Peers,
    tables: Tables,
    /// When the store was found not to be reached directly; absent while it is.
    suspect: Arc<watch::Sender<Option<Instant>>>,
}

impl<S: Store> Relay<S> {
    /// Store `direct` with `peers` to fall back on. Relayed calls may name `tables` only.
    #[must_use]
    pub fn new(direct: S, peers: Peers, tables: Tables) -> Self {
        Self { direct, peers, tables, suspect: Arc::new(watch::channel(None).0) }
    }

    /// Makes a call directly, or through a peer while the store is not reached.
    async fn call<T>(
        &self,
        direct: impl Future<Output = Result<T, Fault>> + Send,
        call: Call,
        wait: Duration,
        convert: impl Fn(Answer) -> Result<T, Fault>,
    ) -> Result<T, Fault> {
        let is_change = matches!(call, Call::Transact { .. });
        if self.suspect.borrow().is_none() {
            let result = self.watch(direct, wait).await;
            let fault = match result {
                Ok(value) => return Ok(value),
                Err(fault @ (Fault::Conflict(_) | Fault::Expired)) => return Err(fault),
                Err(fault) => fault,
            };
            self.suspect();
            // A change of unknown outcome is judged by its caller before it is repeated.
            if is_change && matches!(fault, Fault::Unknown(_)) {
                return Err(fault);
            }
            let relayed = self.relay(&call, wait).await;
            return relayed.map_or(Err(fault), convert);
        }
        match self.relay(&call, wait).await {
            Some(answer) => convert(answer),
            None => direct.await,
        }
    }

    /// Waits for a direct call; a long silence is noted before the call itself gives up.
    async fn watch<T>(
        &self,
        direct: impl Future<Output = Result<T, Fault>> + Send,
        wait: Duration,
    ) -> Result<T, Fault> {
        let mut direct = pin!(direct);
        match timeout(wait + SUSPECT_AFTER, direct.as_mut()).await {
            Ok(result) => result,
            Err(_) => {
                self.suspect();
                direct.await
            }
        }
    }

    /// Answer through a peer; nothing if no peer answers. While the store refuses everyone, each
    /// peer is asked once in a while only, so that the calls to a store in trouble do not multiply.
    async fn relay(&self, call: &Call, wait: Duration) -> Option<Answer> {
        let limit = wait + RELAY_TIMEOUT;
        let mut refusal = None;
        for peer in self.peers.candidates(Boot.now()) {
            match timeout(limit, peer.ask(call)).await {
                // Nothing was done: the store refuses this peer too, or the call to everyone.
                Ok(Ok(Answer::Unavailable(reason))) => {
                    self.peers.failed(&peer, &reason, Boot.now());
                    refusal = Some(Answer::Unavailable(reason));
                    continue;
                }
                Ok(Ok(answer)) => return Some(answer),
                Ok(Err(error)) => self.peers.failed(&peer, &error.to_string(), Boot.now()),
                Err(_) => self.peers.failed(&peer, "no answer in time", Boot.now()),
            }
            // A change that a peer may have made is not sent through another one.
            if matches!(call, Call::Transact { .. }) {
                return Some(Answer::Unknown("relay broke off".to_owned()));
            }
        }
        refusal
    }

    /// Sends calls through peers until a probe is answered.
    fn suspect(&self) {
        if self.peers.is_empty() {
            return;
        }
        let now = Boot.now();
        let is_new = self.suspect.send_if_modified(|suspect| {
            let is_new = suspect.is_none();
            suspect.get_or_insert(now);
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
            let since = relay.suspect.send_replace(None);
            let lasted = since.map_or(0, |since| Boot.now().since(since).as_millis());
            Line::new("store_direct").with("relayed_ms", lasted).info();
        });
    }
}

impl<S: Store> Store for Relay<S> {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Fault> {
        let call = self.tables.transact(&transaction);
        let direct = self.direct.transact(transaction);
        self.call(direct, call, Duration::ZERO, Answer::commit).await
    }

    async fn range(&self, range: Range) -> Result<Page, Fault> {
        let call = self.tables.range(&range);
        self.call(self.direct.range(range), call, Duration::ZERO, Answer::page).await
    }

    async fn changes(
        &self,
        table: &'static str,
        version: u64,
        wait: Duration,
    ) -> Result<Page, Fault> {
        let call = self.tables.changes(table, version, wait);
        let direct = self.direct.changes(table, version, wait);
        self.call(direct, call, wait, Answer::page).await
    }
}
