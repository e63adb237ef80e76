//! Validation of fencing tokens for engines that do not validate them.
//!
//! A holder that is paused between its last clock read and the sending of an order cannot notice
//! that its lease has expired. The gateway that relays the order therefore compares its epoch with
//! the lease row and with the highest epoch relayed so far, and rejects stale orders.

use std::sync::{Arc, Mutex, PoisonError};

use derive_more::{Display, Error};
use filbertsail_api::table::Query;
use filbertsail_collections::HashMap;
use filbertsail_ports::table::{self, Table};

use super::{Value, key};

/// Reason why an order was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Refusal {
    /// The lease has a newer holder.
    #[display("epoch {epoch} is older than {current}")]
    Old {
        /// Epoch of the order.
        epoch: u64,
        /// Highest epoch known.
        current: u64,
    },
    /// The lease row could not be read, so the epoch of the order cannot be verified.
    #[display("lease cannot be checked: {_0}")]
    Unchecked(#[error(not(source))] table::Error),
}

/// Rejects orders with a stale epoch; clones share the known epochs.
#[derive(Clone, Debug)]
pub struct Fence<T> {
    table: T,
    highest_epochs: Arc<Mutex<HashMap<String, u64>>>,
}

impl<T: Table> Fence<T> {
    /// Validates orders against the lease rows in `table`.
    #[must_use]
    pub fn new(table: T) -> Self {
        Self { table, highest_epochs: Arc::default() }
    }

    /// Checks that an order under the lease of `scope` with `epoch` may be relayed now.
    ///
    /// The table is not read for engines that validate fencing tokens themselves.
    ///
    /// # Errors
    /// Fails if a newer epoch is known or, for engines that ignore fencing tokens, if the lease row
    /// cannot be read.
    pub async fn check(&self, scope: &str, epoch: u64, checks_fence: bool) -> Result<(), Refusal> {
        self.observe_epoch(scope, epoch)?;
        if checks_fence {
            return Ok(());
        }
        let rows = self.table.read(Query { keys: vec![key(scope)] }).await;
        let rows = rows.map_err(Refusal::Unchecked)?;
        let value = rows.first().map(|row| serde_json::from_value::<Value>(row.value.clone()));
        match value {
            Some(Ok(value)) => self
                .observe_epoch(scope, value.epoch)
                .and_then(|()| self.observe_epoch(scope, epoch)),
            _ => Ok(()),
        }
    }

    /// Records `epoch`; fails if a higher one is known.
    fn observe_epoch(&self, scope: &str, epoch: u64) -> Result<(), Refusal> {
        let mut highest_epochs = self.highest_epochs.lock().unwrap_or_else(PoisonError::into_inner);
        let current = highest_epochs.entry(scope.to_owned()).or_default();
        *current = (*current).max(epoch);
        if epoch < *current { Err(Refusal::Old { epoch, current: *current }) } else { Ok(()) }
    }
}
