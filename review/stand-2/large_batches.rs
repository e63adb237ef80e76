//! Case: open batches with large bodies take their machine over its memory, at each start anew, and no
//! other machine runs them.

use std::{
    fs, io,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    client::{self, Item},
    json::{base64, quote},
    record::Record,
    steps::{self, Places, Step},
    store::Store,
    vm::Vm,
    worker::{Kind, Run, Worker},
};

const ENGINES: usize = 6;
const SLOTS: usize = 16;
const MACHINES: [(&str, &str); 3] =
    [("front-a-1", "127.0.0.1"), ("front-a-2", "127.0.0.2"), ("front-a-3", "127.0.0.3")];
/// `memory_mb` of the site's machines, in KiB.
const MEMORY_KIB: u64 = 140 * 1_024;
/// Three trainers, each with two open batches.
const NAMES: [&str; 6] = ["batch-0", "batch-1", "batch-2", "batch-3", "batch-4", "batch-5"];
const ITEMS: usize = 24;
/// Bytes of the body of an item; the batch stays below `max_body_bytes` (33,554,432).
const LARGE_BODY: usize = 720_000;
/// Mean of the sheet.
const USUAL_BODY: usize = 600;
const EVENTS: u64 = 60;
/// Time budget of a step.
const BUDGET: Duration = Duration::from_secs(12);
/// Delay of the platform before it starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time after the last step for which the machines are watched.
const WATCHED: Duration = Duration::from_secs(10);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-lots","host":"site.example","prefix":"/lots/","kind":"rollout",
"timeout_ms":10000,"target_latency_ms":400,"priority":0,"service":"engines","max_attempts":3,"max_queue_s":40.0,
"result_deadline_ms":7500,"single_version":false,"sticky":true,"resumable":true}],
"services":[{"name":"engines","health_path":"/health","connection_limit":160,"protocol":"h1","tls":false,
"engine":{"slots":16,"kv_cache_tokens":42980,"kv_token_bytes":163840,"link_mbps":5900000.0,"moves":true,"backups":true,
"stride":61,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Resident memory of a process in KiB; nothing once it has ended.
fn resident(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().trim_end_matches("kB").trim().parse().ok()
}

/// Kills the process of a machine whenever it exceeds its memory, and starts it again; returns the
/// number of times and the peak in KiB.
fn watch(mut vm: Vm, stop: &AtomicBool, record: &Record) -> (usize, u64) {
    let (mut ends, mut peak) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        let memory = resident(vm.process());
        peak = peak.max(memory.unwrap_or(0));
        let has_ended = vm.has_ended();
        if has_ended || memory.is_some_and(|memory| memory > MEMORY_KIB) {
            ends += 1;
            record.line(&format!(
                "machine {} uses {} MiB; its process is killed",
                vm.name,
                memory.unwrap_or(0) / 1_024
            ));
            vm.kill();
            thread::sleep(RESTART_DELAY);
            if vm.restart().is_err() {
                break;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    (ends, peak)
}

fn items(batch: &str) -> Vec<Item> {
    (0..ITEMS)
        .map(|index| Item {
            id: format!("{batch}-{index}"),
            group: format!("{batch}-g{}", index / 4),
            prompt_tokens: 271,
            output_tokens: EVENTS * 61,
            events: EVENTS,
        })
        .collect()
}

fn submission(items: &[Item], body: &str) -> String {
    let items: Vec<String> = items
        .iter()
        .map(|item| {
            format!(
                "{{\"id\":{},\"path\":\"/lots/run\",\"headers\":{{\"X-Filbertsail-Model\":\"{}\",\
                 \"X-Filbertsail-Token-Counts\":\"271,{tokens}\",\"X-Filbertsail-Length-Hint\":\"{tokens}\",\
                 \"X-Events\":\"{EVENTS}\"}},\"body\":\"{body}\",\"tokens\":{},\"group\":{}}}",
                quote(&item.id),
                client::MODEL,
                item.prompt_tokens + item.output_tokens,
                quote(&item.group),
                tokens = item.output_tokens,
            )
        })
        .collect();
    format!(
        "{{\"step\":1,\"model\":\"{}\",\"min_version\":1,\"desired_count\":5,\"items\":[{}]}}",
        client::MODEL,
        items.join(",")
    )
}

pub fn run(folder: &Path, trouble: bool, record: &Record) -> io::Result<Outcome> {
    let store = Store::new();
    store.put("op", "config", Some(CONFIG));
    let kind = Kind {
        service: "engines",
        model: Some(client::MODEL),
        slots: SLOTS,
        queue: 48,
        event_time: Duration::from_millis(50),
        kv_tokens: 42_980,
    };
    let engines: Vec<Worker> = (0..ENGINES)
        .map(|index| Worker::start(&format!("engine-{index}"), kind.clone(), &store, record))
        .collect::<io::Result<_>>()?;
    let mut vms = Vec::new();
    for (name, ip) in MACHINES {
        vms.push(Vm::start(name, ip, store.listen("127.0.0.1")?, folder, record)?);
    }
    if !vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(15))) {
        record.say("the machines did not become ready");
        return Ok(Outcome::CouldNotRun);
    }
    let fronts: Vec<_> = vms.iter().map(|vm| vm.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let watchers: Vec<_> = vms
        .into_iter()
        .map(|vm| {
            let (stop, record) = (Arc::clone(&stop), record.clone());
            thread::spawn(move || watch(vm, &stop, &record))
        })
        .collect();

    let body = base64(&vec![b'x'; if trouble { LARGE_BODY } else { USUAL_BODY }]);
    let start = Instant::now();
    let mut trainers = Vec::new();
    for name in NAMES {
        let items = items(name);
        let text = submission(&items, &body);
        record.line(&format!("{name} has {} bytes", text.len()));
        let until = Instant::now() + BUDGET;
        if !client::submit(&fronts, "/lots/", name, &text, BUDGET, record) {
            continue;
        }
        let (fronts, record) = (fronts.clone(), record.clone());
        trainers.push(thread::spawn(move || {
            let listed = client::follow(&fronts, name, ITEMS, until, &record);
            let ended_at = Instant::now();
            // Ended later, so that what is accepted can still be seen to run.
            Step { name, items, listed, ended_at }
        }));
    }
    let mut taken: Vec<(Instant, usize)> = Vec::new();
    while !trainers.iter().all(|trainer| trainer.is_finished()) {
        taken.push((Instant::now(), engines.iter().map(Worker::running).sum()));
        thread::sleep(Duration::from_millis(100));
    }
    let steps: Vec<Step> = trainers.into_iter().filter_map(|trainer| trainer.join().ok()).collect();
    thread::sleep(WATCHED);
    stop.store(true, Ordering::SeqCst);
    for ((name, _), watcher) in MACHINES.iter().zip(watchers) {
        let (ends, peak) = watcher.join().unwrap_or((0, 0));
        record.say(&format!(
            "machine {name}: {ends} ends over its memory, peak {} MiB of 140",
            peak / 1_024
        ));
    }
    let runs: Vec<Run> = engines.iter().flat_map(Worker::runs).collect();
    let places = Places { taken: &taken, available: ENGINES * SLOTS };
    let mut idle = 0;
    for step in &steps {
        // A process that ends by itself counts as running all the while.
        idle += steps::idle_items(step, &runs, &places, start, record).len();
    }
    record.say(&format!("{} of {} batches accepted; LOST: {idle} items", steps.len(), NAMES.len()));
    if steps.is_empty() {
        return Ok(Outcome::CouldNotRun);
    }
    Ok(if idle > 0 { Outcome::Broken } else { Outcome::Held })
}
