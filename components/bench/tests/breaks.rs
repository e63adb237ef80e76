//! The checker catches a deliberately broken part for each promise, and nothing without one.
//!
//! Each test guards against a checker that passes whatever the service does.

use std::{fs, path::Path, time::Duration};

use filbertsail_bench::{
    breaks::Break,
    policy::Policy,
    run::{self, Options, Outcome},
    scenario::{self, Action},
};
use filbertsail_config::inventory::Inventory;

const SEED: u64 = 1;

fn inventory() -> Inventory {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/vaahto.toml");
    let text = fs::read_to_string(path).expect("example inventory");
    let mut inventory = Inventory::parse(&text).expect("valid inventory");
    inventory.trainers.truncate(1);
    inventory
}

async fn outcome(broken: Option<Break>, trainers: bool, faults: &[(f64, Action)]) -> Outcome {
    let mut scenario = scenario::named("steady", SEED).expect("scenario");
    scenario.load = 0.05;
    scenario.trainers = trainers;
    scenario.faults = faults.to_vec();
    let options = Options {
        inventory: inventory(),
        scenario,
        policy: Policy::Production,
        seed: SEED,
        duration: Duration::from_secs(6),
        gateways: 2,
        controllers: 1,
        publish: Duration::from_secs(4),
        drain: Duration::from_secs(60),
        warm: Duration::ZERO,
        broken,
    };
    run::run(options).await.expect("runs")
}

async fn assert_caught(broken: Break, trainers: bool, faults: &[(f64, Action)]) {
    let outcome = outcome(Some(broken), trainers, faults).await;
    let promise = broken.violates();
    let caught = outcome.violations.iter().any(|violation| violation.promise == promise);
    assert!(caught, "{broken} goes unnoticed: {:?}", outcome.violations);
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_service_passes() {
    let outcome = outcome(None, true, &[]).await;
    assert!(outcome.measure.is_clean(), "{:?}", outcome.violations);
    assert!(outcome.measure.requests > 0 && !outcome.pages.batches.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn double_send_is_caught() {
    assert_caught(Break::DoubleSend, false, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn swapped_answer_is_caught() {
    assert_caught(Break::SwappedAnswer, false, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn false_not_run_is_caught() {
    assert_caught(Break::FalseNotRun, false, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_on_stop_is_caught() {
    assert_caught(Break::CutOnStop, false, &[(0.3, Action::RollGateway(0))]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_for_leaving_is_caught() {
    assert_caught(Break::WorkForLeaving, false, &[(0.0, Action::Leaving(0, true))]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn config_revert_is_caught() {
    assert_caught(Break::ConfigRevert, false, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_label_is_caught() {
    assert_caught(Break::WrongLabel, true, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_sample_is_caught() {
    assert_caught(Break::StaleSample, true, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn double_delivery_is_caught() {
    assert_caught(Break::DoubleDelivery, true, &[]).await;
}
