//! Runs a scenario under one or more policies.

use std::{env, fs, process::ExitCode, time::Duration};

use eyre::{WrapErr, eyre};
use filbertsail_bench::{
    breaks::Break,
    measure::Result as Measures,
    policy::Policy,
    report,
    run::{self, Options},
    scenario,
};

use super::{inventory, progress, show, show_outcomes, verdict};
use crate::cli::Run;

pub async fn run(args: Run) -> eyre::Result<ExitCode> {
    let inventory = inventory(&args.deployment)?;
    let mut scenario = scenario::named(&args.scenario, args.seed)
        .ok_or_else(|| eyre!("no scenario {}; see `list`", args.scenario))?;
    scenario.load = args.load.unwrap_or(scenario.load);
    let duration = args.duration.map_or(scenario.duration, Duration::from_secs);
    let broken: Option<Break> = args.broken.as_deref().map(str::parse).transpose()?;
    let mut result = Measures {
        scenario: args.scenario.clone(),
        seed: args.seed,
        deployment: inventory.deployment.name.clone(),
        ..Measures::default()
    };
    println!("scenario={} deployment={} seed={}", args.scenario, result.deployment, args.seed);
    let mut pages = Vec::new();
    for policy in policies(&args.policy)? {
        progress(&format!("{policy}: {} s of load", duration.as_secs()));
        let outcome = run::run(Options {
            inventory: inventory.clone(),
            scenario: scenario.clone(),
            policy,
            seed: args.seed,
            duration,
            gateways: args.gateways,
            controllers: args.controllers,
            publish: Duration::from_secs(4),
            drain: Duration::from_secs(30),
            warm: Duration::from_secs(args.warm),
            broken,
        })
        .await?;
        show(&outcome.violations);
        show_outcomes(&outcome.pages);
        result.policies.insert(policy.to_string(), outcome.measure);
        pages.push((policy.to_string(), outcome.pages));
    }
    println!("{}\n{}", report::table(&result), report::ratios(&result, "production"));
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&result)?;
        fs::write(path, text).wrap_err_with(|| format!("write {}", path.display()))?;
    }
    if let Some(folder) = &args.report {
        let command = env::args().skip(1).collect::<Vec<_>>().join(" ");
        report::write(folder, &result, &pages, &format!("filbertsail-bench {command}"))?;
    }
    Ok(verdict(result.policies.values().all(|measure| measure.is_clean())))
}

fn policies(names: &[String]) -> eyre::Result<Vec<Policy>> {
    if names.is_empty() {
        return Ok(vec![Policy::Production]);
    }
    names.iter().map(|name| name.parse().wrap_err_with(|| format!("policy {name}"))).collect()
}
