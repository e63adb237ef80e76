//! A VM is frozen, wakes and accepts a batch submission, which another VM runs.
//!
//! Items may be given up `max_queue_s` after the submission. An item that is listed as dead sooner,
//! although its step has not ended, its route exists and no engine has answered 422 or 500, breaks
//! the rule.

use std::{
    collections::BTreeMap,
    io,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Place, Verdict,
    http::Answer,
    store::Store,
    vm::{Step, Vm, config},
    worker::Engine,
};

/// Time after which an item may be given up (`max_queue_s` of the route).
const MAX_QUEUE_S: u64 = 10;
/// Time for which the VM is frozen; the site's largest is 4 s.
const FREEZE: Duration = Duration::from_millis(3_500);
/// Interval and time limit of the load balancer's readiness checks.
const READINESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time budget of the trainer, after which it ends the step.
const TIME_BUDGET: Duration = Duration::from_secs(12);
/// Time between two reads of results.
const READ_INTERVAL: Duration = Duration::from_millis(500);

pub fn run(place: &Place) -> io::Result<Verdict> {
    let record = &place.record;
    let store = Store::start(place.address(250, 8266))?;
    store.put("op", "config", &config(MAX_QUEUE_S));
    let engine = place.address(100, 8080);
    Engine::start("e-1", "perth-a", engine, &store, record)?;
    let vms: Vec<Vm> = (1..=3)
        .map(|index| {
            let name = format!("front-perth-a-{index}");
            Vm::start(
                &place.program,
                &place.folder,
                &name,
                place.ip(index),
                place.address(250, 8266),
            )
        })
        .collect::<io::Result<_>>()?;
    vms.iter().try_for_each(Vm::wait_ready)?;
    sleep(Duration::from_secs(2));
    // The step before, which is open, makes the second VM the owner of the next one too.
    let first = Step { id: "5e0a".to_owned(), number: 0, groups: 4, group_size: 4, events: 24 };
    expect_accepted(first.post(&vms[1], record)?)?;
    sleep(Duration::from_secs(2));
    let waking = &vms[0];
    let freeze = place.has_trouble.then_some(FREEZE);
    if freeze.is_some() {
        record.line(format!("{} is frozen", waking.name));
        waking.signal("STOP")?;
    }
    wait_in_rotation(place, waking, freeze)?;
    // A step of the usual size takes 13 s on one engine, so that some items wait until the end.
    let step = Step { id: "5e1b".to_owned(), number: 1, groups: 54, group_size: 4, events: 24 };
    let sent = Instant::now();
    expect_accepted(step.post(waking, record)?)?;
    let mut states: BTreeMap<String, u64> = BTreeMap::new();
    let (mut position, mut early_dead) = (0, 0);
    while sent.elapsed() < TIME_BUDGET {
        match step.read(&vms[2], position) {
            Ok(results) => {
                let age_ms = sent.elapsed().as_millis() as u64;
                position += results.len();
                for (item, state) in results {
                    record.line(format!(
                        "{item} is listed as {state} {age_ms} ms after the submission"
                    ));
                    early_dead += usize::from(state == "dead" && age_ms < MAX_QUEUE_S * 1_000);
                    *states.entry(state).or_default() += 1;
                }
            }
            Err(error) => record.line(format!("read failed: {error}")),
        }
        sleep(READ_INTERVAL);
    }
    // A failed end changes nothing that is checked here.
    let _ = (step.end(&vms[2], record), first.end(&vms[2], record));
    let summary = format!("results: {states:?}; dead before {MAX_QUEUE_S} s: {early_dead}");
    record.line(&summary);
    println!("{summary}");
    Ok(if early_dead > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Wakes the VM after `freeze`, and waits until the load balancer sends new channels there: once a
/// second it asks for readiness, and after two misses it waits for an answer with 200.
fn wait_in_rotation(place: &Place, vm: &Vm, freeze: Option<Duration>) -> io::Result<()> {
    let start = Instant::now();
    std::thread::scope(|scope| {
        let woken = scope.spawn(|| -> io::Result<()> {
            let Some(freeze) = freeze else { return Ok(()) };
            sleep(freeze);
            place.record.line(format!("{} wakes", vm.name));
            vm.signal("CONT")
        });
        loop {
            let asked = Instant::now();
            let is_ready = vm.is_ready(READINESS_INTERVAL);
            if is_ready && freeze.is_none_or(|freeze| start.elapsed() >= freeze) {
                place.record.line(format!("{} answers 200 to a readiness check", vm.name));
                break;
            }
            sleep(READINESS_INTERVAL.saturating_sub(asked.elapsed()));
        }
        woken.join().map_err(|_| io::Error::other("thread failed"))?
    })
}

fn expect_accepted(answer: Answer) -> io::Result<()> {
    match answer.status {
        202 => Ok(()),
        status => Err(io::Error::other(format!("status {status} to a post"))),
    }
}
