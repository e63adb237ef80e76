//! Headers that the proxy removes.

use filbertsail_errors::{DEADLINE_HEADER, REQUEST_ID_HEADER, VERDICT_HEADER};
use http::{HeaderMap, HeaderName, header};

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers and those of the gateway's own protocol.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
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

/// Removes from a caller's request also the headers that the gateway sets anew or must not forward.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    for name in [header::HOST, header::CONTENT_LENGTH, header::AUTHORIZATION, header::EXPECT] {
        headers.remove(name);
    }
}
