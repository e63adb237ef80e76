//! `drain`: sets or removes the drain mark of a worker or daemon.

use std::{io::Write, time::Duration};

use filbertsail_api::admin::{self, Drained};
use http::Method;

use super::print_json;
use crate::{
    cli::Drain,
    exit::{Exit, Failure},
    gateway::Gateway,
};

/// Sends the drain command and prints the result.
///
/// # Errors
/// Fails if the name is unknown or the call to the gateway fails.
pub async fn run(
    args: &Drain,
    gateway: &Gateway,
    json: bool,
    out: &mut impl Write,
) -> Result<Exit, Failure> {
    let command = admin::Drain { name: args.name.clone(), draining: !args.undo };
    let drained: Drained =
        gateway.send(Method::POST, "/admin/v1/drain", &command, Duration::ZERO).await?;
    if json {
        print_json(out, &drained)?;
    } else if drained.draining {
        let Drained { name, in_flight, .. } = drained;
        writeln!(out, "{name} receives no new work; {in_flight} requests of this gateway left")?;
    } else {
        writeln!(out, "{} receives new work again", drained.name)?;
    }
    Ok(Exit::Done)
}
