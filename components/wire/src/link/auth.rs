//! Proof that a caller holds the cluster key.
//!
//! A connection opens with a signed identity that carries the time and a nonce. Every call is
//! signed over that nonce, its number on the connection and the request, so that a recorded call
//! is worth nothing on another connection or a second time on the same one.

use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use derive_more::Display;
use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::{codec, frame::Hello};

/// Length of the authentication code in bytes.
const MAC_BYTES: usize = 32;
/// Largest difference between the clocks of two VMs, and time for which nonces are remembered.
pub const WINDOW_MS: u64 = 60_000;

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

/// Header value that signs the call number `number` of the connection with `nonce`.
#[must_use]
pub fn seal_call(key: &Key, nonce: &[u8; 16], number: u64, request: &[u8]) -> String {
    format!("{number}-{}", hex::encode(key.sign(&call_message(nonce, number, request))))
}

/// Whether `code` signs the call.
#[must_use]
pub fn verify_call(key: &Key, nonce: &[u8; 16], number: u64, request: &[u8], code: &str) -> bool {
    let code = hex::decode(code).unwrap_or_default();
    key.verify(&call_message(nonce, number, request), &code)
}

/// Number and code in a header value of [`seal_call`].
#[must_use]
pub fn parse_call(text: &str) -> Option<(u64, &str)> {
    let (number, code) = text.split_once('-')?;
    Some((number.parse().ok()?, code))
}

fn call_message(nonce: &[u8; 16], number: u64, request: &[u8]) -> Vec<u8> {
    // The length of the prefix is fixed, so no two calls share a message.
    [nonce.as_slice(), &number.to_be_bytes(), request].concat()
}

/// Why an identity was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// Not signed with the cluster key.
    #[display("stranger")]
    Stranger,
    /// Sent at another time, or seen on another connection.
    #[display("replay")]
    Replay,
}

/// Memory of the identities that opened a connection lately.
#[derive(Debug, Default)]
pub struct Admission {
    nonces: Mutex<HashMap<[u8; 16], u64>>,
    strangers: AtomicU64,
    replays: AtomicU64,
}

impl Admission {
    /// Identity in a header that opens a connection at the Unix time `now_ms`.
    ///
    /// # Errors
    /// Fails if the identity is not signed, was sent at another time or was used before.
    pub fn admit(&self, key: &Key, text: &str, now_ms: u64) -> Result<Hello, Refusal> {
        let hello = open(key, text).ok_or(Refusal::Stranger);
        let admitted = hello.and_then(|hello| self.check_fresh(hello, now_ms));
        admitted.map_err(|refusal| self.count(refusal))
    }

    fn check_fresh(&self, hello: Hello, now_ms: u64) -> Result<Hello, Refusal> {
        if hello.sent_at_ms.abs_diff(now_ms) > WINDOW_MS {
            return Err(Refusal::Replay);
        }
        let mut nonces = self.nonces.lock().unwrap_or_else(PoisonError::into_inner);
        nonces.retain(|_, sent_at_ms| sent_at_ms.abs_diff(now_ms) <= WINDOW_MS);
        match nonces.insert(hello.nonce, hello.sent_at_ms) {
            None => Ok(hello),
            Some(_) => Err(Refusal::Replay),
        }
    }

    /// Counts and logs a refused call and returns the reason.
    pub fn count(&self, refusal: Refusal) -> Refusal {
        let counter = match refusal {
            Refusal::Stranger => &self.strangers,
            Refusal::Replay => &self.replays,
        };
        let total = counter.fetch_add(1, Ordering::Relaxed) + 1;
        // Powers of two only, so that strangers cannot fill the log.
        if total.is_power_of_two() {
            log::warn!("event=peer_refused reason={refusal} total={total}");
        }
        refusal
    }

    /// Calls refused so far for `refusal`.
    #[must_use]
    pub fn refused(&self, refusal: Refusal) -> u64 {
        match refusal {
            Refusal::Stranger => self.strangers.load(Ordering::Relaxed),
            Refusal::Replay => self.replays.load(Ordering::Relaxed),
        }
    }
}

/// Unix time in milliseconds.
#[must_use]
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
