//! Bodies of workers' responses, read within limits.
//!
//! A worker may send bytes without end on each of hundreds of connections, and the smallest VM has
//! less than 100 MB of memory. One response therefore has a limit, and all responses that are being
//! read share another one.

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
