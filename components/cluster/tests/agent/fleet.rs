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

/// Guards against a configuration that is active only on the agent that accepted it.
#[tokio::test]
async fn can_activate_a_configuration_on_all_agents() {
    let fleet = Fleet::start(6).await;
    fleet.wait_until_converged().await;
    let applied = fleet.agents[0].apply(change(common::INVENTORY)).await.expect("accepted");
    assert_eq!((applied.version, applied.live, applied.confirmed), (1, 6, 6));
    assert!(applied.unconfirmed.is_empty());
    for agent in &fleet.agents {
        timeout(LIMIT, agent.ready().wait_for(|ready| *ready)).await.expect("ready").expect("runs");
    }
}

/// Guards against two holders and against a next holder that waits for the TTL after a release.
#[tokio::test]
async fn can_hand_over_a_lease_at_a_graceful_shutdown() {
    let mut fleet = Fleet::start(2).await;
    fleet.wait_until_converged().await;
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

async fn wait_for_ready(fleet: &Fleet, index: usize, wanted: bool) {
    let mut ready = fleet.agents[index].ready();
    let changed = ready.wait_for(|ready| *ready == wanted);
    timeout(LIMIT, changed).await.expect("in time").expect("runs");
}

/// Guards against a new VM that waits for the table, against a table outage that stops the fleet,
/// and against an isolated daemon that serves with an unconfirmed configuration.
#[tokio::test]
async fn can_stay_ready_in_a_table_outage_unless_isolated() {
    let mut fleet = Fleet::start(3).await;
    fleet.wait_until_converged().await;
    fleet.agents[0].apply(change(common::INVENTORY)).await.expect("accepted");
    fleet.table.set_down(true);
    fleet.add().await;
    fleet.wait_until_converged().await;
    wait_for_ready(&fleet, 3, true).await;
    assert_eq!(fleet.agents[3].config().borrow().as_ref().map(|config| config.version), Some(1));
    // Longer than the 8 s for which a confirmation is valid.
    sleep(Duration::from_secs(10)).await;
    // Waits for readiness, since a stall of the test host can look like a partition for a while.
    for index in 0..4 {
        wait_for_ready(&fleet, index, true).await;
    }
    let refused = fleet.agents[1].apply(change(common::INVENTORY)).await;
    assert!(matches!(refused, Err(Error::Unavailable(_))), "{refused:?}");
    for index in 1..4 {
        fleet.make_unreachable(index);
    }
    wait_for_ready(&fleet, 0, false).await;
    let refused = fleet.agents[0].apply(change(common::INVENTORY)).await;
    assert!(matches!(refused, Err(Error::Minority { .. })), "{refused:?}");
    fleet.table.set_down(false);
    wait_for_ready(&fleet, 0, true).await;
}
