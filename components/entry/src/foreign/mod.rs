//! Memory for the bodies of workers' responses and callers' requests.
//!
//! A worker may send bytes without end on each of hundreds of connections, and the smallest VM has
//! less than 100 MB of memory. One response therefore has a limit, and all responses that are being
//! read share another one. Requests have a limit in the configuration, and those that are being
//! handled share one of their own, so that callers never make a worker's response fail.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Largest body of one response.
pub const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Largest sum of the bodies that are being read.
pub const MAX_TOTAL_BYTES: usize = 16 * 1024 * 1024;

/// Size up to which the body of a request is not counted, so that large ones never keep out usual
/// requests. The number of connections bounds their memory.
pub const SMALL_REQUEST_BYTES: usize = 64 * 1024;
/// Largest sum of the bodies of requests that are being handled. A batch takes three times its size
/// until it is stored.
pub const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", self.reason())]
pub enum Fault {
    /// The connection ended before the body did.
    Broken,
    /// The body exceeds the limit of one response.
    TooLong,
    /// All bodies together exceed their limit.
    Exhausted,
}

impl Fault {
    /// Reason in logs and metrics.
    #[must_use]
    pub fn reason(self) -> &'static str {
        match self {
            Self::Broken => "answer broke off",
            Self::TooLong => "answer too long",
            Self::Exhausted => "too many answers being read",
        }
    }
}

/// Bytes of all bodies that are being read, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Budget(Arc<AtomicUsize>);

impl Budget {
    /// Reads a whole body.
    ///
    /// # Errors
    /// Fails if the body breaks off or a limit is exceeded.
    pub async fn read(&self, mut body: Incoming) -> Result<Bytes, Fault> {
        let mut share = Share { budget: self, bytes: 0 };
        // Joined at the end, since a growing buffer takes up to three times its content.
        let mut chunks: Vec<Bytes> = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Fault::Broken)?.into_data() else { continue };
            share.grow(data.len())?;
            chunks.push(data);
        }
        Ok(match chunks.pop() {
            Some(only) if chunks.is_empty() => only,
            last => {
                chunks.extend(last);
                chunks.concat().into()
            }
        })
    }

    /// Bytes of the bodies that are being read.
    #[must_use]
    pub fn used(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Bytes of all requests that are being handled, cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct Requests(Arc<AtomicUsize>);

impl Requests {
    /// Share of a request that has no bytes yet.
    #[must_use]
    pub fn share(&self) -> RequestShare {
        RequestShare { requests: self.clone(), bytes: 0, counted_bytes: 0 }
    }
}

/// Bytes of one request, returned on drop.
#[derive(Debug)]
pub struct RequestShare {
    requests: Requests,
    bytes: usize,
    /// Bytes beyond [`SMALL_REQUEST_BYTES`], which count.
    counted_bytes: usize,
}

impl RequestShare {
    /// Adds bytes to the request; returns whether there is room for them. There always is for a
    /// small request, and for a large one if it is the only one.
    pub fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let more = self.bytes.saturating_sub(SMALL_REQUEST_BYTES) - self.counted_bytes;
        if more == 0 {
            return true;
        }
        self.counted_bytes += more;
        let total = self.requests.0.fetch_add(more, Ordering::Relaxed) + more;
        total <= MAX_REQUEST_BYTES || total == self.counted_bytes
    }
}

impl Drop for RequestShare {
    fn drop(&mut self) {
        self.requests.0.fetch_sub(self.counted_bytes, Ordering::Relaxed);
    }
}

/// Share of one body, returned on drop.
struct Share<'a> {
    budget: &'a Budget,
    bytes: usize,
}

impl Share<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), Fault> {
        self.bytes += bytes;
        let total = self.budget.0.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.bytes > MAX_BODY_BYTES {
            return Err(Fault::TooLong);
        }
        if total > MAX_TOTAL_BYTES { Err(Fault::Exhausted) } else { Ok(()) }
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.budget.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
