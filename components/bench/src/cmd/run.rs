//! `run`: runs a scenario under one or more policies.

use std::{env, fs, process::ExitCode, time::Duration};

use eyre::{WrapErr, eyre};
use filbertsail_bench::{
    defect::Defect,
    measure::Result as Measures,
    policy::Policy,
    report,
    run::{self, Options},
    scenario,
};

use super::{exit_code, print_outcomes, print_progress, print_violations, read_inventory};
use crate::cli::Run;

pub async fn run(args: Run) -> eyre::Result<ExitCode> {
    let inventory = read_inventory(&args.deployment)?;
    let mut scenario = scenario::named(&args.scenario, args.seed)
        .ok_or_else(|| eyre!("unknown scenario {}; see `list`", args.scenario))?;
    scenario.load = args.load.unwrap_or(scenario.load);
    let duration = args.duration.map_or(scenario.duration, Duration::from_secs);
    let defect: Option<Defect> = args.defect.as_deref().map(str::parse).transpose()?;
    let mut result = Measures {
        scenario: args.scenario.clone(),
        seed: args.seed,
        deployment: inventory.deployment.name.clone(),
        ..Measures::default()
    };
    println!("scenario={} deployment={} seed={}", args.scenario, result.deployment, args.seed);
    let mut histories = Vec::new();
    for policy in policies(&args.policy)? {
        print_progress(&format!("{policy}: {} s of load", duration.as_secs()));
        let outcome = run::run(Options {
            inventory: inventory.clone(),
            scenario: scenario.clone(),
            policy,
            seed: args.seed,
            duration,
            gateways: args.gateways,
            controllers: args.controllers,
            publish_interval: Duration::from_secs(4),
            drain_timeout: Duration::from_secs(30),
            warm_up: Duration::from_secs(args.warm),
            defect,
        })
        .await?;
        print_violations(&outcome.violations);
        print_outcomes(&outcome.history);
        result.policies.insert(policy.to_string(), outcome.measure);
        histories.push((policy.to_string(), outcome.history));
    }
    println!("{}\n{}", report::table(&result), report::ratios(&result, "production"));
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&result)?;
        fs::write(path, text).wrap_err_with(|| format!("failed to write {}", path.display()))?;
    }
    if let Some(folder) = &args.report {
        let command = env::args().skip(1).collect::<Vec<_>>().join(" ");
        report::write(folder, &result, &histories, &format!("filbertsail-bench {command}"))?;
    }
    Ok(exit_code(result.policies.values().all(|measure| measure.is_clean())))
}

fn policies(names: &[String]) -> eyre::Result<Vec<Policy>> {
    if names.is_empty() {
        return Ok(vec![Policy::Production]);
    }
    names
        .iter()
        .map(|name| name.parse().wrap_err_with(|| format!("unknown policy {name}")))
        .collect()
}
