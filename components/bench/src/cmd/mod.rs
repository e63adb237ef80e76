//! Subcommands.

pub mod capacity;
pub mod demo;
pub mod list;
pub mod run;

use std::{cmp::Reverse, collections::BTreeMap, fs, io::IsTerminal, path::Path, process::ExitCode};

use eyre::WrapErr;
use filbertsail_bench::{
    checker::Violation,
    journal::{Outcome, Pages},
};
use filbertsail_config::inventory::Inventory;

/// Most violations that are shown with their evidence.
const MAX_SHOWN: usize = 20;

fn inventory(path: &Path) -> eyre::Result<Inventory> {
    let text = fs::read_to_string(path).wrap_err_with(|| format!("read {}", path.display()))?;
    Inventory::parse(&text).wrap_err_with(|| format!("parse {}", path.display()))
}

/// Line of progress on a terminal.
fn progress(text: &str) {
    if std::io::stderr().is_terminal() {
        eprintln!("{text}");
    }
}

fn show(violations: &[Violation]) {
    for violation in violations.iter().take(MAX_SHOWN) {
        eprintln!("violation of {}: {}", violation.promise, violation.evidence);
    }
}

/// What the checker had to look at, attempts by outcome, and the slowest requests.
fn show_outcomes(pages: &Pages) {
    println!(
        "checked batches={} stops={} leaving={} versions={} observations={}",
        pages.batches.len(),
        pages.stops.len(),
        pages.leaving.len(),
        pages.accepted.len(),
        pages.in_force.len(),
    );
    let mut counts: BTreeMap<String, u64> = BTreeMap::new();
    for attempt in pages.calls.iter().flat_map(|call| &call.attempts) {
        let name = match &attempt.outcome {
            Outcome::Answer { .. } => "answered".to_owned(),
            Outcome::Refused { status, verdict, code } => {
                let verdict = verdict.map_or_else(|| "no verdict".to_owned(), |v| v.to_string());
                format!("status {status} {code} {verdict}")
            }
            Outcome::Broken(cause) => format!("broken: {cause}"),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    for (name, count) in counts {
        println!("attempts {name}: {count}");
    }
    let mut slow: Vec<_> = pages.calls.iter().collect();
    slow.sort_by_key(|call| Reverse(call.end.since(call.due)));
    for call in slow.iter().take(3) {
        let ms = call.end.since(call.due).as_millis();
        println!("slowest {} {:?}: {ms} ms, {} attempts", call.id, call.kind, call.attempts.len());
    }
}

fn verdict(clean: bool) -> ExitCode {
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
