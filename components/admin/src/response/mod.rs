//! JSON responses.

use filbertsail_api::fault;
use filbertsail_errors::{VERDICT_HEADER, Verdict};
use filbertsail_http::{Body, server, token::Denied};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use crate::Rejection;

/// Response 200 with `value`.
pub fn ok(value: &impl Serialize) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// Response with `value`.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => server::json(status, body),
        Err(error) => {
            let message = format!("the answer has no JSON form: {error}");
            self::error(StatusCode::INTERNAL_SERVER_ERROR, "internal", message, Verdict::Ran)
        }
    }
}

/// Error response.
pub fn error(
    status: StatusCode,
    code: &str,
    message: impl Into<String>,
    verdict: Verdict,
) -> Response<Body> {
    let detail = fault::Detail {
        code: code.to_owned(),
        message: message.into(),
        request_id: None,
        verdict: match verdict {
            Verdict::NotRun => fault::Verdict::NotRun,
            Verdict::MayHaveRun => fault::Verdict::MayHaveRun,
            Verdict::Ran => fault::Verdict::Ran,
        },
    };
    // Serializing strings and enums cannot fail.
    let body = serde_json::to_vec(&fault::Body { error: detail }).unwrap_or_default();
    with_verdict(server::json(status, body), verdict)
}

/// Response for a command that was not executed.
pub fn rejected(rejection: &Rejection) -> Response<Body> {
    if let Rejection::Lost(lost) = rejection {
        return with_verdict(json(rejection.status(), lost), rejection.verdict());
    }
    error(rejection.status(), rejection.code(), rejection.to_string(), rejection.verdict())
}

/// Response for a request without a valid or sufficient token.
pub fn denied(denied: Denied) -> Response<Body> {
    let mut response = error(denied.status(), denied.code(), denied.to_string(), Verdict::NotRun);
    if denied == Denied::Unknown {
        let value = HeaderValue::from_static("Bearer");
        response.headers_mut().insert(header::WWW_AUTHENTICATE, value);
    }
    response
}

fn with_verdict(mut response: Response<Body>, verdict: Verdict) -> Response<Body> {
    let value = match verdict {
        Verdict::NotRun => "not_run",
        Verdict::MayHaveRun => "may_have_run",
        Verdict::Ran => "ran",
    };
    response.headers_mut().insert(VERDICT_HEADER, HeaderValue::from_static(value));
    response
}
