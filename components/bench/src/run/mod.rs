//! Runs one scenario under one policy.

use std::{sync::Arc, time::Duration};

use eyre::eyre;
use filbertsail_clock::{Boot, Source};
use filbertsail_config::inventory::{Inventory, Kind};
use filbertsail_standin::{engine, environment};
use tokio::{
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    arrival,
    checker::{self, MAX_LEAVING_DELAY, Violation},
    customer::{Customers, Targets},
    defect::Defect,
    measure::{self, Measure},
    policy::Policy,
    scenario::Scenario,
    testbed::{self, CUSTOMER_TOKEN, Testbed},
    trainer::{self, Trainer},
};

/// Time limit for the gateways to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Concurrent requests at which an engine still runs at full speed.
const ENGINE_SLOTS: u32 = 4;
/// Typical number of tokens of a completion.
const TYPICAL_TOKENS: u32 = 16;
/// Time in which an engine generates one token per running request.
const ENGINE_STEP: Duration = Duration::from_millis(20);

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Inventory of the deployment.
    pub inventory: Inventory,
    /// Scenario.
    pub scenario: Scenario,
    /// Policy.
    pub policy: Policy,
    /// Seed of arrivals, output lengths and faults.
    pub seed: u64,
    /// Duration of the load.
    pub duration: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of controllers.
    pub controllers: usize,
    /// Interval between weight versions.
    pub publish_interval: Duration,
    /// Time after the load in which posted rounds may still be delivered.
    pub drain_timeout: Duration,
    /// Time between readiness of the gateways and start of the load.
    pub warm_up: Duration,
    /// Defect to inject.
    pub defect: Option<Defect>,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Measures.
    pub measure: Measure,
    /// Violations with their evidence.
    pub violations: Vec<Violation>,
    /// Recorded observations of callers, trainers and operators.
    pub history: crate::journal::History,
}

/// Throughput of all engines in model requests per second.
#[must_use]
pub fn model_capacity_per_s(inventory: &Inventory) -> f64 {
    let is_model =
        |name: &str| inventory.service(name).is_some_and(|service| service.kind == Kind::Model);
    let engines = inventory.workers.iter().filter(|worker| is_model(&worker.service)).count();
    engines as f64 * f64::from(ENGINE_SLOTS)
        / (f64::from(TYPICAL_TOKENS) * ENGINE_STEP.as_secs_f64())
}

/// Runs a scenario under a policy and checks all promises.
///
/// # Errors
/// Fails if a part of the testbed cannot start or a scenario action fails.
pub async fn run(options: Options) -> eyre::Result<Outcome> {
    let testbed = Testbed::start(testbed_options(&options)).await?;
    let testbed = Arc::new(testbed);
    let result = apply_load(&options, &testbed).await;
    let outcome = result.map(|()| evaluate(&options, &testbed));
    testbed.shut_down();
    outcome
}

fn testbed_options(options: &Options) -> testbed::Options {
    let engine = engine::Options {
        slots: ENGINE_SLOTS,
        max_running: ENGINE_SLOTS * 2,
        typical_tokens: TYPICAL_TOKENS,
        step_duration: ENGINE_STEP,
        straggler_fraction: options.scenario.straggler_share,
        seed: options.seed,
        ..engine::Options::new("", "")
    };
    testbed::Options {
        inventory: options.inventory.clone(),
        gateways: options.gateways,
        controllers: options.controllers,
        policy: options.policy,
        standins: environment::Options { engine, ..environment::Options::default() },
        defect: options.defect,
    }
}

async fn apply_load(options: &Options, testbed: &Arc<Testbed>) -> eyre::Result<()> {
    testbed.wait_ready(options.gateways, READY_TIMEOUT).await?;
    sleep(options.warm_up).await;
    let (stop, abandon) = (CancellationToken::new(), CancellationToken::new());
    let observer = tokio::spawn(testbed.operator().observe_versions(stop.clone()));
    let trainers = start_trainers(options, testbed, &stop, &abandon)?;
    let customers = new_customers(options, testbed, &stop)?;
    let rate = options.scenario.load * model_capacity_per_s(&options.inventory);
    let rate = rate / options.scenario.mix.model_share();
    let arrivals = arrival::schedule(options.seed, rate, options.duration, options.scenario.mix);
    let actions = tokio::spawn(execute_actions(options.clone(), testbed.clone()));
    let leaving_work =
        tokio::spawn(send_work_to_leaving(options.defect, testbed.clone(), stop.clone()));
    tokio::join!(customers.run(arrivals), sleep(options.duration));
    stop.cancel();
    actions.await??;
    if timeout(options.drain_timeout, join_all(trainers)).await.is_err() {
        abandon.cancel();
    }
    observer.await?;
    leaving_work.await?;
    Ok(())
}

async fn join_all(mut tasks: JoinSet<()>) {
    while tasks.join_next().await.is_some() {}
}

fn evaluate(options: &Options, testbed: &Testbed) -> Outcome {
    let (history, records) = (testbed.journal.snapshot(), testbed.records());
    let violations = checker::check(&history, &records);
    let seconds = options.duration.as_secs_f64();
    let measure =
        measure::compute(&history, &records, checker::count_by_promise(&violations), seconds);
    Outcome { measure, violations, history }
}

fn service_of_kind(
    inventory: &Inventory,
    kind: Kind,
) -> eyre::Result<&filbertsail_config::inventory::Service> {
    let service = inventory.services.iter().find(|service| service.kind == kind);
    service.ok_or_else(|| eyre!("inventory has no service of kind {kind:?}"))
}

fn new_customers(
    options: &Options,
    testbed: &Testbed,
    stop: &CancellationToken,
) -> eyre::Result<Customers> {
    let model = service_of_kind(&options.inventory, Kind::Model)?.name.clone();
    let application = service_of_kind(&options.inventory, Kind::Application)?;
    let path = application.idempotent_paths.first().cloned().unwrap_or_default();
    let targets = Targets {
        model,
        application: application.name.clone(),
        idempotent_path: path,
        token: CUSTOMER_TOKEN.to_owned(),
        deadline: options.scenario.deadline,
    };
    let stop_begun = CancellationToken::new();
    tokio::spawn(signal_first_stop(testbed.journal.clone(), stop_begun.clone(), stop.clone()));
    let services = testbed.standins.services.clone();
    Ok(Customers::new(
        targets,
        testbed.balancer.clone(),
        testbed.journal.clone(),
        options.defect,
        services,
        stop_begun,
    ))
}

/// Cancels `stop_begun` at the first graceful shutdown, for [`Defect::CutOnStop`].
async fn signal_first_stop(
    journal: crate::journal::Journal,
    stop_begun: CancellationToken,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        if !journal.write().stops.is_empty() {
            stop_begun.cancel();
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

fn start_trainers(
    options: &Options,
    testbed: &Testbed,
    stop: &CancellationToken,
    abandon: &CancellationToken,
) -> eyre::Result<JoinSet<()>> {
    let mut tasks = JoinSet::new();
    if !options.scenario.has_trainers || options.controllers == 0 {
        return Ok(tasks);
    }
    let service = service_of_kind(&options.inventory, Kind::Model)?.name.clone();
    let (sender, version) = watch::channel(1);
    let store = testbed.standins.weights.clone();
    tokio::spawn(trainer::publish_weights(
        store,
        service,
        sender,
        options.publish_interval,
        stop.clone(),
    ));
    for entry in &options.inventory.trainers {
        let trainer = Trainer {
            options: trainer::Options {
                name: entry.name.clone(),
                token: testbed::trainer_token(&entry.name),
                groups: 4,
                group_size: 4,
                // Length of the longest straggler: ten times 1.5 times the typical length.
                max_tokens: TYPICAL_TOKENS * 15,
                max_staleness: entry.staleness_bound,
                step_duration: Duration::from_secs(2),
                rounds_ahead: 1,
                scorer: Some(testbed.standins.scorer.address),
                defect: options.defect,
            },
            balancer: testbed.balancer.clone(),
            journal: testbed.journal.clone(),
            version: version.clone(),
        };
        tasks.spawn(trainer.run(stop.clone(), abandon.clone()));
    }
    Ok(tasks)
}

async fn execute_actions(options: Options, testbed: Arc<Testbed>) -> eyre::Result<()> {
    let start = tokio::time::Instant::now();
    let mut tasks: Vec<JoinHandle<eyre::Result<()>>> = Vec::new();
    for (at, action) in options.scenario.actions {
        tokio::time::sleep_until(start + options.duration.mul_f64(at)).await;
        let testbed = testbed.clone();
        tasks.push(tokio::spawn(async move { action.execute(&testbed).await }));
    }
    for task in tasks {
        task.await??;
    }
    Ok(())
}

/// Implements [`Defect::WorkForLeaving`]: sends requests to workers past `MAX_LEAVING_DELAY`.
async fn send_work_to_leaving(
    defect: Option<Defect>,
    testbed: Arc<Testbed>,
    stop: CancellationToken,
) {
    if defect != Some(Defect::WorkForLeaving) {
        return;
    }
    let client = filbertsail_http::client::Client::default();
    while !stop.is_cancelled() {
        sleep(Duration::from_millis(200)).await;
        let leaving = testbed.journal.snapshot().leaving;
        let limit = Boot.now().before(MAX_LEAVING_DELAY + Duration::from_millis(100));
        for entry in
            leaving.iter().filter(|entry| entry.started_at < limit && entry.ended_at.is_none())
        {
            let Some(engine) = testbed.standins.engine(&entry.worker) else { continue };
            let body = serde_json::json!({"request_id": "shim", "prompt": "shim", "max_tokens": 1,
                "priority": 1, "stream": false});
            let request = http::Request::post(format!("http://{}/v1/completions", engine.address))
                .body(filbertsail_http::Body::full(body.to_string()));
            if let Ok(request) = request {
                // The records of the stand-in show whether it ran.
                let _ = client.send(request, Duration::from_secs(2)).await;
            }
        }
    }
}
