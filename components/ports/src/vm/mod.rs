//! Port to the platform's VM list.

pub mod http;

use std::future::Future;

use derive_more::{Display, Error};
use filbertsail_api::vm;

/// The VM list was not reached.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("VM list unavailable: {reason}")]
pub struct Unavailable {
    /// Cause for people.
    pub reason: String,
}

/// List of live and leaving VMs, which lags.
pub trait List: Clone + Send + Sync + 'static {
    /// Reads the list.
    ///
    /// # Errors
    /// Fails if the list cannot be read.
    fn read(&self) -> impl Future<Output = Result<vm::List, Unavailable>> + Send;
}
