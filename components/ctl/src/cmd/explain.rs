//! `explain`: prints a routing decision and its reasons.

use std::{io::Write, time::Duration};

use filbertsail_api::admin::{Answer, Question};
use http::Method;

use super::print_json;
use crate::{
    cli::Explain,
    exit::{Exit, Failure},
    gateway::Gateway,
};

/// Prints the selected worker and, for every candidate, why it is eligible or not.
///
/// # Errors
/// Fails if the service is unknown or the call to the gateway fails.
pub async fn run(
    args: &Explain,
    gateway: &Gateway,
    json: bool,
    out: &mut impl Write,
) -> Result<Exit, Failure> {
    let question = Question {
        service: args.service.clone(),
        prompt: args.prompt.clone(),
        class: args.class.clone(),
        team: args.team.clone(),
        min_version: args.min_version,
    };
    let answer: Answer =
        gateway.send(Method::POST, "/admin/v1/explain", &question, Duration::ZERO).await?;
    if json {
        print_json(out, &answer)?;
        return Ok(Exit::Done);
    }
    writeln!(out, "{}: {}", answer.chosen.as_deref().unwrap_or("no worker"), answer.reason)?;
    for candidate in &answer.candidates {
        let sign = if candidate.eligible { '+' } else { '-' };
        let wait =
            candidate.expected_wait_ms.map_or_else(String::new, |wait| format!(" {wait:.1} ms"));
        writeln!(out, "{sign} {} {}{wait} {}", candidate.name, candidate.zone, candidate.reason)?;
    }
    Ok(Exit::Done)
}
