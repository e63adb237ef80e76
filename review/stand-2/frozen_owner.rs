//! Case: after a short freeze of the machine that runs a step, each engine gets one item at a time.

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

const ENGINES: usize = 6;
const SLOTS: usize = 16;
const KV_TOKENS: u64 = 107_252;
const PROMPT_TOKENS: u64 = 1_016;
const TOKENS_PER_EVENT: u64 = 61;
const EVENT_TIME: Duration = Duration::from_millis(55);
/// Time budget of a step.
const BUDGET: Duration = Duration::from_secs(12);
const CONTACT: Duration = Duration::from_secs(3);
/// From the acceptance of the step to the freeze.
const FREEZE_AT: Duration = Duration::from_millis(600);
/// Length of the freeze; the site files have up to 4 s.
const FREEZE: Duration = Duration::from_millis(1_800);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-lots","host":"site.example","prefix":"/lots/","kind":"rollout",
"timeout_ms":10000,"target_latency_ms":400,"priority":0,"service":"engines","max_attempts":3,"max_queue_s":40.0,
"result_deadline_ms":7500,"single_version":false,"sticky":true,"resumable":true}],
"services":[{"name":"engines","health_path":"/health","connection_limit":160,"protocol":"h1","tls":false,
"engine":{"slots":16,"kv_cache_tokens":107252,"kv_token_bytes":163840,"link_mbps":5900000.0,"moves":true,"backups":true,
"stride":61,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A step like those of the sheet: one item in twelve is of the largest size.
fn items(batch: &str) -> Vec<Item> {
    (0..96)
        .map(|index| {
            let events = match index % 12 {
                0 => 174,
                1..=5 => 50,
                _ => 20,
            };
            Item {
                id: format!("{batch}-{index}-of-{events}"),
                group: format!("{batch}-g{}", index / 4),
                prompt_tokens: PROMPT_TOKENS,
                output_tokens: events * TOKENS_PER_EVENT,
                events,
            }
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
    for (name, ip) in
        [("front-a-1", "127.0.0.1"), ("front-a-2", "127.0.0.2"), ("front-a-3", "127.0.0.3")]
    {
        vms.push(Vm::start(name, ip, store.listen("127.0.0.1")?, folder, record)?);
    }
    if !vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(15))) {
        record.say("the machines did not become ready");
        return Ok(Outcome::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));

    // The accepting machine runs the step; the trainer reads at the others.
    let items = items("step");
    let body = client::submission("/lots/", &items, items.len() / 4 * 9 / 10);
    let until = Instant::now() + BUDGET;
    if !client::submit(&[vms[0].front], "/lots/", "step", &body, Duration::from_secs(4), record) {
        return Ok(Outcome::CouldNotRun);
    }
    let (readers, total, log) = ([vms[1].front, vms[2].front], items.len(), record.clone());
    let reader = thread::spawn(move || {
        let listed = client::follow(&readers, "step", total, until, &log);
        let ended_at = Instant::now();
        client::end(readers[0], "step", &log);
        (listed, ended_at)
    });
    thread::sleep(FREEZE_AT);
    if trouble {
        vms[0].signal("STOP");
    }
    thread::sleep(FREEZE);
    if trouble {
        vms[0].signal("CONT");
    }
    let steady_from = Instant::now() + CONTACT;
    let mut taken: Vec<(Instant, usize)> = Vec::new();
    while !reader.is_finished() {
        taken.push((Instant::now(), engines.iter().map(Worker::running).sum()));
        thread::sleep(Duration::from_millis(100));
    }
    let Ok((listed, ended_at)) = reader.join() else { return Ok(Outcome::CouldNotRun) };
    for second in taken.chunks(10) {
        let most = second.iter().map(|(_, taken)| *taken).max().unwrap_or(0);
        record.line(&format!(
            "at {:.1} s: {most} of {} places taken",
            record.seconds(second[0].0),
            ENGINES * SLOTS
        ));
    }
    let runs: Vec<Run> = engines.iter().flat_map(Worker::runs).collect();
    let step = Step { name: "step", items, listed, ended_at };
    let places = Places { taken: &taken, available: ENGINES * SLOTS };
    let idle = steps::idle_items(&step, &runs, &places, steady_from, record);
    record.say(&format!("LOST: {} items", idle.len()));
    Ok(if idle.is_empty() { Outcome::Held } else { Outcome::Broken })
}
