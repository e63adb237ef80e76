//! Port to the object store.

pub mod http;

use std::future::Future;

use bytes::Bytes;
use derive_more::{Display, Error};

/// Why a call to the object store gave no result.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Error {
    /// There is no such object.
    #[display("object not found")]
    NotFound,
    /// The object exists already.
    #[display("object exists")]
    Exists,
    /// The store was not reached or refused the call.
    #[display("object store unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The write may or may not have taken effect.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}

/// Object store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Stores an object, replacing one of the same key.
    ///
    /// # Errors
    /// See [`Error`].
    fn put(&self, key: &str, body: Bytes) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads an object.
    ///
    /// # Errors
    /// Fails with [`Error::NotFound`] or [`Error::Unavailable`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Removes an object; one that is not there counts as removed.
    ///
    /// # Errors
    /// See [`Error`].
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), Error>> + Send;
}
