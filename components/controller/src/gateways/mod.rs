//! Calls to gateways. All requests for backend servers go through a gateway.

use std::{collections::HashMap, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use derive_more::{Display, Error, From};
use filbertsail_errors::Verdict;
use filbertsail_wire::{
    Frame,
    frame::{Fault, Hello},
    link::{
        self,
        auth::Key,
        client::{Client, Replies},
    },
};
use rand::seq::IndexedRandom;
use tokio::{
    sync::{Mutex, watch},
    time,
};

/// Gateway that accepts new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Address of the peer port.
    pub address: SocketAddr,
    pub zone: String,
}

/// Failure of a call to a gateway.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No gateway is known.
    #[display("no gateway is known")]
    #[from(skip)]
    NoGateway,
    /// The connection to the gateway failed.
    Link(link::Error),
    /// The gateway refused the call.
    #[display("gateway refused the call: {}: {}", _0.code, _0.message)]
    Refused(#[error(not(source))] Fault),
    /// The gateway did not answer in time.
    #[display("gateway did not answer in time")]
    #[from(skip)]
    TimedOut,
}

impl Error {
    /// Whether the request may have run.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NoGateway => Verdict::NotRun,
            Self::Link(error) => error.verdict(),
            Self::Refused(fault) => fault.verdict,
            Self::TimedOut => Verdict::MayHaveRun,
        }
    }
}

/// Client of the gateways.
pub trait Gateways: Clone + Send + Sync + 'static {
    /// Chooses a gateway for a new call; `None` if none is known.
    fn choose(&self) -> Option<SocketAddr>;

    /// Sends a request to `gateway` and returns the stream of its replies.
    ///
    /// # Errors
    /// Fails if `gateway` is `None` or the connection fails.
    fn call(
        &self,
        gateway: Option<SocketAddr>,
        request: Frame,
    ) -> impl Future<Output = Result<Replies, Error>> + Send;

    /// Sends a request to a chosen gateway and returns its single reply.
    ///
    /// # Errors
    /// Fails if no gateway is known, the connection fails, the gateway refuses the request or does
    /// not answer within `timeout`.
    fn call_unary(
        &self,
        request: Frame,
        timeout: Duration,
    ) -> impl Future<Output = Result<Frame, Error>> + Send {
        async move {
            let reply = async {
                let reply = self.call(self.choose(), request).await?.next().await?;
                reply.ok_or(Error::Link(link::Error::Unexpected))
            };
            match time::timeout(timeout, reply).await {
                Ok(Ok(Frame::Fault(fault))) => Err(Error::Refused(fault)),
                Ok(result) => result,
                Err(_) => Err(Error::TimedOut),
            }
        }
    }
}

/// Connections to the gateways in the membership. Gateways of the own zone are preferred.
#[derive(Clone)]
pub struct Links {
    known: watch::Receiver<Arc<[Gateway]>>,
    key: Key,
    hello: Hello,
    links: Arc<Mutex<HashMap<SocketAddr, Client>>>,
}

impl Links {
    /// Connections that identify this controller by `hello`.
    #[must_use]
    pub fn new(known: watch::Receiver<Arc<[Gateway]>>, key: Key, hello: Hello) -> Self {
        Self { known, key, hello, links: Arc::default() }
    }

    async fn link(&self, address: SocketAddr) -> Result<Client, Error> {
        let mut links = self.links.lock().await;
        if let Some(client) = links.get(&address) {
            return Ok(client.clone());
        }
        let known = self.known.borrow().clone();
        links.retain(|address, _| known.iter().any(|gateway| gateway.address == *address));
        let client = Client::new(address, &self.key, &self.hello)?;
        links.insert(address, client.clone());
        Ok(client)
    }
}

impl Gateways for Links {
    fn choose(&self) -> Option<SocketAddr> {
        let known = self.known.borrow();
        let same_zone: Vec<&Gateway> =
            known.iter().filter(|gateway| gateway.zone == self.hello.zone).collect();
        let mut rng = rand::rng();
        let same_zone = same_zone.choose(&mut rng).copied();
        same_zone.or_else(|| known.choose(&mut rng)).map(|gateway| gateway.address)
    }

    async fn call(&self, gateway: Option<SocketAddr>, request: Frame) -> Result<Replies, Error> {
        let client = self.link(gateway.ok_or(Error::NoGateway)?).await?;
        Ok(client.call(&request).await?)
    }
}
