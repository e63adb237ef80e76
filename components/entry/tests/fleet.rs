//! State of the workers that a VM keeps, and the choice among them.

use std::time::Duration;

use filbertsail_clock::Instant;
use filbertsail_entry::{
    batch::{rows::hash32, takeover::Observation},
    dialect::Load,
    fleet::{self, Criteria, End, Entry, Fleet, Requirements},
    shared::Link,
};
use filbertsail_routing::pace::{Cause, Change};

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn entry(id: &str, zone: &str) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "lm".to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: zone.to_owned(),
        slots: 4,
        draining: false,
        started_ms: Some(1),
        sequence: None,
        models: vec![("m".to_owned(), 3)],
        warmup_left: Duration::ZERO,
        is_spot: false,
        leaves_in: None,
    }
}

fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::default();
    for id in ids {
        assert_eq!(fleet.apply_entry(entry(id, "a")), fleet::Change::Added);
    }
    fleet
}

const REQUIREMENTS: Requirements<'_> = Requirements {
    service: "lm",
    zone: "a",
    model: "m",
    min_version: 3,
    tokens: 1_000,
    group: None,
    avoid: None,
    allow_slow: false,
    is_critical: true,
    events: 20.0,
    reservations: &[],
};

fn place(fleet: &Fleet, requirements: &Requirements<'_>, now: u64) -> Option<String> {
    let key = fleet.place(requirements, 100_000, at(now))?;
    Some(fleet.get(key)?.entry.id.clone())
}

/// Guards against removing a worker because its entry lapsed during a store outage, and against
/// keeping one whose entry did not come back for longer than it serves after its removal: an entry
/// that was removed a second after the return of the store kept its worker for two more.
#[test]
fn can_keep_lapsed_workers_for_a_while() {
    let mut fleet = fleet(&["one", "two"]);
    assert_eq!(fleet.remove_entry("one", true, at(0)), fleet::Change::Lapsed);
    assert_eq!(fleet.remove_entry("two", true, at(0)), fleet::Change::Lapsed);
    let returned = at(1_000);
    assert_eq!(fleet.remove_lapsed(returned, at(2_900)), Vec::<String>::new());
    fleet.apply_entry(entry("one", "a"));
    assert_eq!(fleet.remove_lapsed(returned, at(3_000)), ["two"]);
    assert_eq!(fleet.remove_entry("one", false, at(0)), fleet::Change::Removed);
    assert!(fleet.is_empty());
}

/// Guards against stale state of a worker that has restarted under the same identifier.
#[test]
fn can_forget_a_restarted_worker() {
    let mut fleet = fleet(&["one"]);
    let key = fleet.key("one").expect("known");
    fleet.record_version(key, "m", 9);
    let restarted = Entry { started_ms: Some(2), ..entry("one", "a") };
    assert_eq!(fleet.apply_entry(restarted), fleet::Change::Restarted);
    let key = fleet.key("one").expect("known");
    assert_eq!(fleet.get(key).and_then(|worker| worker.version("m")), Some(3));
}

/// Guards against a registry entry that overwrites a newer version from the worker's responses.
#[test]
fn can_keep_the_newest_version_known() {
    let mut fleet = fleet(&["one"]);
    let key = fleet.key("one").expect("known");
    fleet.record_version(key, "m", 4);
    fleet.apply_entry(entry("one", "a"));
    assert_eq!(fleet.get(key).and_then(|worker| worker.version("m")), Some(4));
    let requirements = Requirements { min_version: 5, ..REQUIREMENTS };
    assert_eq!(place(&fleet, &requirements, 0), None, "the weights of the worker are too old");
}

/// Guards against items sent to full workers. Load: a step with more items than slots, while
/// another VM uses the same workers.
#[test]
fn can_count_the_load_of_other_vms() {
    let mut fleet = fleet(&["one", "two"]);
    let (one, two) = (fleet.key("one").expect("known"), fleet.key("two").expect("known"));
    fleet.record_load(
        one,
        Load { running: 4, waiting: 0, slots: 4, work_time_percent: None },
        at(0),
    );
    assert_eq!(place(&fleet, &REQUIREMENTS, 10), Some("two".to_owned()));
    let observation = Observation { worker: hash32("two"), pace_ms: 40, in_flight: 4 };
    fleet.record_observations(hash32("vm-2"), &[observation], at(20), at(25));
    assert_eq!(place(&fleet, &REQUIREMENTS, 30), None, "both are full");
    assert!(place(&fleet, &REQUIREMENTS, 5_000).is_some(), "stale loads are ignored");
    assert_eq!(fleet.get(two).map(|worker| worker.load(at(30))), Some(4));
}

/// Guards against counting the load of a VM that stopped long ago and whose row still exists.
#[test]
fn can_ignore_stale_loads_of_other_vms() {
    let mut fleet = fleet(&["one"]);
    let one = fleet.key("one").expect("known");
    let observation = Observation { worker: hash32("one"), pace_ms: 90, in_flight: 4 };
    fleet.record_observations(hash32("vm-2"), &[observation], at(1_000), at(60_000));
    assert_eq!(fleet.get(one).map(|worker| worker.load(at(60_000))), Some(0));
    assert_eq!(fleet.expected_interval_ms(one, 0, at(60_000)), 0.0);
    fleet.record_observations(hash32("vm-2"), &[observation], at(59_500), at(60_000));
    assert_eq!(fleet.get(one).map(|worker| worker.load(at(60_000))), Some(4));
    assert!(fleet.expected_interval_ms(one, 0, at(60_000)) >= 90.0);
    assert_eq!(fleet.get(one).map(|worker| worker.load(at(61_600))), Some(0));
}

/// Guards against computing the typical event interval for each of thousands of events. Load: a
/// service with hundreds of workers.
#[test]
fn can_reuse_the_typical_interval_of_a_large_service() {
    let ids: Vec<String> = (0..100).map(|index| format!("w{index}")).collect();
    let mut fleet = fleet(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    let keys: Vec<_> = ids.iter().map(|id| fleet.key(id).expect("known")).collect();
    fleet.record_interval(keys[0], 40.0, at(0));
    for key in &keys[1..] {
        fleet.record_interval(*key, 50.0, at(50));
    }
    assert_eq!(fleet.typical_interval_ms("lm"), 40.0);
    fleet.record_interval(keys[0], 40.0, at(100));
    assert_eq!(fleet.typical_interval_ms("lm"), 50.0);
}

/// Guards against a step that waits for long items on slow workers, and against long items that
/// all go to one worker. Load: long items first, one worker in three slower.
#[test]
fn can_spread_long_items_over_fast_workers() {
    let mut fleet = fleet(&["fast-1", "fast-2", "slow"]);
    for (id, interval) in [("fast-1", 38.0), ("fast-2", 40.0), ("slow", 55.0)] {
        let key = fleet.key(id).expect("known");
        fleet.record_interval(key, interval, at(0));
    }
    let mut placed = Vec::new();
    for _ in 0..6 {
        let key = fleet.place(&REQUIREMENTS, 100_000, at(0)).expect("a worker with room");
        placed.push(fleet.get(key).expect("known").entry.id.clone());
        fleet.record_dispatch(key, REQUIREMENTS.tokens, at(0));
    }
    assert!(!placed.contains(&"slow".to_owned()), "{placed:?}");
    let first = placed.iter().filter(|id| *id == "fast-1").count();
    assert_eq!(first, 3, "{placed:?}");
    let short = Requirements { is_critical: false, allow_slow: true, ..REQUIREMENTS };
    assert_eq!(
        place(&fleet, &short, 0),
        Some("slow".to_owned()),
        "short items use the remaining workers"
    );
}

/// Guards against taking a worker for slow because it was busy when its event interval was
/// measured, and a slow one for fast because it was idle. Load: short and long items share the
/// workers, and the number of requests at each changes constantly.
#[test]
fn can_tell_a_busy_worker_from_a_slow_one() {
    let mut fleet = fleet(&["busy", "idle", "slow"]);
    let keys = ["busy", "idle", "slow"].map(|id| fleet.key(id).expect("known"));
    (0..4).for_each(|_| fleet.record_dispatch(keys[0], 100, at(0)));
    fleet.record_interval(keys[0], 48.0, at(0));
    fleet.record_interval(keys[1], 40.0, at(0));
    fleet.record_interval(keys[2], 52.0, at(0));
    (0..4).for_each(|_| fleet.record_completion(keys[0], 100, End::Success, at(1), 0.0));
    let intervals = keys.map(|key| fleet.expected_interval_ms(key, 0, at(1)).round());
    assert_eq!(intervals, [40.0, 40.0, 52.0]);
    assert_eq!(fleet.expected_interval_ms(keys[1], 4, at(1)).round(), 48.0, "under full load");
}

/// Guards against planning more memory than a worker has, and against never running an item that is
/// larger than its entire memory.
#[test]
fn can_plan_within_memory() {
    let mut fleet = fleet(&["one"]);
    let key = fleet.key("one").expect("known");
    let large = Requirements { tokens: 200_000, ..REQUIREMENTS };
    assert!(place(&fleet, &large, 0).is_some(), "an idle worker is tried");
    fleet.record_dispatch(key, 60_000, at(0));
    let next = Requirements { tokens: 40_000, ..REQUIREMENTS };
    assert_eq!(place(&fleet, &next, 0), None);
    fleet.record_completion(key, 60_000, End::Success, at(1), 0.0);
    assert!(place(&fleet, &next, 2).is_some());
}

/// Guards against retrying a worker right after its refusal, and against finding no worker when all
/// have refused recently.
#[test]
fn can_choose_a_worker_that_refused_as_the_last_resort() {
    let mut fleet = fleet(&["one", "two"]);
    let (one, two) = (fleet.key("one").expect("known"), fleet.key("two").expect("known"));
    let refused = End::Refused { pause: Duration::from_millis(500) };
    fleet.record_dispatch(one, 0, at(0));
    fleet.record_completion(one, 0, refused, at(0), 0.0);
    let criteria = Criteria { service: "lm", zone: "a", tried: &[] };
    let mut rng = rand::rng();
    assert_eq!(fleet.choose(criteria, at(10), &mut rng), Some(two));
    let criteria = Criteria { tried: &[two], ..criteria };
    assert_eq!(fleet.choose(criteria, at(10), &mut rng), Some(one));
    let criteria = Criteria { tried: &[one, two], ..criteria };
    assert_eq!(fleet.choose(criteria, at(10), &mut rng), None);
}

/// Guards against keeping a removed worker because the process or the store's recovery is a few
/// seconds old, and against dropping one right after the store's recovery.
#[test]
fn can_tell_lapsed_entries_from_removed_ones() {
    let fresh = Link { regained: Some(at(1_000)), ..Link::default() };
    assert!(!fresh.may_have_lapsed(at(1_100)), "the first contact is not a recovery");
    let away = Link { lost: Some(at(5_000)), ..fresh };
    assert!(away.may_have_lapsed(at(9_000)));
    let back = Link { regained: Some(at(9_000)), returned: Some(at(9_000)), ..fresh };
    assert!(back.may_have_lapsed(at(9_500)));
    assert!(!back.may_have_lapsed(at(10_600)));
}

/// Guards against a panic on the largest numbers that a worker or another writer of its entry can
/// state.
#[test]
fn can_bear_the_largest_numbers() {
    let mut fleet = Fleet::default();
    let models = vec![("m".to_owned(), u64::MAX)];
    fleet.apply_entry(Entry { slots: u32::MAX, models, ..entry("one", "a") });
    let key = fleet.key("one").expect("added");
    let load =
        Load { running: u32::MAX, waiting: u32::MAX, slots: u32::MAX, work_time_percent: None };
    fleet.record_load(key, load, at(1));
    fleet.record_dispatch(key, u64::MAX, at(1));
    fleet.record_dispatch(key, u64::MAX, at(1));
    fleet.record_interval(key, f64::MAX, at(2));
    assert_eq!(fleet.get(key).expect("added").load(at(2)), u32::MAX);
    assert!(fleet.expected_interval_ms(key, u32::MAX, at(2)) >= 0.0);
    assert_eq!(place(&fleet, &REQUIREMENTS, 2), None);
}

/// Entry `sequence` of the worker "one" in the lifetime that began at `started_ms`.
fn numbered(started_ms: u64, sequence: u64, draining: bool) -> Entry {
    Entry { started_ms: Some(started_ms), sequence: Some(sequence), draining, ..entry("one", "a") }
}

/// Guards against a draining or removed worker that gets requests again, because an entry that was
/// written earlier arrives later.
#[test]
fn can_ignore_entries_that_arrive_late() {
    use fleet::Change::{Added, Draining, Lapsed, Outdated, Removed, Restarted, Unchanged};
    let mut fleet = Fleet::default();
    let is_used = |fleet: &Fleet, now| place(fleet, &REQUIREMENTS, now).is_some();
    assert_eq!(fleet.apply_entry(numbered(50, 7, false)), Added);
    assert_eq!(fleet.apply_entry(numbered(50, 9, true)), Draining);
    assert_eq!(fleet.apply_entry(numbered(50, 8, false)), Outdated);
    assert!(!is_used(&fleet, 10));
    assert_eq!(fleet.remove_entry("one", false, at(20)), Removed);
    assert_eq!(fleet.apply_entry(numbered(50, 8, false)), Outdated);
    assert!(fleet.key("one").is_none(), "an entry of before the removal brings it back");
    assert_eq!(fleet.apply_entry(numbered(50, 9, true)), Added);
    assert!(!is_used(&fleet, 30));
    // It does not drain any more, and a table that is read again repeats what is known.
    assert_eq!(fleet.apply_entry(numbered(50, 10, false)), Unchanged);
    assert_eq!(fleet.apply_entry(numbered(50, 10, false)), Unchanged);
    assert!(is_used(&fleet, 40));

    assert_eq!(fleet.apply_entry(numbered(60, 1, false)), Restarted);
    assert_eq!(fleet.apply_entry(numbered(50, 11, true)), Outdated);
    assert!(is_used(&fleet, 50), "an earlier lifetime ends the present one");
    assert_eq!(fleet.remove_entry("one", true, at(60)), Lapsed);
    assert_eq!(fleet.apply_entry(numbered(60, 0, false)), Outdated);
    assert_eq!(fleet.remove_lapsed(at(60), at(60).after(fleet::LAPSE_GRACE)), ["one"]);
}

/// Guards against a worker that is not used although it is there: it was removed while it could not
/// reach the store, it has started again with numbers that begin anew, its entry is written again, or
/// entries are not numbered.
#[test]
fn can_use_workers_that_come_back() {
    use fleet::Change::{Added, Removed, Restarted, Unchanged};
    let mut fleet = Fleet::default();
    let is_used = |fleet: &Fleet| place(fleet, &REQUIREMENTS, 1_000).is_some();
    for (back, change) in [
        (numbered(50, 7, false), Added),
        (numbered(50, 8, false), Added),
        (numbered(50, 8, false), Added),
        (numbered(70, 1, false), Added),
        (Entry { sequence: None, ..numbered(70, 0, false) }, Added),
        (Entry { started_ms: None, ..numbered(0, 5, false) }, Added),
        (Entry { started_ms: None, ..numbered(0, 1, false) }, Added),
        (numbered(80, 1, false), Added),
    ] {
        assert_eq!(fleet.apply_entry(back.clone()), change, "{back:?}");
        assert!(is_used(&fleet), "{back:?}");
        assert_eq!(fleet.remove_entry("one", false, at(10)), Removed);
    }
    assert_eq!(fleet.apply_entry(numbered(80, 9, false)), Added);
    assert_eq!(fleet.apply_entry(numbered(90, 1, false)), Restarted);
    assert_eq!(fleet.apply_entry(Entry { sequence: None, ..numbered(90, 0, false) }), Unchanged);
    assert_eq!(fleet.apply_entry(numbered(90, 1, false)), Unchanged);
    assert!(is_used(&fleet));
}

/// Guards against a worker that is never used again: the registry keeps an outdated entry which the
/// worker repeats with other numbers, or its wall clock was set back before it started again.
#[test]
fn can_use_outdated_entries_that_stay() {
    use fleet::Change::{Added, Outdated, Removed, Restarted, Unchanged};
    let is_used = |fleet: &Fleet| place(fleet, &REQUIREMENTS, 1_000).is_some();
    let confirm = |fleet: &mut Fleet, steady: u64, now: u64| {
        let confirmed = fleet.confirm_entries(at(steady), at(now));
        confirmed.into_iter().map(|(_, change)| change).collect::<Vec<_>>()
    };
    for (is_removed, late, change) in [
        (true, numbered(50, 8, false), Added),
        (true, numbered(40, 1, false), Added),
        (false, numbered(40, 1, false), Restarted),
        (false, numbered(50, 8, false), Unchanged),
    ] {
        let mut fleet = Fleet::default();
        fleet.apply_entry(numbered(50, 9, true));
        if is_removed {
            assert_eq!(fleet.remove_entry("one", false, at(0)), Removed);
        }
        assert_eq!(fleet.apply_entry(late.clone()), Outdated);
        assert_eq!(confirm(&mut fleet, 0, 100), []);
        assert_eq!(confirm(&mut fleet, 5_000, 34_900), [], "the store was away meanwhile");
        assert!(!is_used(&fleet));
        assert_eq!(confirm(&mut fleet, 5_000, 35_000), [change], "{late:?}");
        assert!(is_used(&fleet), "{late:?}");
        assert_eq!(confirm(&mut fleet, 5_000, 90_000), []);

        fleet.apply_entry(numbered(60, 5, true));
        fleet.apply_entry(numbered(60, 4, false));
        assert_eq!(confirm(&mut fleet, 0, 100_000), []);
        fleet.apply_entry(numbered(60, 6, true));
        assert_eq!(confirm(&mut fleet, 0, 200_000), [], "a newer entry followed");
        fleet.apply_entry(numbered(60, 4, false));
        assert_eq!(confirm(&mut fleet, 0, 300_000), []);
        fleet.remove_entry("one", false, at(310_000));
        assert_eq!(confirm(&mut fleet, 0, 400_000), [], "it was removed");
    }
}

/// Guards against a history that grows with each worker that has ever run.
#[test]
fn can_forget_workers_that_were_removed_long_ago() {
    let mut fleet = fleet(&["two"]);
    fleet.apply_entry(numbered(50, 9, false));
    fleet.remove_entry("one", false, at(0));
    fleet.remove_entry("two", false, at(299_000));
    assert_eq!(fleet.apply_entry(numbered(50, 8, false)), fleet::Change::Outdated);
    fleet.apply_entry(entry("two", "a"));
    fleet.remove_entry("two", false, at(300_000));
    assert_eq!(fleet.apply_entry(numbered(50, 8, false)), fleet::Change::Added);
}

/// Guards against requests to a worker that has stated that it is leaving, because its entry lags
/// behind, was removed or lapsed and came back.
#[test]
fn can_remember_leaving_workers() {
    let mut fleet = fleet(&["one", "two"]);
    let key = fleet.key("one").expect("added");
    assert_eq!(fleet.record_leaving(key).as_deref(), Some("one"));
    assert_eq!(fleet.record_leaving(key), None, "known already");
    let criteria = Criteria { service: "lm", zone: "a", tried: &[] };
    let assert_unused = |fleet: &Fleet, now: u64| {
        let one = fleet.key("one").expect("present");
        for _ in 0..20 {
            assert_ne!(fleet.choose(criteria, at(now), &mut rand::rng()), Some(one));
        }
        assert_ne!(place(fleet, &REQUIREMENTS, now).as_deref(), Some("one"));
    };
    assert_unused(&fleet, 200);
    assert_eq!(fleet.apply_entry(entry("one", "a")), fleet::Change::Unchanged);
    assert_unused(&fleet, 300);
    fleet.remove_entry("one", true, at(400));
    fleet.apply_entry(entry("one", "a"));
    assert_unused(&fleet, 500);
    fleet.remove_entry("one", false, at(600));
    fleet.apply_entry(entry("one", "a"));
    assert_unused(&fleet, 700);

    fleet.apply_entry(Entry { started_ms: Some(2), ..entry("one", "a") });
    fleet.remove_entry("two", false, at(800));
    assert_eq!(place(&fleet, &REQUIREMENTS, 900).as_deref(), Some("one"), "it has restarted");
}

/// Guards against requests to a worker whose response said that it is leaving after its entry was
/// removed or lapsed, or came back before; and against a worker that is not used since an earlier
/// lifetime of it was leaving.
#[test]
fn can_remember_leaving_workers_that_were_removed() {
    let is_used = |fleet: &Fleet| place(fleet, &REQUIREMENTS, 1_000).is_some();
    for (before, after) in
        [(None, numbered(50, 8, false)), (Some(numbered(50, 8, false)), numbered(50, 9, false))]
    {
        for is_lapsed in [false, true] {
            let mut fleet = Fleet::default();
            fleet.apply_entry(numbered(50, 7, false));
            let key = fleet.key("one").expect("added");
            fleet.remove_entry("one", is_lapsed, at(10));
            if is_lapsed {
                fleet.remove_lapsed(at(10), at(10).after(fleet::LAPSE_GRACE));
            }
            if let Some(entry) = before.clone() {
                fleet.apply_entry(entry);
            }
            assert_eq!(fleet.record_leaving(key).as_deref(), Some("one"));
            assert_eq!(fleet.record_leaving(key), None, "known already");
            assert!(!is_used(&fleet));
            fleet.apply_entry(after.clone());
            assert!(!is_used(&fleet), "{before:?}");
            fleet.remove_entry("one", false, at(20_000));
            fleet.apply_entry(numbered(50, 10, false));
            assert!(!is_used(&fleet), "{before:?}");
            assert_eq!(fleet.apply_entry(numbered(60, 1, false)), fleet::Change::Restarted);
            assert!(is_used(&fleet), "it has started again");
            assert_eq!(fleet.record_leaving(key), None, "a response of the lifetime before");
            assert!(is_used(&fleet));
        }
    }
}

/// Guards against a rush to a plain worker that was added, against requests that are refused because
/// all workers start, and against a state that remains.
#[test]
fn can_limit_a_worker_that_starts() {
    let plain = |id: &str| Entry { models: Vec::new(), ..entry(id, "a") };
    let mut fleet = Fleet::default();
    fleet.apply_entry(plain("old"));
    fleet.apply_entry(plain("new"));
    let (old, new) = (fleet.key("old").expect("known"), fleet.key("new").expect("known"));
    (0..4).for_each(|_| fleet.record_dispatch(old, 0, at(0)));
    let criteria = Criteria { service: "lm", zone: "a", tried: &[] };
    let choose = |fleet: &Fleet, now| fleet.choose(criteria, at(now), &mut rand::rng());
    fleet.begin_ramp(new, Cause::Added, at(0), 7);
    assert_eq!(choose(&fleet, 0), Some(new));
    fleet.record_dispatch(new, 0, at(0));
    assert_eq!(choose(&fleet, 1), Some(old), "a quarter of the slots is taken");
    let room = |fleet: &Fleet| fleet.choose_with_room(criteria, |_| 9, at(1), &mut rand::rng());
    assert_eq!(room(&fleet), Some(old));
    let criteria = Criteria { tried: &[old], ..criteria };
    assert_eq!(fleet.choose(criteria, at(1), &mut rand::rng()), Some(new), "the last resort");
    let took = Duration::from_millis(40);
    for now in 2..30 {
        fleet.record_completion(new, 0, End::Answered { took }, at(now), 0.5);
        fleet.record_dispatch(new, 0, at(now));
    }
    assert_eq!((fleet.ramps(at(30)), choose(&fleet, 30)), (0, Some(new)));
    let transitions = fleet.take_transitions(at(30));
    assert_eq!(transitions.len(), 2, "{transitions:?}");
    assert!(matches!(transitions[1].change, Change::Ended { cause: Cause::Added, .. }));
    fleet.begin_ramp(old, Cause::Restarted, at(40), 7);
    assert_eq!(room(&fleet), Some(new));
    fleet.begin_ramp(new, Cause::Restarted, at(40), 7);
    assert!(choose(&fleet, 41).is_some());
    let call = fleet.choose_with_room(criteria, |_| 9, at(41), &mut rand::rng());
    assert!(call.is_some(), "reward calls do not wait for ramps of all workers");
}

/// Guards against engines that are slowed down after a weight load, during which they refuse, and
/// against full load on an engine that has just failed.
#[test]
fn can_limit_engines_after_failures_only() {
    let mut fleet = fleet(&["one"]);
    let key = fleet.key("one").expect("known");
    let refused = End::Refused { pause: Duration::from_millis(100) };
    for now in (0..3_000).step_by(100) {
        fleet.record_dispatch(key, 0, at(now));
        fleet.record_completion(key, 0, refused, at(now), 0.5);
    }
    fleet.record_version(key, "m", 4);
    assert_eq!(fleet.ramps(at(4_000)), 0);
    for now in [4_000, 4_010] {
        fleet.record_dispatch(key, 0, at(now));
        fleet.record_completion(key, 0, End::Failure, at(now), 0.5);
    }
    assert!(place(&fleet, &REQUIREMENTS, 4_020).is_some());
    fleet.record_dispatch(key, 0, at(4_020));
    assert_eq!(place(&fleet, &REQUIREMENTS, 4_030), None, "a quarter of the slots is taken");
    for now in [4_150, 4_190, 4_230, 4_270, 4_310, 4_350, 4_390, 4_430, 4_470] {
        fleet.record_interval(key, 40.0, at(now));
    }
    assert_eq!(fleet.ramps(at(4_470)), 0, "events in time end the ramp");
    (0..3).for_each(|_| fleet.record_dispatch(key, 0, at(4_480)));
    assert_eq!(place(&fleet, &REQUIREMENTS, 4_490), None, "all slots are taken");
}
