//! Inventory that operators apply and settings that each process starts with.
//!
//! The inventory is the shared configuration: one TOML document, versioned in the table service.
//! Settings are local to a process: its name, zone, addresses and key files.

pub mod check;
pub mod inventory;
pub mod settings;

use sha2::{Digest, Sha256};

/// SHA-256 of a configuration text in hex.
#[must_use]
pub fn digest(text: &str) -> String {
    hex::encode(Sha256::digest(text.as_bytes()))
}
