//! Validation of order epochs at the gateway that relays them.

use filbertsail_api::table::{Transaction, Write};
use filbertsail_cluster::lease::{
    fence::{Fence, Refusal},
    key,
};
use filbertsail_ports::{fake::Table as Fake, table::Table};
use serde_json::json;

const SCOPE: &str = "weights/advisor-lm";

async fn write_lease(table: &Fake, holder: &str, epoch: u64) {
    let value = json!({ "holder": holder, "incarnation": 1, "epoch": epoch, "ttl_ms": 6_000 });
    let write = Write { key: key(SCOPE), value: Some(value) };
    let transaction =
        Transaction { token: holder.to_owned(), checks: Vec::new(), writes: vec![write] };
    table.transact(transaction).await.expect("writes");
}

/// Guards against a stale order through a gateway that has relayed none for the new holder yet.
#[tokio::test(start_paused = true)]
async fn can_reject_an_order_of_an_earlier_holder() {
    let table = Fake::default();
    let fence = Fence::new(table.clone());
    write_lease(&table, "c-1", 1).await;
    assert_eq!(fence.check(SCOPE, 1, false).await, Ok(()));
    write_lease(&table, "c-2", 2).await;
    let old = Refusal::Old { epoch: 1, current: 2 };
    assert_eq!(fence.check(SCOPE, 1, false).await, Err(old.clone()));
    assert_eq!(fence.check(SCOPE, 1, true).await, Err(old));
    assert_eq!(fence.check(SCOPE, 2, false).await, Ok(()));
}

/// Guards against an unverified order to an engine that ignores fencing tokens.
#[tokio::test(start_paused = true)]
async fn can_reject_an_order_that_it_cannot_verify() {
    let table = Fake::default();
    let fence = Fence::new(table.clone());
    write_lease(&table, "c-1", 1).await;
    table.set_down(true);
    assert!(matches!(fence.check(SCOPE, 1, false).await, Err(Refusal::Unchecked(_))));
    assert_eq!(fence.check(SCOPE, 1, true).await, Ok(()));
}
