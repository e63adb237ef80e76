//! Short run of both example deployments with a crash of an engine.

use std::{process::ExitCode, time::Duration};

use filbertsail_bench::{
    measure::Result as Measures,
    policy::Policy,
    report,
    run::{self, Options, Outcome},
    scenario,
};

use super::{inventory, progress, show, show_outcomes, verdict};
use crate::cli::Demo;

/// Duration of the load.
const DURATION: Duration = Duration::from_secs(12);
/// Time between readiness and the load.
const WARM: Duration = Duration::from_secs(4);
/// Time after the load for posted rounds to be delivered; keeps the demo under 30 s.
const DRAIN: Duration = Duration::from_secs(8);
/// Time between weight versions.
const PUBLISH: Duration = Duration::from_secs(3);

pub async fn run(args: Demo) -> eyre::Result<ExitCode> {
    println!("seed={}", args.seed);
    let files = ["swan-coastal.toml", "vaahto.toml"].map(|name| args.examples.join(name));
    progress("running both deployments");
    let (first, second) = tokio::join!(
        deployment(inventory(&files[0])?, args.seed),
        deployment(inventory(&files[1])?, args.seed),
    );
    let mut clean = true;
    for (result, outcome) in [first?, second?] {
        println!("\n{}\n{}", result.deployment, report::table(&result));
        show(&outcome.violations);
        show_outcomes(&outcome.pages);
        clean &= outcome.measure.is_clean();
    }
    Ok(verdict(clean))
}

async fn deployment(
    inventory: filbertsail_config::inventory::Inventory,
    seed: u64,
) -> eyre::Result<(Measures, Outcome)> {
    let name = "engine-crash";
    let mut scenario = scenario::named(name, seed).ok_or_else(|| eyre::eyre!("no {name}"))?;
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
        duration: DURATION,
        gateways: 3,
        controllers: 3,
        publish: PUBLISH,
        drain: DRAIN,
        warm: WARM,
        broken: None,
    })
    .await?;
    result.policies.insert(Policy::Production.to_string(), outcome.measure.clone());
    Ok((result, outcome))
}
