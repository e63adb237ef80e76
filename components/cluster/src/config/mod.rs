//! Configuration: follows the head version in the table service and writes new versions.

pub mod apply;
pub(crate) mod follower;
pub(crate) mod task;

use std::sync::Arc;

use filbertsail_config::inventory::Inventory;
use serde::{Deserialize, Serialize};

/// Table key of the head row.
pub const HEAD: &str = "config/head";

/// Table key of the row of `version`.
#[must_use]
pub fn key(version: u64) -> String {
    format!("config/{version}")
}

/// Parsed configuration version.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Version number, starting at 1.
    pub version: u64,
    /// SHA-256 of the text in hex.
    pub digest: String,
    /// Inventory in TOML.
    pub text: Arc<str>,
    /// Parsed inventory.
    pub inventory: Inventory,
}

impl Snapshot {
    /// Parses `text` after checking it against `digest`.
    ///
    /// # Errors
    /// Fails if the digest does not match the text or the text is not a valid inventory.
    pub fn parse(version: u64, digest: &str, text: &str) -> Result<Self, String> {
        if filbertsail_config::digest(text) != digest {
            return Err("digest does not match the text".to_owned());
        }
        let inventory = Inventory::parse(text).map_err(|error| error.to_string())?;
        Ok(Self { version, digest: digest.to_owned(), text: text.into(), inventory })
    }
}

/// Value of the head row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Highest accepted version.
    pub version: u64,
    /// SHA-256 of its text in hex.
    pub digest: String,
    /// Operator who applied it.
    pub author: String,
}

/// Value of a version row. Version rows are never replaced: they form the history and show whether
/// a write of unknown outcome took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version number, starting at 1.
    pub version: u64,
    /// SHA-256 of the text in hex.
    pub digest: String,
    /// Operator who applied it.
    pub author: String,
    /// Inventory in TOML.
    pub text: String,
}
