//! `check`: reports the faults of a configuration file, without network access.

use std::io::Write;

use filbertsail_config::{
    check::{self, Checked, Fault},
    digest,
    inventory::Inventory,
    settings::Settings,
};
use serde::Serialize;

use super::{config, print_json, read_file};
use crate::{
    cli::Check,
    exit::{Exit, Failure},
};

/// JSON output.
#[derive(Serialize)]
struct Report {
    faults: Vec<Fault>,
    summary: Option<String>,
}

/// Checks a file and prints a summary, or every fault.
///
/// # Errors
/// Fails if the file cannot be read or the output cannot be written.
pub fn run(args: &Check, json: bool, out: &mut impl Write) -> Result<Exit, Failure> {
    let text = read_file(&args.file)?;
    // No TOML file begins with a brace.
    if text.trim_start().starts_with('{') {
        return config::run(args, &text, json, out);
    }
    if args.against.is_some() || args.memory_mb.is_some() {
        let message = format!(
            "{}: --against and --memory-mb need a configuration of the platform, a JSON object",
            args.file.display()
        );
        return Err(Failure::new(Exit::Usage, message));
    }
    let file = args.file.display().to_string();
    let (summary, faults) = match check::inventory_or_settings(&file, &text) {
        Ok(checked) => (Some(summary(&file, &text, &checked)), Vec::new()),
        Err(faults) => (None, faults),
    };
    let exit = if faults.is_empty() { Exit::Done } else { Exit::Faults };
    if json {
        print_json(out, &Report { faults, summary })?;
        return Ok(exit);
    }
    for fault in &faults {
        writeln!(out, "{fault}")?;
    }
    match summary {
        Some(summary) => writeln!(out, "{summary}")?,
        None => writeln!(out, "{file}: number of faults: {}", faults.len())?,
    }
    Ok(exit)
}

fn summary(file: &str, text: &str, checked: &Checked) -> String {
    let digest = digest(text);
    match checked {
        Checked::Inventory(inventory) => inventory_summary(file, &digest, inventory),
        Checked::Settings(settings) => settings_summary(file, &digest, settings),
    }
}

fn inventory_summary(file: &str, digest: &str, inventory: &Inventory) -> String {
    let services: Vec<_> = inventory
        .services
        .iter()
        .map(|service| {
            format!("{} ({} workers)", service.name, inventory.workers_of(&service.name).count())
        })
        .collect();
    format!(
        "{file}: inventory of {}: {} zones, services {}, {} trainers, {} rules; digest {digest}",
        inventory.deployment.name,
        inventory.zones.len(),
        services.join(", "),
        inventory.trainers.len(),
        inventory.rules.len(),
    )
}

fn settings_summary(file: &str, digest: &str, settings: &Settings) -> String {
    let role = if settings.listen.callers.is_some() { "gateway" } else { "controller" };
    format!(
        "{file}: settings of {role} {} in {}/{}: admin {}, peers {}; digest {digest}",
        settings.name, settings.region, settings.zone, settings.listen.admin, settings.listen.peers,
    )
}
