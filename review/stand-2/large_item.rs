//! Case: an item that fits on no engine at the moment keeps all smaller ones from being sent.

use std::{
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    client::{self, Item},
    record::Record,
    steps::{self, Places, Step},
    store::Store,
    vm::Vm,
    worker::{Kind, Run, Worker},
};

/// Six engines, so that one lost engine is within the largest share (0.17) of `srv_crash`.
const ENGINES: usize = 6;
const SLOTS: usize = 16;
/// Memory, and largest item (255 + 16 prompt tokens, 174 events of 61 tokens), of Vaahto's engines.
const KV_TOKENS: u64 = 42_980;
const PROMPT_TOKENS: u64 = 271;
const LONG_EVENTS: u64 = 174;
const SHORT_EVENTS: u64 = 5;
const TOKENS_PER_EVENT: u64 = 61;
const EVENT_TIME: Duration = Duration::from_millis(50);
/// Time budget of a step.
const BUDGET: Duration = Duration::from_secs(12);
/// Time from one step to the next, as in the sheet.
const STEP_INTERVAL: Duration = Duration::from_secs(4);
const CRASH_AT: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(3);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-lots","host":"site.example","prefix":"/lots/","kind":"rollout",
"timeout_ms":10000,"target_latency_ms":400,"priority":0,"service":"engines","max_attempts":3,"max_queue_s":40.0,
"result_deadline_ms":7500,"single_version":false,"sticky":true,"resumable":true}],
"services":[{"name":"engines","health_path":"/health","connection_limit":160,"protocol":"h1","tls":false,
"engine":{"slots":16,"kv_cache_tokens":42980,"kv_token_bytes":163840,"link_mbps":5900000.0,"moves":true,"backups":true,
"stride":61,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A step: three items of the largest size for each engine, and some short ones.
fn items(batch: &str) -> Vec<Item> {
    let long = (0..3 * ENGINES).map(|index| (format!("{batch}-long-{index}"), LONG_EVENTS));
    let short = (0..30).map(|index| (format!("{batch}-short-{index}"), SHORT_EVENTS));
    long.chain(short)
        .enumerate()
        .map(|(index, (id, events))| Item {
            id,
            group: format!("{batch}-g{}", index / 4),
            prompt_tokens: PROMPT_TOKENS,
            output_tokens: events * TOKENS_PER_EVENT,
            events,
        })
        .collect()
}

pub fn run(folder: &Path, trouble: bool, record: &Record) -> io::Result<Outcome> {
    let store = Store::new();
    store.put("op", "config", Some(CONFIG));
    let kind = Kind {
        service: "engines",
        model: Some(client::MODEL),
        slots: SLOTS,
        queue: 48,
        event_time: EVENT_TIME,
        kv_tokens: KV_TOKENS,
    };
    let engines: Vec<Worker> = (0..ENGINES)
        .map(|index| Worker::start(&format!("engine-{index}"), kind.clone(), &store, record))
        .collect::<io::Result<_>>()?;
    let mut vms = Vec::new();
    for (name, ip) in [("front-a-1", "127.0.0.1"), ("front-a-2", "127.0.0.2")] {
        vms.push(Vm::start(name, ip, store.listen("127.0.0.1")?, folder, record)?);
    }
    if !vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(15))) {
        record.say("the machines did not become ready");
        return Ok(Outcome::CouldNotRun);
    }
    let fronts: Vec<_> = vms.iter().map(|vm| vm.front).collect();
    thread::sleep(Duration::from_secs(1));

    let start = Instant::now();
    let step = |batch: &'static str| {
        let (fronts, record) = (fronts.clone(), record.clone());
        thread::spawn(move || {
            let items = items(batch);
            let body = client::submission("/lots/", &items, items.len().div_ceil(4) * 9 / 10);
            let until = Instant::now() + BUDGET;
            if !client::submit(&fronts, "/lots/", batch, &body, Duration::from_secs(4), &record) {
                return None;
            }
            let listed = client::follow(&fronts, batch, items.len(), until, &record);
            let ended_at = Instant::now();
            client::end(fronts[0], batch, &record);
            Some(Step { name: batch, items, listed, ended_at })
        })
    };
    let first = step("step-1");
    if trouble {
        let crash_at = start + CRASH_AT;
        thread::sleep(crash_at.saturating_duration_since(Instant::now()));
        engines[0].crash();
    }
    thread::sleep((start + STEP_INTERVAL).saturating_duration_since(Instant::now()));
    let second = step("step-2");
    // Places that are taken, seen ten times a second.
    let mut places: Vec<(Instant, usize)> = Vec::new();
    while !(first.is_finished() && second.is_finished()) {
        let taken = engines.iter().filter(|engine| !engine.is_down()).map(Worker::running).sum();
        places.push((Instant::now(), taken));
        thread::sleep(Duration::from_millis(100));
    }
    let (Ok(Some(first)), Ok(Some(second))) = (first.join(), second.join()) else {
        record.say("a step was not accepted");
        return Ok(Outcome::CouldNotRun);
    };
    let runs: Vec<Run> = engines.iter().flat_map(Worker::runs).collect();
    let available = engines.iter().filter(|engine| !engine.is_down()).count() * SLOTS;
    let places = Places { taken: &places, available };
    let steady_from = start + CRASH_AT + CONTACT;
    let mut broken = 0;
    for step in [first, second] {
        let idle = steps::idle_items(&step, &runs, &places, steady_from, record);
        // Only short items count: that a long one finds no room may be right.
        broken += idle.iter().filter(|id| id.contains("short")).count();
    }
    record.say(&format!("LOST: {broken} short items"));
    Ok(if broken > 0 { Outcome::Broken } else { Outcome::Held })
}
