//! Bodies of items that several requesters read at once from machines that do not run the batch.
//!
//! A batch submission of 27 MB, within the limit of the configuration, waits for its workers. Some
//! requesters read the bodies of its items, eight at once at each of two machines that do not run
//! it. A process must not exceed the memory of its machine.

use std::{
    collections::BTreeMap,
    io,
    sync::Arc,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Bed, batch,
    http::Connection,
    record::Record,
    vm::{self, Vm},
    worker::{Kind, Worker},
};

const MACHINES: usize = 3;
/// Memory of a machine of the deployment, in megabytes.
const MEMORY_MB: u64 = 140;
const BATCH: &str = "7c41e09b52d6a3f8";
/// Items of a step of the deployment, 9 groups of 8, and the bytes of a body.
const ITEMS: usize = 72;
const BODY_BYTES: usize = 280_000;
/// Requesters that read at the same time at one machine.
const READERS: usize = 8;
/// Time between two rounds, also after a failure.
const READ_INTERVAL: Duration = Duration::from_secs(1);
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which bodies are read.
const READING: Duration = Duration::from_secs(32);
/// A process that ends by itself this often, on this many machines, breaks the rule.
const ENDS: usize = 3;
const ENDING_MACHINES: usize = 2;

pub fn run(bed: &mut Bed) -> io::Result<bool> {
    bed.store.put("op", "config", &crate::config(vec![batch::route()]));
    for number in 1..=3 {
        let (id, address) = (format!("engine-{number}"), vm::free_address(bed.next_ip())?);
        let (store, record) = (&bed.store, &bed.record);
        let engine = Worker::start(&id, address, "kettle-models", 16, Kind::Engine, store, record)?;
        // All slots are taken by requests of others, so the items wait and their bodies are not
        // given up by a result.
        engine.set_taken_by_others(16);
    }
    let vms = bed.start_vms(MACHINES, MEMORY_MB)?;
    vms.iter().for_each(Vm::supervise);
    sleep(Duration::from_secs(4));
    batch::submit(bed, &vms[0], BATCH, ITEMS, BODY_BYTES)?;
    // Without the disruption, one requester reads after the other.
    let together = if bed.has_trouble { READERS } else { 1 };
    let machines: Vec<_> = vms[1..]
        .iter()
        .map(|vm| {
            let (vm, record) = (Arc::clone(vm), Arc::clone(&bed.record));
            thread::spawn(move || read_bodies(&vm, together, &record))
        })
        .collect();
    for machine in machines {
        machine.join().map_err(|_| io::Error::other("the requesters failed"))?;
    }
    for vm in &vms {
        let memory = vm.memory_mb().map_or("-".to_owned(), |mb| mb.to_string());
        bed.record.add("memory", &vm.name, &format!("{memory} MB"));
    }
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for event in bed.record.events("process ended") {
        *ends.entry(event.subject).or_default() += 1;
    }
    let reads = bed.record.events("body read");
    let given = reads.iter().filter(|read| read.detail.starts_with("200")).count();
    println!(
        "{given} of {} bodies given; processes that ended by themselves: {ends:?}",
        reads.len()
    );
    if reads.is_empty() || (ends.is_empty() && given < reads.len()) {
        return Err(io::Error::other("bodies could not be read"));
    }
    Ok(ends.values().filter(|count| **count >= ENDS).count() < ENDING_MACHINES)
}

/// Reads bodies at one machine in rounds of `together` requesters.
fn read_bodies(vm: &Arc<Vm>, together: usize, record: &Arc<Record>) {
    let until = Instant::now() + READING;
    let mut items = (0..ITEMS).cycle();
    while Instant::now() < until {
        let readers: Vec<_> = items
            .by_ref()
            .take(together)
            .map(|item| {
                let (vm, record) = (Arc::clone(vm), Arc::clone(record));
                thread::spawn(move || {
                    let outcome = match read_body(&vm, item) {
                        Ok((status, bytes)) => format!("{status} with {bytes} bytes"),
                        Err(error) => format!("no answer: {error}"),
                    };
                    record.add("body read", &format!("item {item}"), &outcome);
                })
            })
            .collect();
        for reader in readers {
            // A reader that panicked has recorded nothing.
            let _ = reader.join();
        }
        sleep(READ_INTERVAL);
    }
}

/// Reads the body of an item; returns the status and the length of the answer.
fn read_body(vm: &Vm, number: usize) -> io::Result<(u16, usize)> {
    let path = format!("/-/items/{BATCH}?id={}", batch::item_id(BATCH, number));
    let mut connection = Connection::open(vm.front, READ_TIMEOUT)?;
    let answer = connection.call(("GET", &path), &[], b"")?;
    Ok((answer.status(), answer.body.len()))
}
