//! Response bodies of backend servers.

use bytes::{Bytes, BytesMut};
use filbertsail_http::{Body, body::Abort};
use http::{Method, StatusCode, Version, header, response::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::mpsc;

use super::{Failure, Kind, Response, failure::error_chain, http1::Checkout};

/// Largest response that is buffered until it is complete.
pub const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Chunks of a large response queued for a slow caller.
const CHUNK_QUEUE_CAPACITY: usize = 8;

/// Response body, complete up to [`MAX_BUFFERED_BYTES`].
#[derive(Debug)]
pub enum Received {
    /// Complete body.
    Buffered(Bytes),
    /// Body above the buffer size, only its start read.
    Large(Partial),
}

/// Partly read body of a large response.
#[derive(Debug)]
pub struct Partial {
    start: Bytes,
    body: Incoming,
    checkout: Option<Checkout>,
}

/// Checks that the response states where its body ends.
///
/// # Errors
/// Fails if only the end of the connection would end the body: a broken one looks the same.
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
    Err(Failure::may_have_run(Kind::Unframed, "answer states no length"))
}

/// Reads a response up to [`MAX_BUFFERED_BYTES`].
///
/// # Errors
/// Fails if the body is truncated.
pub async fn read(response: Response) -> Result<(Parts, Received), Failure> {
    let Response { head, mut body, checkout } = response;
    let mut start = BytesMut::new();
    while let Some(chunk) = next_data(&mut body).await? {
        if start.is_empty() && body.is_end_stream() {
            release(checkout);
            return Ok((head, Received::Buffered(chunk)));
        }
        start.extend_from_slice(&chunk);
        if start.len() > MAX_BUFFERED_BYTES {
            let start = start.freeze();
            return Ok((head, Received::Large(Partial { start, body, checkout })));
        }
    }
    release(checkout);
    Ok((head, Received::Buffered(start.freeze())))
}

/// Next data of a body, `None` at its regular end.
///
/// # Errors
/// Fails if the body is truncated.
pub async fn next_data(body: &mut Incoming) -> Result<Option<Bytes>, Failure> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
            Some(Err(error)) => {
                return Err(Failure::may_have_run(Kind::Truncated, error_chain(&error)));
            }
        }
    }
}

/// Returns the connection of a completely read response to its pool.
pub fn release(checkout: Option<Checkout>) {
    if let Some(checkout) = checkout {
        checkout.release();
    }
}

impl Partial {
    /// Body for the caller and the future that feeds it. The body aborts if the response is
    /// truncated.
    pub fn forward(self) -> (Body, impl Future<Output = Result<(), Failure>> + Send + use<>) {
        let (sender, body) = Body::channel(CHUNK_QUEUE_CAPACITY);
        (body, self.feed(sender))
    }

    async fn feed(mut self, sender: mpsc::Sender<Result<Bytes, Abort>>) -> Result<(), Failure> {
        let mut chunk = Some(self.start);
        while let Some(data) = chunk {
            if sender.send(Ok(data)).await.is_err() {
                return Ok(());
            }
            chunk = match next_data(&mut self.body).await {
                Ok(chunk) => chunk,
                Err(failure) => {
                    // Otherwise the caller would take the truncated body for a complete one.
                    let _ = sender.send(Err(Abort)).await;
                    return Err(failure);
                }
            };
        }
        release(self.checkout);
        Ok(())
    }
}
