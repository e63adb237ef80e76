//! Way to the gateways, through which all work for backend servers leaves.

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

/// Gateway that answers on its peer port.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Peer port.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
}

/// Why a call gave no answer.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No gateway is known.
    #[display("no gateway is known")]
    #[from(skip)]
    NoGateway,
    /// The link failed.
    Link(link::Error),
    /// The gateway refused the call.
    #[display("gateway refused: {}: {}", _0.code, _0.message)]
    Refused(#[error(not(source))] Fault),
    /// No answer came in time.
    #[display("timed out")]
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

/// Calls gateways.
pub trait Gateways: Clone + Send + Sync + 'static {
    /// Gateway for a new call, if any is known.
    fn choose(&self) -> Option<SocketAddr>;

    /// Sends a request to `gateway` and returns its replies.
    fn call(
        &self,
        gateway: Option<SocketAddr>,
        request: Frame,
    ) -> impl Future<Output = Result<Replies, Error>> + Send;

    /// Sends a request to a gateway and returns its only reply.
    fn ask(
        &self,
        request: Frame,
        limit: Duration,
    ) -> impl Future<Output = Result<Frame, Error>> + Send {
        async move {
            let reply = async {
                let reply = self.call(self.choose(), request).await?.next().await?;
                reply.ok_or(Error::Link(link::Error::Unexpected))
            };
            match time::timeout(limit, reply).await {
                Ok(Ok(Frame::Fault(fault))) => Err(Error::Refused(fault)),
                Ok(result) => result,
                Err(_) => Err(Error::TimedOut),
            }
        }
    }
}

/// Links to the gateways that the membership names, those of the own zone first.
#[derive(Clone)]
pub struct Links {
    known: watch::Receiver<Arc<[Gateway]>>,
    key: Key,
    hello: Hello,
    links: Arc<Mutex<HashMap<SocketAddr, Client>>>,
}

impl Links {
    /// Links that call as `hello`.
    #[must_use]
    pub fn new(known: watch::Receiver<Arc<[Gateway]>>, key: Key, hello: Hello) -> Self {
        Self { known, key, hello, links: Arc::default() }
    }

    async fn link(&self, address: SocketAddr) -> Result<Client, Error> {
        let mut links = self.links.lock().await;
        if let Some(link) = links.get(&address) {
            return Ok(link.clone());
        }
        let known = self.known.borrow().clone();
        links.retain(|address, _| known.iter().any(|gateway| gateway.address == *address));
        let link = Client::new(address, &self.key, &self.hello)?;
        links.insert(address, link.clone());
        Ok(link)
    }
}

impl Gateways for Links {
    fn choose(&self) -> Option<SocketAddr> {
        let known = self.known.borrow();
        let near: Vec<&Gateway> =
            known.iter().filter(|gateway| gateway.zone == self.hello.zone).collect();
        let mut rng = rand::rng();
        let near = near.choose(&mut rng).copied();
        near.or_else(|| known.choose(&mut rng)).map(|gateway| gateway.address)
    }

    async fn call(&self, gateway: Option<SocketAddr>, request: Frame) -> Result<Replies, Error> {
        let link = self.link(gateway.ok_or(Error::NoGateway)?).await?;
        Ok(link.call(&request).await?)
    }
}
