//! Port to the platform's VM list.

pub mod http;

use std::future::Future;

use derive_more::{Display, Error};
use filbertsail_api::vm;

/// The VM list cannot be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("VM list unavailable: {reason}")]
pub struct Unavailable {
    /// Cause as readable text.
    pub reason: String,
}

/// List of live and leaving VMs; it may be out of date.
pub trait List: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    ///
    /// # Errors
    /// Fails if the platform does not return a valid list.
    fn read(&self) -> impl Future<Output = Result<vm::List, Unavailable>> + Send;
}
