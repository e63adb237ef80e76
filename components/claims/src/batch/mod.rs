//! Group commit of claim rows.
//!
//! The table service handles a few hundred writes per second, so that the changes of several
//! requests share one transaction. A conflict of one change fails the whole transaction; the
//! refusal names the rows in conflict, and the others are tried again without them.

use std::collections::HashSet;

use filbertsail_api::table::{Check, Expect, Refusal, Row, Transaction, Write};
use serde_json::Value;

/// Change of one claim row.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Row key.
    pub key: String,
    /// Condition on the row.
    pub expect: Expect,
    /// New value.
    pub value: Value,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Settled {
    /// Written.
    Done,
    /// Not written; the row as it stands.
    Conflict(Option<Row>),
    /// Not written; the table service was not reached.
    Unavailable(String),
    /// May be written now or later.
    Unknown,
}

/// Transaction over `changes`, whose keys differ.
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

/// What a refusal of the transaction with `token` says about the change of `key`; `None` if the
/// change was not in conflict.
#[must_use]
pub fn settled(refusal: &Refusal, token: &str, key: &str) -> Option<Settled> {
    let conflict = refusal.conflicts.iter().find(|conflict| conflict.key == key)?;
    let own = conflict.row.as_ref().is_some_and(|row| row.token == token);
    // The row carries the token if an earlier attempt with a lost answer took effect.
    Some(if own { Settled::Done } else { Settled::Conflict(conflict.row.clone()) })
}

/// Number of changes from the start whose keys differ.
#[must_use]
pub fn distinct<'a>(keys: impl Iterator<Item = &'a str>) -> usize {
    let mut seen = HashSet::new();
    keys.take_while(|key| seen.insert(*key)).count()
}

#[cfg(test)]
mod tests {
    use super::distinct;

    /// Guards against two changes of one row in one transaction, which the table refuses.
    #[test]
    fn can_split_before_a_repeated_key() {
        assert_eq!(distinct(["a", "b", "a", "c"].into_iter()), 2);
        assert_eq!(distinct(["a", "b"].into_iter()), 2);
    }
}
