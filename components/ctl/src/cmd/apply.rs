//! `apply`: activates an inventory by compare-and-set.

use std::{io::Write, time::Duration};

use filbertsail_api::admin::{self, Applied, Head};
use filbertsail_config::check;
use http::Method;

use super::{print_json, read_file};
use crate::{
    cli::Apply,
    exit::{Exit, Failure},
    gateway::Gateway,
};

const CONFIG_PATH: &str = "/admin/v1/config";

/// Checks the file, sends it, and prints how many daemons have activated it.
///
/// # Errors
/// Fails if the file has faults, another change was committed first, or the call to the gateway
/// fails.
pub async fn run(
    args: &Apply,
    gateway: &Gateway,
    json: bool,
    out: &mut impl Write,
) -> Result<Exit, Failure> {
    let text = read_file(&args.file)?;
    let file = args.file.display().to_string();
    check::inventory(&file, &text).map_err(|faults| {
        let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
        Failure::new(Exit::Faults, lines.join("\n"))
    })?;
    let expect_version = match args.expect {
        Some(version) => version,
        None => active_version(gateway).await?,
    };
    let command = admin::Apply {
        text,
        expect_version: Some(expect_version),
        author: args.author.clone(),
        wait_ms: Some(args.wait_ms),
    };
    let wait = Duration::from_millis(args.wait_ms);
    let applied: Applied = gateway.send(Method::PUT, CONFIG_PATH, &command, wait).await?;
    if json {
        print_json(out, &applied)?;
    } else {
        print_applied(out, &applied)?;
    }
    Ok(if applied.unconfirmed.is_empty() { Exit::Done } else { Exit::Unconfirmed })
}

/// Active version; 0 if there is none yet.
async fn active_version(gateway: &Gateway) -> Result<u64, Failure> {
    match gateway.get::<Head>(CONFIG_PATH).await {
        Ok(head) => Ok(head.version),
        Err(failure) if failure.exit() == Exit::NotFound => Ok(0),
        Err(failure) => Err(failure),
    }
}

fn print_applied(out: &mut impl Write, applied: &Applied) -> Result<(), Failure> {
    let Applied { version, confirmed, live, digest, unconfirmed } = applied;
    writeln!(out, "version {version} in force on {confirmed} of {live} live daemons ({digest})")?;
    if !unconfirmed.is_empty() {
        writeln!(out, "not confirmed: {}", unconfirmed.join(", "))?;
    }
    Ok(())
}
