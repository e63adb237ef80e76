//! `demo`: short run of both example deployments with an engine crash.

use std::{process::ExitCode, time::Duration};

use filbertsail_bench::{
    measure::Result as Measures,
    policy::Policy,
    report,
    run::{self, Options, Outcome},
    scenario,
};

use super::{exit_code, print_outcomes, print_progress, print_violations, read_inventory};
use crate::cli::Demo;

/// Duration of the load.
const LOAD_DURATION: Duration = Duration::from_secs(12);
/// Time between readiness of the gateways and start of the load.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time after the load in which posted rounds may still be delivered; keeps the demo under 30 s.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between weight versions.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(3);

pub async fn run(args: Demo) -> eyre::Result<ExitCode> {
    println!("seed={}", args.seed);
    let files = ["swan-coastal.toml", "vaahto.toml"].map(|name| args.examples.join(name));
    print_progress("running both deployments");
    let (first, second) = tokio::join!(
        run_deployment(read_inventory(&files[0])?, args.seed),
        run_deployment(read_inventory(&files[1])?, args.seed),
    );
    let mut is_clean = true;
    for (result, outcome) in [first?, second?] {
        println!("\n{}\n{}", result.deployment, report::table(&result));
        print_violations(&outcome.violations);
        print_outcomes(&outcome.history);
        is_clean &= outcome.measure.is_clean();
    }
    Ok(exit_code(is_clean))
}

async fn run_deployment(
    inventory: filbertsail_config::inventory::Inventory,
    seed: u64,
) -> eyre::Result<(Measures, Outcome)> {
    let name = "engine-crash";
    let mut scenario =
        scenario::named(name, seed).ok_or_else(|| eyre::eyre!("unknown scenario {name}"))?;
    scenario.load = 0.3;
    let mut result = Measures {
        scenario: name.to_owned(),
        seed,
        deployment: inventory.deployment.name.clone(),
        ..Measures::default()
    };
    let outcome = run::run(Options {
        inventory,
        scenario,
        policy: Policy::Production,
        seed,
        duration: LOAD_DURATION,
        gateways: 3,
        controllers: 3,
        publish_interval: PUBLISH_INTERVAL,
        drain_timeout: DRAIN_TIMEOUT,
        warm_up: WARM_UP,
        defect: None,
    })
    .await?;
    result.policies.insert(Policy::Production.to_string(), outcome.measure.clone());
    Ok((result, outcome))
}
