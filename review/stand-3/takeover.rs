//! Large batch submissions whose owner is killed.
//!
//! Trainers have five steps open, which one machine runs. A submission has 20 MB, three fifths of the
//! limit of the configuration. Its process is killed once and started again. The items must come to
//! workers again, which are almost empty by then, before their step runs out of time.

use std::{
    collections::BTreeMap,
    io,
    sync::Arc,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Bed, batch,
    http::Connection,
    json::Json,
    record::Event,
    vm::{self, Vm},
    worker::{Kind, Worker},
};

const MACHINES: usize = 3;
/// Memory of a machine of the deployment, in megabytes.
const MEMORY_MB: u64 = 140;
/// Steps that are open at the same time. The deployment has three trainers, some of which request
/// steps ahead.
const BATCHES: [&str; 5] = [
    "7c41e09b52d6a3f8",
    "8d52f1ac63e7b409",
    "9e6302bd74f8c51a",
    "af7413ce85a9d62b",
    "b08524df96bae73c",
];
/// Items of a step, 9 groups of 8, and the bytes of a body.
const ITEMS: usize = 72;
const BODY_BYTES: usize = 210_000;
/// Time between two submissions.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(1_000);
const ENGINES: usize = 9;
const SLOTS: usize = 16;
/// Time budget of a step, and how much longer its requester waits.
const TIME_BUDGET: Duration = Duration::from_millis(13_500);
/// Time without a disturbance from which the state is steady.
const CONTACT: Duration = Duration::from_secs(3);
/// Time at no worker that breaks the rule.
const AT_NO_WORKER: Duration = Duration::from_secs(5);
/// A run that its sender ends sooner does not count.
const MIN_RUN: Duration = Duration::from_secs(1);
/// Time for which the results are read after the last submission.
const WATCHED: Duration = Duration::from_secs(30);

pub fn run(bed: &mut Bed) -> io::Result<bool> {
    bed.store.put("op", "config", &crate::config(vec![batch::route()]));
    let mut engines: Vec<Arc<Worker>> = Vec::new();
    for number in 1..=ENGINES {
        let (id, address) = (format!("engine-{number}"), vm::free_address(bed.next_ip())?);
        let (store, record) = (&bed.store, &bed.record);
        engines.push(Worker::start(
            &id,
            address,
            "kettle-models",
            SLOTS,
            Kind::Engine,
            store,
            record,
        )?);
    }
    // Requests of others leave one slot at each engine, so that the steps are open for some seconds.
    engines.iter().for_each(|engine| engine.set_taken_by_others(SLOTS - 1));
    let vms = bed.start_vms(MACHINES, MEMORY_MB)?;
    vms.iter().for_each(Vm::supervise);
    sleep(Duration::from_secs(4));
    let mut submitted: BTreeMap<&str, Duration> = BTreeMap::new();
    for name in BATCHES {
        submitted.insert(name, bed.record.elapsed());
        batch::submit(bed, &vms[0], name, ITEMS, BODY_BYTES)?;
        sleep(SUBMISSION_INTERVAL);
    }
    let memory_mb = vms[0].memory_mb().unwrap_or(0);
    bed.record.add("memory before", &vms[0].name, &format!("{memory_mb} MB"));
    if !bed.record.events("process ended").is_empty() {
        return Err(io::Error::other("a process ended before the kill"));
    }
    if bed.has_trouble {
        vms[0].kill_once();
    }
    let disturbed_at = bed.record.elapsed();
    engines.iter().for_each(|engine| engine.set_taken_by_others(0));
    watch(bed, &vms);
    let starved: Vec<(&str, usize)> = submitted
        .iter()
        .map(|(name, at)| {
            let window = (disturbed_at + CONTACT, *at + TIME_BUDGET);
            let has_begun =
                bed.record.events("runs").iter().any(|run| {
                    run.subject.starts_with(&batch::item_prefix(name)) && run.at < window.1
                });
            let is_starved = |item: &usize| has_begun && is_starved(bed, name, *item, window);
            (*name, (0..ITEMS).filter(is_starved).count())
        })
        .collect();
    let ends = bed.record.events("process ended").len();
    for (name, count) in &starved {
        bed.record.add("items at no worker for 5 s", name, &count.to_string());
    }
    println!("items at no worker for 5 s when their step ran out of time: {starved:?}");
    println!("{ends} times a process ended by itself");
    Ok(starved.iter().all(|(_, count)| *count == 0))
}

/// Reads the results of all steps twice a second, and records the memory of the machines.
fn watch(bed: &Bed, vms: &[Arc<Vm>]) {
    let until = Instant::now() + WATCHED;
    let mut read: BTreeMap<&str, usize> = BATCHES.iter().map(|name| (*name, 0)).collect();
    while Instant::now() < until {
        for (name, count) in &mut read {
            for vm in &vms[1..] {
                let path = format!("/-/lots/{name}?after={count}");
                let answer = Connection::open(vm.front, Duration::from_secs(2))
                    .and_then(|mut connection| connection.call(("GET", &path), &[], b""));
                if let Ok(answer) = answer
                    && answer.status() == 200
                {
                    let next = Json::parse(&answer.body).get("next").number() as usize;
                    if next > *count {
                        bed.record.add("results read", name, &format!("up to {next}"));
                        *count = next;
                    }
                }
            }
        }
        let memory: Vec<String> =
            vms.iter().map(|vm| vm.memory_mb().map_or("-".into(), |mb| mb.to_string())).collect();
        bed.record.add("memory", &format!("{} MB", memory.join(" ")), "");
        sleep(Duration::from_millis(500));
    }
}

/// Whether an item that no worker has finished has been at no worker for a while at the end of
/// `window`, when its step runs out of time. Only the time within `window` counts.
fn is_starved(bed: &Bed, name: &str, number: usize, window: (Duration, Duration)) -> bool {
    let id = batch::item_id(name, number);
    let of_item = |what| -> Vec<Event> {
        let events = bed.record.events(what).into_iter();
        events.filter(|event| event.subject == id && event.at <= window.1).collect()
    };
    let (runs, ends) = (of_item("runs"), of_item("ends"));
    if !of_item("finished").is_empty() {
        return false;
    }
    let mut free_since = window.0;
    for run in runs {
        let end = ends.iter().find(|end| end.at >= run.at && end.detail == run.detail);
        let end = end.map_or(window.1, |end| end.at);
        if end >= run.at + MIN_RUN {
            free_since = free_since.max(end);
        }
    }
    window.1 >= free_since + AT_NO_WORKER
}
