//! Bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use tokio::time;

use crate::fault::Fault;

/// Largest body of a request in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Time for a whole body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Whole body of a request.
///
/// # Errors
/// Fails if the body is too large, too slow or broken off; nothing was sent on then.
pub async fn body(body: Incoming) -> Result<Bytes, Fault> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let whole = time::timeout(BODY_TIMEOUT, Limited::new(body, MAX_BODY_BYTES).collect()).await;
    match whole {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => {
            let message = format!("body is larger than {MAX_BODY_BYTES} bytes");
            Err(Fault::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message))
        }
        Ok(Err(error)) => {
            Err(Fault::not_run(StatusCode::BAD_REQUEST, "body_broken", error.to_string()))
        }
        Err(_) => {
            Err(Fault::not_run(StatusCode::REQUEST_TIMEOUT, "body_too_slow", "body not whole"))
        }
    }
}
