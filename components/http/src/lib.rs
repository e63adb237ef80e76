//! HTTP servers and clients on `hyper`, with the limits that apply to every port.

pub mod body;
pub mod client;
pub mod server;
pub mod status;
pub mod tls;
pub mod token;

pub use body::Body;
