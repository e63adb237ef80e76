//! Names of prompt prefixes, as engines use them in cache events.

use sha2::{Digest, Sha256};

/// Characters per block of a prompt.
const BLOCK_BYTES: usize = 64;
/// Most blocks that are named.
const MAX_BLOCKS: usize = 32;
/// Bytes of the digest that a name keeps.
const NAME_BYTES: usize = 8;

/// Names of the prefixes of whole blocks, longest first.
#[must_use]
pub fn prefixes(prompt: &str) -> Vec<String> {
    let mut digest = Sha256::new();
    let mut names: Vec<String> = prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .take(MAX_BLOCKS)
        .map(|block| {
            digest.update(block);
            hex::encode(&digest.clone().finalize()[..NAME_BYTES])
        })
        .collect();
    names.reverse();
    names
}
