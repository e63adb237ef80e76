//! Dispatch order, result flushing and item moves under the load of one training step.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_entry::{
    batch::{
        Item, Meta, Outcome, Owner, Record, Submission, Writer,
        execution::Execution,
        plan::{self, Scope},
        rows,
    },
    config::{Engine, Kind, Route, Target},
    fleet::{End, Entry, Fleet},
};
use filbertsail_ports::store::Row;

fn owner() -> Owner {
    Owner { vm: "vm-1".to_owned(), incarnation: 1 }
}

fn meta(total: usize) -> Meta {
    Meta {
        owner: Some(owner()),
        epoch: 1,
        writer: Writer { vm: "vm-1".to_owned(), call: 1 },
        chunks: 1,
        total: u32::try_from(total).expect("small"),
        host: "h".to_owned(),
        model: "m".to_owned(),
        lag: None,
        groups: Vec::new(),
        accepted_ms: 0,
        ended: false,
        complete: false,
        config_version: 1,
        work: 0,
        workspace: None,
        is_public: false,
    }
}

/// Execution of a batch with two items in each group; `lengths` are the expected output tokens.
fn execution(lengths: &[u64], wanted: u32, carried_group: &str) -> Execution {
    let items: Vec<Item> = lengths
        .iter()
        .enumerate()
        .map(|(index, &expected)| Item {
            id: format!("i{index}"),
            path: "/x/1".to_owned(),
            headers: Vec::new(),
            body: Vec::new(),
            group: u32::try_from(index / 2).expect("small"),
            prompt_tokens: 100,
            max_tokens: 10_000,
            expected_tokens: expected,
            reward: None,
        })
        .collect();
    let groups = (0..lengths.len() / 2).map(|group| format!("g{group}")).collect();
    let submission =
        Submission { model: "m".to_owned(), wanted, groups, items, ..Submission::default() };
    let (meta, submission) = (meta(lengths.len()), Arc::new(submission));
    let accepted_at = Instant::from_millis(0);
    let mut execution =
        Execution::new("b", meta, 1, submission, accepted_at, Vec::new(), Vec::new());
    execution.mark_wanted_groups(|group| group == carried_group);
    execution
}

fn entry(id: &str) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "lm".to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: "a".to_owned(),
        slots: 8,
        draining: false,
        started_ms: Some(1),
        sequence: None,
        models: vec![("m".to_owned(), 1)],
        warmup_left: Duration::ZERO,
        is_spot: false,
        leaves_in: None,
    }
}

fn order(execution: &Execution) -> Vec<usize> {
    let order = plan::dispatch_order(&[execution], Instant::from_millis(1));
    order.into_iter().map(|(_, item)| item).collect()
}

/// Guards against results that become visible just before the rest of the step, which costs the
/// reader another poll, and against results held back for longer than a poll interval. Load: the
/// last items of a step end within a few hundred milliseconds.
#[test]
fn can_flush_last_results_at_once() {
    let at = Instant::from_millis;
    let mut execution = execution(&[500, 600, 400, 300, 700, 800], 2, "g2");
    assert!(!execution.must_flush(at(1_000)), "no item has ended");
    execution.finish_item(0, Outcome::Completed, at(1_000));
    assert!(!execution.must_flush(at(1_200)));
    assert!(execution.must_flush(at(1_250)));
    for item in [1, 2, 3] {
        execution.finish_item(item, Outcome::Completed, at(1_100));
    }
    assert!(
        !execution.has_wanted_groups(),
        "two groups are complete, but the trainer waits for the carried-over one"
    );
    execution.finish_item(4, Outcome::Completed, at(1_150));
    assert!(!execution.must_flush(at(1_150)));
    execution.finish_item(5, Outcome::Completed, at(1_160));
    assert!(execution.has_wanted_groups());
    assert!(execution.must_flush(at(1_160)));
}

/// Guards against a reader that is given a single result just before its step is complete, and so
/// misses the end of the step by a poll, and against results held back for good when the last item
/// takes long. Load: two of 48 items take a second longer than the others.
#[test]
fn can_store_the_tail_of_a_step_together() {
    let at = Instant::from_millis;
    let mut execution = execution(&[500; 48], 24, "");
    (0..44).for_each(|item| execution.finish_item(item, Outcome::Completed, at(5_000)));
    assert!(execution.must_flush(at(5_000)), "many results wait");
    execution.unstored.clear();
    execution.finish_item(44, Outcome::Completed, at(5_500));
    execution.finish_item(45, Outcome::Completed, at(5_900));
    assert!(!execution.must_flush(at(6_400)), "two items are expected to end soon");
    assert!(execution.must_flush(at(7_500)), "a result is held back for more than two seconds");
    execution.finish_item(46, Outcome::Completed, at(6_500));
    execution.finish_item(47, Outcome::Completed, at(6_600));
    assert!(execution.must_flush(at(6_600)), "the step is complete");
}

/// Guards against a step that waits for long items which started late. Load: lengths differ by a
/// factor of 20, and there are more items than slots.
#[test]
fn can_dispatch_longest_items_first() {
    let execution = execution(&[500, 9_000, 400, 300, 8_000, 200], 2, "");
    // The group of items 0 and 1 is the one that the trainer does not wait for.
    assert_eq!(order(&execution), [1, 4, 2, 3, 5, 0]);
}

/// Guards against starting a carried-over group last although the trainer waits for it.
#[test]
fn can_dispatch_carried_groups_first() {
    let execution = execution(&[900, 800, 400, 300, 700, 600], 1, "g0");
    assert_eq!(execution.wanted_groups, [true, false, false]);
    assert_eq!(&order(&execution)[..2], [0, 1]);
}

/// Route with `service` as its only target.
fn route(service: &str) -> Route {
    Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Batch,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        targets: vec![Target { service: service.to_owned(), weight: 1.0 }],
        max_attempts: 3,
        resumable: true,
        max_queue: Duration::from_secs(60),
        single_version: false,
        priority: 0,
        is_public: false,
    }
}

/// Guards against long items that stay crowded on the workers that were free at the start of a
/// step. Load: half of the workers load weights when a step begins and become free a second later.
#[test]
fn can_move_long_items_to_freed_workers() {
    let mut execution = execution(&[4_000; 8], 4, "");
    execution.tokens_per_event = 40;
    let engine = Engine { slots: 8, kv_tokens: 100_000, tokens_per_event: 40, models: Vec::new() };
    let mut fleet = Fleet::default();
    for id in ["one", "two"] {
        fleet.apply_entry(entry(id));
    }
    let (one, two) = (fleet.key("one").expect("known"), fleet.key("two").expect("known"));
    let now = Instant::from_millis(1_000);
    let route = route("lm");
    let scope = Scope { service: "lm", zone: "a", engine: &engine, reservations: &[] };
    let better_worker = |fleet: &Fleet, execution: &Execution, item| {
        let found = plan::better_placement(execution, item, one, &route, &scope, fleet, now);
        found.map(|(placement, _)| placement.worker)
    };
    (0..8).for_each(|_| fleet.record_dispatch(one, 4_100, now));
    assert_eq!(better_worker(&fleet, &execution, 0), None, "no event interval is known yet");
    fleet.record_interval(one, 48.0, now);
    let mut moved = 0;
    for item in 0..8 {
        if let Some(to) = better_worker(&fleet, &execution, item) {
            assert_eq!(to, two);
            fleet.record_completion(one, 4_100, End::Inconclusive, now, 0.0);
            fleet.record_dispatch(to, 4_100, now);
            moved += 1;
        }
    }
    // Moving more would overload the other worker instead.
    assert!((2..=4).contains(&moved), "{moved} of 8 moved");
    (0..8 - moved).for_each(|_| fleet.record_completion(one, 4_100, End::Inconclusive, now, 0.0));
    (0..8 - moved).for_each(|_| fleet.record_dispatch(one, 4_100, now));
    execution.states[0].output.lock().partial.events = 90;
    assert_eq!(better_worker(&fleet, &execution, 0), None, "a nearly finished item stays");
}

/// Guards against result positions that depend on the page boundaries of a store read.
#[test]
fn can_decode_results_from_rows() {
    let long = "x".repeat(100_000);
    let results: Vec<Record> = (0..4)
        .map(|index| Record {
            id: format!("i{index}"),
            outcome: Outcome::Completed,
            text: if index == 2 { long.clone() } else { format!("text {index}") },
            versions: vec![1, 2],
        })
        .collect();
    let found: Vec<Row> = results
        .iter()
        .enumerate()
        .flat_map(|(position, record)| rows::encode_result("b", position, record))
        .map(|(key, value)| Row { part: key.part, key: key.key, value: Some(value), version: 1 })
        .collect();
    assert_eq!(rows::decode_results(&found, 0).as_ref(), Ok(&results));
    assert_eq!(rows::decode_results(&found[1..], 1).as_deref(), Ok(&results[1..]));
    let cut = &found[..found.len() - 2];
    assert_eq!(
        rows::decode_results(cut, 0).as_deref(),
        Ok(&results[..2]),
        "an incomplete last result is dropped"
    );
    let gap: Vec<Row> = found.iter().filter(|row| !row.key.contains("/000001/")).cloned().collect();
    assert!(rows::decode_results(&gap, 0).is_err(), "a missing position is an error");
}

/// Guards against a running item that starts anew at a worker of the service that its route has
/// left, because that finishes it sooner.
#[test]
fn can_keep_items_from_a_service_that_the_route_left() {
    let mut execution = execution(&[4_000; 2], 1, "");
    execution.tokens_per_event = 40;
    let engine = Engine { slots: 8, kv_tokens: 100_000, tokens_per_event: 40, models: Vec::new() };
    let mut fleet = Fleet::default();
    for id in ["slow", "quick"] {
        fleet.apply_entry(entry(id));
    }
    let (slow, quick) = (fleet.key("slow").expect("known"), fleet.key("quick").expect("known"));
    let now = Instant::from_millis(1_000);
    fleet.record_interval(slow, 400.0, now);
    fleet.record_interval(quick, 40.0, now);
    fleet.record_dispatch(slow, 4_100, now);
    let scope = Scope { service: "lm", zone: "a", engine: &engine, reservations: &[] };
    let target = |route: &Route| {
        let found = plan::better_placement(&execution, 0, slow, route, &scope, &fleet, now);
        found.map(|(placement, _)| placement.worker)
    };
    assert_eq!(target(&route("lm")), Some(quick));
    assert_eq!(target(&route("other")), None);
}
