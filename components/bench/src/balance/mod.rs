//! The platform's load balancer: sends each request to a gateway that says it is ready.

use std::{
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use filbertsail_http::{Body, client::Client};
use http::{Request, StatusCode};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Time between health checks.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time limit of a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Gateway behind the load balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Daemon name.
    pub name: String,
    /// Callers' port.
    pub callers: SocketAddr,
    /// Admin port.
    pub admin: SocketAddr,
}

#[derive(Debug, Default)]
struct Inner {
    gateways: RwLock<Vec<(Gateway, bool)>>,
    turn: AtomicUsize,
    client: Client,
}

/// Load balancer, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<Inner>);

impl Balancer {
    /// Adds a gateway, which gets requests once it is ready.
    pub fn add(&self, gateway: Gateway) {
        let mut gateways = self.0.gateways.write().unwrap_or_else(PoisonError::into_inner);
        gateways.retain(|(other, _)| other.name != gateway.name);
        gateways.push((gateway, false));
    }

    /// Removes a gateway.
    pub fn remove(&self, name: &str) {
        let mut gateways = self.0.gateways.write().unwrap_or_else(PoisonError::into_inner);
        gateways.retain(|(gateway, _)| gateway.name != name);
    }

    /// All gateways and whether they are ready.
    #[must_use]
    pub fn gateways(&self) -> Vec<(Gateway, bool)> {
        self.0.gateways.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Next ready gateway in turn.
    #[must_use]
    pub fn pick(&self) -> Option<Gateway> {
        let gateways = self.0.gateways.read().unwrap_or_else(PoisonError::into_inner);
        let ready: Vec<_> = gateways.iter().filter(|(_, ready)| *ready).collect();
        let turn = self.0.turn.fetch_add(1, Ordering::Relaxed);
        ready.get(turn % ready.len().max(1)).map(|(gateway, _)| gateway.clone())
    }

    /// Takes a gateway that refuses connections out until its next health check.
    pub fn suspect(&self, name: &str) {
        self.set_ready(name, false);
    }

    fn set_ready(&self, name: &str, is_ready: bool) {
        let mut gateways = self.0.gateways.write().unwrap_or_else(PoisonError::into_inner);
        gateways
            .iter_mut()
            .filter(|(gateway, _)| gateway.name == name)
            .for_each(|(_, ready)| *ready = is_ready);
    }

    /// Checks the health of all gateways until `stop`.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            let checks = self.gateways().into_iter().map(|(gateway, _)| self.check(gateway));
            futures_util::future::join_all(checks).await;
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(CHECK_PERIOD) => {}
            }
        }
    }

    async fn check(&self, gateway: Gateway) {
        let uri = format!("http://{}/readyz", gateway.admin);
        let Ok(request) = Request::get(uri).body(Body::empty()) else { return };
        let answer = self.0.client.send(request, CHECK_TIMEOUT).await;
        let is_ready = answer.is_ok_and(|answer| answer.status() == StatusCode::OK);
        self.set_ready(&gateway.name, is_ready);
    }
}
