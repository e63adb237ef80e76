//! `check` for the configuration of the users' platform: findings, and differences from the version
//! in force.

use std::{io::Write, path::Path};

use filbertsail_entry::config::{
    Config,
    check::{self, Basis, Change, Finding, Severity, Side},
};
use filbertsail_platform::dialect::{Document, decode_document};
use serde::Serialize;

use super::{print_json, read_file};
use crate::{
    cli::Check,
    exit::{Exit, Failure},
};

/// Memory of the smallest VM of both deployments, in MB.
const DEFAULT_MEMORY_MB: u32 = 120;
const BYTES_PER_MB: u64 = 1_000_000;

/// JSON output.
#[derive(Serialize)]
struct Report<'a> {
    findings: Vec<Located<'a>>,
    changes: &'a [Change],
    summary: String,
}

/// Finding with its place in the file.
#[derive(Serialize)]
struct Located<'a> {
    file: &'a str,
    line: usize,
    #[serde(flatten)]
    finding: &'a Finding,
}

/// Checks the configuration `text` and prints findings, changes and a summary.
///
/// # Errors
/// Fails if the configuration in force cannot be read, or the output cannot be written.
pub fn run(args: &Check, text: &str, json: bool, out: &mut impl Write) -> Result<Exit, Failure> {
    let memory_mb = args.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    let basis =
        Basis { memory_bytes: u64::from(memory_mb) * BYTES_PER_MB, secret: Default::default() };
    let in_force = args.against.as_deref().map(read_in_force).transpose()?;
    let (document, mut findings, config) = decode_document(text);
    let mut changes = Vec::new();
    if let Some(config) = &config {
        findings.extend(check::check(config, &document, &basis));
        if let Some((before_document, before)) = &in_force {
            findings.extend(check::check_version(config, &document, before));
            let before = Side { config: before, document: before_document };
            let after = Side { config, document: &document };
            changes = check::compare(&before, &after, &basis.secret);
        }
    }
    let file = args.file.display().to_string();
    let summary =
        summary(&file, config.as_ref(), &findings, in_force.is_some().then_some(&changes));
    let has_errors = findings.iter().any(|finding| finding.severity == Severity::Error);
    let exit = if has_errors { Exit::Faults } else { Exit::Done };
    let mut findings: Vec<_> = findings
        .iter()
        .map(|finding| Located { file: &file, line: document.line(&finding.path), finding })
        .collect();
    findings.sort_by_key(|located| located.line);
    if json {
        print_json(out, &Report { findings, changes: &changes, summary })?;
        return Ok(exit);
    }
    for Located { file, line, finding } in &findings {
        writeln!(out, "{file}:{line}: {finding}")?;
    }
    for change in &changes {
        writeln!(out, "change: {change}")?;
    }
    writeln!(out, "{summary}")?;
    Ok(exit)
}

fn read_in_force(path: &Path) -> Result<(Document, Config), Failure> {
    let (document, findings, config) = decode_document(&read_file(path)?);
    let Some(config) = config else {
        let fault = findings.first().map(ToString::to_string).unwrap_or_default();
        let message = format!("{} is not a configuration: {fault}", path.display());
        return Err(Failure::new(Exit::Usage, message));
    };
    Ok((document, config))
}

fn summary(
    file: &str,
    config: Option<&Config>,
    findings: &[Finding],
    changes: Option<&Vec<Change>>,
) -> String {
    let errors = findings.iter().filter(|finding| finding.severity == Severity::Error).count();
    let counts = format!("errors: {errors}, warnings: {}", findings.len() - errors);
    let Some(config) = config else {
        return format!(
            "{file}: {counts}; the configuration cannot be decoded, so its content is not checked"
        );
    };
    let workspaces = match &config.workspaces {
        Some(workspaces) => format!("{} workspaces", workspaces.len()),
        None => "no workspaces".to_owned(),
    };
    let changes =
        changes.map_or_else(String::new, |changes| format!(", changes: {}", changes.len()));
    format!(
        "{file}: configuration version {}: {} routes, {} services, {workspaces}; {counts}{changes}",
        config.version,
        config.routes.len(),
        config.services.len(),
    )
}
