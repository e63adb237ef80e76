//! Claim rows.

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
    /// Key for an idempotency key of a team at a service.
    ///
    /// The row key holds a digest, so that its length is bounded and teams cannot read each other's
    /// answers.
    #[must_use]
    pub fn new(service: &str, team: &str, key: &str) -> Self {
        let mut digest = Sha256::new();
        digest.update((team.len() as u64).to_be_bytes());
        digest.update(team);
        digest.update(key);
        Self(format!("{PREFIX}{service}/{}", hex::encode(digest.finalize())))
    }

    /// Row key.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Key of the object that holds an answer too large for the row.
    #[must_use]
    pub fn object(&self) -> String {
        self.0.replacen(PREFIX, "claims/", 1)
    }
}

/// Answer of a backend server, or what is known without one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Answer {
    /// Whole answer.
    Whole {
        /// HTTP status.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
        /// Body in hex.
        body: String,
    },
    /// Whole answer whose body is in the object store.
    Stored {
        /// HTTP status.
        status: u16,
        /// Header names and values.
        headers: Vec<(String, String)>,
        /// Object key.
        object: String,
    },
    /// The request ended without an answer that can be returned.
    Failed {
        /// Whether it may have run.
        verdict: Verdict,
        /// Stable code in snake case.
        code: String,
        /// Text for people.
        message: String,
    },
}

/// Position of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// The owner runs the request.
    Running,
    /// The request has ended.
    Finished {
        /// Its answer.
        answer: Answer,
    },
    /// The request provably did not run; it may be claimed again.
    Released,
}

/// Value of a claim row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Unique identifier of the claim.
    pub id: String,
    /// Gateway that runs the request.
    pub owner: String,
    /// Incarnation of the gateway.
    pub incarnation: u64,
    /// SHA-256 of method, path and body in hex.
    pub digest: String,
    /// Unix time of the claim in seconds; used only for expiry, which tolerates clock differences.
    pub created_s: u64,
    /// Position.
    #[serde(flatten)]
    pub state: State,
}

impl Claim {
    /// Claim of a row; `None` if the row is not a claim.
    #[must_use]
    pub fn of(row: &Row) -> Option<Self> {
        serde_json::from_value(row.value.clone()).ok()
    }
}

/// What a repeat does about a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Claims the request in place of the released claim.
    Claim,
    /// Waits for the owner.
    Wait,
    /// Returns the answer.
    Answer(Answer),
    /// Refuses: the key was used for another request.
    Mismatch,
}

/// What a request with `digest` does about a claim.
#[must_use]
pub fn decide(claim: &Claim, digest: &str) -> Decision {
    match &claim.state {
        State::Released => Decision::Claim,
        _ if claim.digest != digest => Decision::Mismatch,
        State::Running => Decision::Wait,
        State::Finished { answer } => Decision::Answer(answer.clone()),
    }
}

/// SHA-256 of a request in hex.
#[must_use]
pub fn digest(method: &str, path: &str, body: &[u8]) -> String {
    let mut digest = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes(), body] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    hex::encode(digest.finalize())
}

#[cfg(test)]
mod tests {
    use super::{Key, digest};

    /// Guards against two requests that share a claim because their parts join to the same text.
    #[test]
    fn can_tell_requests_apart() {
        assert_ne!(digest("POST", "/a", b"b"), digest("POST", "/ab", b""));
        assert_ne!(Key::new("s", "t", "uk"), Key::new("s", "tu", "k"));
        assert_ne!(Key::new("s", "t", "k"), Key::new("z", "t", "k"));
    }
}
