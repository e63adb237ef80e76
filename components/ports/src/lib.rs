//! Ports to the platform's services and their HTTP adapters.
//!
//! The errors of each port tell whether a failed call may have taken effect. A write whose response
//! was lost is [`table::Error::Unknown`] until reading back resolves its outcome.
//!
//! An adapter of a [`table::Table`] makes one attempt per call; [`table::resolve::Client`] adds the
//! rate limit, retries and the resolution of lost responses.

pub mod backoff;
pub mod duty;
pub mod fake;
pub mod object;
pub mod rate;
pub mod store;
pub mod table;
pub mod vm;
pub mod weight;

mod endpoint;
