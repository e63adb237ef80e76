//! Order in which waiting items go to workers, replaying the load of one step.

use std::sync::Arc;

use filbertsail_clock::Instant;
use filbertsail_entry::{
    batch::{Item, Listed, Meta, Outcome, Owner, Submission, Writer, plan, rows, run::Run},
    config::Engine,
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
    }
}

/// Batch with two items in each group, of the given expected lengths.
fn run(lengths: &[u64], wanted: u32, carried: &str) -> Run {
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
        })
        .collect();
    let groups = (0..lengths.len() / 2).map(|group| format!("g{group}")).collect();
    let submission =
        Submission { model: "m".to_owned(), wanted, groups, items, ..Submission::default() };
    let (meta, submission) = (meta(lengths.len()), Arc::new(submission));
    let accepted = Instant::from_millis(0);
    let mut run = Run::new("b", meta, 1, submission, accepted, Vec::new(), Vec::new());
    run.want_groups(|group| group == carried);
    run
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
        models: vec![("m".to_owned(), 1)],
    }
}

fn order(run: &Run) -> Vec<usize> {
    let order = plan::order(&[run], Instant::from_millis(1));
    order.into_iter().map(|(_, item)| item).collect()
}

/// Guards against a reader that comes for one result just before the others which complete the
/// step, and against results that are held back for longer than a reader can tell. Load: the last
/// items of a step end within some hundred milliseconds.
#[test]
fn can_list_the_end_of_a_step_at_once() {
    let at = Instant::from_millis;
    let mut run = run(&[500, 600, 400, 300, 700, 800], 2, "g2");
    assert!(!run.must_list(at(1_000)), "nothing has ended");
    run.end_item(0, Outcome::Completed, at(1_000));
    assert!(!run.must_list(at(1_200)));
    assert!(run.must_list(at(1_250)));
    for item in [1, 2, 3] {
        run.end_item(item, Outcome::Completed, at(1_100));
    }
    assert!(!run.is_whole(), "two groups are whole, but the trainer waits for the carried one");
    run.end_item(4, Outcome::Completed, at(1_150));
    assert!(!run.must_list(at(1_150)));
    run.end_item(5, Outcome::Completed, at(1_160));
    assert!(run.is_whole());
    assert!(run.must_list(at(1_160)));
}

/// Guards against a step that waits for long items which began late. Load: lengths that differ by a
/// factor of twenty, more items than slots.
#[test]
fn can_begin_with_the_longest_items() {
    let run = run(&[500, 9_000, 400, 300, 8_000, 200], 2, "");
    // The group of items 0 and 1 is the one that the trainer can do without.
    assert_eq!(order(&run), [1, 4, 2, 3, 5, 0]);
}

/// Guards against a group from an earlier step that is left out though the trainer waits for it.
#[test]
fn can_put_carried_groups_first() {
    let run = run(&[900, 800, 400, 300, 700, 600], 1, "g0");
    assert_eq!(run.wanted, [true, false, false]);
    assert_eq!(&order(&run)[..2], [0, 1]);
}

/// Guards against long items that stay together on the workers that could take them at the start of
/// a step. Load: half of the workers load weights when a step begins and come free a second later.
#[test]
fn can_move_long_items_to_workers_that_come_free() {
    let mut run = run(&[4_000; 8], 4, "");
    run.stride = 40;
    let engine = Engine { slots: 8, kv_tokens: 100_000, stride: 40, models: Vec::new() };
    let mut fleet = Fleet::default();
    for id in ["one", "two"] {
        fleet.apply_entry(entry(id));
    }
    let (one, two) = (fleet.key("one").expect("known"), fleet.key("two").expect("known"));
    let now = Instant::from_millis(1_000);
    let relocate = |fleet: &Fleet, run: &Run, item| {
        let place = plan::relocate(run, item, one, "a", &engine, fleet, now);
        place.map(|(place, _)| place.worker)
    };
    (0..8).for_each(|_| fleet.sent(one, 4_100, now));
    assert_eq!(relocate(&fleet, &run, 0), None, "no pace is known yet");
    fleet.paced(one, 48.0, now);
    let mut moved = 0;
    for item in 0..8 {
        if let Some(to) = relocate(&fleet, &run, item) {
            assert_eq!(to, two);
            fleet.finished(one, 4_100, End::Abandoned, now, 0.0);
            fleet.sent(to, 4_100, now);
            moved += 1;
        }
    }
    // Moving more would make the other worker the crowded one.
    assert!((2..=4).contains(&moved), "{moved} of 8 moved");
    (0..8 - moved).for_each(|_| fleet.finished(one, 4_100, End::Abandoned, now, 0.0));
    (0..8 - moved).for_each(|_| fleet.sent(one, 4_100, now));
    run.slots[0].output.lock().partial.events = 90;
    assert_eq!(relocate(&fleet, &run, 0), None, "an item that is nearly done");
}

/// Guards against positions that depend on how a read of the store was cut into pages.
#[test]
fn can_put_results_together_from_rows() {
    let long = "x".repeat(100_000);
    let results: Vec<Listed> = (0..4)
        .map(|index| Listed {
            id: format!("i{index}"),
            outcome: Outcome::Completed,
            text: if index == 2 { long.clone() } else { format!("text {index}") },
            versions: vec![1, 2],
        })
        .collect();
    let found: Vec<Row> = results
        .iter()
        .enumerate()
        .flat_map(|(position, listed)| rows::encode_result("b", position, listed))
        .map(|(key, value)| Row { part: key.part, key: key.key, value: Some(value), version: 1 })
        .collect();
    assert_eq!(rows::decode_results(&found, 0).as_ref(), Ok(&results));
    assert_eq!(rows::decode_results(&found[1..], 1).as_deref(), Ok(&results[1..]));
    let cut = &found[..found.len() - 2];
    assert_eq!(rows::decode_results(cut, 0).as_deref(), Ok(&results[..2]), "a result cut off");
    let gap: Vec<Row> = found.iter().filter(|row| !row.key.contains("/000001/")).cloned().collect();
    assert!(rows::decode_results(&gap, 0).is_err(), "a missing position");
}
