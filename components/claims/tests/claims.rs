//! Individual scenarios of claims under paused time.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use common::{Backend, Cluster, DIGEST, Received, key};
use filbertsail_claims::{Admission, Answer, row::Claim, sweep};
use filbertsail_clock::Source as _;
use filbertsail_errors::Verdict;
use filbertsail_ports::fake::Fault;
use tokio::time::{sleep, timeout};

const WAIT: Duration = Duration::from_secs(20);

/// Guards against a second execution when a request is repeated at another gateway, during or after
/// the first execution.
#[tokio::test(start_paused = true)]
async fn can_return_the_first_response_to_repeated_requests() {
    let cluster = Cluster::new(2);
    let first = cluster.request(0, 1, Backend::Responds, WAIT);
    let repeat = cluster.request(1, 1, Backend::Responds, WAIT);
    let (first, repeat) = tokio::join!(first, repeat);
    assert_eq!(first, Some(Received::Answer("answer 1".to_owned())));
    assert_eq!(repeat, first);
    let later = cluster.request(1, 1, Backend::Responds, WAIT).await;
    assert_eq!(later, first);
    assert_eq!(cluster.runs(1), 1);
}

/// Guards against a second execution after the owner crashed, and against waiting for it forever.
#[tokio::test(start_paused = true)]
async fn can_abandon_a_crashed_owner_without_a_second_execution() {
    let mut cluster = Cluster::new(2);
    let first = tokio::spawn(cluster.request(0, 1, Backend::Responds, WAIT));
    sleep(Duration::from_millis(20)).await;
    cluster.crash(0);
    first.abort();
    let started = tokio::time::Instant::now();
    let repeat = cluster.request(1, 1, Backend::Responds, WAIT).await;
    assert_eq!(repeat, Some(Received::Verdict(Verdict::MayHaveRun)));
    assert!(started.elapsed() > Duration::from_secs(10), "{:?}", started.elapsed());
    assert_eq!(cluster.runs(1), 1);
}

/// Guards against a released claim that still blocks a repeated request.
#[tokio::test(start_paused = true)]
async fn can_execute_after_a_released_claim() {
    let cluster = Cluster::new(2);
    let first = cluster.request(0, 1, Backend::Rejects, WAIT).await;
    assert_eq!(first, Some(Received::Verdict(Verdict::NotRun)));
    let repeat = cluster.request(1, 1, Backend::Responds, WAIT).await;
    assert_eq!(repeat, Some(Received::Answer("answer 1".to_owned())));
}

/// Guards against executing a request whose claim was not committed.
#[tokio::test(start_paused = true)]
async fn can_fail_while_the_table_is_unavailable() {
    let cluster = Cluster::new(1);
    cluster.table.set_down(true);
    let received = cluster.request(0, 1, Backend::Responds, WAIT).await;
    assert_eq!(received, Some(Received::Verdict(Verdict::NotRun)));
    assert_eq!(cluster.runs(1), 0);
    cluster.table.set_down(false);
    let received = cluster.request(0, 1, Backend::Responds, WAIT).await;
    assert_eq!(received, Some(Received::Answer("answer 1".to_owned())));
}

/// Guards against a claim that is committed after its request failed: every repeated request would
/// wait for a request that nobody executes.
#[tokio::test(start_paused = true)]
async fn can_block_a_commit_that_arrives_late() {
    for released_before in [false, true] {
        let cluster = Cluster::new(1);
        if released_before {
            cluster.request(0, 1, Backend::Rejects, WAIT).await;
            // No fault for the first commit: it expects no row and finds the released one.
            cluster.queue_fault(None);
        }
        cluster.queue_fault(Some(Fault::DelayedCommit(Duration::from_secs(3))));
        let received = cluster.request(0, 1, Backend::Responds, WAIT).await;
        assert_eq!(received, Some(Received::Verdict(Verdict::NotRun)));
        sleep(Duration::from_secs(10)).await;
        let received = cluster.request(0, 1, Backend::Responds, WAIT).await;
        assert_eq!(received, Some(Received::Answer("answer 1".to_owned())));
        assert_eq!(cluster.runs(1), 1);
    }
}

/// Guards against failing a request whose claim was committed but whose commit reply was lost.
#[tokio::test(start_paused = true)]
async fn can_read_back_a_claim_after_a_lost_commit_reply() {
    let cluster = Cluster::new(1);
    cluster.queue_fault(Some(Fault::LostAfter));
    let received = cluster.request(0, 1, Backend::Responds, WAIT).await;
    assert_eq!(received, Some(Received::Answer("answer 1".to_owned())));
}

/// Guards against returning the stored response to a different request with the same key.
#[tokio::test(start_paused = true)]
async fn can_reject_a_key_used_for_another_request() {
    let cluster = Cluster::new(2);
    cluster.request(0, 1, Backend::Responds, WAIT).await;
    let deadline = cluster.clock.now().after(WAIT);
    let admission = cluster.gateways[1].claims.acquire(&key(1), "other", deadline).await;
    assert!(matches!(admission, Ok(Admission::Mismatch)), "{admission:?}");
}

/// Guards against rows that are too large for the table, and against a repeated request that is not
/// told that the large response was lost.
#[tokio::test(start_paused = true)]
async fn can_store_large_responses_outside_of_the_row() {
    let cluster = Cluster::new(1);
    let claims = &cluster.gateways[0].claims;
    for (number, down) in [(1, false), (2, true)] {
        cluster.objects.down.store(down, Ordering::SeqCst);
        let deadline = cluster.clock.now().after(WAIT);
        let Ok(Admission::Run(ticket)) = claims.acquire(&key(number), DIGEST, deadline).await
        else {
            panic!("not admitted");
        };
        ticket.store_response(200, Vec::new(), Bytes::from(vec![b'x'; 100_000])).await;
        let Ok(Admission::Answer(answer)) = claims.acquire(&key(number), DIGEST, deadline).await
        else {
            panic!("no stored response");
        };
        match answer {
            Answer::Stored { object, .. } if !down => {
                assert_eq!(cluster.objects.rows.lock().expect("lock")[&object].len(), 100_000);
            }
            Answer::Failed { verdict: Verdict::Ran, .. } if down => {}
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against one transaction per request, which exceeds the table's write rate.
#[tokio::test(start_paused = true)]
async fn can_group_commits() {
    let cluster = Cluster::new(1);
    cluster.table.set_delay(Duration::from_millis(10));
    let requests: Vec<_> = (0..64)
        .map(|number| tokio::spawn(cluster.request(0, number, Backend::Responds, WAIT)))
        .collect();
    for request in requests {
        assert!(matches!(request.await.expect("task"), Some(Received::Answer(_))));
    }
    let (writes, _) = cluster.table.call_counts();
    assert!(writes <= 8, "{writes} transactions for 64 claims and their results");
}

/// Guards against rows that are never removed, and against removing rows too early.
#[tokio::test(start_paused = true)]
async fn can_remove_expired_claims() {
    let cluster = Cluster::new(1);
    cluster.request(0, 1, Backend::Responds, WAIT).await;
    let row = cluster.table.row(key(1).as_str()).expect("row");
    let created = Claim::from_row(&row).expect("claim").created_s;
    let age = sweep::RETENTION.as_secs();
    assert_eq!(sweep::remove_expired(&cluster.table, "a", created + age - 1).await, Ok(0));
    assert_eq!(sweep::remove_expired(&cluster.table, "b", created + age).await, Ok(1));
    assert_eq!(cluster.table.row(key(1).as_str()), None);
}

/// Guards against waiting past the caller's deadline for a running request.
#[tokio::test(start_paused = true)]
async fn can_stop_waiting_at_the_deadline() {
    let cluster = Cluster::new(2);
    let deadline = cluster.clock.now().after(WAIT);
    let held = cluster.gateways[0].claims.acquire(&key(1), DIGEST, deadline).await;
    assert!(matches!(held, Ok(Admission::Run(_))));
    let repeat = cluster.request(1, 1, Backend::Responds, Duration::from_secs(2));
    let received = timeout(Duration::from_millis(2_500), repeat).await;
    assert_eq!(received.expect("before the timeout"), Some(Received::Pending));
}
