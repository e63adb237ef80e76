//! Order and limits of reward calls, and their rows in the store.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_entry::{
    batch::{
        Item, Meta, Outcome, Owner, Partial, Record, Submission, Writer,
        execution::{Execution, Phase},
        reward::{Call, Pace, Scoring, Sent, plan},
        rows,
    },
    fleet::{Criteria, End, Entry, Fleet},
};
use filbertsail_ports::store::Row;
use rand::{SeedableRng, rngs::StdRng};

const SERVICE: &str = "plain";
const SLOTS: u32 = 6;
const CALL_MS: u64 = 200;
const CUSTOMER_MS: u64 = 25;

fn call(id: &str) -> Call {
    Call { id: id.to_owned(), host: "h".to_owned(), path: "/r".to_owned(), body: vec![7] }
}

fn item(index: u32, group_size: u32) -> Item {
    Item {
        id: format!("i{index}"),
        path: "/x/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        group: index / group_size,
        prompt_tokens: 100,
        max_tokens: 1_000,
        expected_tokens: 100,
        reward: Some(call(&format!("c{index}"))),
    }
}

/// Execution of a batch of groups of two, of which the trainer waits for the first `wanted`.
fn execution(items: u32, wanted: u32, accepted_ms: u64, partials: Vec<Partial>) -> Execution {
    let groups = (0..items / 2).map(|group| format!("g{group}")).collect();
    let items: Vec<Item> = (0..items).map(|index| item(index, 2)).collect();
    let meta = Meta {
        owner: Some(Owner { vm: "vm-1".to_owned(), incarnation: 1 }),
        epoch: 1,
        writer: Writer { vm: "vm-1".to_owned(), call: 1 },
        chunks: 1,
        total: u32::try_from(items.len()).expect("small"),
        host: "h".to_owned(),
        model: "m".to_owned(),
        lag: None,
        groups: Vec::new(),
        accepted_ms,
        ended: false,
        complete: false,
        config_version: 1,
        work: 0,
        workspace: None,
        is_public: false,
    };
    let submission =
        Submission { model: "m".to_owned(), wanted, groups, items, ..Submission::default() };
    let accepted_at = Instant::from_millis(accepted_ms);
    let mut execution =
        Execution::new("b", meta, 1, Arc::new(submission), accepted_at, Vec::new(), partials);
    execution.mark_wanted_groups(|_| false);
    execution
}

fn fleet(workers: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..workers {
        fleet.apply_entry(Entry {
            id: format!("w{index}"),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 9_000).into(),
            zone: "a".to_owned(),
            slots: SLOTS,
            draining: false,
            started_ms: Some(1),
            sequence: None,
            models: Vec::new(),
            warmup_left: Duration::ZERO,
            is_spot: false,
            leaves_in: None,
        });
    }
    fleet
}

fn criteria() -> Criteria<'static> {
    Criteria { service: SERVICE, zone: "a", tried: &[] }
}

fn order(executions: &[&Execution]) -> Vec<(usize, usize)> {
    plan::call_order(executions, |_, _| true)
}

async fn sent(fleet: &Fleet, number: u64, at_ms: u64) -> Sent {
    let worker = fleet.key(&format!("w{number}")).expect("worker");
    let abort = tokio::spawn(std::future::pending::<()>()).abort_handle();
    Sent { number, worker, sent_at: Instant::from_millis(at_ms), abort }
}

/// Guards against customers who wait behind reward calls, and against calls that leave slots idle.
/// Load: a hundred outputs of a step are complete within a second, a call takes 200 ms at a worker,
/// and customers send 60 requests a second of 25 ms each to the same 6 workers of 6 slots.
#[test]
fn can_serve_customers_beside_the_calls_of_a_step() {
    let mut fleet = fleet(6);
    let mut rng = StdRng::seed_from_u64(1);
    let mut running = Vec::new();
    let (mut waiting, mut started, mut done_at_ms) = (0, 0, 0);
    for now_ms in 0..3_000 {
        let now = Instant::from_millis(now_ms);
        running.retain(|(key, end_ms)| {
            if *end_ms == now_ms {
                fleet.record_completion(*key, 0, End::Success, now, 0.0);
            }
            *end_ms != now_ms
        });
        if now_ms < 1_000 && now_ms % 10 == 0 {
            waiting += 1;
        }
        while waiting > 0
            && let Some(key) = plan::place_call(criteria(), &[], &fleet, now, &mut rng)
        {
            fleet.record_dispatch(key, 0, now);
            running.push((key, now_ms + CALL_MS));
            (waiting, started) = (waiting - 1, started + 1);
            done_at_ms = now_ms + CALL_MS;
        }
        if now_ms % 17 == 0 {
            let key = fleet.choose(criteria(), now, &mut rng).expect("worker");
            let load = fleet.get(key).expect("worker").load(now);
            assert!(load < SLOTS, "a customer finds {load} requests at the best worker");
            fleet.record_dispatch(key, 0, now);
            running.push((key, now_ms + CUSTOMER_MS));
        }
    }
    assert_eq!((started, waiting), (100, 0));
    // 24 slots take 120 calls a second, so calls keep up with the outputs.
    assert!(done_at_ms <= 1_000 + 2 * CALL_MS, "last call done at {done_at_ms} ms");
}

/// Guards against a service without room for any call, whatever its number of slots.
#[test]
fn can_leave_a_third_of_the_slots_free() {
    let limits: Vec<u32> = [1, 2, 3, 6, 8].into_iter().map(plan::call_limit).collect();
    assert_eq!(limits, [1, 1, 2, 4, 5]);
}

/// Guards against a step that waits for the last score of a group while calls of groups that
/// nobody waits for, or of the next step, take the room.
#[tokio::test]
async fn can_call_for_the_most_urgent_group_first() {
    let at = Instant::from_millis;
    let mut older = execution(6, 2, 1_000, Vec::new());
    let mut newer = execution(2, 1, 2_000, Vec::new());
    newer.output_complete(0, at(2_500));
    // Group 2 is not wanted; group 1 lacks one result, group 0 both.
    older.output_complete(4, at(2_500));
    older.output_complete(0, at(2_600));
    older.finish_item(2, Outcome::Scored("s".to_owned()), at(2_600));
    older.output_complete(3, at(2_700));
    assert_eq!(order(&[&newer, &older]), [(1, 3), (1, 0), (0, 0), (1, 4)]);
    let workers = fleet(2);
    let Phase::Scoring(scoring) = &mut older.states[3].phase else { panic!("scoring") };
    scoring.attempts.push(sent(&workers, 0, 2_700).await);
    let order = order(&[&newer, &older]);
    assert_eq!(order.last(), Some(&(1, 3)), "second attempts come last: {order:?}");
}

/// Guards against a step that waits for a worker which never answers a call, and against second
/// attempts for calls that take their usual time.
#[tokio::test]
async fn can_hedge_an_unusually_slow_call() {
    let at = Instant::from_millis;
    let mut pace = Pace::default();
    let target = Duration::from_millis(800);
    assert_eq!(pace.hedge_delay(target), target, "no call was answered yet");
    (0..20).for_each(|_| pace.record(Duration::from_millis(CALL_MS)));
    let delay = pace.hedge_delay(target);
    assert_eq!(delay, Duration::from_millis(3 * CALL_MS));
    let mut workers = fleet(2);
    let mut scoring = Scoring::new(at(1_000));
    assert!(scoring.is_due(delay, at(1_000)));
    let first = sent(&workers, 0, 1_000).await;
    let silent_worker = first.worker;
    workers.record_dispatch(silent_worker, 0, at(1_000));
    scoring.attempts.push(first);
    assert!(!scoring.is_due(delay, at(1_599)));
    assert!(scoring.is_due(delay, at(1_600)));
    let second = sent(&workers, 1, 1_600).await;
    workers.record_dispatch(second.worker, 0, at(1_600));
    scoring.attempts.push(second);
    assert!(!scoring.is_due(delay, at(1_700)), "the second attempt has just started");
    assert!(scoring.take(1).is_some());
    scoring.stop(&mut workers, delay, at(1_800), 0.0);
    let worker = workers.get(silent_worker).expect("worker");
    assert_eq!(worker.in_flight, 0);
    assert!(worker.breaker.failure_rate() > 0.0, "the silent worker is not avoided");
}

/// Guards against a takeover that generates a finished output again because only its score is
/// missing, and against a score kept for an output that is generated again.
#[test]
fn can_resume_with_the_call_of_a_saved_output() {
    let partial = |id: &str, is_complete| Partial {
        id: id.to_owned(),
        last_event: Some(1),
        events: 1,
        text: "x".to_owned(),
        versions: vec![1],
        is_complete,
        failures: 0,
    };
    let execution = execution(4, 2, 0, vec![partial("i0", true), partial("i1", false)]);
    assert!(matches!(execution.states[0].phase, Phase::Scoring(_)));
    assert!(matches!(execution.states[1].phase, Phase::Waiting(_)));
    assert_eq!(order(&[&execution]), [(0, 0)]);
}

/// Guards against rows of an earlier version that can no longer be read, and against changes of
/// the rows of batches without reward calls, which earlier versions must be able to read.
#[test]
fn can_decode_rows_of_earlier_versions() {
    let submission_bytes: &[u8] =
        b"\x07\x01m\x06\x01\x01\x01g\x01\x01a\x02/p\x00\x01\x09\x00\x05\x06\x03";
    let partial_bytes: &[u8] = b"\x01a\x01\x02\x02\x03x\ny\x01\x01";
    let record_bytes: &[u8] = b"\x01a\x00\x03x\ny\x01\x01";
    let stored_item = Item {
        id: "a".to_owned(),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: vec![9],
        group: 0,
        prompt_tokens: 5,
        max_tokens: 6,
        expected_tokens: 3,
        reward: None,
    };
    let submission = Submission {
        step: 7,
        model: "m".to_owned(),
        min_version: 6,
        wanted: 1,
        groups: vec!["g".to_owned()],
        items: vec![stored_item],
    };
    let partial = Partial {
        id: "a".to_owned(),
        last_event: Some(2),
        events: 2,
        text: "x\ny".to_owned(),
        versions: vec![1],
        is_complete: false,
        failures: 0,
    };
    let record = Record {
        id: "a".to_owned(),
        outcome: Outcome::Completed,
        text: "x\ny".to_owned(),
        versions: vec![1],
    };
    let meta = execution(2, 1, 0, Vec::new()).meta;
    let row = |bytes: &[u8]| Row {
        part: String::new(),
        key: "b/vm-1/0/0000".to_owned(),
        version: 1,
        value: Some(bytes.to_vec().into()),
    };
    assert_eq!(rows::encode_submission(&submission), submission_bytes);
    assert_eq!(rows::decode_submission(&[row(submission_bytes)], &meta), Ok(submission.clone()));
    assert_eq!(rows::encode_partial(&partial), partial_bytes);
    assert_eq!(rows::decode_partial(partial_bytes), Ok(partial.clone()));
    assert_eq!(rows::encode(&record), record_bytes);
    assert_eq!(rows::decode(record_bytes), Ok(record));
    let mut scored = submission;
    scored.items[0].reward = Some(call("c"));
    let bytes = rows::encode_submission(&scored);
    assert_eq!(rows::decode_submission(&[row(&bytes)], &meta), Ok(scored));
    let complete = Partial { is_complete: true, ..partial.clone() };
    let complete_bytes = [partial_bytes, b"\x01"].concat();
    assert_eq!(rows::decode_partial(&complete_bytes), Ok(complete.clone()), "without failures");
    for partial in [complete.clone(), Partial { failures: 300, ..complete }] {
        assert_eq!(rows::decode_partial(&rows::encode_partial(&partial)), Ok(partial));
    }
    let failed = Partial { failures: 2, ..partial };
    assert_eq!(rows::decode_partial(&rows::encode_partial(&failed)), Ok(failed));
}
