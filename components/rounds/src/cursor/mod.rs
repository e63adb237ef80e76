//! Delivery cursor: batches that were delivered to a trainer but are not yet recorded in the table.
//!
//! The trainer sends it back with its next call. It is authenticated with the cluster key, so a new
//! lease holder can record batches that it did not deliver itself.

use filbertsail_rollout::ledger::{self, Entry};
use filbertsail_wire::link::auth::Key;
use serde::{Deserialize, Serialize};

/// Largest length of an encoded cursor in bytes; a request head is limited to 32 KiB.
pub const MAX_BYTES: usize = 24 * 1024;
/// Prefix of the authenticated message, which separates it from other uses of the cluster key.
const MAC_DOMAIN: &[u8] = b"filbertsail delivery cursor 1\n";
const MAC_BYTES: usize = 32;

/// Content of a cursor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    pub trainer: String,
    /// Fencing token of the lease holder that delivered.
    pub epoch: u64,
    /// Delivered batches in step order; the last one was sent with this cursor.
    pub taken: Vec<Entry>,
}

impl Cursor {
    /// Encodes the cursor with its authentication code, in hex.
    ///
    /// # Panics
    /// Never: the type can always be encoded as JSON.
    #[must_use]
    pub fn sign(&self, key: &Key) -> String {
        let body = serde_json::to_vec(self).expect("a cursor can be encoded as JSON");
        let mut bytes = key.sign(&mac_message(&body)).to_vec();
        bytes.extend_from_slice(&body);
        hex::encode(bytes)
    }

    /// Decodes a cursor. Returns `None` if it is malformed, its authentication code is wrong or it
    /// belongs to another trainer.
    #[must_use]
    pub fn verify(key: &Key, trainer: &str, text: &str) -> Option<Self> {
        if text.len() > MAX_BYTES {
            return None;
        }
        let bytes = hex::decode(text).ok()?;
        let (code, body) = bytes.split_at_checked(MAC_BYTES)?;
        if !key.verify(&mac_message(body), code) {
            return None;
        }
        let cursor: Self = serde_json::from_slice(body).ok()?;
        (cursor.trainer == trainer).then_some(cursor)
    }
}

impl From<Cursor> for ledger::Cursor {
    fn from(cursor: Cursor) -> Self {
        Self { epoch: cursor.epoch, entries: cursor.taken }
    }
}

fn mac_message(body: &[u8]) -> Vec<u8> {
    [MAC_DOMAIN, body].concat()
}

#[cfg(test)]
mod tests {
    use filbertsail_rollout::ledger::{Entry, MAX_UNRECORDED_BATCHES, Manifest};
    use filbertsail_wire::link::auth::Key;

    use super::{Cursor, MAX_BYTES};

    /// Guards against accepting forged cursors and cursors of another trainer.
    #[test]
    fn can_reject_a_forged_cursor() {
        let key = Key::new(vec![7; 32]);
        let cursor = Cursor { trainer: "t".to_owned(), epoch: 3, taken: Vec::new() };
        let text = cursor.sign(&key);
        assert_eq!(Cursor::verify(&key, "t", &text), Some(cursor));
        assert_eq!(Cursor::verify(&key, "u", &text), None);
        assert_eq!(Cursor::verify(&Key::new(vec![8; 32]), "t", &text), None);
        let forged = text.replace("33", "34");
        assert!(forged == text || Cursor::verify(&key, "t", &forged).is_none());
        let mut bytes = hex::decode(&text).expect("hex");
        *bytes.last_mut().expect("bytes") ^= 1;
        assert_eq!(Cursor::verify(&key, "t", &hex::encode(bytes)), None);
    }

    /// Guards against a cursor that is too long to fit into a request head.
    #[test]
    fn can_fit_all_unrecorded_batches() {
        let key = Key::new(vec![7; 32]);
        let trainer = "t".repeat(64);
        let entries = (0..MAX_UNRECORDED_BATCHES as u64).map(|index| {
            let step = 1_000_000 + index;
            let object = format!("manifests/{trainer}/{step}/{}", "a".repeat(64));
            let digest = "a".repeat(64);
            let manifest = Manifest { epoch: 99_999, digest, object, oldest: 99_999, bound: 99 };
            Entry { step, manifest }
        });
        let cursor = Cursor { trainer: trainer.clone(), epoch: 99_999, taken: entries.collect() };
        let text = cursor.sign(&key);
        assert!(text.len() <= MAX_BYTES, "{} bytes", text.len());
        assert_eq!(Cursor::verify(&key, &trainer, &text), Some(cursor));
    }
}
