//! Resolution of lost responses over the fake table, in paused time.

use std::time::Duration;

use filbertsail_api::table::{Check, Expect, Query, Transaction, Write};
use filbertsail_ports::{
    fake::{Fault, Table as Fake},
    rate::{Limiter, Quota},
    table::{Error, Table, resolve::Client},
};
use rand::{SeedableRng, rngs::StdRng};
use serde_json::json;

fn client(fake: &Fake) -> Client<Fake> {
    let limiter = Limiter::new(Quota { writes_per_s: 1e6, reads_per_s: 1e6 });
    Client::new(fake.clone(), limiter)
}

fn create(token: &str) -> Transaction {
    Transaction {
        token: token.to_owned(),
        checks: vec![Check { key: "row".to_owned(), expect: Expect::Absent }],
        writes: vec![Write { key: "row".to_owned(), value: Some(json!({ "by": token })) }],
    }
}

fn update(token: &str, revision: u64) -> Transaction {
    let expect = Expect::Revision { revision };
    Transaction { checks: vec![Check { key: "row".to_owned(), expect }], ..create(token) }
}

/// Guards against a retry that reports a conflict with its own committed write.
#[tokio::test(start_paused = true)]
async fn can_recognise_its_own_commit() {
    let fake = Fake::default();
    fake.inject(Fault::LostAfter);
    let commit = client(&fake).transact(create("a")).await;
    assert_eq!(commit.expect("committed").revision, 1);
    assert_eq!(fake.applied().len(), 1);
}

/// Guards against giving up on a lost request although retrying it is safe.
#[tokio::test(start_paused = true)]
async fn can_retry_a_lost_request() {
    let fake = Fake::default();
    fake.inject(Fault::LostBefore);
    fake.inject(Fault::Refused);
    assert!(client(&fake).transact(create("a")).await.is_ok());
    assert_eq!(fake.applied().len(), 1);
}

/// Guards against "not written" for a write that committed and was then overwritten by another
/// writer.
#[tokio::test(start_paused = true)]
async fn can_report_unknown_after_another_writer() {
    let fake = Fake::default();
    fake.inject(Fault::LostAfter);
    let writer = tokio::spawn({
        let client = client(&fake);
        async move { client.transact(create("a")).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fake.transact(update("b", 1)).await.expect("replaces the row");
    let outcome = writer.await.expect("joins");
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
}

/// Guards against "not written" for a request that is still in flight when the outage starts.
#[tokio::test(start_paused = true)]
async fn can_report_unknown_in_an_outage() {
    let fake = Fake::default();
    fake.inject(Fault::DelayedCommit(Duration::from_secs(60)));
    let writer = tokio::spawn({
        let client = client(&fake);
        async move { client.transact(create("a")).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    fake.set_down(true);
    let outcome = writer.await.expect("joins");
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(fake.applied().len(), 1);
}

/// Guards against an unbounded wait for a table that does not respond in time.
#[tokio::test(start_paused = true)]
async fn can_time_out_on_a_slow_table() {
    let fake = Fake::default();
    fake.set_delay(Duration::from_secs(3_600));
    let query = Query { keys: vec!["row".to_owned()] };
    let outcome = client(&fake).read(query).await;
    assert!(matches!(outcome, Err(Error::Unavailable(_))), "{outcome:?}");
}

/// Guards against a fleet that exceeds the rate of the table when all daemons restart at once.
#[tokio::test(start_paused = true)]
async fn can_keep_a_restarting_fleet_within_the_rate() {
    let fake = Fake::default();
    let mut daemons = tokio::task::JoinSet::new();
    let mut rng = StdRng::seed_from_u64(5);
    for daemon in 0..420 {
        let limiter =
            Limiter::with_rng(Quota { writes_per_s: 300.0, reads_per_s: 2_000.0 }, &mut rng);
        let client = Client::new(fake.clone(), limiter.clone());
        daemons.spawn(async move {
            for number in 0..40 {
                // The observed number of daemons grows while the daemon starts.
                limiter.set_live_members(420.min(1 + number * 60));
                let token = format!("{daemon}-{number}");
                let write = Write { key: token.clone(), value: Some(json!({})) };
                let transaction = Transaction { token, checks: vec![], writes: vec![write] };
                let _ = client.transact(transaction).await;
            }
        });
    }
    for second in 0..10 {
        let before = fake.call_counts().0;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let writes = fake.call_counts().0 - before;
        assert!(writes <= 600, "{writes} writes in second {second}");
    }
}
