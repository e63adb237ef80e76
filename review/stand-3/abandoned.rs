//! Streams whose requester has left while the system looked for another worker.
//!
//! Fifteen streams run on one of nine workers, which crashes. They go on at other workers, whose slots
//! are taken for some seconds by requests of others, and wait in their queues. Two fifths of the
//! requesters leave early, the others after a gap of two seconds. At most a few requests may reach a
//! worker over half a second after their requester has closed its channel.

use std::{
    io,
    ops::Range,
    sync::Arc,
    thread::{self, JoinHandle, sleep},
    time::Duration,
};

use crate::{
    Bed,
    http::Connection,
    json::Json,
    route,
    vm::{self, Vm},
    worker::{Kind, Worker},
};

const ENGINES: usize = 9;
const STREAMS: usize = 15;
/// Requesters that leave early: the largest share of `give_up` in the site files.
const LEAVING: usize = 6;
/// Slots of each engine, as in the small deployment.
const SLOTS: usize = 16;
/// Token counts of a stream of 100 events, which take four seconds, and of a short one.
const TOKEN_COUNTS: &str = "271,6100";
const SHORT_TOKEN_COUNTS: &str = "271,610";
/// Time from the start of the streams to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(600);
/// Time from the start of a stream until its requester leaves, as in `give_up` with x = 900.
const LEAVE_AFTER: Duration = Duration::from_millis(900);
/// Gap after which any requester abandons a stream.
const GAP: Duration = Duration::from_secs(2);
/// Time for which the slots of the other workers are taken.
const OTHERS_BUSY_FOR: Duration = Duration::from_secs(8);
/// Time after the close of the channel from which a request must not reach a worker.
const GONE_AFTER: Duration = Duration::from_millis(500);
/// Requests that may do so: "a few".
const A_FEW: usize = 3;

pub fn run(bed: &mut Bed) -> io::Result<bool> {
    let further: [(&str, Json); 4] = [
        ("timeout_ms", 10_000.into()),
        ("max_attempts", 3.into()),
        ("resumable", true.into()),
        ("sticky", true.into()),
    ];
    let routes = vec![route("stream", "streaming", "kettle-models", &further)];
    bed.store.put("op", "config", &crate::config(routes));
    let mut start_worker = |id: &str| {
        let address = vm::free_address(bed.next_ip())?;
        Worker::start(id, address, "kettle-models", SLOTS, Kind::Engine, &bed.store, &bed.record)
    };
    let first = start_worker("engine-1")?;
    let others: Vec<Arc<Worker>> = (2..=ENGINES)
        .map(|number| start_worker(&format!("engine-{number}")))
        .collect::<io::Result<_>>()?;
    let vm = Arc::clone(&bed.start_vms(1, 140)?[0]);
    // From here on the machine is without disturbance, and in touch three seconds later.
    sleep(Duration::from_secs(4));
    // Short streams, one at each worker, whose answers tell the load. Then the streams begin at the
    // first worker, since most slots of the others are taken.
    others.iter().for_each(|worker| worker.set_taken_by_others(SLOTS - 1));
    join(start_streams(
        bed,
        &vm,
        100..100 + ENGINES,
        SHORT_TOKEN_COUNTS,
        Leave::After(LEAVE_AFTER),
    ))?;
    others.iter().for_each(|worker| worker.set_taken_by_others(SLOTS));
    let leave = Leave::After(LEAVE_AFTER);
    let mut requesters = start_streams(bed, &vm, 0..LEAVING, TOKEN_COUNTS, leave);
    requesters.extend(start_streams(bed, &vm, LEAVING..STREAMS, TOKEN_COUNTS, Leave::Gap(GAP)));
    sleep(CRASH_AFTER);
    if bed.has_trouble {
        bed.record.add("worker crashes", &first.id, "");
        first.crash();
    }
    join(requesters)?;
    sleep(OTHERS_BUSY_FOR);
    others.iter().for_each(|worker| worker.set_taken_by_others(0));
    sleep(Duration::from_secs(3));
    let begun = bed.record.events("runs").into_iter().filter(|it| it.detail == first.id).count();
    if begun <= STREAMS {
        return Err(io::Error::other(format!("only {begun} streams began at {}", first.id)));
    }
    let reached = bed.record.events("reached");
    let late = bed.record.events("left").into_iter().flat_map(|left| {
        let of_stream = reached.iter().filter(move |event| event.subject == left.subject);
        of_stream.filter(move |event| event.at > left.at + GONE_AFTER)
    });
    let late: Vec<_> = late.collect();
    for event in &late {
        bed.record.add("reached after the close", &event.subject, &event.detail);
    }
    println!("{} requests reached a worker over 0.5 s after the close", late.len());
    Ok(late.len() <= A_FEW)
}

/// When a requester leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    /// After this time.
    After(Duration),
    /// After a pause of this length between two events.
    Gap(Duration),
}

type Requester = JoinHandle<io::Result<()>>;

/// Starts requesters that each send a request and leave.
fn start_streams(
    bed: &Bed,
    vm: &Arc<Vm>,
    numbers: Range<usize>,
    token_counts: &'static str,
    leave: Leave,
) -> Vec<Requester> {
    let start = |number: usize| {
        let (vm, record) = (Arc::clone(vm), Arc::clone(&bed.record));
        thread::spawn(move || -> io::Result<()> {
            let id = format!("{number:016x}");
            let mut connection = Connection::open(vm.front, GAP)?;
            let headers = [
                ("X-Filbertsail-Attempt-Id", id.as_str()),
                ("X-Filbertsail-Deadline-Ms", "10000"),
                ("X-Filbertsail-Model", "lm"),
                ("X-Filbertsail-Token-Counts", token_counts),
            ];
            record.add("sent", &id, &vm.name);
            connection.send(("POST", "/stream/a"), &headers, b"")?;
            match leave {
                Leave::After(time) => connection.drain_for(time),
                Leave::Gap(gap) => while connection.drain_once(gap) {},
            }
            drop(connection);
            record.add("left", &id, "");
            Ok(())
        })
    };
    numbers.map(start).collect()
}

fn join(requesters: Vec<Requester>) -> io::Result<()> {
    for requester in requesters {
        requester.join().map_err(|_| io::Error::other("a requester failed"))??;
    }
    Ok(())
}
