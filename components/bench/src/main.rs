//! Command-line benchmark and checker.

mod cli;
mod cmd;

use std::process::ExitCode;

use cli::Command;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let args: cli::Args = argh::from_env();
    if let Some(file) = &args.log {
        filbertsail_telemetry::logs::init(&args.level, Some(file))?;
    }
    match args.command {
        Command::List(_) => Ok(cmd::list::run()),
        Command::Demo(demo) => cmd::demo::run(demo).await,
        Command::Capacity(capacity) => cmd::capacity::run(capacity).await,
        Command::Run(run) => cmd::run::run(run).await,
    }
}
