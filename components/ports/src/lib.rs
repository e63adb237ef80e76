//! Ports to the platform's services and their HTTP adapters.
//!
//! Every port says what is known after a failure. A write whose answer was lost is
//! [`table::Error::Unknown`] until it is resolved by reading back.
//!
//! An adapter makes one attempt per call and [`table::resolve::Client`] adds the rate budget,
//! retries and the resolution of lost answers to any [`table::Table`].

pub mod backoff;
pub mod budget;
pub mod fake;
pub mod object;
pub mod store;
pub mod table;
pub mod vm;
pub mod weight;

mod exchange;
