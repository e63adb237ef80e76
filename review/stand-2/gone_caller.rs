//! Case: streams of callers that have left are sent to further engines.

use std::{
    io,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, client, http,
    http::Stream,
    record::Record,
    store::Store,
    vm::Vm,
    worker::{Kind, Worker},
};

/// Six engines, so that one lost engine is within the largest share (0.17) of `srv_crash`.
const ENGINES: usize = 6;
const SLOTS: usize = 16;
const EVENT_TIME: Duration = Duration::from_millis(50);
const EVENTS: &str = "300";
/// One stream for each place.
const CALLERS: usize = ENGINES * SLOTS;
/// Callers leave after a gap of two seconds: more than four times the target latency (400 ms) and
/// eight times the pause that the sheet allows (120 ms).
const GAP: Duration = Duration::from_secs(2);
const BUDGET: Duration = Duration::from_secs(20);
/// Bound of the rule, and the number of requests that counts as a few.
const LATE: Duration = Duration::from_millis(500);
const FEW: usize = 5;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-stream","host":"site.example","prefix":"/stream/","kind":"streaming",
"timeout_ms":20000,"target_latency_ms":400,"priority":0,"service":"engines","max_attempts":4,
"single_version":false,"sticky":true,"resumable":true}],
"services":[{"name":"engines","health_path":"/health","connection_limit":160,"protocol":"h1","tls":false,
"engine":{"slots":16,"kv_cache_tokens":107252,"kv_token_bytes":163840,"link_mbps":5900000.0,"moves":true,"backups":true,
"stride":61,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"model-a"}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Caller that has left, with the time at which it closed its channel.
type Left = (String, Instant);

/// Reads a stream until its end, a gap, or `stop`; returns when the caller left early.
fn read_stream(
    front: std::net::SocketAddr,
    id: &str,
    stop: &AtomicBool,
    record: &Record,
) -> Option<Instant> {
    let headers = [
        ("Host", client::HOST.to_owned()),
        ("X-Filbertsail-Attempt-Id", id.to_owned()),
        ("X-Filbertsail-Deadline-Ms", BUDGET.as_millis().to_string()),
        ("X-Filbertsail-Model", client::MODEL.to_owned()),
        ("X-Filbertsail-Token-Counts", "271,18300".to_owned()),
        ("X-Events", EVENTS.to_owned()),
    ];
    let mut stream = Stream::connect(front, Duration::from_secs(1)).ok()?;
    record.line(&format!("stream {id} sent"));
    http::send(&mut stream, "POST", "/stream/answer", &headers, b"prompt").ok()?;
    stream.socket.set_read_timeout(Some(GAP)).ok()?;
    let head = stream.read_head().ok();
    record.line(&format!("stream {id} answered {}", head.as_ref().map_or(0, |head| head.status())));
    let mut has_left = head.is_none();
    while !has_left && !stop.load(Ordering::SeqCst) {
        match stream.read_chunk() {
            Ok(chunk) if chunk.is_empty() => return None,
            Ok(_) => {}
            Err(error)
                if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
            {
                has_left = true;
            }
            Err(_) => return None,
        }
    }
    drop(stream);
    let left_at = Instant::now();
    record.line(&format!("caller of stream {id} leaves"));
    has_left.then_some(left_at)
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
    for (name, ip) in [("front-a-1", "127.0.0.1"), ("front-a-2", "127.0.0.2")] {
        vms.push(Vm::start(name, ip, store.listen("127.0.0.1")?, folder, record)?);
    }
    if !vms.iter().all(|vm| vm.wait_until_ready(Duration::from_secs(15))) {
        record.say("the machines did not become ready");
        return Ok(Outcome::CouldNotRun);
    }
    thread::sleep(Duration::from_secs(1));

    let stop = Arc::new(AtomicBool::new(false));
    let left: Arc<Mutex<Vec<Left>>> = Arc::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (front, stop, left) = (vms[index % 2].front, Arc::clone(&stop), Arc::clone(&left));
            let record = record.clone();
            thread::sleep(Duration::from_millis(15));
            thread::spawn(move || {
                let id = format!("5c41d07be2a3{index:04x}");
                if let Some(at) = read_stream(front, &id, &stop, &record) {
                    left.lock().unwrap().push((id, at));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if trouble {
        engines[0].crash();
    }
    thread::sleep(Duration::from_secs(9));
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let left = left.lock().unwrap();
    let mut late = 0;
    for run in engines.iter().flat_map(Worker::runs) {
        let Some((_, at)) = left.iter().find(|(id, _)| *id == run.id) else { continue };
        if run.arrived > *at + LATE {
            late += 1;
            record.line(&format!(
                "stream {} reached {} {:.3} s after its caller had left",
                run.id,
                run.worker,
                (run.arrived - *at).as_secs_f64()
            ));
        }
    }
    record.say(&format!("{} of {CALLERS} callers left after a gap", left.len()));
    record.say(&format!(
        "GONE: {late} requests reached an engine over 0.5 s after their callers had left"
    ));
    Ok(if late > FEW { Outcome::Broken } else { Outcome::Held })
}
