//! Single cases of claims under paused time.

mod common;

use std::{sync::atomic::Ordering, time::Duration};

use bytes::Bytes;
use common::{Backend, DIGEST, Told, World, key};
use filbertsail_claims::{Answer, Begin, row::Claim, sweep};
use filbertsail_clock::Source as _;
use filbertsail_errors::Verdict;
use filbertsail_ports::fake::Fault;
use tokio::time::{sleep, timeout};

const WAIT: Duration = Duration::from_secs(20);

/// Guards against a second run of a repeat at another gateway, while the first runs and after.
#[tokio::test(start_paused = true)]
async fn can_give_repeats_the_first_answer() {
    let world = World::new(2);
    let first = world.request(0, 1, Backend::Answers, WAIT);
    let repeat = world.request(1, 1, Backend::Answers, WAIT);
    let (first, repeat) = tokio::join!(first, repeat);
    assert_eq!(first, Some(Told::Answer("answer 1".to_owned())));
    assert_eq!(repeat, first);
    let later = world.request(1, 1, Backend::Answers, WAIT).await;
    assert_eq!(later, first);
    assert_eq!(world.runs(1), 1);
}

/// Guards against a rerun after the owner's death, and against waiting for it without end.
#[tokio::test(start_paused = true)]
async fn can_give_up_on_a_dead_owner_without_a_rerun() {
    let mut world = World::new(2);
    let first = tokio::spawn(world.request(0, 1, Backend::Answers, WAIT));
    sleep(Duration::from_millis(20)).await;
    world.crash(0);
    first.abort();
    let started = tokio::time::Instant::now();
    let repeat = world.request(1, 1, Backend::Answers, WAIT).await;
    assert_eq!(repeat, Some(Told::Verdict(Verdict::MayHaveRun)));
    assert!(started.elapsed() > Duration::from_secs(10), "{:?}", started.elapsed());
    assert_eq!(world.runs(1), 1);
}

/// Guards against a released claim that still blocks the repeat.
#[tokio::test(start_paused = true)]
async fn can_run_again_after_a_proof_of_no_run() {
    let world = World::new(2);
    let first = world.request(0, 1, Backend::Refuses, WAIT).await;
    assert_eq!(first, Some(Told::Verdict(Verdict::NotRun)));
    let repeat = world.request(1, 1, Backend::Answers, WAIT).await;
    assert_eq!(repeat, Some(Told::Answer("answer 1".to_owned())));
}

/// Guards against a request that is sent without a committed claim.
#[tokio::test(start_paused = true)]
async fn can_refuse_while_the_table_is_down() {
    let world = World::new(1);
    world.table.set_down(true);
    let told = world.request(0, 1, Backend::Answers, WAIT).await;
    assert_eq!(told, Some(Told::Verdict(Verdict::NotRun)));
    assert_eq!(world.runs(1), 0);
    world.table.set_down(false);
    let told = world.request(0, 1, Backend::Answers, WAIT).await;
    assert_eq!(told, Some(Told::Answer("answer 1".to_owned())));
}

/// Guards against a claim whose commit arrives after its request was refused: it would make every
/// repeat wait for a request that nobody runs.
#[tokio::test(start_paused = true)]
async fn can_block_a_commit_that_arrives_late() {
    for released_before in [false, true] {
        let world = World::new(1);
        if released_before {
            world.request(0, 1, Backend::Refuses, WAIT).await;
            // The commit that checks for absence meets the released row first.
            world.plan(None);
        }
        world.plan(Some(Fault::DelayedCommit(Duration::from_secs(3))));
        let told = world.request(0, 1, Backend::Answers, WAIT).await;
        assert_eq!(told, Some(Told::Verdict(Verdict::NotRun)));
        sleep(Duration::from_secs(10)).await;
        let told = world.request(0, 1, Backend::Answers, WAIT).await;
        assert_eq!(told, Some(Told::Answer("answer 1".to_owned())));
        assert_eq!(world.runs(1), 1);
    }
}

/// Guards against a lost commit answer that costs the caller its request.
#[tokio::test(start_paused = true)]
async fn can_read_back_a_claim_whose_answer_was_lost() {
    let world = World::new(1);
    world.plan(Some(Fault::LostAfter));
    let told = world.request(0, 1, Backend::Answers, WAIT).await;
    assert_eq!(told, Some(Told::Answer("answer 1".to_owned())));
}

/// Guards against an answer given to another request that reuses the key.
#[tokio::test(start_paused = true)]
async fn can_refuse_a_key_used_for_another_request() {
    let world = World::new(2);
    world.request(0, 1, Backend::Answers, WAIT).await;
    let deadline = world.clock.now().after(WAIT);
    let begin = world.gateways[1].claims.begin(&key(1), "other", deadline).await;
    assert!(matches!(begin, Ok(Begin::Mismatch)), "{begin:?}");
}

/// Guards against rows that outgrow the table, and repeats that lose a large answer silently.
#[tokio::test(start_paused = true)]
async fn can_keep_large_answers_outside_of_the_row() {
    let world = World::new(1);
    let claims = &world.gateways[0].claims;
    for (number, down) in [(1, false), (2, true)] {
        world.objects.down.store(down, Ordering::SeqCst);
        let deadline = world.clock.now().after(WAIT);
        let Ok(Begin::Run(ticket)) = claims.begin(&key(number), DIGEST, deadline).await else {
            panic!("claim refused");
        };
        ticket.answer(200, Vec::new(), Bytes::from(vec![b'x'; 100_000])).await;
        let Ok(Begin::Answer(answer)) = claims.begin(&key(number), DIGEST, deadline).await else {
            panic!("no answer");
        };
        match answer {
            Answer::Stored { object, .. } if !down => {
                assert_eq!(world.objects.rows.lock().expect("lock")[&object].len(), 100_000);
            }
            Answer::Failed { verdict: Verdict::Ran, .. } if down => {}
            other => panic!("{other:?}"),
        }
    }
}

/// Guards against one transaction per request, which the table's write rate does not allow.
#[tokio::test(start_paused = true)]
async fn can_group_commits() {
    let world = World::new(1);
    world.table.set_delay(Duration::from_millis(10));
    let requests: Vec<_> = (0..64)
        .map(|number| tokio::spawn(world.request(0, number, Backend::Answers, WAIT)))
        .collect();
    for request in requests {
        assert!(matches!(request.await.expect("task"), Some(Told::Answer(_))));
    }
    let (writes, _) = world.table.call_counts();
    assert!(writes <= 8, "{writes} transactions for 64 claims and their ends");
}

/// Guards against rows that stay for ever, and against the removal of fresh ones.
#[tokio::test(start_paused = true)]
async fn can_expire_old_claims() {
    let world = World::new(1);
    world.request(0, 1, Backend::Answers, WAIT).await;
    let row = world.table.row(key(1).as_str()).expect("row");
    let created = Claim::of(&row).expect("claim").created_s;
    let age = sweep::RETENTION.as_secs();
    assert_eq!(sweep::run(&world.table, "a", created + age - 1).await, Ok(0));
    assert_eq!(sweep::run(&world.table, "b", created + age).await, Ok(1));
    assert_eq!(world.table.row(key(1).as_str()), None);
}

/// Guards against a caller that waits longer than its deadline for a running request.
#[tokio::test(start_paused = true)]
async fn can_keep_the_deadline_while_waiting() {
    let world = World::new(2);
    let deadline = world.clock.now().after(WAIT);
    let held = world.gateways[0].claims.begin(&key(1), DIGEST, deadline).await;
    assert!(matches!(held, Ok(Begin::Run(_))));
    let repeat = world.request(1, 1, Backend::Answers, Duration::from_secs(2));
    let told = timeout(Duration::from_millis(2_500), repeat).await;
    assert_eq!(told.expect("in time"), Some(Told::Pending));
}
