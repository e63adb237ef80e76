//! Subcommands.

pub mod demo;
pub mod list;
pub mod run;

use std::{fs, io::IsTerminal, path::Path, process::ExitCode};

use eyre::WrapErr;
use filbertsail_bench::checker::Violation;
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

fn verdict(clean: bool) -> ExitCode {
    if clean { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
