//! Check of late orders at the gateway that relays them.

use filbertsail_api::table::{Transaction, Write};
use filbertsail_cluster::lease::{
    gate::{Gate, Refusal},
    key,
};
use filbertsail_ports::{fake::Table as Fake, table::Table};
use serde_json::json;

const SCOPE: &str = "weights/advisor-lm";

async fn hold(table: &Fake, holder: &str, epoch: u64) {
    let value = json!({ "holder": holder, "incarnation": 1, "epoch": epoch, "ttl_ms": 6_000 });
    let write = Write { key: key(SCOPE), value: Some(value) };
    let transaction =
        Transaction { token: holder.to_owned(), checks: Vec::new(), writes: vec![write] };
    table.transact(transaction).await.expect("writes");
}

/// Guards against a late order through a gateway that has not relayed for the next holder yet.
#[tokio::test(start_paused = true)]
async fn can_refuse_an_order_of_an_earlier_holder() {
    let table = Fake::default();
    let gate = Gate::new(table.clone());
    hold(&table, "c-1", 1).await;
    assert_eq!(gate.admit(SCOPE, 1, false).await, Ok(()));
    hold(&table, "c-2", 2).await;
    let old = Refusal::Old { epoch: 1, current: 2 };
    assert_eq!(gate.admit(SCOPE, 1, false).await, Err(old.clone()));
    assert_eq!(gate.admit(SCOPE, 1, true).await, Err(old));
    assert_eq!(gate.admit(SCOPE, 2, false).await, Ok(()));
}

/// Guards against an unproved order to an engine that would obey anything.
#[tokio::test(start_paused = true)]
async fn can_refuse_what_it_cannot_check() {
    let table = Fake::default();
    let gate = Gate::new(table.clone());
    hold(&table, "c-1", 1).await;
    table.set_down(true);
    assert!(matches!(gate.admit(SCOPE, 1, false).await, Err(Refusal::Unchecked(_))));
    assert_eq!(gate.admit(SCOPE, 1, true).await, Ok(()));
}
