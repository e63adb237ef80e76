//! Calls between daemons over `h2`.

pub mod auth;
pub mod client;
pub mod meter;
pub mod server;

use derive_more::{Display, Error, From};
use filbertsail_errors::Verdict;

use crate::codec;

/// Header with the authenticated identity of the caller.
pub(crate) const HELLO_HEADER: &str = "filbertsail-hello";
/// Header with the number of the call on its connection and its authentication code.
pub(crate) const CALL_HEADER: &str = "filbertsail-call";
/// Flow-control window of a stream in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
/// Flow-control window of a connection in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No connection; the request was not sent.
    #[display("no connection to peer: {_0}")]
    #[from(skip)]
    Connect(#[error(not(source))] String),
    /// The connection broke after the request may have been sent.
    #[display("connection broke: {_0}")]
    Broken(h2::Error),
    /// The peer sent bytes that are no frame.
    #[display("protocol error: {_0}")]
    Codec(codec::Error),
    /// The peer refused the caller's identity.
    #[display("peer refused the caller with status {_0}")]
    #[from(skip)]
    Refused(#[error(not(source))] u16),
    /// The peer answered with a frame that does not fit the call.
    #[display("unexpected reply")]
    #[from(skip)]
    Unexpected,
}

impl Error {
    /// Whether the called daemon may have acted on the request.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect(_) | Self::Refused(_) => Verdict::NotRun,
            Self::Broken(error) if error.reason() == Some(h2::Reason::REFUSED_STREAM) => {
                Verdict::NotRun
            }
            Self::Broken(_) | Self::Codec(_) | Self::Unexpected => Verdict::MayHaveRun,
        }
    }
}
