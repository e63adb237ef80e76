//! Responses that the daemon generates itself.

use std::time::Duration;

use filbertsail_http::Body;
use http::{HeaderValue, Response, StatusCode, header};

/// Response without a body.
#[must_use]
pub fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = status;
    response
}

/// Response with a JSON body that holds an error message.
#[must_use]
pub fn json(status: StatusCode, message: &str) -> Response<Body> {
    let body = serde_json::json!({ "error": message }).to_string();
    filbertsail_http::server::json(status, body.into_bytes())
}

/// Response 503 with `Retry-After`, which guarantees that the request has not run and will not run.
#[must_use]
pub fn refuse(message: &str, retry_after: Duration) -> Response<Body> {
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, message);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    // Digits and a point are always a valid header value.
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
