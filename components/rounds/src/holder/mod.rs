//! Calls from a gateway to the holder of a trainer's lease.

use std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use filbertsail_api::table::Query;
use filbertsail_ports::table::Table;
use filbertsail_wire::{
    Frame,
    frame::{Done, Fetch, Hello, Notice, Offer},
    link::{auth::Key, client},
};
use tokio::{sync::Mutex, time::Instant};

use crate::row;

/// Time allowed for a fetch beyond the wait that it states.
const FETCH_GRACE: Duration = Duration::from_secs(10);
/// Timeout for offers and notices.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after a failed read of the table in which cached holders are used without a new read.
const HOLDER_CACHE_TIME: Duration = Duration::from_secs(2);

/// Calls the holder of a trainer's lease.
pub trait Holder: Clone + Send + Sync + 'static {
    /// Fetches a batch from the holder; `None` if the holder cannot be reached.
    fn fetch(&self, fetch: Fetch) -> impl Future<Output = Option<Frame>> + Send;

    /// Offers the holder a round that could not be written to the table. Returns whether the holder
    /// accepted it.
    fn offer(&self, offer: Offer) -> impl Future<Output = bool> + Send;

    /// Notifies the holder that a round changed. A lost notice is harmless: the holder also polls.
    fn notify(&self, notice: Notice) -> impl Future<Output = ()> + Send;
}

/// Resolves daemon names to peer addresses.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Peer address of the daemon `name`, if it is live.
    fn address(&self, name: &str) -> Option<SocketAddr>;
}

/// Calls the holder named in the lease row over a peer link.
///
/// The last holder read is cached, so that deliveries continue while the table is unavailable.
#[derive(Clone)]
pub struct Client<T, D> {
    table: T,
    directory: D,
    key: Key,
    hello: Hello,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    holders: HashMap<String, String>,
    /// Time of the last read of the table, if it failed.
    failed_at: Option<Instant>,
    links: HashMap<SocketAddr, client::Client>,
}

impl<T: Table, D: Directory> Client<T, D> {
    /// Client that identifies itself to holders with `hello`.
    #[must_use]
    pub fn new(table: T, directory: D, key: Key, hello: Hello) -> Self {
        Self { table, directory, key, hello, state: Arc::default() }
    }

    async fn link(&self, trainer: &str) -> Option<client::Client> {
        let failed_at = self.state.lock().await.failed_at;
        if failed_at.is_none_or(|failed_at| failed_at.elapsed() >= HOLDER_CACHE_TIME) {
            self.refresh_holder(trainer).await?;
        }
        let mut state = self.state.lock().await;
        let address = self.directory.address(state.holders.get(trainer)?)?;
        if let Some(link) = state.links.get(&address) {
            return Some(link.clone());
        }
        let link = client::Client::new(address, &self.key, &self.hello).ok()?;
        state.links.insert(address, link.clone());
        Some(link)
    }
}

impl<T: Table, D: Directory> Client<T, D> {
    /// Reads the current holder into the cache; `None` if the lease row names none. A failed read
    /// keeps the cached holder.
    async fn refresh_holder(&self, trainer: &str) -> Option<()> {
        let query = Query { keys: vec![row::lease_key(trainer)] };
        let rows = self.table.read(query).await;
        let mut state = self.state.lock().await;
        state.failed_at = rows.is_err().then(Instant::now);
        if let Ok(rows) = rows {
            let holder = rows.first().and_then(row::decode::<row::Lease>)?.holder?;
            state.holders.insert(trainer.to_owned(), holder);
        }
        Some(())
    }
}

impl<T: Table, D: Directory> Holder for Client<T, D> {
    async fn fetch(&self, fetch: Fetch) -> Option<Frame> {
        let link = self.link(&fetch.trainer).await?;
        let limit = Duration::from_millis(fetch.wait_ms) + FETCH_GRACE;
        link.call_unary_within(&fetch.into(), limit).await.ok()
    }

    async fn offer(&self, offer: Offer) -> bool {
        let Some(link) = self.link(&offer.trainer).await else { return false };
        let answer = link.call_unary_within(&offer.into(), NOTICE_TIMEOUT).await;
        matches!(answer, Ok(Frame::Done(Done)))
    }

    async fn notify(&self, notice: Notice) {
        let Some(link) = self.link(&notice.trainer).await else { return };
        // The holder also polls the rounds, so a lost notice only causes a delay.
        let _ = link.call_unary_within(&notice.into(), NOTICE_TIMEOUT).await;
    }
}
