//! Claim held by a running request.

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
    batch::Settled,
    row::{Answer, Claim, Key, State},
};

/// Largest body kept in the row, in bytes.
pub const ROW_BODY_BYTES: usize = 16 * 1024;
/// First pause after a failed write.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed write.
const MAX_PAUSE: Duration = Duration::from_secs(5);
/// Attempts to write the end of a request; with the pauses they span several minutes.
const ATTEMPTS: u32 = 60;

/// Claim held by a running request. One that is dropped ends as "may have run".
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

    /// Stores a whole answer. A body too large for the row goes to the object store; if that fails,
    /// repeats learn that the request ran.
    pub async fn answer(mut self, status: u16, headers: Vec<(String, String)>, body: Bytes) {
        let Some(held) = self.held.take() else { return };
        let answer = if body.len() <= ROW_BODY_BYTES {
            Answer::Whole { status, headers, body: hex::encode(&body) }
        } else {
            let object = held.key.object();
            match held.claims.setup.objects.put(&object, body).await {
                Ok(()) => Answer::Stored { status, headers, object },
                Err(error) => ran(&error.to_string()),
            }
        };
        held.end(State::Finished { answer }).await;
    }

    /// Notes that the request ran and that its answer is too large to be kept.
    pub async fn ran(self) {
        self.failed(ran("answer is too large to be kept")).await;
    }

    /// Stores a failure that does not prove that the request did not run.
    pub async fn failed(mut self, answer: Answer) {
        if let Some(held) = self.held.take() {
            held.end(State::Finished { answer }).await;
        }
    }

    /// Releases the claim of a request that provably did not run.
    pub async fn release(mut self) {
        if let Some(held) = self.held.take() {
            held.end(State::Released).await;
        }
    }

    /// Makes sure that a claim whose commit has an unknown outcome never takes effect.
    ///
    /// The commit checked that the row was absent or released. Writing a released row of its own
    /// makes either check fail for good.
    pub(super) async fn block(mut self) {
        let Some(held) = self.held.take() else { return };
        let released = Claim { state: State::Released, ..held.claim.clone() };
        let mut expect = Expect::Absent;
        let mut pause = FIRST_PAUSE;
        for _ in 0..ATTEMPTS {
            match held.claims.commit(&held.key, expect.clone(), &released).await {
                Settled::Done => return,
                Settled::Conflict(None) => expect = Expect::Absent,
                Settled::Conflict(Some(row)) => match Claim::of(&row) {
                    Some(found) if found.id == held.claim.id => {
                        return held.end(State::Released).await;
                    }
                    Some(found) if found.state == State::Released => {
                        expect = Expect::Revision { revision: row.revision };
                    }
                    _ => return,
                },
                Settled::Unavailable(_) | Settled::Unknown => {
                    sleep(pause).await;
                    pause = (pause * 2).min(MAX_PAUSE);
                }
            }
        }
    }
}

fn ran(message: &str) -> Answer {
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
    /// Writes the end of the request; only the claim itself may be replaced.
    async fn end(self, state: State) {
        let claim = Claim { state, ..self.claim };
        let own = Expect::Field { name: "id".to_owned(), equals: claim.id.clone().into() };
        let mut pause = FIRST_PAUSE;
        for _ in 0..ATTEMPTS {
            match self.claims.commit(&self.key, own.clone(), &claim).await {
                Settled::Done => return,
                Settled::Conflict(_) => break,
                Settled::Unavailable(_) | Settled::Unknown => sleep(pause).await,
            }
            pause = (pause * 2).min(MAX_PAUSE);
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
            runtime.spawn(held.end(State::Finished { answer }));
        }
    }
}
