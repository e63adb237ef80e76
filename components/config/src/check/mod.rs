//! Check that reports every fault of a configuration file at once.
//!
//! The typed parse stops at the first fault, so the check reads the recovered TOML tree instead and
//! runs the typed parse only on a text without faults. A fault names the file, the line, the key
//! path, the value, and what would be right.

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

/// Fault of a configuration file.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{file}:{line}: {key} = {value}: {problem}; {remedy}")]
pub struct Fault {
    /// File as the caller named it.
    pub file: String,
    /// Line from 1.
    pub line: usize,
    /// Key path, such as `worker[2].address`; `-` if the text is not TOML there.
    pub key: String,
    /// Text of the value.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// What would be right.
    pub remedy: String,
}

/// Daemon that settings are for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Listens for callers.
    Gateway,
    /// Does not listen for callers.
    Controller,
}

/// Checked configuration file.
#[derive(Clone, Debug, PartialEq)]
pub enum Checked {
    /// Inventory of a deployment.
    Inventory(Inventory),
    /// Settings of a daemon.
    Settings(Box<Settings>),
}

/// Checks an inventory; `file` names it in the faults.
///
/// # Errors
/// Returns every fault, in the order of lines.
pub fn inventory(file: &str, text: &str) -> Result<Inventory, Vec<Fault>> {
    run(file, text, inventory::check, Inventory::parse)
}

/// Checks settings; `file` names them in the faults. Without `role`, settings with a callers' port
/// are those of a gateway.
///
/// # Errors
/// Returns every fault, in the order of lines.
pub fn settings(file: &str, text: &str, role: Option<Role>) -> Result<Settings, Vec<Fault>> {
    run(file, text, |report, root| settings::check(report, root, role), Settings::parse)
}

/// Checks an inventory or settings, told apart by the tables `listen`, `platform` and `security`,
/// which only settings have.
///
/// # Errors
/// Returns every fault, in the order of lines.
pub fn any(file: &str, text: &str) -> Result<Checked, Vec<Fault>> {
    let (clean, _) = recover::clean(text);
    let (root, _) = DeTable::parse_recoverable(&clean);
    if ["listen", "platform", "security"].iter().any(|key| root.get_ref().contains_key(*key)) {
        let settings = settings(file, text, None)?;
        Ok(Checked::Settings(Box::new(settings)))
    } else {
        inventory(file, text).map(Checked::Inventory)
    }
}

/// Why a settings file gives no settings.
#[derive(Debug, Display, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[display("cannot read {file}: {source}")]
    Read {
        /// File.
        file: String,
        /// Cause.
        source: io::Error,
    },
    /// The file has faults.
    #[display("{}", lines(_0))]
    Faults(#[error(not(source))] Vec<Fault>),
}

fn lines(faults: &[Fault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Reads and checks the settings of a daemon.
///
/// # Errors
/// Fails if the file cannot be read, or with every fault.
pub fn load_settings(path: &Path, role: Role) -> Result<Settings, LoadError> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => settings(&file, &text, Some(role)).map_err(LoadError::Faults),
        Err(source) => Err(LoadError::Read { file, source }),
    }
}

fn run<T>(
    file: &str,
    text: &str,
    check: impl FnOnce(&mut Report<'_>, Section<'_>),
    parse: impl FnOnce(&str) -> Result<T, toml::de::Error>,
) -> Result<T, Vec<Fault>> {
    let mut report = Report::new(file, text);
    let (clean, errors) = recover::clean(text);
    for error in &errors {
        report.syntax(error);
    }
    let (root, _) = DeTable::parse_recoverable(&clean);
    check(&mut report, Section::root(root.get_ref()));
    if report.is_empty() {
        match parse(text) {
            Ok(parsed) => return Ok(parsed),
            Err(error) => report.syntax(&error),
        }
    }
    Err(report.finish())
}
