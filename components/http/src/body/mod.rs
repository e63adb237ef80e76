//! Request and response bodies without dynamic dispatch.

pub mod read;

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error, From};
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The sender stopped before the end of the body; the connection is closed so that the receiver
/// does not take the body for complete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("body aborted by its sender before the end")]
pub struct Abort;

/// Body of a request or response.
#[derive(Debug, From)]
pub enum Body {
    /// Complete bytes; `None` once they have been sent.
    Full(Option<Bytes>),
    /// Chunks received from a channel.
    Stream(mpsc::Receiver<Result<Bytes, Abort>>),
}

impl Body {
    /// Empty body.
    #[must_use]
    pub fn empty() -> Self {
        Self::Full(None)
    }

    /// Body of complete bytes.
    #[must_use]
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        let bytes = bytes.into();
        Self::Full((!bytes.is_empty()).then_some(bytes))
    }

    /// Body fed through a channel that buffers up to `capacity` chunks.
    #[must_use]
    pub fn channel(capacity: usize) -> (mpsc::Sender<Result<Bytes, Abort>>, Self) {
        let (sender, receiver) = mpsc::channel(capacity);
        (sender, Self::Stream(receiver))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Abort;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Abort>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(receiver) => {
                receiver.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
