//! Access of callers by the keys of their workspaces.
//!
//! A request is checked before its body is read, and again before each attempt at a worker, since
//! its key may have been withdrawn meanwhile. Only hashes of keys are kept. The configuration is
//! confirmed at the store by one task ([`run`]); requests ask for it through [`State`] and wait at
//! most for the confirmation in progress.

mod confirm;
mod state;

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_http::Body;
use filbertsail_telemetry::event::Line;
use filbertsail_workspaces::{Digest, Member};
use http::{Response, StatusCode};
use tokio::time::timeout;

pub use confirm::run;
pub use state::{Origin, State};

use crate::{
    config::Route,
    dialect::CallerKey,
    forward::reply::{json, refuse},
    shared::Shared,
};

/// Longest wait for a confirmation. One call that times out and one through a peer take about a
/// second.
const MAX_WAIT: Duration = Duration::from_millis(1_200);
/// Largest share of a request's remaining time for that wait; the rest is for the worker.
const MAX_WAIT_SHARE: f64 = 0.5;
/// Longest wait of a request that is served in any case. A confirmation takes a few milliseconds,
/// and callers of plain services expect a response within 150 ms.
const MAX_SOFT_WAIT: Duration = Duration::from_millis(60);

/// Reason of a request whose key was withdrawn after the first check. A repetition cannot succeed.
pub const KEY_WITHDRAWN: &str = "key withdrawn";

/// Request whose access is checked.
#[derive(Clone, Copy, Debug)]
pub struct Subject<'a> {
    /// Identifier of the request attempt, or of the batch.
    pub id: &'a str,
    pub key: &'a CallerKey,
    /// Route of the request; absent for calls on batches.
    pub route: Option<&'a Route>,
    /// When the request times out for the caller or on its route; absent if neither has a limit.
    pub deadline: Option<Instant>,
}

/// On whose behalf a request is made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Authorization {
    /// The configuration has no workspaces, or the route is public.
    Open {
        /// Whether the configuration has workspaces.
        is_public: bool,
    },
    /// A key of a workspace.
    Keyed {
        /// Hash of the key.
        key: Digest,
        member: Member,
    },
}

impl Authorization {
    /// Workspace of the key.
    #[must_use]
    pub fn workspace(&self) -> Option<&Arc<str>> {
        match self {
            Self::Open { .. } => None,
            Self::Keyed { member, .. } => Some(&member.workspace),
        }
    }

    /// Hash of the key.
    #[must_use]
    pub fn key(&self) -> Option<Digest> {
        match self {
            Self::Open { .. } => None,
            Self::Keyed { key, .. } => Some(*key),
        }
    }

    /// Rank of a request on `route`: that of the workspace, else that of the route.
    #[must_use]
    pub fn priority(&self, route: &Route) -> u8 {
        match self {
            Self::Open { .. } => route.priority,
            Self::Keyed { member, .. } => member.priority.unwrap_or(route.priority),
        }
    }

    /// Whether the configuration has workspaces.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        !matches!(self, Self::Open { is_public: false })
    }

    /// Whether no key is needed although the configuration has workspaces.
    #[must_use]
    pub fn is_public(&self) -> bool {
        matches!(self, Self::Open { is_public: true })
    }

    /// Whether a batch of `workspace` may be used.
    #[must_use]
    pub fn may_use(&self, workspace: Option<&str>) -> bool {
        match (self, workspace) {
            (Self::Open { is_public }, Some(_)) => !is_public,
            (_, None) => true,
            (Self::Keyed { member, .. }, Some(workspace)) => *member.workspace == *workspace,
        }
    }
}

/// What is known about a key.
enum Finding {
    /// The configuration has no workspaces any more.
    NoWorkspaces,
    Known(Member),
    /// As of a recent proof.
    Unknown,
    /// The configuration could not be confirmed.
    Unconfirmed(Duration),
}

/// Checks a request before its body is read.
///
/// # Errors
/// Returns the response for the caller if the request is refused.
pub async fn check(shared: &Shared, subject: Subject<'_>) -> Result<Authorization, Response<Body>> {
    let has_workspaces = shared.config().is_some_and(|config| config.directory.is_some());
    if !has_workspaces {
        return Ok(Authorization::Open { is_public: false });
    }
    if subject.route.is_some_and(|route| route.is_public) {
        shared.metrics.count_access("public");
        return Ok(Authorization::Open { is_public: true });
    }
    let value = match subject.key {
        CallerKey::Present(value) => value,
        CallerKey::Absent => return Err(unauthorized(shared, subject, "no_key", "key required")),
        CallerKey::Malformed(reason) => {
            return Err(unauthorized(shared, subject, "malformed_key", reason));
        }
    };
    let key = shared.access.digest(value.as_bytes());
    let time_left = subject.deadline.map(|deadline| deadline.since(shared.now()));
    match find(shared, &key, time_left, MAX_SOFT_WAIT).await {
        Finding::NoWorkspaces => Ok(Authorization::Open { is_public: false }),
        Finding::Known(member) => {
            shared.metrics.count_access("known");
            Ok(Authorization::Keyed { key, member })
        }
        Finding::Unknown => {
            shared.metrics.count_access("unknown_key");
            if let Some(line) = sampled_refusal(shared, subject, "unknown key") {
                line.with("key", key.fingerprint()).info();
            }
            Err(json(StatusCode::UNAUTHORIZED, "unknown key"))
        }
        Finding::Unconfirmed(retry_after) => {
            shared.metrics.count_access("unconfirmed");
            let age_ms = shared.access.age(shared.now()).map_or(-1, |age| age.as_millis() as i64);
            let reason = "configuration not confirmed";
            let config = shared.config();
            let directory = config.as_ref().and_then(|config| config.directory.as_ref());
            let is_known = directory.is_some_and(|directory| directory.lookup(&key).is_some());
            let line = match is_known {
                true => Some(refusal(subject, reason)),
                false => sampled_refusal(shared, subject, reason),
            };
            if let Some(line) = line {
                line.with("key", key.fingerprint()).with("config_age_ms", age_ms).warn();
            }
            Err(refuse(reason, retry_after))
        }
    }
}

/// Checks whether a request with `key` of `workspace` may be sent to a worker. A request waits for a
/// newer configuration before its first attempt only, in [`check`].
///
/// # Errors
/// Fails with the reason if the key was withdrawn, or its configuration cannot be confirmed.
pub async fn check_again(
    shared: &Shared,
    key: Option<Digest>,
    workspace: Option<&str>,
    time_left: Duration,
) -> Result<(), &'static str> {
    let Some(key) = key else { return Ok(()) };
    match find(shared, &key, Some(time_left), Duration::ZERO).await {
        Finding::NoWorkspaces => Ok(()),
        Finding::Known(member) if Some(&*member.workspace) == workspace => Ok(()),
        Finding::Known(_) => Err("key moved to another workspace"),
        Finding::Unknown => Err(KEY_WITHDRAWN),
        Finding::Unconfirmed(_) => Err("configuration not confirmed"),
    }
}

/// Looks a key up, and waits for a confirmation of the configuration where that is needed; for up to
/// `max_soft_wait` if the request is served in any case.
async fn find(
    shared: &Shared,
    key: &Digest,
    time_left: Option<Duration>,
    max_soft_wait: Duration,
) -> Finding {
    let start = shared.now();
    let wait = time_left.map_or(MAX_WAIT, |left| left.mul_f64(MAX_WAIT_SHARE).min(MAX_WAIT));
    let give_up_at = start.after(wait);
    loop {
        let mut ended = shared.access.subscribe();
        let now = shared.now();
        let (finding, limit) = match look_up(shared, key, start, now) {
            Some((finding, true)) => return finding,
            Some((finding, false)) => (Some(finding), give_up_at.min(start.after(max_soft_wait))),
            None => (None, give_up_at),
        };
        let step = shared.access.ask(now);
        if !step.wait || now >= limit {
            return finding.unwrap_or(Finding::Unconfirmed(step.retry_after));
        }
        // After the time limit, the loop ends with the state as it is then.
        let _ = timeout(limit.since(now), ended.changed()).await;
    }
}

/// What the known configuration states about a key, and whether no confirmation is worth a wait;
/// none if the configuration must be confirmed first.
fn look_up(shared: &Shared, key: &Digest, start: Instant, now: Instant) -> Option<(Finding, bool)> {
    // The proof is read before the configuration, which then is as new as the proof or newer.
    let proof = shared.access.freshness();
    let config = shared.config()?;
    let Some(directory) = &config.directory else {
        return Some((Finding::NoWorkspaces, true));
    };
    match directory.lookup(key) {
        Some(member) if proof.allows(now) => {
            if proof.is_bounded() && !proof.is_within(shared.access.interval(), now) {
                let _ = shared.access.ask(now);
            }
            // A VM that reaches the store must apply a withdrawal within this time.
            let is_recent = proof.is_within(shared.times.config_apply, now);
            Some((Finding::Known(member.clone()), is_recent || !proof.is_bounded()))
        }
        // Unknown keys of any number share the confirmations.
        None if proof.is_within(shared.access.interval(), start) => Some((Finding::Unknown, true)),
        _ => None,
    }
}

/// Records the age of the proof in the metrics, if the configuration has workspaces.
pub fn record_age(shared: &Shared) {
    let has_workspaces = shared.config().is_some_and(|config| config.directory.is_some());
    if let Some(age) = shared.access.age(shared.now()).filter(|_| has_workspaces) {
        shared.metrics.set_config_age(age.as_secs_f64());
    }
}

fn unauthorized(
    shared: &Shared,
    subject: Subject<'_>,
    outcome: &'static str,
    reason: &'static str,
) -> Response<Body> {
    shared.metrics.count_access(outcome);
    if let Some(line) = sampled_refusal(shared, subject, reason) {
        line.info();
    }
    json(StatusCode::UNAUTHORIZED, reason)
}

/// Line about a caller without a known key; none if there are too many.
fn sampled_refusal(shared: &Shared, subject: Subject<'_>, reason: &str) -> Option<Line> {
    let Some(left_out) = shared.access.admit_line(shared.now()) else {
        shared.metrics.count_access_line_left_out();
        return None;
    };
    let line = refusal(subject, reason);
    Some(if left_out > 0 { line.with("left_out", left_out) } else { line })
}

fn refusal(subject: Subject<'_>, reason: &str) -> Line {
    Line::new("access_refused")
        .with("id", subject.id)
        .with("route", subject.route.map_or("batch", |route| route.name.as_str()))
        .with("reason", reason)
}
