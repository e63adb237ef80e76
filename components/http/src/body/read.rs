//! Reads a request body within the limits of its port.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout, timeout_at};

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
    /// There is no room for the body beside those that are being handled.
    #[display("no room for the body")]
    NoRoom,
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
            Self::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }

    /// Stable code of the error response.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Self::TooLarge(_) => "body_too_large",
            Self::TooSlow => "body_too_slow",
            Self::NoRoom => "no_room",
            Self::Broken(_) => "bad_body",
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
/// Fails if the body is too large, arrives too slowly or ends early.
pub async fn read(body: Incoming, limits: &Limits) -> Result<Bytes, ReadError> {
    read_with(body, limits, |_| true).await
}

/// Like [`read`], for a body that shares its memory with others: `reserve` is called with further
/// bytes before they are read, and returns whether there is room for them.
///
/// # Errors
/// Fails like [`read`], or if there is no room.
pub async fn read_with(
    mut body: Incoming,
    limits: &Limits,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, ReadError> {
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced_bytes > limits.max_body_bytes {
        return Err(ReadError::TooLarge(limits.max_body_bytes));
    }
    if !reserve(announced_bytes) {
        discard(body, limits);
        return Err(ReadError::NoRoom);
    }
    let mut reserved_bytes = announced_bytes;
    let start = Instant::now();
    let mut buffer = BytesMut::with_capacity(announced_bytes);
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
        let unreserved_bytes = (buffer.len() + data.len()).saturating_sub(reserved_bytes);
        if unreserved_bytes > 0 && !reserve(unreserved_bytes) {
            discard(body, limits);
            return Err(ReadError::NoRoom);
        }
        reserved_bytes += unreserved_bytes;
        buffer.extend_from_slice(&data);
    }
}

/// Reads the rest of a refused body in the background. A connection that is closed with unread bytes
/// is reset, and the caller may lose the response.
fn discard(mut body: Incoming, limits: &Limits) {
    let (time_limit, max_bytes) = (limits.stall_timeout, limits.max_body_bytes);
    tokio::spawn(timeout(time_limit, async move {
        let mut bytes = 0;
        while bytes <= max_bytes
            && let Some(Ok(frame)) = body.frame().await
        {
            bytes += frame.data_ref().map_or(0, Bytes::len);
        }
    }));
}
