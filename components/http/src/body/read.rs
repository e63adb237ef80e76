//! Reads a request body within the limits of its port.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::server::Limits;

/// Failure to read a request body.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadError {
    /// The body exceeds the size limit in bytes.
    #[display("the body exceeds {_0} bytes")]
    TooLarge(#[error(not(source))] usize),
    /// The body arrives below the minimum rate.
    #[display("the body arrives too slowly")]
    TooSlow,
    /// The body ended early.
    #[display("the body broke off: {_0}")]
    Broken(#[error(not(source))] String),
}

impl ReadError {
    /// HTTP status of the error response.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }

    /// Stable code of the error response.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::TooLarge(_) => "body_too_large",
            Self::TooSlow => "body_too_slow",
            Self::Broken(_) => "bad_body",
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
/// Fails if the body is too large, arrives too slowly or ends early.
pub async fn read(mut body: Incoming, limits: &Limits) -> Result<Bytes, ReadError> {
    let announced_bytes = body.size_hint().lower();
    if announced_bytes > limits.max_body_bytes as u64 {
        return Err(ReadError::TooLarge(limits.max_body_bytes));
    }
    let start = Instant::now();
    let mut buffer = BytesMut::new();
    loop {
        // The allowed time grows with the number of bytes received.
        let deadline = start + limits.stall_timeout + limits.time_for(buffer.len());
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| ReadError::TooSlow)?;
        let Some(frame) = frame else { return Ok(buffer.freeze()) };
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if buffer.len() + data.len() > limits.max_body_bytes {
            return Err(ReadError::TooLarge(limits.max_body_bytes));
        }
        buffer.extend_from_slice(&data);
    }
}
