//! Simulates the load balancer of the platform: round robin over the gateways that are ready.

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

/// Interval between health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Gateway behind the load balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gateway {
    /// Daemon name.
    pub name: String,
    /// Address of the callers' port.
    pub callers: SocketAddr,
    /// Address of the admin port.
    pub admin: SocketAddr,
}

#[derive(Debug, Default)]
struct Inner {
    gateways: RwLock<Vec<(Gateway, bool)>>,
    next_index: AtomicUsize,
    client: Client,
}

/// Load balancer, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Balancer(Arc<Inner>);

impl Balancer {
    /// Adds or replaces a gateway, which receives requests once it is ready.
    pub fn add(&self, gateway: Gateway) {
        let mut gateways = self.0.gateways.write().unwrap_or_else(PoisonError::into_inner);
        gateways.retain(|(other, _)| other.name != gateway.name);
        gateways.push((gateway, false));
    }

    pub fn remove(&self, name: &str) {
        let mut gateways = self.0.gateways.write().unwrap_or_else(PoisonError::into_inner);
        gateways.retain(|(gateway, _)| gateway.name != name);
    }

    /// All gateways and whether they are ready.
    #[must_use]
    pub fn gateways(&self) -> Vec<(Gateway, bool)> {
        self.0.gateways.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Next ready gateway in round robin order; `None` if none is ready.
    #[must_use]
    pub fn pick(&self) -> Option<Gateway> {
        let gateways = self.0.gateways.read().unwrap_or_else(PoisonError::into_inner);
        let ready: Vec<_> = gateways.iter().filter(|(_, ready)| *ready).collect();
        let next_index = self.0.next_index.fetch_add(1, Ordering::Relaxed);
        ready.get(next_index % ready.len().max(1)).map(|(gateway, _)| gateway.clone())
    }

    /// Excludes a gateway that refused a connection until its next successful health check.
    pub fn mark_unready(&self, name: &str) {
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
            let checks = self.gateways().into_iter().map(|(gateway, _)| self.check_health(gateway));
            futures_util::future::join_all(checks).await;
            tokio::select! {
                () = stop.cancelled() => return,
                () = sleep(HEALTH_CHECK_INTERVAL) => {}
            }
        }
    }

    async fn check_health(&self, gateway: Gateway) {
        let uri = format!("http://{}/readyz", gateway.admin);
        let Ok(request) = Request::get(uri).body(Body::empty()) else { return };
        let response = self.0.client.send(request, HEALTH_CHECK_TIMEOUT).await;
        let is_ready = response.is_ok_and(|response| response.status() == StatusCode::OK);
        self.set_ready(&gateway.name, is_ready);
    }
}
