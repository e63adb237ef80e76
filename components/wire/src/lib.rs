//! Protocol between the project's own processes: `h2` streams that carry `bincode` frames.
//!
//! A call is one h2 stream: one request frame, then any number of reply frames. Dropping the
//! replies resets the stream, which cancels the call. Every connection is authenticated with the
//! cluster key.

pub mod codec;
pub mod frame;
pub mod link;

pub use frame::Frame;
