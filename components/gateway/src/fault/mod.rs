//! Error responses to callers and controllers.

use derive_more::{Display, Error};
use filbertsail_api::fault::{Body as Envelope, Detail, Verdict as Label};
use filbertsail_errors::{VERDICT_HEADER, Verdict};
use filbertsail_http::{Body, server::json};
use filbertsail_wire::frame;
use http::{HeaderValue, Response, StatusCode, header::RETRY_AFTER};

/// Value of `retry-after` for requests that were not admitted, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Failed request as reported to its caller.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{code}: {message} ({verdict})")]
pub struct Fault {
    pub status: StatusCode,
    /// Error code, part of the API.
    pub code: &'static str,
    /// Description for people.
    pub message: String,
    /// Whether the request may have run.
    pub verdict: Verdict,
}

impl Fault {
    /// Fault with an explicit verdict.
    #[must_use]
    pub fn new(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
        verdict: Verdict,
    ) -> Self {
        Self { status, code, message: message.into(), verdict }
    }

    /// Fault of a request that was not sent to any backend server.
    #[must_use]
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self::new(status, code, message, Verdict::NotRun)
    }

    /// Fault of a request whose deadline passed before it was sent.
    #[must_use]
    pub fn deadline_passed() -> Self {
        let message = "deadline passed before the request was sent";
        Self::not_run(StatusCode::GATEWAY_TIMEOUT, "deadline_passed", message)
    }

    /// Combines the verdict with that of earlier attempts.
    #[must_use]
    pub fn with_earlier_verdict(mut self, verdict: Verdict) -> Self {
        self.verdict = self.verdict.combine(verdict);
        self
    }

    /// JSON error body.
    #[must_use]
    pub fn body(&self, request_id: Option<&str>) -> Vec<u8> {
        let verdict = match self.verdict {
            Verdict::NotRun => Label::NotRun,
            Verdict::MayHaveRun => Label::MayHaveRun,
            Verdict::Ran => Label::Ran,
        };
        let envelope = Envelope {
            error: Detail {
                code: self.code.to_owned(),
                message: self.message.clone(),
                request_id: request_id.map(str::to_owned),
                verdict,
            },
        };
        serde_json::to_vec(&envelope).unwrap_or_default()
    }

    /// HTTP response with verdict header and JSON body.
    #[must_use]
    pub fn response(&self, request_id: Option<&str>) -> Response<Body> {
        let mut response = json(self.status, self.body(request_id));
        let headers = response.headers_mut();
        headers.insert(VERDICT_HEADER, verdict_value(self.verdict));
        if matches!(self.status, StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) {
            headers.insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
        }
        response
    }

    /// Frame for a peer link.
    #[must_use]
    pub fn frame(&self) -> frame::Fault {
        frame::Fault {
            code: self.code.to_owned(),
            message: self.message.clone(),
            verdict: self.verdict,
        }
    }
}

/// Header value of a verdict.
#[must_use]
pub fn verdict_value(verdict: Verdict) -> HeaderValue {
    HeaderValue::from_static(match verdict {
        Verdict::NotRun => "not_run",
        Verdict::MayHaveRun => "may_have_run",
        Verdict::Ran => "ran",
    })
}
