//! Whole answers.

use bytes::{Bytes, BytesMut};
use filbertsail_http::{Body, body::Abort};
use http::{Method, StatusCode, Version, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::mpsc;

use super::{Answer, Failure, Kind, failure::chain, h1::Lease};

/// Answers up to this size are held until they are whole.
pub const BUFFERED_BYTES: usize = 1024 * 1024;
/// Parts of a large answer that wait for a slow caller.
const QUEUED_PARTS: usize = 8;

/// Answer that is whole, or larger than [`BUFFERED_BYTES`].
#[derive(Debug)]
pub enum Whole {
    /// Whole.
    Buffered(Bytes),
    /// Start of a large answer and the rest, still to be read.
    Large(Rest),
}

/// Rest of a large answer.
#[derive(Debug)]
pub struct Rest {
    start: Bytes,
    body: Incoming,
    lease: Option<Lease>,
}

/// Fails if the end of the body is told only by the end of the connection.
pub fn check_framing(method: &Method, head: &Parts, body: &Incoming) -> Result<(), Failure> {
    let has = |name| head.headers.contains_key(name);
    let empty = *method == Method::HEAD
        || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || body.is_end_stream();
    if head.version == Version::HTTP_2
        || empty
        || has(header::CONTENT_LENGTH)
        || has(header::TRANSFER_ENCODING)
    {
        return Ok(());
    }
    Err(Failure::sent(Kind::Unframed, "answer states no length"))
}

/// Reads the answer up to [`BUFFERED_BYTES`].
///
/// # Errors
/// Fails if the answer ends early.
pub async fn read(answer: Answer) -> Result<(Parts, Whole), Failure> {
    let Answer { head, mut body, lease } = answer;
    let mut start = BytesMut::new();
    while let Some(part) = next(&mut body).await? {
        if start.is_empty() && body.is_end_stream() {
            release(lease);
            return Ok((head, Whole::Buffered(part)));
        }
        start.extend_from_slice(&part);
        if start.len() > BUFFERED_BYTES {
            let start = start.freeze();
            return Ok((head, Whole::Large(Rest { start, body, lease })));
        }
    }
    release(lease);
    Ok((head, Whole::Buffered(start.freeze())))
}

/// Next data of a body, `None` at its proper end.
///
/// # Errors
/// Fails if the body ends early.
pub async fn next(body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Some(Err(error)) => return Err(Failure::sent(Kind::Truncated, chain(&error))),
        }
    }
}

/// Keeps the connection of a whole answer.
pub fn release(lease: Option<Lease>) {
    if let Some(lease) = lease {
        lease.release();
    }
}

impl Rest {
    /// Body for the caller, and the task that feeds it; the body aborts if the rest breaks off.
    pub fn forward(self) -> (Body, impl Future<Output = Result<(), Failure>> + Send + use<>) {
        let (sender, body) = Body::channel(QUEUED_PARTS);
        (body, self.pump(sender))
    }

    async fn pump(mut self, sender: mpsc::Sender<Result<Bytes, Abort>>) -> Result<(), Failure> {
        let mut part = Some(self.start);
        while let Some(data) = part {
            if sender.send(Ok(data)).await.is_err() {
                return Ok(());
            }
            part = match next(&mut self.body).await {
                Ok(part) => part,
                Err(failure) => {
                    // Without this the caller would take the part for the whole.
                    let _ = sender.send(Err(Abort)).await;
                    return Err(failure);
                }
            };
        }
        release(self.lease);
        Ok(())
    }
}
