//! Validation that reports all errors of a configuration file at once.
//!
//! Typed parsing stops at the first error, so the check reads the TOML tree recovered from the text
//! and parses into types only if that has no errors. Each error names the file, the line, the key
//! path, the value and what is expected.

mod inventory;
mod kind;
mod names;
mod recover;
mod report;
mod rules;
mod section;
mod settings;

use std::{fs, io, path::Path};

use derive_more::{Display, Error};
use report::Report;
use section::Section;
use serde::Serialize;
use toml::de::DeTable;

use crate::{inventory::Inventory, settings::Settings};

/// Error in a configuration file.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{file}:{line}: {key} = {value}: {problem}; {remedy}")]
pub struct Fault {
    /// File name given by the caller.
    pub file: String,
    /// Line number, counted from 1.
    pub line: usize,
    /// Key path, such as `worker[2].address`; `-` for a syntax error.
    pub key: String,
    /// Excerpt of the value.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// What is expected.
    pub remedy: String,
}

/// Kind of daemon that settings are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Listens for callers.
    Gateway,
    /// Does not listen for callers.
    Controller,
}

/// Valid configuration file.
#[derive(Clone, Debug, PartialEq)]
pub enum Checked {
    /// Inventory of a deployment.
    Inventory(Inventory),
    /// Settings of a daemon.
    Settings(Box<Settings>),
}

/// Checks an inventory; `file` is its name in the errors.
///
/// # Errors
/// Returns all errors, ordered by line.
pub fn inventory(file: &str, text: &str) -> Result<Inventory, Vec<Fault>> {
    check_and_parse(file, text, inventory::check, Inventory::parse)
}

/// Checks settings; `file` is their name in the errors. Without `role`, the address for callers is
/// optional.
///
/// # Errors
/// Returns all errors, ordered by line.
pub fn settings(file: &str, text: &str, role: Option<Role>) -> Result<Settings, Vec<Fault>> {
    check_and_parse(file, text, |report, root| settings::check(report, root, role), Settings::parse)
}

/// Checks an inventory or settings; only settings have the tables `listen`, `platform` and
/// `security`.
///
/// # Errors
/// Returns all errors, ordered by line.
pub fn inventory_or_settings(file: &str, text: &str) -> Result<Checked, Vec<Fault>> {
    let (blanked, _) = recover::blank_errors(text);
    let (root, _) = DeTable::parse_recoverable(&blanked);
    if ["listen", "platform", "security"].iter().any(|key| root.get_ref().contains_key(*key)) {
        let settings = settings(file, text, None)?;
        Ok(Checked::Settings(Box::new(settings)))
    } else {
        inventory(file, text).map(Checked::Inventory)
    }
}

/// Failure to load a settings file.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[display("cannot read {file}: {source}")]
    Read {
        /// Path of the file.
        file: String,
        /// I/O error.
        source: io::Error,
    },
    /// The file is invalid.
    #[display("{}", join_lines(_0))]
    Faults(#[error(not(source))] Vec<Fault>),
}

fn join_lines(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Reads and checks the settings of a daemon.
///
/// # Errors
/// Fails if the file cannot be read or is invalid.
pub fn load_settings(path: &Path, role: Role) -> Result<Settings, LoadError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => settings(&file, &text, Some(role)).map_err(LoadError::Faults),
        Err(source) => Err(LoadError::Read { file, source }),
    }
}

fn check_and_parse<T>(
    file: &str,
    text: &str,
    check: impl FnOnce(&mut Report<'_>, Section<'_>),
    parse: impl FnOnce(&str) -> Result<T, toml::de::Error>,
) -> Result<T, Vec<Fault>> {
    let mut report = Report::new(file, text);
    let (blanked, errors) = recover::blank_errors(text);
    for error in &errors {
        report.syntax(error);
    }
    let (root, _) = DeTable::parse_recoverable(&blanked);
    check(&mut report, Section::root(root.get_ref()));
    if report.is_empty() {
        match parse(text) {
            Ok(parsed) => return Ok(parsed),
            Err(error) => report.syntax(&error),
        }
    }
    Err(report.finish())
}
