//! Regression tests for faults found by scenarios, one run each.

use std::{fs, path::Path, time::Duration};

use filbertsail_bench::{
    policy::Policy,
    run::{self, Options, Outcome},
    scenario::{self, Action},
};
use filbertsail_config::inventory::Inventory;

const SEED: u64 = 1;

async fn outcome(faults: &[(f64, Action)]) -> Outcome {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/vaahto.toml");
    let text = fs::read_to_string(path).expect("example inventory");
    let mut scenario = scenario::named("steady", SEED).expect("scenario");
    scenario.load = 0.05;
    scenario.actions = faults.to_vec();
    let options = Options {
        inventory: Inventory::parse(&text).expect("valid inventory"),
        scenario,
        policy: Policy::Production,
        seed: SEED,
        duration: Duration::from_secs(14),
        gateways: 2,
        controllers: 2,
        publish_interval: Duration::from_secs(4),
        drain_timeout: Duration::from_secs(60),
        warm_up: Duration::ZERO,
        defect: None,
    };
    run::run(options).await.expect("runs")
}

/// Guards against incomplete groups: a graceful shutdown stored a group without the samples still
/// being scored, and it was delivered that way.
#[tokio::test(flavor = "multi_thread")]
async fn stop_while_scoring_delivers_whole_groups() {
    let slow = Action::SlowScores(Duration::from_secs(3), 0.5);
    let faults = [
        (0.0, slow),
        (0.3, Action::RollController(0)),
        (0.5, Action::RollController(1)),
        (0.7, Action::RollController(0)),
    ];
    let outcome = outcome(&faults).await;
    assert!(outcome.measure.is_clean(), "{:?}", outcome.violations);
    assert!(!outcome.history.batches.is_empty());
}
