//! Names of prompt prefixes, as engines use them in cache events.

use sha2::{Digest, Sha256};

/// Bytes of the prompt that count as its prefix.
const PREFIX_BYTES: usize = 64;
/// Bytes of the digest that a name keeps.
const NAME_BYTES: usize = 8;

/// Names of the prompt's prefixes, longest first.
#[must_use]
pub fn prefixes(prompt: &str) -> Vec<String> {
    let bytes = prompt.as_bytes();
    let digest = Sha256::digest(&bytes[..bytes.len().min(PREFIX_BYTES)]);
    vec![hex::encode(&digest[..NAME_BYTES])]
}
