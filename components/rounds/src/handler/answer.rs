//! Answers of the trainer API.

use filbertsail_api::fault;
use filbertsail_errors::{VERDICT_HEADER, Verdict};
use filbertsail_http::{Body, server};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Time after which a refused caller may try again, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Error answer.
pub struct Refusal {
    status: StatusCode,
    code: String,
    message: String,
    verdict: Verdict,
}

impl Refusal {
    /// Refusal of a request that did not run.
    pub fn new(status: StatusCode, code: &str, message: &str) -> Self {
        let (code, message) = (code.to_owned(), message.to_owned());
        Self { status, code, message, verdict: Verdict::NotRun }
    }

    /// Malformed request.
    pub fn bad(message: &str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    /// Unknown path.
    pub fn path() -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", "no such path")
    }

    /// Unknown round.
    pub fn round() -> Self {
        Self::new(StatusCode::NOT_FOUND, "unknown_round", "the step has no round")
    }

    /// Withdrawn round.
    pub fn cancelled() -> Self {
        Self::new(StatusCode::GONE, "cancelled", "the round was cancelled")
    }

    /// Batch too old for the stated version.
    pub fn stale() -> Self {
        Self::new(StatusCode::CONFLICT, "stale", "the batch is too old for the stated version")
    }

    /// Method that the path does not take.
    pub fn method() -> Self {
        Self::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", "method not allowed")
    }

    /// Something that the request needs does not answer.
    pub fn unavailable(code: &str, message: &str) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
    }

    /// The same refusal with another verdict.
    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Whether something that the request needs did not answer.
    pub fn is_outage(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE
    }

    /// HTTP form.
    pub fn response(self) -> Response<Body> {
        let verdict = match self.verdict {
            Verdict::NotRun => fault::Verdict::NotRun,
            Verdict::MayHaveRun => fault::Verdict::MayHaveRun,
            Verdict::Ran => fault::Verdict::Ran,
        };
        let Self { code, message, .. } = self;
        let error = fault::Detail { code, message, request_id: None, verdict };
        let mut response = json(self.status, &fault::Body { error });
        let text = HeaderValue::from_str(&verdict.to_string());
        if let Ok(value) = text {
            response.headers_mut().insert(VERDICT_HEADER, value);
        }
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            response.headers_mut().insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
        }
        response
    }
}

/// Answer with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    server::json(status, serde_json::to_vec(body).expect("answers have a JSON form"))
}
