//! A worker that leaves just after a machine was frozen.
//!
//! One machine is frozen for four seconds. A second and a half after it runs again, a worker leaves
//! without reporting it: its entry is removed while the store is undisturbed, and it serves on for
//! some seconds. No request that the machine takes once it is in touch may reach the worker later
//! than `drain_ms` after the removal.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Bed,
    http::Connection,
    record::Record,
    route,
    vm::{self, Vm},
    worker::{Kind, Worker},
};

const MACHINES: usize = 3;
const WORKERS: usize = 4;
/// Length of the freeze, as in the site files.
const FREEZE: Duration = Duration::from_secs(4);
/// Time from the end of the freeze until the worker leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(1_620);
/// Bounds of the deployment.
const CONTACT: Duration = Duration::from_secs(3);
const DRAIN: Duration = Duration::from_secs(2);
/// Requesters, each with a request every 100 ms.
const REQUESTERS: usize = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

pub fn run(bed: &mut Bed) -> io::Result<bool> {
    let further = [("timeout_ms", 1_500.into()), ("max_attempts", 2.into())];
    bed.store.put(
        "op",
        "config",
        &crate::config(vec![route("desk", "safe", "kauppa-app", &further)]),
    );
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let (id, address) = (format!("app-{number}"), vm::free_address(bed.next_ip())?);
        let kind = Kind::Plain { work: Duration::from_millis(25) };
        workers.push(Worker::start(&id, address, "kauppa-app", 6, kind, &bed.store, &bed.record)?);
    }
    let vms = bed.start_vms(MACHINES, 140)?;
    sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicUsize::new(0));
    let requesters: Vec<_> = (0..REQUESTERS)
        .map(|_| {
            let (vm, record) = (Arc::clone(&vms[0]), Arc::clone(&bed.record));
            let (is_over, numbers) = (Arc::clone(&is_over), Arc::clone(&numbers));
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    send(&vm, &format!("{:016x}", numbers.fetch_add(1, Ordering::SeqCst)), &record);
                    sleep(REQUEST_INTERVAL);
                }
            })
        })
        .collect();
    sleep(Duration::from_secs(1));
    if bed.has_trouble {
        vms[0].signal("STOP")?;
        sleep(FREEZE);
        vms[0].signal("CONT")?;
    }
    let in_touch_at = bed.record.elapsed() + CONTACT;
    sleep(LEAVES_AFTER);
    workers[0].leave_silently(&bed.store);
    let gone_at = bed.record.elapsed();
    sleep(Duration::from_secs(5));
    is_over.store(true, Ordering::SeqCst);
    for requester in requesters {
        requester.join().map_err(|_| io::Error::other("a requester failed"))?;
    }
    let reached = bed.record.events("reached").into_iter().filter(|it| it.detail == workers[0].id);
    let sent = bed.record.events("sent");
    let late: Vec<_> = reached
        .filter(|event| event.at > gone_at + DRAIN)
        .filter(|event| sent.iter().any(|it| it.subject == event.subject && it.at >= in_touch_at))
        .collect();
    for event in &late {
        bed.record.add("reached a worker that is gone", &event.subject, &event.detail);
    }
    let last = late.last().map_or(0, |event| (event.at - gone_at).as_millis());
    println!("{} requests reached the worker, the last {last} ms after its removal", late.len());
    if bed.record.events("answered").is_empty() {
        return Err(io::Error::other("no request was answered"));
    }
    Ok(late.is_empty())
}

/// Sends a request on a new channel.
fn send(vm: &Vm, id: &str, record: &Record) {
    let outcome =
        Connection::open(vm.front, Duration::from_millis(1_500)).and_then(|mut channel| {
            let headers = [("X-Filbertsail-Attempt-Id", id), ("X-Filbertsail-Deadline-Ms", "1500")];
            record.add("sent", id, &vm.name);
            channel.call(("POST", "/desk/sheet"), &headers, b"batch sheet")
        });
    match outcome {
        Ok(answer) => record.add("answered", id, &answer.status().to_string()),
        Err(error) => record.add("not answered", id, &error.to_string()),
    }
}
