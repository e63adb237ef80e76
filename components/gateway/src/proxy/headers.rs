//! Headers on their way through the gateway.

use filbertsail_errors::{DEADLINE_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER};
use http::{HeaderMap, HeaderName, header};

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes headers that concern one connection or the gateway itself.
pub fn strip(headers: &mut HeaderMap) {
    if let Some(names) = headers.get(header::CONNECTION).cloned() {
        for name in names.to_str().unwrap_or_default().split(',') {
            headers.remove(name.trim());
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    for name in ["keep-alive", DEADLINE_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER] {
        headers.remove(name);
    }
}

/// Removes the headers of a caller that the gateway sets itself or keeps to itself.
pub fn strip_request(headers: &mut HeaderMap) {
    strip(headers);
    for name in [header::HOST, header::CONTENT_LENGTH, header::AUTHORIZATION, header::EXPECT] {
        headers.remove(name);
    }
}
