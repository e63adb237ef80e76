//! Port to the transactional table service.

pub mod http;
pub mod resolve;

use std::future::Future;

use derive_more::{Display, Error};
use filbertsail_api::table::{Commit, Page, Query, Refusal, Row, Scan, Transaction};

/// Why a call to the table service gave no result.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Error {
    /// A condition of the transaction did not hold; nothing was written.
    #[display("{} conditions did not hold", _0.conflicts.len())]
    Conflict(#[error(not(source))] Refusal),
    /// Nothing was written or read: the service was not reached or refused the call.
    #[display("table service unavailable: {_0}")]
    Unavailable(#[error(not(source))] String),
    /// The write may or may not have taken effect.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
    /// This process has used up its share of the table's rate.
    #[display("local rate limit reached")]
    Limited,
}

/// Transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Commits all writes if all checks hold.
    ///
    /// # Errors
    /// See [`Error`]; only [`Error::Unknown`] leaves open whether it committed.
    fn transact(
        &self,
        transaction: Transaction,
    ) -> impl Future<Output = Result<Commit, Error>> + Send;

    /// Reads rows by key; keys without a row are left out.
    ///
    /// # Errors
    /// Fails with [`Error::Unavailable`] or [`Error::Limited`].
    fn read(&self, query: Query) -> impl Future<Output = Result<Vec<Row>, Error>> + Send;

    /// Reads rows by prefix in key order.
    ///
    /// # Errors
    /// Fails with [`Error::Unavailable`] or [`Error::Limited`].
    fn scan(&self, scan: Scan) -> impl Future<Output = Result<Page, Error>> + Send;
}
