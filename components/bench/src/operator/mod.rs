//! Operators: apply configuration versions and observe which are active.

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
    defect::Defect,
    journal::{Accepted, ActiveVersion, Journal},
    testbed::OPERATOR_TOKEN,
};

/// Timeout of an admin call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between observations of the active versions.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(250);

/// Admin client of an operator, cheap to clone.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Load balancer that lists the gateways.
    pub balancer: Balancer,
    /// Journal of the run.
    pub journal: Journal,
    /// Defect to inject.
    pub defect: Option<Defect>,
    /// All workers; those that an applied version omits are recorded with it.
    pub workers: Vec<String>,
    /// HTTP client.
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
        let response = self.client.send(request, CALL_TIMEOUT).await?;
        let text = || String::from_utf8_lossy(response.body()).into_owned();
        Ok((response.status(), serde_json::from_slice(response.body()).map_err(|_| text())))
    }

    /// Active configuration version of a gateway.
    ///
    /// # Errors
    /// Fails if the gateway returns none.
    pub async fn active_head(&self, gateway: &Gateway) -> eyre::Result<Head> {
        let (status, head) =
            self.call(gateway, Method::GET, "/admin/v1/config", Vec::new()).await?;
        head.map_err(|text| eyre::eyre!("{} returned no version: {status} {text}", gateway.name))
    }

    /// Applies an inventory through a gateway on top of version `expect`; returns the accepted
    /// version, or `None` on a conflict.
    ///
    /// # Errors
    /// Fails if the gateway rejects it for another reason or does not respond.
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
                self.record_accepted(&applied, inventory);
                Ok(Some(applied.version))
            }
            (status, answer) => {
                let text = answer.err().unwrap_or_default();
                Err(eyre::eyre!("{} rejected the configuration: {status} {text}", gateway.name))
            }
        }
    }

    fn record_accepted(&self, applied: &Applied, inventory: &Inventory) {
        let named = |name: &String| inventory.workers.iter().any(|worker| worker.name == *name);
        let omitted_workers = self.workers.iter().filter(|name| !named(name)).cloned().collect();
        let accepted =
            Accepted { version: applied.version, accepted_at: Boot.now(), omitted_workers };
        self.journal.write().accepted.push(accepted);
    }

    /// Records the active versions of all ready gateways until `stop`.
    pub async fn observe_versions(self, stop: CancellationToken) {
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
            sleep(OBSERVATION_INTERVAL).await;
        }
    }

    async fn observe(&self, gateway: &Gateway, observations: u64) {
        let observed_at = Boot.now();
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
        let revert = self.defect == Some(Defect::ConfigRevert) && observations.is_multiple_of(10);
        let version = status.config_version.saturating_sub(u64::from(revert));
        self.journal.write().active_versions.push(ActiveVersion { daemon, version, observed_at });
    }
}
