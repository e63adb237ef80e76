//! Measures control overhead.

use std::{fs, process::ExitCode, time::Duration};

use eyre::WrapErr;
use filbertsail_bench::capacity::{self, Options};

use crate::cli::Capacity;

pub async fn run(args: Capacity) -> eyre::Result<ExitCode> {
    let usual = Options::default();
    let daemons = if args.daemons.is_empty() { usual.daemons } else { args.daemons };
    let options = Options {
        daemons,
        seconds: Duration::from_secs(args.seconds),
        changes: args.changes,
        crashes: args.crashes,
        ..usual
    };
    let report = capacity::run(options).await?;
    println!("{report}");
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(path, text).wrap_err_with(|| format!("write {}", path.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}
