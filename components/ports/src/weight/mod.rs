//! Port to the weight store.

pub mod http;

use std::future::Future;

use derive_more::{Display, Error};
use filbertsail_api::weight::Latest;

/// Why the weight store gave no result.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No weights have been published for the service.
    #[display("no weights published")]
    NotFound,
    /// The store asked to slow down.
    #[display("weight store rate limit reached")]
    Limited,
    /// The store was not reached.
    #[display("weight store unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
}

/// Rate-limited store of model weights. Engines fetch the weights themselves.
pub trait Store: Clone + Send + Sync + 'static {
    /// Newest weights of a service.
    ///
    /// # Errors
    /// See [`Error`].
    fn latest(&self, service: &str) -> impl Future<Output = Result<Latest, Error>> + Send;
}
