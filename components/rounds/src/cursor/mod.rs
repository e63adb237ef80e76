//! Delivery cursor: batches that a trainer has taken and that the table does not record yet.
//!
//! The trainer sends it back with its next call. It is authenticated with the cluster key, so a
//! holder may record what it says without having seen the delivery.

use filbertsail_rollout::ledger::{self, Entry};
use filbertsail_wire::link::auth::Key;
use serde::{Deserialize, Serialize};

/// Largest length of a cursor's text in bytes; a request head may have 32 KiB.
pub const MAX_BYTES: usize = 24 * 1024;
/// Set apart from other uses of the cluster key.
const DOMAIN: &[u8] = b"filbertsail delivery cursor 1\n";
const MAC_BYTES: usize = 32;

/// Content of a cursor.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Trainer name.
    pub trainer: String,
    /// Fencing number of the holder that delivered.
    pub epoch: u64,
    /// Batches in step order; the last one came with this cursor.
    pub taken: Vec<Entry>,
}

impl Cursor {
    /// Text form with its authentication code.
    ///
    /// # Panics
    /// Never: the type always has a JSON form.
    #[must_use]
    pub fn seal(&self, key: &Key) -> String {
        let body = serde_json::to_vec(self).expect("a cursor has a JSON form");
        let mut bytes = key.sign(&message(&body)).to_vec();
        bytes.extend_from_slice(&body);
        hex::encode(bytes)
    }

    /// Cursor for `trainer` from its text form, if the authentication code is right.
    #[must_use]
    pub fn open(key: &Key, trainer: &str, text: &str) -> Option<Self> {
        if text.len() > MAX_BYTES {
            return None;
        }
        let bytes = hex::decode(text).ok()?;
        let (code, body) = bytes.split_at_checked(MAC_BYTES)?;
        if !key.verify(&message(body), code) {
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

fn message(body: &[u8]) -> Vec<u8> {
    [DOMAIN, body].concat()
}

#[cfg(test)]
mod tests {
    use filbertsail_rollout::ledger::{Entry, MAX_UNRECORDED_BATCHES, Manifest};
    use filbertsail_wire::link::auth::Key;

    use super::{Cursor, MAX_BYTES};

    /// Guards against forged cursors and cursors of another trainer.
    #[test]
    fn can_refuse_a_forged_cursor() {
        let key = Key::new(vec![7; 32]);
        let cursor = Cursor { trainer: "t".to_owned(), epoch: 3, taken: Vec::new() };
        let text = cursor.seal(&key);
        assert_eq!(Cursor::open(&key, "t", &text), Some(cursor));
        assert_eq!(Cursor::open(&key, "u", &text), None);
        assert_eq!(Cursor::open(&Key::new(vec![8; 32]), "t", &text), None);
        let forged = text.replace("33", "34");
        assert!(forged == text || Cursor::open(&key, "t", &forged).is_none());
        let mut bytes = hex::decode(&text).expect("hex");
        *bytes.last_mut().expect("bytes") ^= 1;
        assert_eq!(Cursor::open(&key, "t", &hex::encode(bytes)), None);
    }

    /// Guards against a cursor that has grown too long for the trainer to send it back.
    #[test]
    fn can_fit_all_unrecorded_batches() {
        let key = Key::new(vec![7; 32]);
        let trainer = "t".repeat(64);
        let taken = (0..MAX_UNRECORDED_BATCHES as u64).map(|index| {
            let step = 1_000_000 + index;
            let object = format!("manifests/{trainer}/{step}/{}", "a".repeat(64));
            let digest = "a".repeat(64);
            let manifest = Manifest { epoch: 99_999, digest, object, oldest: 99_999, bound: 99 };
            Entry { step, manifest }
        });
        let cursor = Cursor { trainer: trainer.clone(), epoch: 99_999, taken: taken.collect() };
        let text = cursor.seal(&key);
        assert!(text.len() <= MAX_BYTES, "{} bytes", text.len());
        assert_eq!(Cursor::open(&key, &trainer, &text), Some(cursor));
    }
}
