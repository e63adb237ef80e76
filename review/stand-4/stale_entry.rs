//! A worker is partitioned from the store for some seconds, and leaves soon after. The entry that it
//! sent when the partition began is still on its way, and reaches the store later than the report
//! that it drains.
//!
//! The older entry says `ready` and has a lower `sequence`. A request that reaches the worker later
//! than `drain_ms` after the store had acknowledged `draining` breaks the rule.

use std::{
    io,
    sync::atomic::{AtomicBool, Ordering},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Place, Verdict,
    portal::{Portal, State},
    proxy::RETRANSMISSIONS_MS,
    store::Store,
    vm::{PortalRequest, Vm, config, request_portal},
};

/// Interval of the workers' entries (`heartbeat_ms`).
const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Silence after which the platform removes an entry: three intervals.
const REMOVAL_DELAY: Duration = Duration::from_millis(3_600);
/// Zones of the workers, of which the first one is partitioned: a fifth, within the site's share.
const ZONES: [&str; 5] = ["perth-a", "perth-b", "perth-c", "perth-b", "perth-c"];
/// Duration of the partition; the site's longest is 10 s.
const PARTITION: Duration = Duration::from_millis(8_500);
/// Time from the end of the partition until the worker reports that it drains.
const LEAVE_DELAY: Duration = Duration::from_millis(400);
/// Time for which it serves after that report.
const SERVE_TIME: Duration = Duration::from_millis(8_000);
/// Bound of the rule.
const DRAIN_MS: u64 = 2_000;
/// Work of a request, and the pause of each requester between two.
const WORK_MS: u64 = 25;
const REQUEST_PAUSE: Duration = Duration::from_millis(300);
const REQUESTERS: usize = 2;

pub fn run(place: &Place) -> io::Result<Verdict> {
    let record = &place.record;
    let store = Store::start(place.address(250, 8266))?;
    store.put("op", "config", &config(40));
    let portals: Vec<Portal> = ZONES
        .iter()
        .zip(101..)
        .map(|(zone, host)| {
            Portal::start(&format!("i-{host}"), zone, place.address(host, 8080), record)
        })
        .collect::<io::Result<_>>()?;
    portals.iter().for_each(|it| store.put("servers", &it.id, &it.entry(State::Ready)));
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
    let (leaver, others) = (&portals[0], &portals[1..]);
    let stops = AtomicBool::new(false);
    let (requests, drained_ms) = thread::scope(|scope| {
        let requesters: Vec<_> = (0..REQUESTERS)
            .map(|_| {
                scope.spawn(|| {
                    let mut sent = Vec::new();
                    while !stops.load(Ordering::SeqCst) {
                        match request_portal(&vms[0], WORK_MS, record) {
                            Ok(request) => sent.push(request),
                            Err(error) => record.line(format!("request failed: {error}")),
                        }
                        sleep(REQUEST_PAUSE);
                    }
                    sent
                })
            })
            .collect();
        scope.spawn(|| {
            while !stops.load(Ordering::SeqCst) {
                others.iter().for_each(|it| store.put("servers", &it.id, &it.entry(State::Ready)));
                sleep(BEAT_INTERVAL);
            }
        });
        let drained_ms = leave(place, &store, leaver);
        stops.store(true, Ordering::SeqCst);
        let mut requests: Vec<PortalRequest> = Vec::new();
        for requester in requesters {
            requests.extend(requester.join().unwrap_or_default());
        }
        (requests, drained_ms)
    });
    let is_late =
        |it: &&PortalRequest| it.sent_ms > drained_ms + DRAIN_MS && leaver.has_run(&it.id);
    let late: Vec<_> = requests.iter().filter(is_late).collect();
    for request in &late {
        let after_ms = request.sent_ms - drained_ms;
        record.line(format!(
            "{} was sent {after_ms} ms after the acknowledgement and ran there",
            request.id
        ));
    }
    let before =
        requests.iter().filter(|it| it.sent_ms < drained_ms && leaver.has_run(&it.id)).count();
    let summary = format!(
        "{} requests; {before} ran at {} before it reported that it drains, {} reached it more than \
         {DRAIN_MS} ms after the acknowledgement of that",
        requests.len(),
        leaver.id,
        late.len()
    );
    record.line(&summary);
    println!("{summary}");
    if before == 0 {
        return Err(io::Error::other("the worker was not used before"));
    }
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Plays the entries of the worker that leaves; returns when its report was acknowledged.
fn leave(place: &Place, store: &Store, leaver: &Portal) -> u64 {
    let record = &place.record;
    for _ in 0..3 {
        store.put("servers", &leaver.id, &leaver.entry(State::Ready));
        sleep(BEAT_INTERVAL);
    }
    let start = Instant::now();
    let at = |time: Duration| sleep(time.saturating_sub(start.elapsed()));
    let held = leaver.entry(State::Ready);
    if place.has_trouble {
        record.line(format!(
            "{} is partitioned from the store; an entry of it is on its way",
            leaver.id
        ));
        at(REMOVAL_DELAY - BEAT_INTERVAL);
        record.line(format!("the platform removes the entry of {}", leaver.id));
        store.delete("servers", &leaver.id);
        at(PARTITION);
        record.line("the partition ends");
    } else {
        while start.elapsed() < PARTITION {
            store.put("servers", &leaver.id, &leaver.entry(State::Ready));
            sleep(BEAT_INTERVAL);
        }
    }
    at(PARTITION + LEAVE_DELAY);
    leaver.leave();
    store.put("servers", &leaver.id, &leaver.entry(State::Draining));
    let drained_ms = record.now_ms();
    record.line(format!("the store acknowledges that {} drains", leaver.id));
    // The first retransmission after the partition brings the held bytes to the store.
    let arrival =
        RETRANSMISSIONS_MS.map(Duration::from_millis).into_iter().find(|it| *it > PARTITION);
    let mut arrival = arrival.filter(|_| place.has_trouble);
    let mut next_beat = PARTITION + LEAVE_DELAY + BEAT_INTERVAL;
    while start.elapsed() < PARTITION + LEAVE_DELAY + SERVE_TIME {
        if arrival.is_some_and(|arrival| arrival < next_beat) {
            at(arrival.take().unwrap_or_default());
            record.line(format!(
                "the entry that {} sent before the partition reaches the store",
                leaver.id
            ));
            store.put("servers", &leaver.id, &held);
        } else {
            at(next_beat);
            store.put("servers", &leaver.id, &leaver.entry(State::Draining));
            next_beat += BEAT_INTERVAL;
        }
    }
    store.delete("servers", &leaver.id);
    drained_ms
}
