//! An engine is cut off from all machines for some seconds while a step begins. Its items run
//! elsewhere, and the trainer ends the step. The requests that were under way to the engine arrive
//! there seconds after the cut has ended, since the machine closed their connections and did not reset
//! them.
//!
//! An item that reaches an engine later than `cancel_ms` after the acknowledged end of its batch
//! submission and runs there breaks the rule, unless the link was harmed in the last `contact_ms`.

use std::{
    collections::BTreeSet,
    io,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Place, Verdict,
    proxy::Proxy,
    store::Store,
    vm::{Step, Vm, config},
    worker::{Engine, Manner},
};

/// Duration of the cut; the site's longest is 12 s.
const CUT: Duration = Duration::from_millis(7_000);
/// Engines, of which one is cut off: a fifth.
const ENGINES: u8 = 5;
/// Bounds of the rule.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;
/// Time budget of a step.
const TIME_BUDGET: Duration = Duration::from_secs(12);
/// Time between two reads of results.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the begin of the cut at which the run ends.
const WATCH: Duration = Duration::from_secs(16);

pub fn run(place: &Place) -> io::Result<Verdict> {
    let record = &place.record;
    let store = Store::start(place.address(250, 8266))?;
    store.put("op", "config", &config(40));
    let proxy = Proxy::start(place.address(100, 8080), place.address(200, 8080))?;
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let public = place.address(100 + index, 8080);
        // The first engine is reached through the proxy, and is one of those that do not look whether
        // a caller is still there before they begin.
        let (listen, manner) = match index {
            0 => (place.address(200, 8080), Manner::LooksLate),
            _ => (public, Manner::Looks),
        };
        let id = format!("e-{index}");
        engines.push(Engine::start_behind(&id, "perth-a", listen, public, manner, &store, record)?);
    }
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
    // After this step, the machine keeps connections to all engines.
    play(
        place,
        &vms,
        &Step { id: "5e0a".to_owned(), number: 0, groups: 12, group_size: 4, events: 24 },
    )?;
    let start = Instant::now();
    if place.has_trouble {
        record.line("e-0 is cut off from all machines");
        proxy.cut();
    }
    let step = Step { id: "5e1b".to_owned(), number: 1, groups: 12, group_size: 4, events: 24 };
    let ended_ms = play(place, &vms, &step)?;
    sleep(CUT.saturating_sub(start.elapsed()));
    let healed_ms = record.now_ms();
    if place.has_trouble {
        record.line("the cut ends");
        proxy.heal();
    }
    sleep(WATCH.saturating_sub(start.elapsed()));
    let runs: Vec<_> = engines.iter().flat_map(Engine::runs).collect();
    let is_late = |began_ms: u64| {
        began_ms > ended_ms + CANCEL_MS && (!place.has_trouble || began_ms > healed_ms + CONTACT_MS)
    };
    let late: Vec<_> =
        runs.iter().filter(|run| run.item.starts_with("5e1b") && is_late(run.began_ms)).collect();
    for run in &late {
        let after_ms = run.began_ms - ended_ms;
        record.line(format!(
            "{} ran at {} {after_ms} ms after the end of its batch",
            run.item, run.engine
        ));
    }
    let summary = format!(
        "{} runs; {} items began to run more than {CANCEL_MS} ms after the acknowledged end of their batch",
        runs.len(),
        late.len()
    );
    record.line(&summary);
    println!("{summary}");
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Posts a step, reads its results and ends it; returns when the end was acknowledged.
fn play(place: &Place, vms: &[Vm], step: &Step) -> io::Result<u64> {
    let record = &place.record;
    let answer = step.post(&vms[0], record)?;
    if answer.status != 202 {
        return Err(io::Error::other(format!("status {} to a post", answer.status)));
    }
    let start = Instant::now();
    let mut listed = BTreeSet::new();
    while listed.len() < step.size() && start.elapsed() < TIME_BUDGET {
        match step.read(&vms[1], listed.len()) {
            Ok(results) => listed.extend(results.into_iter().map(|(item, _)| item)),
            Err(error) => record.line(format!("read failed: {error}")),
        }
        sleep(READ_INTERVAL);
    }
    record.line(format!("{} of {} items of {} are listed", listed.len(), step.size(), step.id));
    let answer = step.end(&vms[1], record)?;
    let ended_ms = record.now_ms();
    match answer.status {
        200 => Ok(ended_ms),
        status => Err(io::Error::other(format!("status {status} to an end"))),
    }
}
