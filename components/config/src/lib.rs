//! The inventory that operators apply and the settings that each process starts with.
//!
//! The inventory is the shared configuration: one TOML text, versioned in the table service. The
//! settings are local to a process: its name, zone, addresses and key files.

pub mod check;
pub mod inventory;
pub mod settings;

use sha2::{Digest, Sha256};

/// SHA-256 of a configuration text, in hex.
#[must_use]
pub fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
