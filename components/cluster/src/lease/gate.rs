//! Check of fencing numbers on behalf of engines that ignore them.
//!
//! A holder that is paused between its last look at the clock and the sending of an order cannot
//! notice that its lease has expired. The gateway that relays the order compares its epoch with
//! the lease row and with the highest epoch that it has relayed, so a late order goes no further.

use std::sync::{Arc, Mutex, PoisonError};

use derive_more::{Display, Error};
use filbertsail_api::table::Query;
use filbertsail_collections::HashMap;
use filbertsail_ports::table::{self, Table};

use super::{Value, key};

/// Why an order was not relayed.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum Refusal {
    /// A later holder exists.
    #[display("epoch {epoch} is older than {current}")]
    Old {
        /// Epoch of the order.
        epoch: u64,
        /// Epoch of the present holder.
        current: u64,
    },
    /// The lease row could not be read, so nothing proves that the order is current.
    #[display("lease cannot be checked: {_0}")]
    Unchecked(#[error(not(source))] table::Error),
}

/// Check of orders, shared by clones.
#[derive(Clone, Debug)]
pub struct Gate<T> {
    table: T,
    highest: Arc<Mutex<HashMap<String, u64>>>,
}

impl<T: Table> Gate<T> {
    /// Check against the lease rows in `table`.
    #[must_use]
    pub fn new(table: T) -> Self {
        Self { table, highest: Arc::default() }
    }

    /// Whether an order of the holder of `scope` with `epoch` may be relayed now.
    ///
    /// Engines that check fencing numbers themselves need no read of the table.
    ///
    /// # Errors
    /// Fails if a later holder exists or, for engines that ignore fencing numbers, if that cannot
    /// be ruled out.
    pub async fn admit(&self, scope: &str, epoch: u64, checks_fence: bool) -> Result<(), Refusal> {
        self.raise(scope, epoch)?;
        if checks_fence {
            return Ok(());
        }
        let rows = self.table.read(Query { keys: vec![key(scope)] }).await;
        let rows = rows.map_err(Refusal::Unchecked)?;
        let value = rows.first().map(|row| serde_json::from_value::<Value>(row.value.clone()));
        match value {
            Some(Ok(value)) => {
                self.raise(scope, value.epoch).and_then(|()| self.raise(scope, epoch))
            }
            _ => Ok(()),
        }
    }

    /// Notes `epoch`; fails if a higher one is known.
    fn raise(&self, scope: &str, epoch: u64) -> Result<(), Refusal> {
        let mut highest = self.highest.lock().unwrap_or_else(PoisonError::into_inner);
        let current = highest.entry(scope.to_owned()).or_default();
        *current = (*current).max(epoch);
        if epoch < *current { Err(Refusal::Old { epoch, current: *current }) } else { Ok(()) }
    }
}
