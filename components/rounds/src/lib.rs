//! Trainer API of a gateway, and what gateways and controllers share about rounds: table rows,
//! manifests, delivery cursors, and the trainer's client.

pub mod client;
pub mod cursor;
pub mod handler;
pub mod manifest;
pub mod reach;
pub mod row;

/// Random token for a transaction.
#[must_use]
pub fn token() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}
