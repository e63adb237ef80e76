//! Review of a configuration before it is sent, and of its differences from the one in force.
//!
//! The functions are pure and work on the decoded configuration with the keys in it, thus before
//! [`Config::hash_keys`]. Key paths and values as written come from the adapter ([`Document`]).

mod changes;
mod limits;
mod routes;
mod services;
mod workspaces;

use derive_more::{Constructor, Display};
use filbertsail_workspaces::Secret;
use serde::Serialize;

use super::Config;

pub use changes::{Change, Side, Version, compare};

/// Whether a finding prevents a configuration from being sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Part of the configuration cannot work as written.
    #[display("error")]
    Error,
    /// Part of the configuration may differ from what is intended.
    #[display("warning")]
    Warning,
}

/// Fault of a configuration.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{severity}: {path} = {value}: {problem}; {remedy}")]
pub struct Finding {
    /// Key path, such as `routes[3].host`.
    pub path: String,
    /// Excerpt of the value; never a key of a caller.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub remedy: String,
    pub severity: Severity,
}

/// Place in a configuration; positions are those in the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place<'a> {
    Version,
    Routes,
    Route(usize, RoutePart),
    /// Position of the route and of the target in it.
    Target(usize, usize),
    Service(usize, ServicePart<'a>),
    Limit(LimitPart),
    Workspaces,
    Workspace(usize, WorkspacePart),
    /// Position of the workspace and of the key in it.
    Key(usize, usize),
}

/// Part of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutePart {
    Whole,
    Host,
    Prefix,
    Kind,
    Timeout,
    TargetLatency,
    Targets,
    Attempts,
    Queue,
    Resumable,
    SingleVersion,
    Priority,
    Public,
}

/// Part of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServicePart<'a> {
    Whole,
    Name,
    Engine,
    Slots,
    KvTokens,
    TokensPerEvent,
    Models,
    Scaling,
    Minimum,
    Maximum,
    BootTime,
    SpotPrice,
    Prices,
    /// Price of a zone.
    Price(&'a str),
}

/// Limit on requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitPart {
    HeaderBytes,
    BodyBytes,
    HeaderTimeout,
    IdleTimeout,
}

/// Part of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkspacePart {
    Name,
    Keys,
    Priority,
}

/// Document that a configuration was decoded from, as the adapter knows it.
pub trait Document {
    /// Key path of a place.
    fn path(&self, place: Place<'_>) -> String;

    /// Excerpt of the value at a place, as written. Not called for keys.
    fn value(&self, place: Place<'_>) -> String;

    /// Names of the services in their order, also if one is repeated.
    fn services(&self) -> Vec<&str>;
}

/// What a configuration is checked against.
#[derive(Clone, Debug)]
pub struct Basis {
    /// Memory of the smallest VM.
    pub memory_bytes: u64,
    /// Secret for the fingerprints of keys.
    pub secret: Secret,
}

/// Checks a decoded configuration; the findings are in the order of its sections.
#[must_use]
pub fn check(config: &Config, document: &impl Document, basis: &Basis) -> Vec<Finding> {
    let mut review = Review::new(config, document, basis, Vec::new());
    routes::check(&mut review);
    services::check(&mut review);
    limits::check(&mut review);
    workspaces::check(&mut review);
    review.findings
}

/// Checks that VMs take `config` in place of `in_force`.
#[must_use]
pub fn check_version(
    config: &Config,
    document: &impl Document,
    in_force: &Config,
) -> Option<Finding> {
    (config.version <= in_force.version).then(|| Finding {
        path: document.path(Place::Version),
        value: document.value(Place::Version),
        problem: format!(
            "is not above version {}, which is in force, so no VM applies it",
            in_force.version
        ),
        remedy: match in_force.version.checked_add(1) {
            Some(next) => format!("set it to {next} or more"),
            None => "no higher version exists; a lower one must be put in force first".to_owned(),
        },
        severity: Severity::Error,
    })
}

/// Findings of one configuration.
#[derive(Constructor)]
struct Review<'a, D> {
    config: &'a Config,
    document: &'a D,
    basis: &'a Basis,
    findings: Vec<Finding>,
}

impl<D: Document> Review<'_, D> {
    fn error(&mut self, place: Place<'_>, problem: impl Into<String>, remedy: impl Into<String>) {
        self.add(Severity::Error, place, problem.into(), remedy.into());
    }

    fn warning(&mut self, place: Place<'_>, problem: impl Into<String>, remedy: impl Into<String>) {
        self.add(Severity::Warning, place, problem.into(), remedy.into());
    }

    fn add(&mut self, severity: Severity, place: Place<'_>, problem: String, remedy: String) {
        let value = match place {
            Place::Key(workspace, key) => self.key_label(workspace, key),
            _ => self.document.value(place),
        };
        self.findings.push(Finding {
            path: self.document.path(place),
            value,
            problem,
            remedy,
            severity,
        });
    }

    fn key_label(&self, workspace: usize, key: usize) -> String {
        let workspaces = self.config.workspaces.as_deref().unwrap_or_default();
        let key = workspaces.get(workspace).and_then(|workspace| workspace.keys.get(key));
        key.map_or_else(String::new, |key| label(&self.basis.secret, key))
    }
}

/// Text that stands for a key in output.
fn label(secret: &Secret, key: &str) -> String {
    format!("key {}", secret.digest(key.as_bytes()).fingerprint())
}
