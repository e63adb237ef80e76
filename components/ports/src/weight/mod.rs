//! Port to the weight store.

pub mod http;

use std::future::Future;

use derive_more::{Display, Error};
use filbertsail_api::weight::Latest;

/// Failure of a call to the weight store.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// No weights have been published for the service.
    #[display("no weights published for the service")]
    NotFound,
    /// The rate limit of the store was exceeded.
    #[display("weight store rate limit exceeded")]
    Limited,
    /// The store was not reached or did not return a valid response.
    #[display("weight store unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
}

/// Rate-limited store of model weights. It is only asked for versions; engines fetch the weights
/// themselves.
pub trait Store: Clone + Send + Sync + 'static {
    /// Newest published weights of a service.
    ///
    /// # Errors
    /// See [`Error`].
    fn latest(&self, service: &str) -> impl Future<Output = Result<Latest, Error>> + Send;
}
