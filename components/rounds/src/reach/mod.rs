//! Ways from a gateway to the holder of a trainer's lease.

use std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use filbertsail_api::table::Query;
use filbertsail_platform::table::Table;
use filbertsail_wire::{
    Frame,
    frame::{Fetch, Hello, Notice},
    link::{auth::Key, client::Client},
};
use tokio::{sync::Mutex, time};

use crate::row;

/// Time allowed beyond the wait that a fetch states.
const FETCH_GRACE: Duration = Duration::from_secs(10);
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Reaches the holder of a trainer's lease.
pub trait Holder: Clone + Send + Sync + 'static {
    /// Asks the holder for a batch; `None` if it cannot be reached.
    fn fetch(&self, fetch: Fetch) -> impl Future<Output = Option<Frame>> + Send;

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
    links: HashMap<SocketAddr, Client>,
}

impl<T: Table, D: Directory> Peers<T, D> {
    /// Way to holders that calls as `hello`.
    #[must_use]
    pub fn new(table: T, directory: D, key: Key, hello: Hello) -> Self {
        Self { table, directory, key, hello, state: Arc::default() }
    }

    async fn link(&self, trainer: &str) -> Option<Client> {
        let query = Query { keys: vec![row::lease_key(trainer)] };
        let rows = self.table.read(query).await;
        let mut state = self.state.lock().await;
        if let Ok(rows) = rows {
            let holder = rows.first().and_then(row::parse::<row::Lease>)?.holder?;
            state.holders.insert(trainer.to_owned(), holder);
        }
        let address = self.directory.address(state.holders.get(trainer)?)?;
        if let Some(link) = state.links.get(&address) {
            return Some(link.clone());
        }
        let link = Client::new(address, &self.key, &self.hello).ok()?;
        state.links.insert(address, link.clone());
        Some(link)
    }
}

impl<T: Table, D: Directory> Holder for Peers<T, D> {
    async fn fetch(&self, fetch: Fetch) -> Option<Frame> {
        let link = self.link(&fetch.trainer).await?;
        let limit = Duration::from_millis(fetch.wait_ms) + FETCH_GRACE;
        time::timeout(limit, link.ask(&fetch.into())).await.ok()?.ok()
    }

    async fn notify(&self, notice: Notice) {
        let Some(link) = self.link(&notice.trainer).await else { return };
        // The holder also polls the rounds, so a lost notice costs only time.
        let _ = time::timeout(NOTICE_TIMEOUT, link.ask(&notice.into())).await;
    }
}
