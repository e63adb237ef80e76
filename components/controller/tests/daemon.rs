//! Complete controllers with a gateway, a stand-in platform and real leases.

use std::{net::SocketAddr, time::Duration};

use filbertsail_api::{
    admin::Apply,
    trainer::{Batch, Round},
};
use filbertsail_cluster::agent;
use filbertsail_config::{
    inventory::Inventory,
    settings::{Listen, Log, Peers, Platform, Security, Settings},
};
use filbertsail_controller::daemon as controller;
use filbertsail_gateway::daemon as gateway;
use filbertsail_http::client::Client as Http;
use filbertsail_ports::{
    rate::{Limiter, Quota},
    table,
};
use filbertsail_rounds::client::{Client, Error, Fetched, State};
use filbertsail_standin::environment::{self, Environment};
use filbertsail_wire::{frame::Role, link::auth::Key};
use tempfile::TempDir;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

const TRAINER: &str = "lather";
const TOKEN: &str = "0123456789abcdef";
const SERVICE: &str = "kettle-models";
const TIMEOUT: Duration = Duration::from_secs(60);

/// Deployment with one gateway.
struct Deployment {
    set: Environment,
    gateway: gateway::Handle,
    directory: TempDir,
    stop: CancellationToken,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Deployment {
    async fn start() -> Self {
        let text = include_str!("../../../examples/vaahto.toml");
        let inventory = Inventory::parse(text).expect("inventory");
        let stop = CancellationToken::new();
        let set = environment::start(inventory, &environment::Options::default(), &stop)
            .expect("stand-ins");
        let directory = tempfile::tempdir().expect("folder");
        std::fs::write(directory.path().join("key"), "07".repeat(32)).expect("key");
        let tokens = format!("{TOKEN} trainer {TRAINER}\n");
        std::fs::write(directory.path().join("tokens"), tokens).expect("tokens");
        let settings = settings(&set, &directory, "gateway-1", Vec::new());
        let gateway = gateway::start(settings, stop.clone()).await.expect("gateway");
        let deployment = Self { set, gateway, directory, stop };
        deployment.apply().await;
        deployment
    }

    async fn controller(&self, name: &str) -> (controller::Handle, CancellationToken) {
        let settings = settings(&self.set, &self.directory, name, vec![self.gateway.peers]);
        let stop = CancellationToken::new();
        let handle = controller::start(settings, stop.clone()).await.expect("controller");
        (handle, stop)
    }

    /// Applies the inventory as the configuration of the deployment.
    async fn apply(&self) {
        let identity = agent::Identity {
            name: "operator".to_owned(),
            role: Role::Controller,
            zone: "lahti-c".to_owned(),
            address: any_port(),
            incarnation: 1,
            key: Key::new(vec![7; 32]),
        };
        let client = table::http::Client::new(self.set.table.address);
        let quota = Quota { reads_per_s: 1e6, writes_per_s: 1e6 };
        let table = table::resolve::Client::new(client, Limiter::new(quota));
        let stop = CancellationToken::new();
        let agent = agent::start(identity, agent::Settings::default(), table, stop.clone());
        let text = toml::to_string(&self.set.inventory).expect("inventory has a TOML form");
        let apply =
            Apply { author: "test".to_owned(), expect_version: None, text, wait_ms: Some(0) };
        agent.apply(apply).await.expect("accepted");
        stop.cancel();
        agent.join().await;
    }

    /// Posts a round as soon as the gateway is ready.
    async fn post(&self, client: &Client, round: &Round) {
        let posted = async {
            while client.post(self.gateway.callers, round).await.is_err() {
                sleep(Duration::from_millis(50)).await;
            }
        };
        timeout(TIMEOUT, posted).await.expect("round is posted");
    }

    /// Fetches the batch of a step; retries while no controller holds the lease.
    async fn batch(&self, client: &mut Client, step: u64, version: u64) -> Batch {
        let deadline = Instant::now() + TIMEOUT;
        while Instant::now() < deadline {
            let wait = Duration::from_secs(5);
            match client.fetch(self.gateway.callers, step, version, wait).await {
                Ok(Fetched::Batch(batch)) => return *batch,
                Ok(Fetched::Progress(_)) => {}
                Err(Error::Refused { status, .. }) if status.as_u16() == 503 => {}
                Err(error) => panic!("step {step}: {error}"),
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no batch of step {step} within {TIMEOUT:?}");
    }
}

fn settings(
    set: &Environment,
    directory: &TempDir,
    name: &str,
    seeds: Vec<SocketAddr>,
) -> Settings {
    Settings {
        name: name.to_owned(),
        zone: "lahti-c".to_owned(),
        region: "fi-south".to_owned(),
        listen: Listen { callers: Some(any_port()), admin: any_port(), peers: any_port() },
        platform: Platform {
            table: set.table.address,
            objects: set.objects.address,
            vms: set.vms.address,
            weights: set.weights.address,
            table_writes_per_s: 300.0,
            table_reads_per_s: 2_000.0,
        },
        peers: Peers { seeds },
        security: Security {
            cluster_key_file: directory.path().join("key"),
            tokens_file: directory.path().join("tokens"),
            tls_cert_file: None,
            tls_key_file: None,
        },
        log: Log::default(),
    }
}

fn round(set: &Environment, step: u64) -> Round {
    Round {
        trainer: TRAINER.to_owned(),
        step,
        prompts: (0..6).map(|index| format!("step {step}, prompt {index}")).collect(),
        group_size: 4,
        max_tokens: 64,
        staleness_bound: 4,
        deadline_ms: 5_000,
        scorer: Some(set.scorer.address.to_string()),
    }
}

/// Guards against faults between components: leases, samples, scores, a graceful shutdown and the
/// takeover by the next holder.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_hand_over_at_a_graceful_shutdown() {
    let deployment = Deployment::start().await;
    let (first, stop_first) = deployment.controller("controller-1").await;
    let mut client = Client::new(Http::default(), TRAINER, TOKEN, State::default());
    for step in 1..=3 {
        deployment.post(&client, &round(&deployment.set, step)).await;
    }
    let one = deployment.batch(&mut client, 1, 1).await;
    let samples: Vec<_> = one.groups.iter().flat_map(|group| &group.samples).collect();
    assert_eq!(samples.len(), 24);
    assert!(samples.iter().all(|sample| sample.score.is_some()));
    let (second, stop_second) = deployment.controller("controller-2").await;
    stop_first.cancel();
    timeout(TIMEOUT, first.join()).await.expect("graceful shutdown ends").expect("without panic");
    let two = deployment.batch(&mut client, 2, 1).await;
    assert!(two.epoch > one.epoch, "{} after {}", two.epoch, one.epoch);
    client.acknowledge(deployment.gateway.callers, 2).await.expect("acknowledge");
    stop_second.cancel();
    timeout(TIMEOUT, second.join()).await.expect("graceful shutdown ends").expect("without panic");
    deployment.stop.cancel();
}

/// Guards against workers that keep old weights, or have none after a failed swap.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn can_roll_out_weights() {
    let deployment = Deployment::start().await;
    let (_controller, stop) = deployment.controller("controller-1").await;
    deployment.set.engines[0].fail_next_swap();
    deployment.set.weights.publish(SERVICE, 2, 1 << 30);
    let all = async {
        while deployment.set.engines.iter().any(|engine| engine.version() != Some(2)) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(TIMEOUT, all).await.expect("all engines have the new weights");
    stop.cancel();
    deployment.stop.cancel();
}
