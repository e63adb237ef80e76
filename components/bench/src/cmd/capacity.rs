//! `capacity`: measures control overhead per daemon.

use std::{fs, process::ExitCode, time::Duration};

use eyre::WrapErr;
use filbertsail_bench::capacity::{self, Options};

use crate::cli::Capacity;

/// Runs the measurements and prints the report.
pub async fn run(args: Capacity) -> eyre::Result<ExitCode> {
    let mut options = Options {
        duration: Duration::from_secs(args.seconds),
        changes: args.changes,
        crashes: args.crashes,
        exchanges: args.exchanges,
        ..Options::default()
    };
    if !args.daemons.is_empty() {
        options.daemons = args.daemons;
    }
    let report = capacity::run(options).await?;
    println!("{report}");
    if let Some(path) = args.json {
        let text = serde_json::to_vec_pretty(&report)?;
        fs::write(&path, text).wrap_err_with(|| format!("failed to write {}", path.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}
