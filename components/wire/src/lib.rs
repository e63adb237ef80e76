//! Protocol between daemons: frames encoded with `bincode` over HTTP/2 streams.
//!
//! A call is one HTTP/2 stream with one request frame, followed by any number of reply frames.
//! Dropping the replies resets the stream, which cancels the call. Every connection and call is
//! authenticated with the cluster key.

pub mod codec;
pub mod frame;
pub mod link;

pub use frame::Frame;
