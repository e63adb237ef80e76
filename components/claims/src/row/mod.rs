//! Claim rows in the table service, and what a request does about a claim that it finds.

use derive_more::Display;
use filbertsail_api::table::Row;
use filbertsail_errors::Verdict;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Prefix of all claim rows.
pub const PREFIX: &str = "claim/";

/// Key of a claim row.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub struct Key(String);

impl Key {
    /// Row key for a team's idempotency key at a service.
    ///
    /// The row key contains a digest: this bounds its length and keeps teams from reading each
    /// other's responses.
    #[must_use]
    pub fn new(service: &str, team: &str, key: &str) -> Self {
        let mut digest = Sha256::new();
        digest.update((team.len() as u64).to_be_bytes());
        digest.update(team);
        digest.update(key);
        Self(format!("{PREFIX}{service}/{}", hex::encode(digest.finalize())))
    }

    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Object store key for a response body that is too large for the row.
    #[must_use]
    pub fn object_key(&self) -> String {
        self.0.replacen(PREFIX, "claims/", 1)
    }
}

/// Response to return to repeated requests, or the failure of the first request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Answer {
    /// Complete response, stored in the row.
    Whole {
        /// HTTP status.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
        /// Response body in hex.
        body: String,
    },
    /// Complete response with its body in the object store.
    Stored {
        /// HTTP status.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
        /// Key of the body in the object store.
        object: String,
    },
    /// The request ended without a response that can be returned.
    Failed {
        /// Whether the request ran.
        verdict: Verdict,
        /// Stable error code in snake case.
        code: String,
        /// Human-readable description.
        message: String,
    },
}

/// Progress of the request that holds a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The owner is executing the request.
    Running,
    /// The request has ended.
    Finished {
        /// Response or failure for repeated requests.
        answer: Answer,
    },
    /// The request provably did not run; the key may be claimed again.
    Released,
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Unique claim identifier.
    pub id: String,
    /// Name of the gateway that executes the request.
    pub owner: String,
    /// Incarnation of the owner.
    pub incarnation: u64,
    /// SHA-256 of the request's method, path and body, in hex.
    pub digest: String,
    /// Unix time of the claim in seconds; only used for expiry, which tolerates clock skew.
    pub created_s: u64,
    /// Progress of the request.
    #[serde(flatten)]
    pub state: State,
}

impl Claim {
    /// Decodes a table row; `None` if its value is not a claim.
    #[must_use]
    pub fn from_row(row: &Row) -> Option<Self> {
        serde_json::from_value(row.value.clone()).ok()
    }
}

/// What a request does about an existing claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Replaces the released claim with its own.
    Claim,
    /// Waits until the owner has finished.
    Wait,
    /// Returns the stored response.
    Answer(Answer),
    /// Fails: the key was used for a different request.
    Mismatch,
}

/// Decides what a request with `digest` does about an existing claim.
#[must_use]
pub fn decide(claim: &Claim, digest: &str) -> Decision {
    match &claim.state {
        State::Released => Decision::Claim,
        _ if claim.digest != digest => Decision::Mismatch,
        State::Running => Decision::Wait,
        State::Finished { answer } => Decision::Answer(answer.clone()),
    }
}

/// SHA-256 of a request's method, path and body, in hex.
#[must_use]
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex::encode(digest.finalize())
}

#[cfg(test)]
mod tests {
    use super::{Key, request_digest};

    /// Guards against a claim shared by two requests whose concatenated parts are equal.
    #[test]
    fn can_tell_requests_apart() {
        assert_ne!(request_digest("POST", "/a", b"b"), request_digest("POST", "/ab", b""));
        assert_ne!(Key::new("s", "t", "uk"), Key::new("s", "tu", "k"));
        assert_ne!(Key::new("s", "t", "k"), Key::new("z", "t", "k"));
    }
}
