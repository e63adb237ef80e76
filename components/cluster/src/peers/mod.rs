//! Pool of connections to other daemons, opened on demand.

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

/// Time after which an unused link is closed. A daemon probes only a few others regularly and calls
/// all of them only after a configuration change.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Links by peer address, shared by clones.
#[derive(Clone)]
pub(crate) struct Pool {
    key: Key,
    hello: Arc<Hello>,
    links: Arc<Mutex<HashMap<SocketAddr, Link>>>,
}

struct Link {
    client: Client,
    last_used_at: Instant,
}

impl Pool {
    pub(crate) fn new(key: Key, hello: Hello) -> Self {
        Self { key, hello: Arc::new(hello), links: Arc::default() }
    }

    /// Sends `request` to the daemon at `address`; `None` on a failure or after `time_limit`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: Frame,
        time_limit: Duration,
    ) -> Option<Frame> {
        let client = self.client(address)?;
        let reply = timeout(time_limit, client.call_unary(&request)).await;
        if let Ok(Ok(reply)) = reply {
            return Some(reply);
        }
        self.links.lock().unwrap_or_else(PoisonError::into_inner).remove(&address);
        None
    }

    fn client(&self, address: SocketAddr) -> Option<Client> {
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if let Some(link) = links.get_mut(&address) {
            link.last_used_at = now;
            return Some(link.client.clone());
        }
        links.retain(|_, link| now - link.last_used_at < IDLE_TIMEOUT);
        let client = Client::new(address, &self.key, &self.hello).ok()?;
        links.insert(address, Link { client: client.clone(), last_used_at: now });
        Some(client)
    }
}
