//! The checker reports an injected defect for each promise and no violation without a defect.
//!
//! Each test guards against a checker that accepts any behaviour of the service.

use std::{fs, path::Path, time::Duration};

use filbertsail_bench::{
    defect::Defect,
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

async fn outcome(defect: Option<Defect>, trainers: bool, faults: &[(f64, Action)]) -> Outcome {
    let mut scenario = scenario::named("steady", SEED).expect("scenario");
    scenario.load = 0.05;
    scenario.has_trainers = trainers;
    scenario.actions = faults.to_vec();
    let options = Options {
        inventory: inventory(),
        scenario,
        policy: Policy::Production,
        seed: SEED,
        duration: Duration::from_secs(6),
        gateways: 2,
        controllers: 1,
        publish_interval: Duration::from_secs(4),
        drain_timeout: Duration::from_secs(60),
        warm_up: Duration::ZERO,
        defect,
    };
    run::run(options).await.expect("runs")
}

async fn assert_caught(defect: Defect, trainers: bool, faults: &[(f64, Action)]) {
    let outcome = outcome(Some(defect), trainers, faults).await;
    let promise = defect.violates();
    let caught = outcome.violations.iter().any(|violation| violation.promise == promise);
    assert!(caught, "defect {defect} was not detected, found {:?}", outcome.violations);
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_service_passes() {
    let outcome = outcome(None, true, &[]).await;
    assert!(outcome.measure.is_clean(), "{:?}", outcome.violations);
    assert!(outcome.measure.requests > 0 && !outcome.history.batches.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn double_send_is_caught() {
    assert_caught(Defect::DoubleSend, false, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn swapped_answer_is_caught() {
    assert_caught(Defect::SwappedAnswer, false, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn false_not_run_is_caught() {
    assert_caught(Defect::FalseNotRun, false, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_on_stop_is_caught() {
    assert_caught(Defect::CutOnStop, false, &[(0.3, Action::RollGateway(0))]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_for_leaving_is_caught() {
    assert_caught(Defect::WorkForLeaving, false, &[(0.0, Action::WorkerLeaving(0, true))]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn config_revert_is_caught() {
    assert_caught(Defect::ConfigRevert, false, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_label_is_caught() {
    assert_caught(Defect::WrongLabel, true, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_sample_is_caught() {
    assert_caught(Defect::StaleSample, true, &[]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn double_delivery_is_caught() {
    assert_caught(Defect::DoubleDelivery, true, &[]).await;
}
