//! Hashes of prompt prefixes, as engines use them in cache events.

use sha2::{Digest, Sha256};

/// Length of the hashed prefix.
const PREFIX_BYTES: usize = 64;
/// Length of a truncated hash.
const HASH_BYTES: usize = 8;

/// Hashes of the prompt's prefixes in hex, longest first.
#[must_use]
pub fn prefix_hashes(prompt: &str) -> Vec<String> {
    let bytes = prompt.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    vec![hex::encode(&digest[..HASH_BYTES])]
}
