//! Evacuation of items from workers that leave in the middle of a step.

use std::{sync::Arc, time::Duration};

use filbertsail_clock::Instant;
use filbertsail_entry::{
    batch::{
        Item, Meta, Submission, Writer,
        evacuation::{Departures, place_evacuee},
        execution::{Assignment, Execution, Phase},
    },
    config::{Config, Engine, Kind, Limits, Route, Target},
    fleet::{Entry, Fleet},
};
use tokio::sync::watch;

/// Execution of one item for each of `lengths`, in expected tokens; the trainer waits for all.
fn execution(lengths: &[u64]) -> Execution {
    let item = |(index, expected): (u32, &u64)| Item {
        id: format!("i{index}"),
        path: "/x/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        group: index,
        prompt_tokens: 100,
        max_tokens: 10_000,
        expected_tokens: *expected,
        reward: None,
    };
    let submission = Submission {
        model: "m".to_owned(),
        min_version: 1,
        wanted: 9,
        groups: (0..lengths.len()).map(|group| format!("g{group}")).collect(),
        items: (0..).zip(lengths).map(item).collect(),
        ..Submission::default()
    };
    let meta = Meta {
        owner: None,
        epoch: 1,
        writer: Writer { vm: "vm-1".to_owned(), call: 1 },
        chunks: 1,
        total: u32::try_from(lengths.len()).unwrap(),
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
    };
    let (results, partials) = (Vec::new(), Vec::new());
    let submission = Arc::new(submission);
    let mut execution =
        Execution::new("b", meta, 1, submission, Instant::default(), results, partials);
    execution.tokens_per_event = 10;
    execution.mark_wanted_groups(|_| false);
    execution
}

fn entry(id: &str, leaves_in: Option<Duration>) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "lm".to_owned(),
        address: ([127, 0, 0, 1], 9_000).into(),
        zone: id.to_owned(),
        slots: 2,
        draining: leaves_in.is_some(),
        started_ms: Some(1),
        sequence: None,
        models: vec![("m".to_owned(), 1)],
        warmup_left: Duration::ZERO,
        is_spot: true,
        leaves_in,
    }
}

fn config() -> Config {
    let route = Route {
        name: "r".to_owned(),
        host: "h".to_owned(),
        prefix: "/".to_owned(),
        kind: Kind::Batch,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_secs(1),
        targets: vec![Target { service: "lm".to_owned(), weight: 1.0 }],
        max_attempts: 3,
        resumable: true,
        max_queue: Duration::from_secs(60),
        single_version: false,
        priority: 0,
        is_public: false,
    };
    let limits = Limits {
        header_bytes: 1,
        body_bytes: 1,
        header_timeout: Duration::ZERO,
        idle_timeout: Duration::ZERO,
    };
    let routes = vec![route];
    Config {
        version: 1,
        index: filbertsail_entry::config::Index::new(&routes),
        routes,
        services: Default::default(),
        limits,
        workspaces: None,
        directory: None,
    }
}

/// Guards against a step that waits for long items of reclaimed workers, against moves of items
/// that end in time, and against items sent to a worker that leaves. Load: the workers of a zone
/// get two seconds' notice in the middle of a step, and few slots are free elsewhere.
#[tokio::test]
async fn can_move_the_longest_items_before_their_worker_leaves() {
    let now = Instant::from_millis(1_000);
    let mut fleet = Fleet::default();
    for id in ["gone", "also-gone", "stays"] {
        fleet.apply_entry(entry(id, None));
    }
    let [gone, also_gone, stays] = ["gone", "also-gone", "stays"].map(|id| fleet.key(id).unwrap());
    let mut execution = execution(&[500, 4_000, 6_000, 100]);
    for (item, worker) in [(0, gone), (1, gone), (2, also_gone), (3, stays)] {
        let abort = tokio::spawn(async {}).abort_handle();
        let pause = watch::channel(false).0;
        fleet.record_dispatch(worker, 1_000, now);
        execution.states[item].phase = Phase::Running(Assignment {
            attempt: 1,
            worker,
            tokens: 1_000,
            sent_at: now,
            abort,
            pause,
            successor: None,
        });
    }
    fleet.record_interval(gone, 20.0, now);
    let mut departures = Departures::default();
    departures.update(&fleet, &["lm"], now);
    assert!(departures.is_empty() && departures.evacuees(&[&execution], &fleet, now).is_empty());
    for id in ["gone", "also-gone"] {
        fleet.apply_entry(entry(id, Some(Duration::from_secs(2))));
    }
    departures.update(&fleet, &["lm"], now);
    let evacuees = departures.evacuees(&[&execution], &fleet, now);
    let items: Vec<usize> = evacuees.iter().map(|evacuee| evacuee.item).collect();
    // 500 tokens are 50 events of 20 ms and end in time; the others take 8 and 12 s.
    assert_eq!(items, [2, 1]);
    let engine = Engine { slots: 2, kv_tokens: 100_000, tokens_per_event: 10, models: Vec::new() };
    let config = config();
    let place = |item, from, fleet: &Fleet| {
        let terms = (&config, &engine);
        let found = place_evacuee(&execution, item, from, terms, "stays", fleet, now);
        found.map(|placement| placement.worker)
    };
    assert_eq!(place(2, also_gone, &fleet), Some(stays));
    fleet.record_dispatch(stays, 1_000, now);
    assert_eq!(place(1, gone, &fleet), None, "the last free slot is taken");
    // A second later, the registry still states two seconds.
    let later = Instant::from_millis(2_000);
    departures.update(&fleet, &["lm"], later);
    let items = departures.evacuees(&[&execution], &fleet, later);
    let items: Vec<usize> = items.iter().map(|evacuee| evacuee.item).collect();
    assert_eq!(items, [2, 1, 0], "the short item has not made progress");
    // One notice is withdrawn.
    fleet.apply_entry(entry("gone", None));
    departures.update(&fleet, &["lm"], later);
    assert_eq!(departures.time_left(gone, later), None);
    assert!(departures.time_left(also_gone, later).is_some());
}
