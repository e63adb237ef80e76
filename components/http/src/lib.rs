//! HTTP servers and clients by `hyper`, with the limits that every port of the project keeps.

pub mod body;
pub mod client;
pub mod server;
pub mod tls;
pub mod token;

pub use body::Body;
