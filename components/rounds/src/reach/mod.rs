//! Ways from a gateway to the holder of a trainer's lease.

use std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use filbertsail_api::table::Query;
use filbertsail_ports::table::Table;
use filbertsail_wire::{
    Frame,
    frame::{Done, Fetch, Hello, Notice, Offer},
    link::{auth::Key, client::Client},
};
use tokio::{
    sync::Mutex,
    time::{self, Instant},
};

use crate::row;

/// Time allowed beyond the wait that a fetch states.
const FETCH_GRACE: Duration = Duration::from_secs(10);
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a holder read before is used without asking a table that did not answer.
const HOLDER_REUSE: Duration = Duration::from_secs(2);

/// Reaches the holder of a trainer's lease.
pub trait Holder: Clone + Send + Sync + 'static {
    /// Asks the holder for a batch; `None` if it cannot be reached.
    fn fetch(&self, fetch: Fetch) -> impl Future<Output = Option<Frame>> + Send;

    /// Hands the holder a round that the table service could not take; whether the holder took it.
    fn offer(&self, offer: Offer) -> impl Future<Output = bool> + Send;

    /// Tells the holder that a round changed. A lost notice is made up for by the holder's polls.
    fn notify(&self, notice: Notice) -> impl Future<Output = ()> + Send;
}

/// Finds the peer port of a daemon by name.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Peer port of the live daemon `name`.
    fn address(&self, name: &str) -> Option<SocketAddr>;
}

/// Reaches the holder named in the lease row over the peer link.
///
/// The last holder read is kept, so that deliveries go on while the table does not answer.
#[derive(Clone)]
pub struct Peers<T, D> {
    table: T,
    directory: D,
    key: Key,
    hello: Hello,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    holders: HashMap<String, String>,
    /// Last read that the table did not answer.
    failed_at: Option<Instant>,
    links: HashMap<SocketAddr, Client>,
}

impl<T: Table, D: Directory> Peers<T, D> {
    /// Way to holders that calls as `hello`.
    #[must_use]
    pub fn new(table: T, directory: D, key: Key, hello: Hello) -> Self {
        Self { table, directory, key, hello, state: Arc::default() }
    }

    async fn link(&self, trainer: &str) -> Option<Client> {
        let failed_at = self.state.lock().await.failed_at;
        if failed_at.is_none_or(|failed_at| failed_at.elapsed() >= HOLDER_REUSE) {
            self.read_holder(trainer).await?;
        }
        let mut state = self.state.lock().await;
        let address = self.directory.address(state.holders.get(trainer)?)?;
        if let Some(link) = state.links.get(&address) {
            return Some(link.clone());
        }
        let link = Client::new(address, &self.key, &self.hello).ok()?;
        state.links.insert(address, link.clone());
        Some(link)
    }
}

impl<T: Table, D: Directory> Peers<T, D> {
    /// Reads who holds the lease; `None` if the table says that nobody does.
    async fn read_holder(&self, trainer: &str) -> Option<()> {
        let query = Query { keys: vec![row::lease_key(trainer)] };
        let rows = self.table.read(query).await;
        let mut state = self.state.lock().await;
        state.failed_at = rows.is_err().then(Instant::now);
        if let Ok(rows) = rows {
            let holder = rows.first().and_then(row::parse::<row::Lease>)?.holder?;
            state.holders.insert(trainer.to_owned(), holder);
        }
        Some(())
    }
}

impl<T: Table, D: Directory> Holder for Peers<T, D> {
    async fn fetch(&self, fetch: Fetch) -> Option<Frame> {
        let link = self.link(&fetch.trainer).await?;
        let limit = Duration::from_millis(fetch.wait_ms) + FETCH_GRACE;
        time::timeout(limit, link.ask(&fetch.into())).await.ok()?.ok()
    }

    async fn offer(&self, offer: Offer) -> bool {
        let Some(link) = self.link(&offer.trainer).await else { return false };
        let answer = time::timeout(NOTICE_TIMEOUT, link.ask(&offer.into())).await;
        matches!(answer, Ok(Ok(Frame::Done(Done))))
    }

    async fn notify(&self, notice: Notice) {
        let Some(link) = self.link(&notice.trainer).await else { return };
        // The holder also polls the rounds, so a lost notice costs only time.
        let _ = time::timeout(NOTICE_TIMEOUT, link.ask(&notice.into())).await;
    }
}
