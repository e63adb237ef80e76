//! Case: after all open channels have gone silent between two steps, the next step is sent on them, and
//! then each engine gets one item at a time.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    client::{self, Item},
    http,
    record::Record,
    steps::{self, Places, Step},
    store::Store,
    vm::Vm,
    worker::{Kind, Run, Worker},
};

const ENGINES: usize = 6;
const SLOTS: usize = 16;
const PROMPT_TOKENS: u64 = 1_016;
const TOKENS_PER_EVENT: u64 = 61;
const EVENT_TIME: Duration = Duration::from_millis(50);
/// Time budget of a step.
const BUDGET: Duration = Duration::from_secs(12);
const CONTACT: Duration = Duration::from_secs(3);
/// Time from one step to the next, as in the sheet.
const STEP_INTERVAL: Duration = Duration::from_secs(4);
/// From the start of the first step, which takes less than three seconds, to the moment at which the
/// channels go silent.
const SILENT_AT: Duration = Duration::from_millis(3_200);

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-lots","host":"site.example","prefix":"/lots/","kind":"rollout",
"timeout_ms":10000,"target_latency_ms":400,"priority":0,"service":"engines","max_attempts":3,"max_queue_s":40.0,
"result_deadline_ms":7500,"single_version":false,"sticky":true,"resumable":true}],
"services":[{"name":"engines","health_path":"/health","connection_limit":160,"protocol":"h1","tls":false,
"engine":{"slots":16,"kv_cache_tokens":107252,"kv_token_bytes":163840,"link_mbps":5900000.0,"moves":true,"backups":true,
"stride":61,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// A step like those of the sheet: most items are short, and one in `long` is of the largest size.
fn items(batch: &str, long: Option<u64>) -> Vec<Item> {
    (0..96)
        .map(|index| {
            let is_long = long.is_some_and(|long| index % long == 0);
            let events = if is_long { 174 } else { 15 + index % 20 };
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
        kv_tokens: 107_252,
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

    let fronts: Vec<_> = vms.iter().map(|vm| vm.front).collect();
    let start = |name: &'static str, long: Option<u64>, fronts: Vec<SocketAddr>| {
        let record = record.clone();
        let items = items(name, long);
        let body = client::submission("/lots/", &items, items.len() / 4 * 9 / 10);
        let until = Instant::now() + BUDGET;
        if !client::submit(&fronts, "/lots/", name, &body, Duration::from_secs(4), &record) {
            return None;
        }
        Some(thread::spawn(move || {
            let listed = client::follow(&fronts, name, items.len(), until, &record);
            let ended_at = Instant::now();
            client::end(fronts[0], name, &record);
            Step { name, items, listed, ended_at }
        }))
    };
    let began = Instant::now();
    let Some(first) = start("step-1", None, fronts.clone()) else {
        return Ok(Outcome::CouldNotRun);
    };
    thread::sleep((began + SILENT_AT).saturating_duration_since(Instant::now()));
    if trouble {
        record.line("all open channels to the store and to the engines go silent");
        http::silence_open_channels();
    }
    let steady_from = Instant::now() + CONTACT;
    thread::sleep((began + STEP_INTERVAL).saturating_duration_since(Instant::now()));
    let Some(second) = start("step-2", Some(12), fronts.clone()) else {
        return Ok(Outcome::CouldNotRun);
    };
    let mut taken: Vec<(Instant, usize)> = Vec::new();
    while !second.is_finished() {
        taken.push((Instant::now(), engines.iter().map(Worker::running).sum()));
        thread::sleep(Duration::from_millis(100));
    }
    let (Ok(first), Ok(second)) = (first.join(), second.join()) else {
        return Ok(Outcome::CouldNotRun);
    };
    if first.listed.len() < first.items.len() {
        record.say("the first step was not completed");
        return Ok(Outcome::CouldNotRun);
    }
    for second in taken.chunks(10) {
        let most = second.iter().map(|(_, taken)| *taken).max().unwrap_or(0);
        record.line(&format!(
            "at {:.1} s: {most} of {} places taken",
            record.seconds(second[0].0),
            ENGINES * SLOTS
        ));
    }
    let runs: Vec<Run> = engines.iter().flat_map(Worker::runs).collect();
    let places = Places { taken: &taken, available: ENGINES * SLOTS };
    let idle = steps::idle_items(&second, &runs, &places, steady_from, record);
    record.say(&format!("LOST: {} items", idle.len()));
    Ok(if idle.is_empty() { Outcome::Held } else { Outcome::Broken })
}
