//! Agents over loopback sockets and the in-memory table.

use std::time::Duration;

use filbertsail_api::admin::Apply;
use filbertsail_cluster::config::apply::Error;
use tokio::time::{sleep, timeout};

use crate::common::{self, Fleet};

const LIMIT: Duration = Duration::from_secs(30);

fn change(text: &str) -> Apply {
    Apply {
        author: "operator".to_owned(),
        expect_version: None,
        text: text.to_owned(),
        wait_ms: Some(30_000),
    }
}

/// Guards against a configuration that is in force only where it was accepted.
#[tokio::test]
async fn can_bring_a_configuration_into_force_everywhere() {
    let fleet = Fleet::start(6).await;
    fleet.meet().await;
    let applied = fleet.agents[0].apply(change(common::INVENTORY)).await.expect("accepted");
    assert_eq!((applied.version, applied.live, applied.confirmed), (1, 6, 6));
    assert!(applied.unconfirmed.is_empty());
    for agent in &fleet.agents {
        timeout(LIMIT, agent.ready().wait_for(|ready| *ready)).await.expect("ready").expect("runs");
    }
}

/// Guards against two holders and against a release that makes the next holder wait.
#[tokio::test]
async fn can_hand_over_a_lease_at_a_planned_stop() {
    let mut fleet = Fleet::start(2).await;
    fleet.meet().await;
    let first = fleet.agents[0].contend_for_lease("trainer/lather");
    let held = timeout(LIMIT, first.grant().wait_for(Option::is_some)).await.is_ok();
    let epoch = first.grant().borrow().expect("held").epoch;
    assert!(held);
    let second = fleet.agents[1].contend_for_lease("trainer/lather");
    assert!(second.grant().borrow().is_none());
    fleet.stop(0).await;
    let held = timeout(LIMIT, second.grant().wait_for(Option::is_some)).await.is_ok();
    assert!(held);
    assert_eq!(second.grant().borrow().expect("held").epoch, epoch + 1);
}

async fn ready(fleet: &Fleet, index: usize, wanted: bool) {
    let mut ready = fleet.agents[index].ready();
    let changed = ready.wait_for(|ready| *ready == wanted);
    timeout(LIMIT, changed).await.expect("in time").expect("runs");
}

/// Guards against a fresh VM that waits for the table, against an outage that stops the fleet, and
/// against a cut-off daemon that goes on with a configuration that it cannot confirm.
#[tokio::test]
async fn can_live_through_a_table_outage_but_not_alone() {
    let mut fleet = Fleet::start(3).await;
    fleet.meet().await;
    fleet.agents[0].apply(change(common::INVENTORY)).await.expect("accepted");
    fleet.table.set_down(true);
    fleet.add().await;
    fleet.meet().await;
    ready(&fleet, 3, true).await;
    assert_eq!(fleet.agents[3].config().borrow().as_ref().map(|config| config.version), Some(1));
    // Longer than a confirmation counts.
    sleep(Duration::from_secs(10)).await;
    // Not at one moment only: a stall of the test machine may look like a partition for a while.
    for index in 0..4 {
        ready(&fleet, index, true).await;
    }
    let refused = fleet.agents[1].apply(change(common::INVENTORY)).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    for index in 1..4 {
        fleet.cut_off(index);
    }
    ready(&fleet, 0, false).await;
    let refused = fleet.agents[0].apply(change(common::INVENTORY)).await;
    assert!(matches!(refused, Err(Error::Minority { .. })), "{refused:?}");
    fleet.table.set_down(false);
    ready(&fleet, 0, true).await;
}
