//! Answers in JSON.

use filbertsail_api::fault;
use filbertsail_errors::{VERDICT_HEADER, Verdict};
use filbertsail_http::{Body, server, token::Denied};
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use crate::Refused;

/// Answer 200 with `value`.
pub fn ok(value: &impl Serialize) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// Answer with `value`.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(body) => server::json(status, body),
        Err(error) => {
            let message = format!("the answer has no JSON form: {error}");
            fault(StatusCode::INTERNAL_SERVER_ERROR, "internal", message, Verdict::Ran)
        }
    }
}

/// Answer for an error.
pub fn fault(
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
    // Strings and enums always have a JSON form.
    let body = serde_json::to_vec(&fault::Body { error: detail }).unwrap_or_default();
    with_verdict(server::json(status, body), verdict)
}

/// Answer for a command that was not carried out.
pub fn refused(refused: &Refused) -> Response<Body> {
    if let Refused::Lost(lost) = refused {
        return with_verdict(json(refused.status(), lost), refused.verdict());
    }
    fault(refused.status(), refused.code(), refused.to_string(), refused.verdict())
}

/// Answer for a request without the right token.
pub fn denied(denied: Denied) -> Response<Body> {
    let mut response = fault(denied.status(), denied.code(), denied.to_string(), Verdict::NotRun);
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
