//! A restarted process takes over the lease of its predecessor at once, but no other lease.

use std::time::Duration;

use filbertsail_api::table::{Row, Transaction};
use filbertsail_clock::Instant;
use filbertsail_cluster::lease::{
    Timing, Value,
    elector::{Action, Elector},
};

const TIMING: Timing =
    Timing { ttl: Duration::from_millis(2_000), order_lifetime: Duration::from_millis(3_000) };

fn value(holder: &str, ordering: bool) -> Value {
    Value { holder: Some(holder.to_owned()), incarnation: 1, epoch: 4, ttl_ms: 2_000, ordering }
}

fn row_of(value: &Value) -> Row {
    let value = serde_json::to_value(value).expect("plain fields");
    Row { key: "lease/x".to_owned(), revision: 9, token: "t".to_owned(), value }
}

fn row(holder: &str, ordering: bool) -> Row {
    row_of(&value(holder, ordering))
}

/// Row after the commit of `transaction`.
fn stored_row(transaction: &Transaction) -> Row {
    let value = transaction.writes[0].value.clone().expect("a row is never deleted");
    Row { key: "lease/x".to_owned(), revision: 9, token: transaction.token.clone(), value }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn next_write(elector: &mut Elector, now: Instant) -> Option<Transaction> {
    match elector.next_action(now, Duration::ZERO, "new".to_owned()) {
        Action::Write(transaction) => Some(transaction),
        _ => None,
    }
}

fn successor() -> Elector {
    Elector::new("x", "vm-1", 2, TIMING).with_predecessor_ended()
}

/// Guards against seconds without orders after a restart of the holder.
#[test]
fn can_send_orders_at_once_after_a_restart() {
    let mut elector = successor();
    elector.on_read(at(100), Some(&row("vm-1", true)));
    assert!(next_write(&mut elector, at(100)).is_some());
    elector.on_committed(at(110), 10);
    let grant = elector.grant(at(110)).expect("held");
    assert_eq!(grant.epoch, 5);
    assert!(grant.allows_orders(at(110), false));
}

/// Guards against orders too soon after those of another VM: the predecessor was itself still
/// waiting for them to expire when it ended.
#[test]
fn can_wait_if_the_predecessor_was_waiting() {
    let mut elector = successor();
    elector.on_read(at(100), Some(&row("vm-1", false)));
    assert!(next_write(&mut elector, at(100)).is_some());
    elector.on_committed(at(110), 10);
    let grant = elector.grant(at(110)).expect("held");
    assert!(!grant.allows_orders(at(110), false));
}

/// Guards against orders of two VMs within the lifetime of an order: a holder that had waited for
/// only part of it renewed the lease, was killed and started again.
#[test]
fn can_wait_if_the_predecessor_renewed_during_its_wait() {
    let lifetime_ms = 3_000;
    let released = Value { holder: None, ..value("vm-2", true) };
    for renewed_at in (500..=4_500).step_by(100) {
        let mut first = Elector::new("x", "vm-1", 1, TIMING).with_predecessor_ended();
        first.on_read(at(100), Some(&row_of(&released)));
        let mut stored = next_write(&mut first, at(100)).expect("the lease is free");
        first.on_committed(at(110), 10);
        let mut now = 100;
        while now < renewed_at {
            now += 100;
            if let Some(renewal) = next_write(&mut first, at(now)) {
                stored = renewal;
                first.on_committed(at(now), 10 + now);
            }
        }

        let mut second = successor();
        second.on_read(at(now + 250), Some(&stored_row(&stored)));
        assert!(next_write(&mut second, at(now + 250)).is_some());
        second.on_committed(at(now + 260), 10_000);
        let grant = second.grant(at(now + 260)).expect("held");
        let waited_ms = now + 250 - 100;
        assert!(
            !grant.allows_orders(at(now + 260), false) || waited_ms >= lifetime_ms,
            "orders {waited_ms} ms after the release of another VM"
        );
    }
}

/// Guards against acquiring the lease of another VM before it has expired.
#[test]
fn can_wait_for_the_lease_of_another_vm() {
    let mut elector = successor();
    elector.on_read(at(100), Some(&row("vm-2", true)));
    assert!(next_write(&mut elector, at(100)).is_none());
    elector.on_read(at(2_100), Some(&row("vm-2", true)));
    assert!(next_write(&mut elector, at(2_100)).is_some());
}

/// Guards against a needless change of holder after a table outage: the next holder would have to
/// wait for the orders of the previous one to expire.
#[test]
fn can_leave_the_lease_to_its_holder_after_an_outage() {
    let mut elector = successor();
    elector.on_read(at(100), Some(&row("vm-2", true)));
    elector.on_read_failed(at(700));
    elector.on_read_failed(at(5_000));
    elector.on_read(at(5_100), Some(&row("vm-2", true)));
    assert!(next_write(&mut elector, at(5_100)).is_none());
    elector.on_read(at(6_900), Some(&row("vm-2", true)));
    assert!(next_write(&mut elector, at(6_900)).is_none());
    elector.on_read(at(7_000), Some(&row("vm-2", true)));
    assert!(next_write(&mut elector, at(7_000)).is_some(), "unchanged for the whole TTL");
}
