//! Configuration: following the head in the table service and accepting changes.

pub mod apply;
pub(crate) mod follower;
pub(crate) mod task;

use std::sync::Arc;

use filbertsail_config::inventory::Inventory;
use serde::{Deserialize, Serialize};

/// Key of the row of the head.
pub const HEAD: &str = "config/head";

/// Key of the row of a version.
#[must_use]
pub fn key(version: u64) -> String {
    format!("config/{version}")
}

/// Configuration version with its inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct Snapshot {
    /// Version from 1.
    pub version: u64,
    /// SHA-256 of the text in hex.
    pub digest: String,
    /// Inventory in TOML.
    pub text: Arc<str>,
    /// Parsed inventory.
    pub inventory: Inventory,
}

impl Snapshot {
    /// Snapshot of a text whose digest is known.
    ///
    /// # Errors
    /// Fails if the digest is not that of the text or the text is no inventory.
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
    /// Highest version.
    pub version: u64,
    /// SHA-256 of its text in hex.
    pub digest: String,
    /// Operator who applied it.
    pub author: String,
}

/// Value of the row of a version. Rows of versions are never replaced, so that they form the
/// history and settle whether a lost write took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Version.
    pub version: u64,
    /// SHA-256 of the text in hex.
    pub digest: String,
    /// Operator who applied it.
    pub author: String,
    /// Inventory in TOML.
    pub text: String,
}
