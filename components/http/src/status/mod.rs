//! Statuses that may end an exchange.

use http::{HeaderMap, Method, StatusCode, header};

/// Header fields that make a request conditional on the state of a cache (RFC 9110, section 13.1).
const CACHE_CONDITIONS: [header::HeaderName; 2] =
    [header::IF_NONE_MATCH, header::IF_MODIFIED_SINCE];

/// Whether HTTP allows `status` as the final response to a request with this method and these headers
/// (RFC 9110, section 15): no interim status, no status above 599, no answer to a range or a condition
/// that the request does not have.
#[must_use]
pub fn is_final(status: StatusCode, method: &Method, headers: &HeaderMap) -> bool {
    match status {
        StatusCode::PARTIAL_CONTENT | StatusCode::RANGE_NOT_SATISFIABLE => {
            headers.contains_key(header::RANGE)
        }
        StatusCode::NOT_MODIFIED => {
            matches!(*method, Method::GET | Method::HEAD)
                && CACHE_CONDITIONS.iter().any(|condition| headers.contains_key(condition))
        }
        status => (200..600).contains(&status.as_u16()),
    }
}
