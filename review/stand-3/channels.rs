//! Kept channels of requesters on the machines that are left after a loss.
//!
//! Requesters keep a channel open each and send a request on it now and then. Half of the machines
//! are lost for good, and their requesters come back at the others. These must bear it: a process
//! must not exceed the memory of its machine.

use std::{
    collections::BTreeMap,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Bed,
    http::Connection,
    record::Record,
    route,
    vm::{self, Vm},
    worker::{Kind, Worker},
};

/// Machines, of which half are lost.
const MACHINES: usize = 4;
const LOST: usize = 2;
/// Memory of a machine of the deployment, in megabytes.
const MEMORY_MB: u64 = 140;
/// Requesters, spread evenly. After the loss each machine has 2,800 of their channels, about a third
/// of its 8,200 descriptors.
const REQUESTERS: usize = 5_600;
const THREADS: usize = 16;
/// Time after which a requester sends its next request, below four fifths of the idle limit.
const REQUEST_INTERVAL: Duration = Duration::from_secs(10);
/// Time after which a requester comes back after a failure, and the time budget of a request.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
const TIME_BUDGET: Duration = Duration::from_millis(1_500);
/// Time for which the machines are watched before and after the loss.
const BEFORE: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(60);
/// A process that ends by itself this often, on this many machines, breaks the rule.
const ENDS: usize = 3;
const ENDING_MACHINES: usize = 2;

pub fn run(bed: &mut Bed) -> io::Result<bool> {
    let further = [("timeout_ms", 1_500.into()), ("max_attempts", 2.into())];
    bed.store.put(
        "op",
        "config",
        &crate::config(vec![route("desk", "safe", "kauppa-app", &further)]),
    );
    for number in 1..=4 {
        let address = vm::free_address(bed.next_ip())?;
        let (id, kind) = (format!("app-{number}"), Kind::Plain { work: Duration::from_millis(2) });
        Worker::start(&id, address, "kauppa-app", 6, kind, &bed.store, &bed.record)?;
    }
    let vms = Arc::new(bed.start_vms(MACHINES, MEMORY_MB)?);
    vms.iter().for_each(Vm::supervise);
    let crowd = Arc::new(Crowd::default());
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let (vms, crowd, record) =
                (Arc::clone(&vms), Arc::clone(&crowd), Arc::clone(&bed.record));
            thread::spawn(move || crowd.play(thread, &vms, &record))
        })
        .collect();
    watch(&vms, &crowd, &bed.record, BEFORE);
    if !bed.record.events("process ended").is_empty() || crowd.connected() < REQUESTERS {
        return Err(io::Error::other("the requesters could not all connect before the loss"));
    }
    if bed.has_trouble {
        vms[..LOST].iter().for_each(|vm| vm.remove());
    }
    watch(&vms, &crowd, &bed.record, AFTER);
    crowd.is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().map_err(|_| io::Error::other("a requester failed"))?;
    }
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for event in bed.record.events("process ended") {
        *ends.entry(event.subject).or_default() += 1;
    }
    println!("processes that ended by themselves: {ends:?}");
    Ok(ends.values().filter(|count| **count >= ENDS).count() < ENDING_MACHINES)
}

/// Records the memory of the machines and the number of channels each second.
fn watch(vms: &[Arc<Vm>], crowd: &Crowd, record: &Record, time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        sleep(Duration::from_secs(1));
        let memory: Vec<String> =
            vms.iter().map(|vm| vm.memory_mb().map_or("-".into(), |mb| mb.to_string())).collect();
        let (served, failed) =
            (crowd.served.load(Ordering::SeqCst), crowd.failed.load(Ordering::SeqCst));
        let state = format!("{} channels, {served} served, {failed} failed", crowd.connected());
        record.add("memory", &format!("{} MB", memory.join(" ")), &state);
    }
}

/// Requesters with a kept channel each.
#[derive(Default)]
struct Crowd {
    open: AtomicUsize,
    served: AtomicUsize,
    failed: AtomicUsize,
    is_over: AtomicBool,
}

impl Crowd {
    fn connected(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Plays every [`THREADS`]th requester in turn.
    fn play(&self, thread: usize, vms: &[Arc<Vm>], record: &Record) {
        let mut requesters: Vec<Requester> = Vec::new();
        requesters.resize_with(REQUESTERS / THREADS, Requester::default);
        // The platform asks the machines each second, and sends new channels to those that are ready.
        let (mut ready, mut asked_at): (Vec<&Arc<Vm>>, Option<Instant>) = (Vec::new(), None);
        let mut next = thread;
        while !self.is_over.load(Ordering::SeqCst) {
            if asked_at.is_none_or(|at| at.elapsed() > Duration::from_secs(1)) {
                ready = vms.iter().filter(|vm| vm.is_ready()).collect();
                asked_at = Some(Instant::now());
            }
            for (number, requester) in requesters.iter_mut().enumerate() {
                if self.is_over.load(Ordering::SeqCst) {
                    break;
                }
                if requester.due.is_some_and(|due| due > Instant::now()) {
                    continue;
                }
                next += 1;
                let vm = ready.get(next % ready.len().max(1));
                let was_open = requester.channel.is_some();
                let id = format!("{thread:08x}{number:08x}");
                let (count, pause) = match requester.send(&id, vm.map(|vm| vm.as_ref())) {
                    Ok(200) => (&self.served, REQUEST_INTERVAL),
                    _ => (&self.failed, RETRY_INTERVAL),
                };
                count.fetch_add(1, Ordering::SeqCst);
                requester.due = Some(Instant::now() + pause);
                match (was_open, requester.channel.is_some()) {
                    (false, true) => self.open.fetch_add(1, Ordering::SeqCst),
                    (true, false) => self.open.fetch_sub(1, Ordering::SeqCst),
                    _ => 0,
                };
            }
            sleep(Duration::from_millis(20));
        }
        record.add("requesters end", &format!("thread {thread}"), "");
    }
}

/// Requester with its kept channel.
#[derive(Default)]
struct Requester {
    channel: Option<Connection>,
    /// When it sends its next request; at once if absent.
    due: Option<Instant>,
}

impl Requester {
    /// Sends a request on the kept channel, or on a new one to `vm`; returns the status of the
    /// answer. The channel is kept after an answer.
    fn send(&mut self, id: &str, vm: Option<&Vm>) -> io::Result<u16> {
        let mut channel = match (self.channel.take(), vm) {
            (Some(channel), _) => channel,
            (None, Some(vm)) => Connection::open(vm.front, TIME_BUDGET)?,
            (None, None) => return Err(io::ErrorKind::NotConnected.into()),
        };
        let headers = [("X-Filbertsail-Attempt-Id", id), ("X-Filbertsail-Deadline-Ms", "1500")];
        let answer = channel.call(("POST", "/desk/sheet"), &headers, b"batch sheet")?;
        self.channel = Some(channel);
        Ok(answer.status())
    }
}
