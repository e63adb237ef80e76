//! Port to the object store.

pub mod http;

use std::future::Future;

use bytes::Bytes;
use derive_more::{Display, Error};

/// Failure of a call to the object store.
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
    /// The write may have taken effect or may still do so.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}

/// Object store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Stores an object, replacing any under the same key.
    ///
    /// # Errors
    /// See [`Error`].
    fn put(&self, key: &str, body: Bytes) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads an object.
    ///
    /// # Errors
    /// Fails with [`Error::NotFound`] or [`Error::Unavailable`].
    fn get(&self, key: &str) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Deletes an object; succeeds if there is none.
    ///
    /// # Errors
    /// See [`Error`].
    fn delete(&self, key: &str) -> impl Future<Output = Result<(), Error>> + Send;
}
