//! Responses of the trainer API.

use filbertsail_api::fault;
use filbertsail_errors::{VERDICT_HEADER, Verdict};
use filbertsail_http::{Body, server};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

/// Value of `Retry-After` in seconds while a dependency is unavailable.
const RETRY_AFTER_S: u64 = 1;

/// Error response.
pub struct Rejection {
    status: StatusCode,
    code: String,
    message: String,
    verdict: Verdict,
}

impl Rejection {
    /// Rejection with the verdict that the request did not run.
    pub fn new(status: StatusCode, code: &str, message: &str) -> Self {
        let (code, message) = (code.to_owned(), message.to_owned());
        Self { status, code, message, verdict: Verdict::NotRun }
    }

    /// The request is malformed.
    pub fn bad_request(message: &str) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    pub fn unknown_path() -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", "no such path")
    }

    pub fn unknown_round() -> Self {
        Self::new(StatusCode::NOT_FOUND, "unknown_round", "the step has no round")
    }

    /// The trainer cancelled the round.
    pub fn cancelled() -> Self {
        Self::new(StatusCode::GONE, "cancelled", "the round was cancelled")
    }

    /// The samples of the batch are too old for the trainer's weight version.
    pub fn stale() -> Self {
        Self::new(StatusCode::CONFLICT, "stale", "the batch is too old for the stated version")
    }

    pub fn method_not_allowed() -> Self {
        Self::new(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed", "method not allowed")
    }

    /// A dependency of the request is unavailable.
    pub fn unavailable(code: &str, message: &str) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, code, message)
    }

    pub fn with_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = verdict;
        self
    }

    /// Whether a dependency of the request was unavailable.
    pub fn is_unavailable(&self) -> bool {
        self.status == StatusCode::SERVICE_UNAVAILABLE
    }

    /// Converts the rejection to an HTTP response.
    pub fn into_response(self) -> Response<Body> {
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

/// Response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Response<Body> {
    server::json(status, serde_json::to_vec(body).expect("responses can be encoded as JSON"))
}
