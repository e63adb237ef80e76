//! Port to the platform's interface for duties: usage reports and orders of workers.
//!
//! The platform cannot be read back, and a call without a response may have taken effect.

pub mod fake;

use std::{collections::BTreeMap, future::Future};

use derive_more::{Display, Error};

/// Sender of a call.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Name of the VM that holds the lease on the duty.
    pub vm: String,
    /// Epoch of that lease.
    pub epoch: u64,
}

/// Requests that workers began to run in a window, by workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Number of the window since the start of 1970.
    pub window: u64,
    pub counts: BTreeMap<String, u64>,
}

/// Order of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    pub service: String,
    pub zone: String,
    /// Number of workers of this kind that should run there.
    pub count: u32,
    /// Whether the order is for spot workers.
    pub is_spot: bool,
}

/// Failure of a call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum Fault {
    /// Nothing was done; the call may be repeated after a pause.
    #[display("refused: {_0}")]
    Refused(#[error(not(source))] String),
    /// There are no such workers in the zone at the moment.
    #[display("sold out")]
    SoldOut,
    /// The call is invalid and must not be repeated.
    #[display("invalid: {_0}")]
    Invalid(#[error(not(source))] String),
    /// The call may have taken effect or may still do so.
    #[display("outcome unknown: {_0}")]
    Unknown(#[error(not(source))] String),
}

/// Platform's interface for duties.
pub trait Platform: Clone + Send + Sync + 'static {
    /// Reports the usage of a window; an exact repetition has no effect.
    ///
    /// # Errors
    /// Only [`Fault::Unknown`] leaves open whether the report took effect.
    fn report_usage(
        &self,
        holder: &Holder,
        usage: &Usage,
    ) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Orders workers of a service in a zone.
    ///
    /// # Errors
    /// Only [`Fault::Unknown`] leaves open whether the order took effect.
    fn order_workers(
        &self,
        holder: &Holder,
        order: &Order,
    ) -> impl Future<Output = Result<(), Fault>> + Send;
}
