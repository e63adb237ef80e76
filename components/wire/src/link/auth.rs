//! Proof that a caller holds the cluster key.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::{codec, frame::Hello};

/// Length of the authentication code in bytes.
const MAC_BYTES: usize = 32;

/// Key that all daemons of a fleet share.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Key from raw bytes.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// HMAC-SHA-256 over `message`.
    #[must_use]
    pub fn sign(&self, message: &[u8]) -> [u8; MAC_BYTES] {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("any key length is allowed");
        mac.update(message);
        mac.finalize().into_bytes().into()
    }

    /// Whether `code` is the authentication code of `message`.
    #[must_use]
    pub fn verify(&self, message: &[u8], code: &[u8]) -> bool {
        self.sign(message).ct_eq(code).into()
    }
}

/// Text form of a signed identity for a header.
///
/// # Errors
/// Fails if the identity is too large for a frame.
pub fn seal(key: &Key, hello: &Hello) -> Result<String, codec::Error> {
    let mut bytes = codec::encode_body(hello)?;
    let code = key.sign(&bytes);
    bytes.extend_from_slice(&code);
    Ok(hex::encode(bytes))
}

/// Identity in a header, if its authentication code is right.
#[must_use]
pub fn open(key: &Key, text: &str) -> Option<Hello> {
    let bytes = hex::decode(text).ok()?;
    let split = bytes.len().checked_sub(MAC_BYTES)?;
    let (body, code) = bytes.split_at(split);
    if !key.verify(body, code) {
        return None;
    }
    codec::decode_body(0, body).ok()
}
