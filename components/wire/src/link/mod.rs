//! Authenticated calls between daemons over HTTP/2.

pub mod auth;
pub mod client;
pub mod meter;
pub mod server;

use derive_more::{Display, Error, From};
use filbertsail_errors::Verdict;

use crate::codec;

/// Header with the signed identity of the caller.
pub(crate) const HELLO_HEADER: &str = "filbertsail-hello";
/// Header with the number of the call on its connection and the authentication code of the call.
pub(crate) const CALL_HEADER: &str = "filbertsail-call";
/// Flow-control window of a stream in bytes.
pub(crate) const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
/// Flow-control window of a connection in bytes.
pub(crate) const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Reason why a call failed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// No connection could be opened, so the request was not sent.
    #[display("cannot connect to peer: {_0}")]
    #[from(skip)]
    Connect(#[error(not(source))] String),
    /// The connection failed; the request may have been sent.
    #[display("connection to peer failed: {_0}")]
    Broken(h2::Error),
    /// A frame could not be encoded or decoded.
    #[display("protocol error: {_0}")]
    Codec(codec::Error),
    /// The peer rejected the call; holds the HTTP status.
    #[display("peer rejected the call with status {_0}")]
    #[from(skip)]
    Refused(#[error(not(source))] u16),
    /// The peer sent an unexpected frame or ended the call early.
    #[display("unexpected or missing reply")]
    #[from(skip)]
    Unexpected,
    /// There was no reply in time; the request may have been sent.
    #[display("no reply in time")]
    #[from(skip)]
    TimedOut,
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
            Self::Broken(_) | Self::Codec(_) | Self::Unexpected | Self::TimedOut => {
                Verdict::MayHaveRun
            }
        }
    }
}
