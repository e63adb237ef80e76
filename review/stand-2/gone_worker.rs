//! Case: a worker whose entry is removed shortly after a machine was frozen is used for longer than the
//! time that a worker goes on serving.

use std::{
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, client,
    record::Record,
    store::Store,
    vm::Vm,
    worker::{Kind, Worker},
};

const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Longest freeze of the site files (`node_freeze`, `for_s` 4.0).
const FREEZE: Duration = Duration::from_millis(4_000);
/// Time from the end of the freeze to the removal of the entry.
const REMOVE_AFTER: Duration = Duration::from_millis(1_200);
/// A worker goes on serving for `drain_ms` and a little longer.
const EXIT_AFTER: Duration = Duration::from_millis(2_250);
const ROUNDS: usize = 5;
const CLIENTS: usize = 6;
const WORK_MS: &str = "120";

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-once","host":"site.example","prefix":"/once/","kind":"unsafe",
"timeout_ms":1500,"target_latency_ms":200,"priority":2,"service":"portal","max_attempts":2}],
"services":[{"name":"portal","health_path":"/health","connection_limit":96,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

struct Answer {
    id: String,
    status: u16,
}

pub fn run(folder: &Path, trouble: bool, record: &Record) -> io::Result<Outcome> {
    let store = Store::new();
    store.put("op", "config", Some(CONFIG));
    let kind = Kind {
        service: "portal",
        model: None,
        slots: 6,
        queue: 24,
        event_time: Duration::ZERO,
        kv_tokens: 0,
    };
    let mut workers: Vec<Worker> = (0..3)
        .map(|index| Worker::start(&format!("portal-{index}"), kind.clone(), &store, record))
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
    let vm = &vms[0];
    thread::sleep(Duration::from_secs(1));

    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (stop, number, answers) =
                (Arc::clone(&stop), Arc::clone(&number), Arc::clone(&answers));
            let (front, record) = (vm.front, record.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let id = format!(
                        "{:016x}",
                        0x9c41_0000_0000_0000 + number.fetch_add(1, Ordering::SeqCst)
                    );
                    let more = [("X-Work-Ms", WORK_MS.to_owned())];
                    let left = Duration::from_millis(1_500);
                    record.line(&format!("request {id} sent"));
                    let response = client::post(front, "/once/change", &id, &more, b"change", left);
                    let status = response.map_or(0, |response| response.status());
                    record.line(&format!("request {id} answered {status}"));
                    answers.lock().unwrap().push(Answer { id, status });
                    thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();

    // Entries removed: worker, time of the ack, and end of the freeze before it.
    let mut removed: Vec<(Worker, Instant, Instant)> = Vec::new();
    for round in 0..ROUNDS {
        let spare = Worker::start(&format!("portal-{}", 3 + round), kind.clone(), &store, record)?;
        workers.push(spare);
        thread::sleep(Duration::from_millis(2_500));
        if trouble {
            vm.signal("STOP");
        }
        thread::sleep(FREEZE);
        if trouble {
            vm.signal("CONT");
        }
        let thawed_at = Instant::now();
        thread::sleep(REMOVE_AFTER);
        let worker = workers.remove(0);
        worker.remove_entry();
        let removed_at = Instant::now();
        thread::sleep(EXIT_AFTER);
        worker.exit();
        removed.push((worker, removed_at, thawed_at));
    }
    thread::sleep(Duration::from_millis(1_000));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let answers = answers.lock().unwrap();
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    let (mut late, mut lost) = (0, 0);
    for (worker, removed_at, thawed_at) in &removed {
        let counts_from = (*removed_at + DRAIN).max(*thawed_at + CONTACT);
        for run in worker.runs().iter().filter(|run| run.arrived > counts_from) {
            late += 1;
            let status =
                answers.iter().find(|answer| answer.id == run.id).map_or(0, |answer| answer.status);
            lost += usize::from(status != 200);
            record.line(&format!(
                "request {} reached {} {:.3} s after the ack of its removal, {:.3} s after the freeze; answered {status}",
                run.id, worker.id,
                (run.arrived - *removed_at).as_secs_f64(),
                (run.arrived - *thawed_at).as_secs_f64(),
            ));
        }
    }
    record.say(&format!("{} requests, {served} answered 200", answers.len()));
    record.say(&format!("DRAIN: {late} requests reached a gone worker late; {lost} of them got no answer of the worker"));
    if served * 2 < answers.len() {
        record.say("too few requests were served for a verdict");
        return Ok(Outcome::CouldNotRun);
    }
    Ok(if late > 0 { Outcome::Broken } else { Outcome::Held })
}
