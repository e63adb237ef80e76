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
use tokio::time::timeout;

/// Links by address, shared by clones.
#[derive(Clone)]
pub(crate) struct Pool {
    key: Key,
    hello: Arc<Hello>,
    clients: Arc<Mutex<HashMap<SocketAddr, Client>>>,
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
        if let Some(client) = clients.get(&address) {
            return Some(client.clone());
        }
        let client = Client::new(address, &self.key, &self.hello).ok()?;
        clients.insert(address, client.clone());
        Some(client)
    }
}
