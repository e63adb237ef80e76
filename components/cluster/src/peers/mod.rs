//! Links to other daemons, opened on demand.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use filbertsail_collections::HashMap;
use filbertsail_wire::{
    Frame,
    frame::Hello,
    link::{auth::Key, client::Client},
};
use tokio::time::{Instant, timeout};

/// Time after which an unused link is closed: a daemon probes few others regularly, and asks all of
/// them only after a change of the configuration.
const IDLE: Duration = Duration::from_secs(120);

/// Links by address, shared by clones.
#[derive(Clone)]
pub(crate) struct Pool {
    key: Key,
    hello: Arc<Hello>,
    clients: Arc<Mutex<HashMap<SocketAddr, Link>>>,
}

struct Link {
    client: Client,
    used: Instant,
}

impl Pool {
    pub(crate) fn new(key: Key, hello: Hello) -> Self {
        Self { key, hello: Arc::new(hello), clients: Arc::default() }
    }

    /// Reply of the daemon at `address`, if it answers in time.
    pub(crate) async fn ask(
        &self,
        address: SocketAddr,
        request: Frame,
        limit: Duration,
    ) -> Option<Frame> {
        let client = self.client(address)?;
        let reply = timeout(limit, client.ask(&request)).await;
        if let Ok(Ok(reply)) = reply {
            return Some(reply);
        }
        self.clients.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
        None
    }

    fn client(&self, address: SocketAddr) -> Option<Client> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some(link) = clients.get_mut(&address) {
            link.used = now;
            return Some(link.client.clone());
        }
        clients.retain(|_, link| now - link.used < IDLE);
        let client = Client::new(address, &self.key, &self.hello).ok()?;
        clients.insert(address, Link { client: client.clone(), used: now });
        Some(client)
    }
}
