//! Faults that scenarios found, reduced to one run each.

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
    scenario.faults = faults.to_vec();
    let options = Options {
        inventory: Inventory::parse(&text).expect("valid inventory"),
        scenario,
        policy: Policy::Production,
        seed: SEED,
        duration: Duration::from_secs(14),
        gateways: 2,
        controllers: 2,
        publish: Duration::from_secs(4),
        drain: Duration::from_secs(60),
        warm: Duration::ZERO,
        broken: None,
    };
    run::run(options).await.expect("runs")
}

/// Guards against a group that is stored at a planned stop without the samples that are still
/// being scored, and then delivered so.
#[tokio::test(flavor = "multi_thread")]
async fn stop_while_scoring_delivers_whole_groups() {
    let slow = Action::Scores(Duration::from_secs(3), 0.5);
    let faults = [
        (0.0, slow),
        (0.3, Action::RollController(0)),
        (0.5, Action::RollController(1)),
        (0.7, Action::RollController(0)),
    ];
    let outcome = outcome(&faults).await;
    assert!(outcome.measure.is_clean(), "{:?}", outcome.violations);
    assert!(!outcome.pages.batches.is_empty());
}
