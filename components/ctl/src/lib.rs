//! Command line of the operators, over the administration API of any gateway.
//!
//! Answers go to standard output and errors to standard error. The exit code tells a script what
//! happened without reading either; see [`exit::Exit`].

pub mod cli;
pub mod cmd;
pub mod exit;
pub mod gateway;

use std::io::Write;

use cli::{Cli, Command};
use exit::{Exit, Failure};
use gateway::Gateway;

/// Runs one command.
pub async fn run(cli: Cli, out: &mut impl Write, err: &mut impl Write) -> Exit {
    match dispatch(&cli, out).await {
        Ok(exit) => exit,
        Err(failure) => {
            // A closed standard error leaves only the exit code.
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
