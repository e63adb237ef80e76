//! Operators: apply configuration versions and watch which are in force.

use std::time::Duration;

use filbertsail_api::admin::{Applied, Apply, Head, Status};
use filbertsail_clock::{Boot, Source};
use filbertsail_config::inventory::Inventory;
use filbertsail_http::{Body, client::Client};
use http::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::{
    balance::{Balancer, Gateway},
    breaks::Break,
    journal::{Accepted, InForce, Journal},
    world::OPERATOR_TOKEN,
};

/// Time limit of a call.
const TIMEOUT: Duration = Duration::from_secs(15);
/// Time between observations of the versions in force.
const WATCH_PERIOD: Duration = Duration::from_millis(250);

/// Operator, cheap to clone.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Way to the gateways.
    pub balancer: Balancer,
    /// Journal.
    pub journal: Journal,
    /// Broken part.
    pub broken: Option<Break>,
    /// All workers; those that a version leaves out must get no work under it.
    pub workers: Vec<String>,
    /// Client.
    pub client: Client,
}

impl Operator {
    async fn call<T: DeserializeOwned>(
        &self,
        gateway: &Gateway,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> eyre::Result<(StatusCode, Result<T, String>)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", gateway.admin))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {OPERATOR_TOKEN}"))
            .body(Body::full(body))?;
        let response = self.client.send(request, TIMEOUT).await?;
        let text = || String::from_utf8_lossy(response.body()).into_owned();
        Ok((response.status(), serde_json::from_slice(response.body()).map_err(|_| text())))
    }

    /// Version in force at a gateway.
    ///
    /// # Errors
    /// Fails if the gateway gives none.
    pub async fn head(&self, gateway: &Gateway) -> eyre::Result<Head> {
        let (status, head) =
            self.call(gateway, Method::GET, "/admin/v1/config", Vec::new()).await?;
        head.map_err(|text| eyre::eyre!("{}: no head, status {status}: {text}", gateway.name))
    }

    /// Applies an inventory through a gateway on top of `expect`; the accepted version, or `None`
    /// on a conflict.
    ///
    /// # Errors
    /// Fails if the gateway refuses for another reason or gives no answer.
    pub async fn apply(
        &self,
        gateway: &Gateway,
        inventory: &Inventory,
        expect: Option<u64>,
        author: &str,
    ) -> eyre::Result<Option<u64>> {
        let apply = Apply {
            author: author.to_owned(),
            expect_version: expect,
            text: toml::to_string(inventory)?,
            wait_ms: Some(0),
        };
        let body = serde_json::to_vec(&apply)?;
        let (status, applied) =
            self.call::<Applied>(gateway, Method::PUT, "/admin/v1/config", body).await?;
        match (status, applied) {
            (StatusCode::CONFLICT, _) => Ok(None),
            (status, Ok(applied)) if status.is_success() => {
                self.note(&applied, inventory);
                Ok(Some(applied.version))
            }
            (status, answer) => {
                let text = answer.err().unwrap_or_default();
                Err(eyre::eyre!("{} refused to apply: {status} {text}", gateway.name))
            }
        }
    }

    fn note(&self, applied: &Applied, inventory: &Inventory) {
        let named = |name: &String| inventory.workers.iter().any(|worker| worker.name == *name);
        let without = self.workers.iter().filter(|name| !named(name)).cloned().collect();
        let accepted = Accepted { version: applied.version, at: Boot.now(), without };
        self.journal.write().accepted.push(accepted);
    }

    /// Observes the versions in force at all ready gateways until `stop`.
    pub async fn watch(self, stop: CancellationToken) {
        tokio::select! {
            () = stop.cancelled() => {}
            () = self.observe_all() => {}
        }
    }

    async fn observe_all(&self) {
        let mut observations = 0_u64;
        loop {
            for (gateway, ready) in self.balancer.gateways() {
                if ready {
                    observations += 1;
                    self.observe(&gateway, observations).await;
                }
            }
            sleep(WATCH_PERIOD).await;
        }
    }

    async fn observe(&self, gateway: &Gateway, observations: u64) {
        let at = Boot.now();
        let status =
            self.call::<Status>(gateway, Method::GET, "/admin/v1/status", Vec::new()).await;
        let Ok((_, Ok(status))) = status else { return };
        if !status.ready {
            return;
        }
        let incarnation = status
            .daemons
            .iter()
            .find(|daemon| daemon.name == status.gateway)
            .map_or(0, |daemon| daemon.incarnation);
        let daemon = format!("{}#{incarnation}", status.gateway);
        let revert = self.broken == Some(Break::ConfigRevert) && observations.is_multiple_of(10);
        let version = status.config_version.saturating_sub(u64::from(revert));
        self.journal.write().in_force.push(InForce { daemon, version, at });
    }
}
