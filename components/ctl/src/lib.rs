//! Command-line tool for operators, which uses the administration API of any gateway.
//!
//! Results go to standard output, errors to standard error. Scripts can tell the outcome by the
//! exit code alone; see [`exit::Exit`].

pub mod cli;
pub mod cmd;
pub mod exit;
pub mod gateway;

use std::io::Write;

use cli::{Cli, Command};
use exit::{Exit, Failure};
use gateway::Gateway;

/// Runs one command and returns the exit code.
pub async fn run(cli: Cli, out: &mut impl Write, err: &mut impl Write) -> Exit {
    match dispatch(&cli, out).await {
        Ok(exit) => exit,
        Err(failure) => {
            // If standard error is closed, only the exit code can report the failure.
            let _ = writeln!(err, "{failure}");
            failure.exit()
        }
    }
}

async fn dispatch(cli: &Cli, out: &mut impl Write) -> Result<Exit, Failure> {
    match &cli.command {
        Command::Check(args) => return cmd::check::run(args, cli.json, out),
        Command::Trace(args) => return cmd::trace::run(args, out),
        _ => {}
    }
    let gateway = Gateway::new(cli)?;
    match &cli.command {
        Command::Check(args) => cmd::check::run(args, cli.json, out),
        Command::Trace(args) => cmd::trace::run(args, out),
        Command::Apply(args) => cmd::apply::run(args, &gateway, cli.json, out).await,
        Command::Show(_) => cmd::show::run(&gateway, cli.json, out).await,
        Command::Status(_) => cmd::status::run(&gateway, cli.json, out).await,
        Command::Drain(args) => cmd::drain::run(args, &gateway, cli.json, out).await,
        Command::Explain(args) => cmd::explain::run(args, &gateway, cli.json, out).await,
    }
}
