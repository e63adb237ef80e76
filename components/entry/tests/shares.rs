//! Division of the engines among models. Load: a day of a deployment with 44 engines and four
//! trainers whose steps bring 1,120, 2,889, 2,638 and 1,210 events of work.

use std::{collections::BTreeSet, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_entry::{
    batch::{Meta, Owner, Writer, rows},
    fleet::{Entry, Fleet, Report, Worker},
    weights::{Action, Demand, Exchange, Layout, Planner, Reply, Step, Target, View, divide},
};

const MODELS: [&str; 4] = ["a", "b", "c", "d"];
const WORK: [u64; 4] = [1_120, 2_889, 2_638, 1_210];

fn fleet_entry(index: usize) -> Entry {
    Entry {
        id: format!("engine-{index}"),
        service: "lm".to_owned(),
        address: ([10, 0, 0, 1], 8_000 + u16::try_from(index).expect("small")).into(),
        zone: "z".to_owned(),
        slots: 8,
        draining: false,
        started_ms: None,
        sequence: None,
        models: MODELS.map(|model| (model.to_owned(), 1)).to_vec(),
        warmup_left: Duration::ZERO,
        is_spot: false,
        leaves_in: None,
    }
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..count {
        fleet.apply_entry(fleet_entry(index));
    }
    fleet
}

fn views(fleet: &Fleet) -> Vec<View> {
    let view = |(key, worker): (_, &Worker)| View {
        key,
        id: worker.entry.id.clone(),
        versions: worker.entry.models.clone(),
        is_usable: true,
        load: 0,
    };
    fleet.workers_of("lm").map(view).collect()
}

fn targets(version: u64, work: [Option<u64>; 4]) -> Vec<Target> {
    let target = |(model, work): (&str, Option<u64>)| Target {
        model: model.to_owned(),
        version,
        lag: Some(1),
        work,
    };
    MODELS.into_iter().zip(work).map(target).collect()
}

/// Executes every order at once; returns the number of loads, and of workers with the version of
/// each model.
fn settle(planner: &mut Planner, fleet: &mut Fleet, targets: &[Target]) -> (usize, Vec<usize>) {
    let mut loads = 0;
    for round in 0..60 {
        let now = Instant::from_millis(targets[0].version * 100_000 + round * 1_000);
        for action in planner.plan(&views(fleet), targets, now) {
            let reply = match &action {
                Action::Query(_) => Reply::Report(Report::default()),
                Action::Order { worker, model, version, .. } => {
                    fleet.record_version(*worker, model, *version);
                    loads += 1;
                    Reply::Accepted
                }
            };
            planner.record_reply(&Exchange { action, reply }, now);
        }
    }
    let count = |target: &Target| {
        let has = |worker: &Worker| worker.version(&target.model) >= Some(target.version);
        fleet.workers_of("lm").filter(|(_, worker)| has(worker)).count()
    };
    (loads, targets.iter().map(count).collect())
}

/// Guards against a large trainer that waits for engines while those of a small one are idle.
#[test]
fn can_divide_in_proportion_to_the_work() {
    assert_eq!(divide(44, &WORK.map(Some)), Some(vec![6, 16, 15, 7]));
    assert_eq!(divide(44, &[12, 14, 6, 13].map(Some)), Some(vec![12, 13, 6, 13]));
    assert_eq!(divide(44, &[None; 4]), None, "nothing is known");
    assert_eq!(divide(44, &[Some(0), None]), None, "nothing is known");
    assert_eq!(divide(12, &[Some(100), Some(100), None]), Some(vec![4, 4, 4]));
    assert_eq!(divide(10, &[Some(1), Some(1), Some(1_000)]), Some(vec![1, 1, 8]), "at least one");
    assert_eq!(divide(2, &[Some(5), Some(0), Some(5)]), Some(vec![1, 1, 1]), "too few workers");
    let largest = divide(usize::from(u16::MAX), &[Some(u64::MAX); 3]).expect("known");
    assert_eq!(largest.iter().sum::<usize>(), usize::from(u16::MAX));
}

/// Guards against loads on eleven engines for each model, whatever its work, and against shares
/// that leave the even ones while nothing is known.
#[test]
fn can_load_versions_by_work() {
    let (mut fleet, mut planner) = (fleet(44), Planner::default());
    let even = settle(&mut planner, &mut fleet, &targets(2, [None; 4]));
    assert_eq!(even, (44, vec![11; 4]));
    for version in 3..7 {
        let shares = settle(&mut planner, &mut fleet, &targets(version, WORK.map(Some)));
        assert_eq!(shares, (44, vec![6, 16, 15, 7]), "version {version}");
    }
}

/// Guards against loads because the work of a step differs a little from that of the step before,
/// and against shares that stay when a trainer's steps have become twice as large.
#[test]
fn can_keep_shares_while_steps_differ_a_little() {
    let (fleet, mut planner) = (fleet(44), Planner::default());
    let mut demand = Demand::default();
    let mut record = |number: u64, work: [u64; 4]| {
        for (model, work) in MODELS.iter().zip(work) {
            let accepted_ms = number * 4_000;
            let step = Step { batch: number, accepted_ms, work, lag: Some(1) };
            assert!(demand.record(model, step));
            assert!(!demand.record(model, step), "the row of a known step has changed");
        }
        MODELS.map(|model| demand.work(model))
    };
    let mut summaries = Vec::new();
    for number in 1..40 {
        // Up to 8% more or less, alternating in another order for each model.
        let noise = |index: u64, work: u64| work * (92 + (number * (index + 3)) % 17) / 100;
        let work = [0, 1, 2, 3].map(|index| noise(index as u64, WORK[index]));
        planner.plan(&views(&fleet), &targets(2, record(number, work)), Instant::from_millis(0));
        summaries.push(planner.layout().to_string());
    }
    summaries.dedup();
    assert_eq!(summaries, ["a:6,b:16,c:15,d:7"]);
    let doubled = (40..44).map(|number| record(number, [2_240, 2_889, 2_638, 1_210]));
    let work = doubled.last().expect("four steps");
    planner.plan(&views(&fleet), &targets(3, work), Instant::from_millis(0));
    assert_eq!(planner.layout().to_string(), "a:11,b:14,c:13,d:6");
    let idle = Step { batch: 99, accepted_ms: 300_000, work: 1_120, lag: None };
    assert!(demand.record("a", idle));
    assert_eq!(demand.work("b"), Some(0), "its trainer has stopped");
    assert_eq!(demand.lag("a"), Some(1), "an accepting VM that knew no lag does not count");
}

fn layout(ids: &[String], version: u64, work: [Option<u64>; 4]) -> (Fleet, Layout) {
    let mut fleet = Fleet::default();
    let template = fleet_entry(0);
    for id in ids {
        fleet.apply_entry(Entry { id: id.clone(), ..template.clone() });
    }
    let mut layout = Layout::default();
    let workers = fleet.workers_of("lm").map(|(key, worker)| (key, worker.entry.id.as_str()));
    layout.update(workers, &targets(version, work), Instant::from_millis(0));
    (fleet, layout)
}

/// Engines that load the newest version of a model.
fn loading(ids: &[String], version: u64, model: &str) -> BTreeSet<String> {
    let (fleet, layout) = layout(ids, version, WORK.map(Some));
    let loads = fleet.workers_of("lm").filter(|(key, _)| layout.loads(model, *key));
    loads.map(|(_, worker)| worker.entry.id.clone()).collect()
}

/// Guards against VMs that expect the loads on different engines because they learned of the
/// engines in another order, against loads on the engines that serve the version before, and
/// against loads on most other engines after one engine is lost.
#[test]
fn can_compute_the_same_engines_on_all_vms() {
    let ids: Vec<String> = (0..44).map(|index| format!("engine-{index}")).collect();
    let reversed: Vec<String> = ids.iter().rev().cloned().collect();
    for (model, share) in MODELS.into_iter().zip([6, 16, 15, 7]) {
        let [even, odd] = [8, 9].map(|version| loading(&ids, version, model));
        assert_eq!((even.len(), odd.len()), (share, share));
        assert!(even.is_disjoint(&odd), "{model}");
        assert_eq!(even, loading(&reversed, 8, model));
        let fewer = loading(&ids[1..], 8, model);
        assert!(fewer.intersection(&even).count() + 2 >= share, "{model}: {even:?}, {fewer:?}");
    }
    let (fleet, layout) = layout(&ids, 8, [None; 4]);
    let key = fleet.key("engine-0").expect("known");
    assert!(!layout.loads("a", key), "not divided while nothing is known");
    assert!(!layout.awaits_load("a", key, Some(7), Instant::from_millis(0)));
}

/// Guards against rows of owners that the version before or after this one cannot read.
#[test]
fn can_read_owners_rows_of_other_versions() {
    let meta = Meta {
        owner: Some(Owner { vm: "vm-1".to_owned(), incarnation: 1 }),
        epoch: 1,
        writer: Writer { vm: "vm-1".to_owned(), call: 1 },
        chunks: 1,
        total: 1,
        host: "h".to_owned(),
        model: "m".to_owned(),
        lag: Some(1),
        groups: vec![7],
        accepted_ms: 5,
        ended: false,
        complete: false,
        config_version: 300,
        work: 2_889,
        workspace: None,
        is_public: false,
    };
    let row = rows::encode_meta(&meta);
    assert_eq!(rows::decode_meta(&row), Ok(meta.clone()));
    let value = rows::encode(&meta);
    assert_eq!(rows::decode::<u64>(&row[value.len()..]), Ok(300), "the version before reads this");
    let before = [value, rows::encode(&300_u64)].concat();
    let without_work = Meta { work: 0, ..meta.clone() };
    assert_eq!(rows::decode_meta(&before), Ok(without_work.clone()));
    assert_eq!(rows::encode_meta(&without_work), before, "nothing new without work");
    let later = [&before[..], br#"{"work":2889,"later":[1]}"#].concat();
    assert_eq!(rows::decode_meta(&later), Ok(meta));
    assert!(rows::decode_meta(&[&before[..], b"{"].concat()).is_err());
}
