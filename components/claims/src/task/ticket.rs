//! Claim that a running request holds.

use std::time::Duration;

use bytes::Bytes;
use filbertsail_api::table::Expect;
use filbertsail_clock as clock;
use filbertsail_errors::Verdict;
use filbertsail_ports::{object, table};
use filbertsail_telemetry::event::Line;
use tokio::time::sleep;

use super::{Claims, Members};
use crate::{
    batch::Outcome,
    row::{Answer, Claim, Key, State},
};

/// Largest response body stored in the row, in bytes.
pub const MAX_ROW_BODY_BYTES: usize = 16 * 1024;
/// Delay before the first retry of a failed write; it doubles each time.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Largest delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Attempts to write the result of a request; including the delays they span several minutes.
const MAX_ATTEMPTS: u32 = 60;

/// Claim that a running request holds. Dropping it records that the request may have run.
#[derive(Debug)]
pub struct Ticket<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    held: Option<Held<T, S, M, C>>,
}

#[derive(Debug)]
struct Held<T, S, M, C> {
    claims: Claims<T, S, M, C>,
    key: Key,
    claim: Claim,
}

impl<T, S, M, C> Ticket<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    pub(super) fn new(claims: &Claims<T, S, M, C>, key: &Key, claim: Claim) -> Self {
        Self { held: Some(Held { claims: claims.clone(), key: key.clone(), claim }) }
    }

    /// Stores a complete response. A body too large for the row goes to the object store; if that
    /// fails, repeated requests are told that the request ran.
    pub async fn store_response(
        mut self,
        status: u16,
        headers: Vec<(String, String)>,
        body: Bytes,
    ) {
        let Some(held) = self.held.take() else { return };
        let answer = if body.len() <= MAX_ROW_BODY_BYTES {
            Answer::Whole { status, headers, body: hex::encode(&body) }
        } else {
            let object = held.key.object_key();
            match held.claims.context.objects.put(&object, body).await {
                Ok(()) => Answer::Stored { status, headers, object },
                Err(error) => response_unavailable(&error.to_string()),
            }
        };
        held.finish(State::Finished { answer }).await;
    }

    /// Records that the request ran and that its response is too large to be stored.
    pub async fn store_unavailable_response(self) {
        self.store_failure(response_unavailable("answer is too large to be kept")).await;
    }

    /// Stores the failure of a request that ran or may have run.
    pub async fn store_failure(mut self, answer: Answer) {
        if let Some(held) = self.held.take() {
            held.finish(State::Finished { answer }).await;
        }
    }

    /// Releases the claim of a request that provably did not run.
    pub async fn release(mut self) {
        if let Some(held) = self.held.take() {
            held.finish(State::Released).await;
        }
    }

    /// Ensures that a commit with an unknown outcome does not take effect later.
    ///
    /// The commit expects the row to be absent or to have the revision of a released claim. Writing
    /// a new released row makes either check fail permanently.
    pub(super) async fn block_late_commit(mut self) {
        let Some(held) = self.held.take() else { return };
        let released = Claim { state: State::Released, ..held.claim.clone() };
        let mut expect = Expect::Absent;
        let mut delay = INITIAL_RETRY_DELAY;
        for _ in 0..MAX_ATTEMPTS {
            match held.claims.commit(&held.key, expect.clone(), &released).await {
                Outcome::Committed => return,
                Outcome::Conflict(None) => expect = Expect::Absent,
                Outcome::Conflict(Some(row)) => match Claim::from_row(&row) {
                    Some(found) if found.id == held.claim.id => {
                        return held.finish(State::Released).await;
                    }
                    Some(found) if found.state == State::Released => {
                        expect = Expect::Revision { revision: row.revision };
                    }
                    _ => return,
                },
                Outcome::Unavailable(_) | Outcome::Unknown => {
                    sleep(delay).await;
                    delay = (delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }
}

fn response_unavailable(message: &str) -> Answer {
    Answer::Failed {
        verdict: Verdict::Ran,
        code: "answer_not_kept".to_owned(),
        message: message.to_owned(),
    }
}

impl<T, S, M, C> Held<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    /// Writes the final state; the write fails if the row holds another claim.
    async fn finish(self, state: State) {
        let claim = Claim { state, ..self.claim };
        let own_claim = Expect::Field { name: "id".to_owned(), equals: claim.id.clone().into() };
        let mut delay = INITIAL_RETRY_DELAY;
        for _ in 0..MAX_ATTEMPTS {
            match self.claims.commit(&self.key, own_claim.clone(), &claim).await {
                Outcome::Committed => return,
                Outcome::Conflict(_) => break,
                Outcome::Unavailable(_) | Outcome::Unknown => sleep(delay).await,
            }
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
        Line::new("claim_end_lost").with("key", &self.key).with("claim", &claim.id).warn();
    }
}

impl<T, S, M, C> Drop for Ticket<T, S, M, C>
where
    T: table::Table,
    S: object::Store,
    M: Members,
    C: clock::Source,
{
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        let answer = Answer::Failed {
            verdict: Verdict::MayHaveRun,
            code: "abandoned".to_owned(),
            message: "the request ended without an answer".to_owned(),
        };
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(held.finish(State::Finished { answer }));
        }
    }
}
