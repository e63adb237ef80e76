//! Reads the body of a request within the limits of its port.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::server::Limits;

/// Why a body was not read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ReadError {
    /// Larger than the port allows.
    #[display("the body exceeds {_0} bytes")]
    TooLarge(#[error(not(source))] usize),
    /// Slower than the port allows.
    #[display("the body arrives too slowly")]
    TooSlow,
    /// Ended early.
    #[display("the body broke off: {_0}")]
    Broken(#[error(not(source))] String),
}

impl ReadError {
    /// Status of the refusal.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }

    /// Stable code of the refusal.
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
/// Fails if the body is too large, arrives too slowly or breaks off.
pub async fn read(mut body: Incoming, limits: &Limits) -> Result<Bytes, ReadError> {
    let announced = body.size_hint().lower();
    if announced > limits.body_bytes as u64 {
        return Err(ReadError::TooLarge(limits.body_bytes));
    }
    let start = Instant::now();
    let mut whole = BytesMut::new();
    loop {
        // The time allowed grows with what has arrived.
        let deadline = start + limits.stall_timeout + limits.time_for(whole.len());
        let frame = timeout_at(deadline, body.frame()).await.map_err(|_| ReadError::TooSlow)?;
        let Some(frame) = frame else { return Ok(whole.freeze()) };
        let frame = frame.map_err(|error| ReadError::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        if whole.len() + data.len() > limits.body_bytes {
            return Err(ReadError::TooLarge(limits.body_bytes));
        }
        whole.extend_from_slice(&data);
    }
}
