//! Subcommands.

pub mod capacity;
pub mod demo;
pub mod list;
pub mod run;

use std::{cmp::Reverse, collections::BTreeMap, fs, io::IsTerminal, path::Path, process::ExitCode};

use eyre::WrapErr;
use filbertsail_bench::{
    checker::Violation,
    journal::{History, Outcome},
};
use filbertsail_config::inventory::Inventory;

/// Maximum number of violations printed with their evidence.
const MAX_SHOWN_VIOLATIONS: usize = 20;

fn read_inventory(path: &Path) -> eyre::Result<Inventory> {
    let text =
        fs::read_to_string(path).wrap_err_with(|| format!("failed to read {}", path.display()))?;
    Inventory::parse(&text).wrap_err_with(|| format!("failed to parse {}", path.display()))
}

/// Prints a progress line if stderr is a terminal.
fn print_progress(text: &str) {
    if std::io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}

fn print_violations(violations: &[Violation]) {
    for violation in violations.iter().take(MAX_SHOWN_VIOLATIONS) {
        eprintln!("violation of {}: {}", violation.promise, violation.evidence);
    }
}

/// Prints the number of checked observations, attempts by outcome and the slowest requests.
fn print_outcomes(history: &History) {
    println!(
        "checked batches={} stops={} leaving={} versions={} observations={}",
        history.batches.len(),
        history.stops.len(),
        history.leaving.len(),
        history.accepted.len(),
        history.active_versions.len(),
    );
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for attempt in history.calls.iter().flat_map(|call| &call.attempts) {
        let name = match &attempt.outcome {
            Outcome::Answer { .. } => "answered".to_owned(),
            Outcome::Refused { status, verdict, code } => {
                let verdict = verdict.map_or_else(|| "no verdict".to_owned(), |v| v.to_string());
                format!("status {status} {code} {verdict}")
            }
            Outcome::NoResponse(cause) => format!("broken: {cause}"),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    for (name, count) in counts {
        println!("attempts {name}: {count}");
    }
    let mut slow: Vec<_> = history.calls.iter().collect();
    slow.sort_by_key(|call| Reverse(call.ended_at.since(call.scheduled_at)));
    for call in slow.iter().take(3) {
        let ms = call.ended_at.since(call.scheduled_at).as_millis();
        println!("slowest {} {:?}: {ms} ms, {} attempts", call.id, call.kind, call.attempts.len());
    }
}

fn exit_code(is_clean: bool) -> ExitCode {
    if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
