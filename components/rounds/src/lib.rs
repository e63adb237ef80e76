//! Rounds of training samples: the trainer API of a gateway, its client, and the table rows,
//! manifests and delivery cursors that gateways and controllers share.

pub mod client;
pub mod cursor;
pub mod handler;
pub mod holder;
pub mod manifest;
pub mod row;

/// Random transaction token.
#[must_use]
pub fn transaction_token() -> String {
    hex::encode(rand::random::<[u8; 16]>())
}
