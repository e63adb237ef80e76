//! A process takes the lease of the earlier process of its name at once, but no other lease.

use std::time::Duration;

use filbertsail_api::table::{Row, Transaction};
use filbertsail_clock::Instant;
use filbertsail_cluster::lease::{
    Times, Value,
    machine::{Action, Machine},
};

const TIMES: Times =
    Times { ttl: Duration::from_millis(2_000), order_life: Duration::from_millis(3_000) };

fn row(holder: &str, ordering: bool) -> Row {
    let value = Value {
        holder: Some(holder.to_owned()),
        incarnation: 1,
        epoch: 4,
        ttl_ms: 2_000,
        ordering,
    };
    let value = serde_json::to_value(value).expect("plain fields");
    Row { key: "lease/x".to_owned(), revision: 9, token: "t".to_owned(), value }
}

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn write(machine: &mut Machine, now: Instant) -> Option<Transaction> {
    match machine.next(now, Duration::ZERO, "new".to_owned()) {
        Action::Write(transaction) => Some(transaction),
        _ => None,
    }
}

fn successor() -> Machine {
    Machine::new("x", "vm-1", 2, TIMES).succeeding()
}

/// Guards against seconds without orders after the process that gives them was restarted.
#[test]
fn can_order_at_once_after_a_restart() {
    let mut machine = successor();
    machine.read(at(100), Some(&row("vm-1", true)));
    assert!(write(&mut machine, at(100)).is_some());
    machine.written(at(110), 10);
    let holding = machine.holding(at(110)).expect("held");
    assert_eq!(holding.epoch, 5);
    assert!(holding.may_order(at(110), false));
}

/// Guards against orders that follow those of another VM too closely: the earlier process was
/// itself still waiting when it ended.
#[test]
fn can_wait_where_the_predecessor_still_waited() {
    let mut machine = successor();
    machine.read(at(100), Some(&row("vm-1", false)));
    assert!(write(&mut machine, at(100)).is_some());
    machine.written(at(110), 10);
    let holding = machine.holding(at(110)).expect("held");
    assert!(!holding.may_order(at(110), false));
}

/// Guards against a lease taken from another VM before it has expired.
#[test]
fn can_leave_the_lease_of_another_vm() {
    let mut machine = successor();
    machine.read(at(100), Some(&row("vm-2", true)));
    assert!(write(&mut machine, at(100)).is_none());
    machine.read(at(2_100), Some(&row("vm-2", true)));
    assert!(write(&mut machine, at(2_100)).is_some());
}

/// Guards against a lease that changes hands after an outage of the table though its holder lives:
/// the next holder would have to wait for the orders of the one before.
#[test]
fn can_leave_the_lease_to_its_holder_after_an_outage() {
    let mut machine = successor();
    machine.read(at(100), Some(&row("vm-2", true)));
    machine.unread(at(700));
    machine.unread(at(5_000));
    machine.read(at(5_100), Some(&row("vm-2", true)));
    assert!(write(&mut machine, at(5_100)).is_none());
    machine.read(at(6_900), Some(&row("vm-2", true)));
    assert!(write(&mut machine, at(6_900)).is_none());
    machine.read(at(7_000), Some(&row("vm-2", true)));
    assert!(write(&mut machine, at(7_000)).is_some(), "silent for the whole time since");
}
