//! Ports to the platform's services and their HTTP adapters.
//!
//! Every port says what is known after a failure. A write whose answer was lost is
//! [`table::Error::Unknown`] until it is resolved by reading back.

pub mod object;
pub mod table;
pub mod vm;
pub mod weight;
