//! Group commit of claim rows.
//!
//! The table service handles only a few hundred writes per second, so the changes of several
//! requests share one transaction. A conflict on one row fails the whole transaction; the error
//! lists the rows in conflict, and the other changes are retried without them.

use std::collections::HashSet;

use filbertsail_api::table::{Check, Expect, Refusal, Row, Transaction, Write};
use serde_json::Value;

/// Conditional write of one claim row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Row key.
    pub key: String,
    /// Expected state of the row.
    pub expect: Expect,
    /// New value of the row.
    pub value: Value,
}

/// Result of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// Written.
    Committed,
    /// Not written; holds the current row.
    Conflict(Option<Row>),
    /// Not written: the table service is unavailable; holds the reason.
    Unavailable(String),
    /// The write may have taken effect or may still do so.
    Unknown,
}

/// Builds a transaction from `changes`, which must have distinct keys.
#[must_use]
pub fn transaction<'a>(
    token: String,
    changes: impl Iterator<Item = &'a Change> + Clone,
) -> Transaction {
    let check = |it: &Change| Check { key: it.key.clone(), expect: it.expect.clone() };
    let write = |it: &Change| Write { key: it.key.clone(), value: Some(it.value.clone()) };
    Transaction {
        token,
        checks: changes.clone().map(check).collect(),
        writes: changes.map(write).collect(),
    }
}

/// Outcome of the change of `key` after a conflict in the transaction with `token`; `None` if the
/// row of `key` was not in conflict.
#[must_use]
pub fn conflict_outcome(refusal: &Refusal, token: &str, key: &str) -> Option<Outcome> {
    let conflict = refusal.conflicts.iter().find(|conflict| conflict.key == key)?;
    let own = conflict.row.as_ref().is_some_and(|row| row.token == token);
    // The row carries this token if an earlier attempt took effect but its reply was lost.
    Some(if own { Outcome::Committed } else { Outcome::Conflict(conflict.row.clone()) })
}

/// Length of the longest prefix of `keys` without duplicates.
#[must_use]
pub fn distinct_prefix<'a>(keys: impl Iterator<Item = &'a str>) -> usize {
    let mut seen = HashSet::new();
    keys.take_while(|key| seen.insert(*key)).count()
}

#[cfg(test)]
mod tests {
    use super::distinct_prefix;

    /// Guards against two changes of one row in one transaction, which the table service rejects.
    #[test]
    fn can_split_before_a_repeated_key() {
        assert_eq!(distinct_prefix(["a", "b", "a", "c"].into_iter()), 2);
        assert_eq!(distinct_prefix(["a", "b"].into_iter()), 2);
    }
}
