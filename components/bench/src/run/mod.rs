//! Run of one scenario under one policy.

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
    breaks::Break,
    checker::{self, LEAVING_TARGET, Violation},
    customer::{Customers, Targets},
    measure::{self, Measure},
    policy::Policy,
    scenario::Scenario,
    trainer::{self, Trainer},
    world::{self, CUSTOMER_TOKEN, World},
};

/// Time for daemons to become ready.
const READY_LIMIT: Duration = Duration::from_secs(15);
/// Requests that run on an engine at full speed together.
const SLOTS: u32 = 4;
/// Usual number of tokens of an answer.
const TOKENS: u32 = 16;
/// Time of an engine's step.
const STEP: Duration = Duration::from_millis(20);

/// Properties of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Deployment.
    pub inventory: Inventory,
    /// Scenario.
    pub scenario: Scenario,
    /// Policy.
    pub policy: Policy,
    /// Seed of arrivals, lengths and faults.
    pub seed: u64,
    /// Duration of the load.
    pub duration: Duration,
    /// Gateways.
    pub gateways: usize,
    /// Controllers.
    pub controllers: usize,
    /// Time between weight versions.
    pub publish: Duration,
    /// Time after the load for posted rounds to be delivered.
    pub drain: Duration,
    /// Time between readiness and the load.
    pub warm: Duration,
    /// Broken part.
    pub broken: Option<Break>,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Measures.
    pub measure: Measure,
    /// Violations with their evidence.
    pub violations: Vec<Violation>,
    /// What callers saw.
    pub pages: crate::journal::Pages,
}

/// Model requests per second that the engines can complete.
#[must_use]
pub fn capacity(inventory: &Inventory) -> f64 {
    let is_model =
        |name: &str| inventory.service(name).is_some_and(|service| service.kind == Kind::Model);
    let engines = inventory.workers.iter().filter(|worker| is_model(&worker.service)).count();
    engines as f64 * f64::from(SLOTS) / (f64::from(TOKENS) * STEP.as_secs_f64())
}

/// Runs a scenario under a policy and checks it.
///
/// # Errors
/// Fails if a part does not start.
pub async fn run(options: Options) -> eyre::Result<Outcome> {
    let world = World::start(world_options(&options)).await?;
    let world = Arc::new(world);
    let result = load(&options, &world).await;
    let outcome = result.map(|()| judge(&options, &world));
    world.end();
    outcome
}

fn world_options(options: &Options) -> world::Options {
    let engine = engine::Options {
        slots: SLOTS,
        max_running: SLOTS * 2,
        typical_tokens: TOKENS,
        step_duration: STEP,
        straggler_fraction: options.scenario.stragglers,
        seed: options.seed,
        ..engine::Options::new("", "")
    };
    world::Options {
        inventory: options.inventory.clone(),
        gateways: options.gateways,
        controllers: options.controllers,
        policy: options.policy,
        standins: environment::Options { engine, ..environment::Options::default() },
        broken: options.broken,
    }
}

async fn load(options: &Options, world: &Arc<World>) -> eyre::Result<()> {
    world.ready(options.gateways, READY_LIMIT).await?;
    sleep(options.warm).await;
    let (stop, give_up) = (CancellationToken::new(), CancellationToken::new());
    let watcher = tokio::spawn(world.operator().watch(stop.clone()));
    let trainers = start_trainers(options, world, &stop, &give_up)?;
    let customers = customers(options, world, &stop)?;
    let rate = options.scenario.load * capacity(&options.inventory);
    let rate = rate / options.scenario.mix.model_share();
    let arrivals = arrival::plan(options.seed, rate, options.duration, options.scenario.mix);
    let faults = tokio::spawn(make_faults(options.clone(), world.clone()));
    let extra = tokio::spawn(work_for_leaving(options.broken, world.clone(), stop.clone()));
    tokio::join!(customers.run(arrivals), sleep(options.duration));
    stop.cancel();
    faults.await??;
    if timeout(options.drain, join_all(trainers)).await.is_err() {
        give_up.cancel();
    }
    watcher.await?;
    extra.await?;
    Ok(())
}

async fn join_all(mut tasks: JoinSet<()>) {
    while tasks.join_next().await.is_some() {}
}

fn judge(options: &Options, world: &World) -> Outcome {
    let (pages, records) = (world.journal.pages(), world.records());
    let violations = checker::check(&pages, &records);
    let seconds = options.duration.as_secs_f64();
    let measure = measure::of(&pages, &records, checker::count(&violations), seconds);
    Outcome { measure, violations, pages }
}

fn service_of(
    inventory: &Inventory,
    kind: Kind,
) -> eyre::Result<&filbertsail_config::inventory::Service> {
    let service = inventory.services.iter().find(|service| service.kind == kind);
    service.ok_or_else(|| eyre!("the inventory has no service of kind {kind:?}"))
}

fn customers(
    options: &Options,
    world: &World,
    stop: &CancellationToken,
) -> eyre::Result<Customers> {
    let model = service_of(&options.inventory, Kind::Model)?.name.clone();
    let application = service_of(&options.inventory, Kind::Application)?;
    let path = application.idempotent_paths.first().cloned().unwrap_or_default();
    let targets = Targets {
        model,
        application: application.name.clone(),
        idempotent_path: path,
        token: CUSTOMER_TOKEN.to_owned(),
        deadline: options.scenario.deadline,
    };
    let cut = CancellationToken::new();
    tokio::spawn(cut_on_stop(world.journal.clone(), cut.clone(), stop.clone()));
    let services = world.set.services.clone();
    Ok(Customers::new(
        targets,
        world.balancer.clone(),
        world.journal.clone(),
        options.broken,
        services,
        cut,
    ))
}

/// Tells the customers' broken part when a planned stop began.
async fn cut_on_stop(
    journal: crate::journal::Journal,
    cut: CancellationToken,
    stop: CancellationToken,
) {
    while !stop.is_cancelled() {
        if !journal.write().stops.is_empty() {
            cut.cancel();
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
}

fn start_trainers(
    options: &Options,
    world: &World,
    stop: &CancellationToken,
    give_up: &CancellationToken,
) -> eyre::Result<JoinSet<()>> {
    let mut tasks = JoinSet::new();
    if !options.scenario.trainers || options.controllers == 0 {
        return Ok(tasks);
    }
    let service = service_of(&options.inventory, Kind::Model)?.name.clone();
    let (sender, version) = watch::channel(1);
    let store = world.set.weights.clone();
    tokio::spawn(trainer::publish(store, service, sender, options.publish, stop.clone()));
    for entry in &options.inventory.trainers {
        let trainer = Trainer {
            options: trainer::Options {
                name: entry.name.clone(),
                token: world::trainer_token(&entry.name),
                groups: 4,
                group_size: 4,
                // The longest straggler: 1.5 times the usual length, ten times.
                max_tokens: TOKENS * 15,
                bound: entry.staleness_bound,
                train: Duration::from_secs(2),
                ahead: 1,
                scorer: Some(world.set.scorer.address),
                broken: options.broken,
            },
            balancer: world.balancer.clone(),
            journal: world.journal.clone(),
            version: version.clone(),
        };
        tasks.spawn(trainer.run(stop.clone(), give_up.clone()));
    }
    Ok(tasks)
}

async fn make_faults(options: Options, world: Arc<World>) -> eyre::Result<()> {
    let start = tokio::time::Instant::now();
    let mut tasks: Vec<JoinHandle<eyre::Result<()>>> = Vec::new();
    for (at, action) in options.scenario.faults {
        tokio::time::sleep_until(start + options.duration.mul_f64(at)).await;
        let world = world.clone();
        tasks.push(tokio::spawn(async move { action.make(&world).await }));
    }
    for task in tasks {
        task.await??;
    }
    Ok(())
}

/// Sends requests to workers that have been leaving for long, if that is the broken part.
async fn work_for_leaving(broken: Option<Break>, world: Arc<World>, stop: CancellationToken) {
    if broken != Some(Break::WorkForLeaving) {
        return;
    }
    let client = filbertsail_http::client::Client::default();
    while !stop.is_cancelled() {
        sleep(Duration::from_millis(200)).await;
        let leaving = world.journal.pages().leaving;
        let limit = Boot.now().before(LEAVING_TARGET + Duration::from_millis(100));
        for entry in leaving.iter().filter(|entry| entry.from < limit && entry.to.is_none()) {
            let Some(engine) = world.set.engine(&entry.worker) else { continue };
            let body = serde_json::json!({"request_id": "shim", "prompt": "shim", "max_tokens": 1,
                "priority": 1, "stream": false});
            let request = http::Request::post(format!("http://{}/v1/completions", engine.address))
                .body(filbertsail_http::Body::full(body.to_string()));
            if let Ok(request) = request {
                // The stand-in's record shows whether it ran.
                let _ = client.send(request, Duration::from_secs(2)).await;
            }
        }
    }
}
