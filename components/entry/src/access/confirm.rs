//! Confirmation of the configuration at the store.

use filbertsail_ports::store::{Fault, Range, Store, Transaction};
use filbertsail_workspaces::{Call, inquiry};
use tokio::time::timeout;

use super::Origin;
use crate::{dialect::Dialect, follow, relay::Peers, shared::Shared};

/// Confirms the configuration whenever a request asks for it; never returns.
pub async fn run<D: Dialect, S: Store>(shared: Shared, store: S, peers: Peers) {
    let mut wanted = shared.access.wanted();
    while wanted.changed().await.is_ok() {
        let number = *wanted.borrow_and_update();
        shared.access.set_vms(peers.len() + 1);
        let (shared, store) = (shared.clone(), store.clone());
        // Does not wait for the end, since a frozen confirmation is replaced by the next one.
        tokio::spawn(async move {
            let result = timeout(inquiry::TIMEOUT, confirm::<D, _>(&shared, &store)).await;
            let result = result.unwrap_or_else(|_| Err("no answer in time".to_owned()));
            shared.access.finish(number, result, shared.now());
        });
    }
}

/// Confirms the active configuration, or applies the newer one.
async fn confirm<D: Dialect, S: Store>(shared: &Shared, store: &S) -> Result<(), String> {
    let origin = shared.access.origin().ok_or("no configuration row is known")?;
    let is_refused = match shared.access.call(shared.now()) {
        Call::Check => match check::<D, _>(shared, store, &origin).await {
            Ok(true) => return Ok(()),
            Ok(false) => false,
            Err(fault) => matches!(fault, Fault::Unavailable(_)),
        },
        Call::Read => false,
    };
    // A read also proves the configuration, if the store refuses transactions without changes or
    // the outcome is unknown.
    let sent_at = shared.now();
    let (from, to) = (origin.key.key.clone(), format!("{}\0", origin.key.key));
    let range =
        Range { table: origin.key.table, part: origin.key.part.clone(), from, to, limit: 1 };
    let page = store.range(range).await.map_err(|fault| fault.to_string())?;
    if is_refused {
        shared.access.record_check(false, shared.now());
    }
    let row = page.rows.first().ok_or("the configuration was deleted")?;
    match follow::apply_operator_row::<D>(shared, row, Some(sent_at)).await {
        true => Ok(()),
        false => Err("the newest configuration cannot be read".to_owned()),
    }
}

/// Checks the version of the configuration's row; returns whether that settled it.
async fn check<D: Dialect, S: Store>(
    shared: &Shared,
    store: &S,
    origin: &Origin,
) -> Result<bool, Fault> {
    let sent_at = shared.now();
    let checks = vec![(origin.key.clone(), origin.version)];
    match store.transact(Transaction { checks, ..Transaction::default() }).await {
        Ok(_) => {
            shared.access.record_check(true, shared.now());
            shared.access.confirmed(sent_at);
            Ok(true)
        }
        Err(Fault::Conflict(rows)) => {
            shared.access.record_check(true, shared.now());
            match rows.iter().find(|row| row.key == origin.key.key) {
                Some(row) => Ok(follow::apply_operator_row::<D>(shared, row, Some(sent_at)).await),
                None => Ok(false),
            }
        }
        Err(fault) => Err(fault),
    }
}
