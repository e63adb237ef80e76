//! Authentication of callers with the cluster key.
//!
//! The caller of a connection presents a signed identity that contains a time and a nonce. The
//! signature of each call covers this nonce, the number of the call on the connection and the
//! request, so that a recorded call cannot be replayed on this or another connection.

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

/// Length of an authentication code in bytes.
const MAC_BYTES: usize = 32;
/// Largest accepted clock difference between two VMs, which is also the retention of nonces.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// Key that all daemons of a fleet share.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Key from raw bytes.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(bytes)
    }

    /// HMAC-SHA-256 of `message`.
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

/// Encodes and signs an identity as a header value.
///
/// # Errors
/// Fails if the identity is too large for a frame.
pub fn sign_hello(key: &Key, hello: &Hello) -> Result<String, codec::Error> {
    let mut bytes = codec::encode_body(hello)?;
    let code = key.sign(&bytes);
    bytes.extend_from_slice(&code);
    Ok(hex::encode(bytes))
}

/// Decodes an identity from a header value; `None` if it is malformed or its authentication code is
/// wrong.
#[must_use]
pub fn verify_hello(key: &Key, text: &str) -> Option<Hello> {
    let bytes = hex::decode(text).ok()?;
    let split = bytes.len().checked_sub(MAC_BYTES)?;
    let (body, code) = bytes.split_at(split);
    if !key.verify(body, code) {
        return None;
    }
    codec::decode_body(0, body).ok()
}

/// Header value that signs call `number` of the connection with `nonce`.
#[must_use]
pub fn sign_call(key: &Key, nonce: &[u8; 16], number: u64, request: &[u8]) -> String {
    format!("{number}-{}", hex::encode(key.sign(&call_message(nonce, number, request))))
}

/// Whether `code` is the authentication code of the call, in hex.
#[must_use]
pub fn verify_call(key: &Key, nonce: &[u8; 16], number: u64, request: &[u8], code: &str) -> bool {
    let code = hex::decode(code).unwrap_or_default();
    key.verify(&call_message(nonce, number, request), &code)
}

/// Splits a header value of [`sign_call`] into the number and the authentication code.
#[must_use]
pub fn parse_call(text: &str) -> Option<(u64, &str)> {
    let (number, code) = text.split_once('-')?;
    Some((number.parse().ok()?, code))
}

fn call_message(nonce: &[u8; 16], number: u64, request: &[u8]) -> Vec<u8> {
    // The parts before the request have a fixed length, so messages of different calls differ.
    [nonce.as_slice(), &number.to_be_bytes(), request].concat()
}

/// Reason why a call was refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// The identity or call is not signed with the cluster key.
    #[display("stranger")]
    Stranger,
    /// The identity or call number was used before, or the identity's time is out of range.
    #[display("replay")]
    Replay,
}

/// Verifies identities, detects replays and counts refused calls.
#[derive(Debug, Default)]
pub struct Verifier {
    nonces: Mutex<HashMap<[u8; 16], u64>>,
    strangers: AtomicU64,
    replays: AtomicU64,
}

impl Verifier {
    /// Verifies the identity of a new connection at the Unix time `now_ms`.
    ///
    /// # Errors
    /// Fails if the identity is not signed, its time differs too much from `now_ms` or it was used
    /// before.
    pub fn verify(&self, key: &Key, text: &str, now_ms: u64) -> Result<Hello, Refusal> {
        let hello = verify_hello(key, text).ok_or(Refusal::Stranger);
        let verified = hello.and_then(|hello| self.check_fresh(hello, now_ms));
        verified.map_err(|refusal| self.count_refusal(refusal))
    }

    fn check_fresh(&self, hello: Hello, now_ms: u64) -> Result<Hello, Refusal> {
        if hello.sent_at_ms.abs_diff(now_ms) > MAX_CLOCK_SKEW_MS {
            return Err(Refusal::Replay);
        }
        let mut nonces = self.nonces.lock().unwrap_or_else(PoisonError::into_inner);
        nonces.retain(|_, sent_at_ms| sent_at_ms.abs_diff(now_ms) <= MAX_CLOCK_SKEW_MS);
        match nonces.insert(hello.nonce, hello.sent_at_ms) {
            None => Ok(hello),
            Some(_) => Err(Refusal::Replay),
        }
    }

    /// Counts and logs a refused call. Returns the reason unchanged.
    pub fn count_refusal(&self, refusal: Refusal) -> Refusal {
        let counter = match refusal {
            Refusal::Stranger => &self.strangers,
            Refusal::Replay => &self.replays,
        };
        let total = counter.fetch_add(1, Ordering::Relaxed) + 1;
        // Logs only powers of two, so that unauthenticated callers cannot flood the log.
        if total.is_power_of_two() {
            log::warn!("event=peer_refused reason={refusal} total={total}");
        }
        refusal
    }

    /// Number of calls refused so far for this reason.
    #[must_use]
    pub fn refusals(&self, refusal: Refusal) -> u64 {
        match refusal {
            Refusal::Stranger => self.strangers.load(Ordering::Relaxed),
            Refusal::Replay => self.replays.load(Ordering::Relaxed),
        }
    }
}

/// Unix time in milliseconds.
#[must_use]
pub fn unix_time_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
