//! Keyed hashes of keys.
//!
//! Keys are stored, compared and logged only as HMAC-SHA-256 under a random secret of the process.
//! Comparison times then tell a caller nothing about a key, and a hash from a log cannot be tested
//! against guessed keys.

use derive_more::Debug;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;

const SECRET_BYTES: usize = 32;
/// Stored part of a hash. Two of 20,000 keys have the same one with a probability of 2^-100.
const DIGEST_BYTES: usize = 16;
/// Part of a hash that is logged; enough to tell the keys of a log apart.
const FINGERPRINT_BYTES: usize = 4;

/// Largest size of a key.
pub const MAX_BYTES: usize = 128;

/// Why no request can carry `key`; none if it is a possible key.
#[must_use]
pub fn fault(key: &[u8]) -> Option<&'static str> {
    match key {
        [] => Some("the key is empty"),
        key if key.len() > MAX_BYTES => Some("the key is too long"),
        key if !key.iter().all(u8::is_ascii_graphic) => {
            Some("the key has characters that no key has")
        }
        _ => None,
    }
}

/// Random secret of the process for the hashes of keys.
#[derive(Clone, Debug)]
#[debug("Secret")]
pub struct Secret(Hmac<Sha256>);

impl Default for Secret {
    fn default() -> Self {
        let secret: [u8; SECRET_BYTES] = rand::random();
        Self(Hmac::new_from_slice(&secret).expect("any key length is allowed"))
    }
}

impl Secret {
    /// Hash of a key.
    #[must_use]
    pub fn digest(&self, key: &[u8]) -> Digest {
        let mut mac = self.0.clone();
        mac.update(key);
        let hash: [u8; 32] = mac.finalize().into_bytes().into();
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash[..DIGEST_BYTES]);
        Digest(digest)
    }
}

/// Keyed hash of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[debug("{}", self.fingerprint())]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Short text for logs; it differs after a restart of the process.
    #[must_use]
    pub fn fingerprint(&self) -> String {
        hex::encode(&self.0[..FINGERPRINT_BYTES])
    }
}
