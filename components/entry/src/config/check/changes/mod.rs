//! Differences between a configuration and the one in force, with their effects.

mod limits;
mod routes;
mod services;
mod workspaces;

use std::time::Duration;

use derive_more::Display;
use filbertsail_workspaces::Secret;
use serde::Serialize;

use super::{super::Config, Document, Place};

/// Configuration that a key path refers to.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Version {
    /// The newer one.
    #[display("new")]
    New,
    /// The older one, which has what was removed.
    #[display("in force")]
    InForce,
}

/// Difference between two configurations.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{path} ({version}): {change}; {effect}")]
pub struct Change {
    pub path: String,
    /// Configuration that the path refers to.
    pub version: Version,
    /// What differs.
    pub change: String,
    /// What happens when the newer configuration is applied.
    pub effect: String,
}

/// A configuration and the document that it was decoded from.
#[derive(Debug)]
pub struct Side<'a, D> {
    pub config: &'a Config,
    pub document: &'a D,
}

/// Lists what changes when `after` replaces `before`; `secret` is for the fingerprints of keys.
#[must_use]
pub fn compare<D: Document>(
    before: &Side<'_, D>,
    after: &Side<'_, D>,
    secret: &Secret,
) -> Vec<Change> {
    let mut diff = Diff { before, after, secret, changes: Vec::new() };
    routes::compare(&mut diff);
    services::compare(&mut diff);
    limits::compare(&mut diff);
    workspaces::compare(&mut diff);
    diff.changes
}

/// Changes between two configurations.
struct Diff<'a, D> {
    before: &'a Side<'a, D>,
    after: &'a Side<'a, D>,
    secret: &'a Secret,
    changes: Vec<Change>,
}

impl<D: Document> Diff<'_, D> {
    /// Adds a change of what the older configuration has at `place`.
    fn removed(&mut self, place: Place<'_>, change: String, effect: impl Into<String>) {
        let (path, version) = (self.before.document.path(place), Version::InForce);
        self.changes.push(Change { path, version, change, effect: effect.into() });
    }

    /// Adds a change of what the newer configuration has at `place`.
    fn changed(&mut self, place: Place<'_>, change: String, effect: impl Into<String>) {
        let (path, version) = (self.after.document.path(place), Version::New);
        self.changes.push(Change { path, version, change, effect: effect.into() });
    }
}

fn millis(time: Duration) -> String {
    format!("{} ms", time.as_secs_f64() * 1_000.0)
}

fn from_to(subject: &str, before: &str, after: &str) -> Option<String> {
    (before != after).then(|| format!("{subject}: from {before} to {after}"))
}
