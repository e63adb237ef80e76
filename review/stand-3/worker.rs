//! Stand-in of a worker: a plain service or a model engine with slots and a queue.

use std::{
    io::{self, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Message},
    json::{Json, object},
    record::Record,
    store::Store,
};

/// Time between two heartbeats, as in the settings of the deployment.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Heartbeats of silence after which the entry of a worker is removed.
const MISSED_HEARTBEATS: u32 = 3;
/// Time between two looks at the slots and at the channel of a queued request.
const QUEUE_POLL: Duration = Duration::from_millis(10);
/// Time between two events of a stream, and the tokens of an event.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
const TOKENS_PER_EVENT: u64 = 61;

/// What the worker does.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Answers each request after this time.
    Plain { work: Duration },
    /// Streams an event for each 61 output tokens.
    Engine,
}

/// Slots that are taken.
#[derive(Clone, Copy, Debug, Default)]
struct Taken {
    /// By requests of this test.
    running: usize,
    /// By requests of others.
    others: usize,
}

impl Taken {
    fn total(self) -> usize {
        self.running + self.others
    }
}

pub struct Worker {
    pub id: String,
    address: SocketAddr,
    service: &'static str,
    kind: Kind,
    slots: usize,
    taken: Mutex<Taken>,
    has_crashed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    started_ms: u64,
    sequence: AtomicU64,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a worker and registers it.
    pub fn start(
        id: &str,
        address: SocketAddr,
        service: &'static str,
        slots: usize,
        kind: Kind,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address,
            service,
            kind,
            slots,
            taken: Mutex::default(),
            has_crashed: AtomicBool::new(false),
            connections: Mutex::default(),
            started_ms: since.as_millis() as u64,
            sequence: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        http::serve(address, Arc::clone(&worker), |worker, stream| worker.serve(stream))?;
        let (beating, store) = (Arc::clone(&worker), Arc::clone(store));
        thread::spawn(move || {
            while !beating.has_crashed.load(Ordering::SeqCst) {
                store.put("servers", &beating.id, &beating.entry());
                sleep(HEARTBEAT);
            }
            sleep(HEARTBEAT * (MISSED_HEARTBEATS - 1));
            store.remove("servers", &beating.id);
        });
        Ok(worker)
    }

    /// Sets the number of slots that requests of others take.
    pub fn set_taken_by_others(&self, slots: usize) {
        self.taken.lock().unwrap().others = slots;
    }

    /// Ends the worker like a crash: all its channels break.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn entry(&self) -> Json {
        let models = object([("name", "lm".into()), ("version", 1.into())]);
        object([
            ("service", self.service.into()),
            ("address", self.address.to_string().into()),
            ("zone", "tampere-a".into()),
            ("version", "v1".into()),
            ("slots", (self.slots as u64).into()),
            ("state", "ready".into()),
            ("cold_remaining_ms", 0.into()),
            ("stage", "both".into()),
            ("models", vec![models].into()),
            ("sequence", self.sequence.fetch_add(1, Ordering::SeqCst).into()),
            ("born", self.started_ms.into()),
        ])
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        if self.has_crashed.load(Ordering::SeqCst) {
            return Ok(());
        }
        self.connections.lock().unwrap().push(stream.try_clone()?);
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_message(&mut reader)? {
            let expected = request.header("x-filbertsail-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                http::respond(&stream, 421, &[("X-Filbertsail-Instance-Id", &self.id)], b"")?;
            } else if request.first.1 == "/-/report" {
                http::respond(&stream, 200, &[], self.report().to_string().as_bytes())?;
            } else {
                self.run(&stream, &request)?;
            }
        }
        Ok(())
    }

    fn report(&self) -> Json {
        let models = object([("name", "lm".into()), ("version", 1.into())]);
        object([
            ("stage", "both".into()),
            ("models", vec![models].into()),
            ("busy", false.into()),
            ("sequence", 0.into()),
            ("born", self.started_ms.into()),
        ])
    }

    fn run(&self, stream: &TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("x-filbertsail-attempt-id").unwrap_or_default();
        self.record.add("reached", id, &self.id);
        self.take_slot(stream, id)?;
        self.record.add("runs", id, &self.id);
        let result = self.answer(stream, request, id);
        self.taken.lock().unwrap().running -= 1;
        self.record.add("ends", id, &self.id);
        result
    }

    /// Waits in the queue for a slot; fails if the channel closes, which drops the request.
    fn take_slot(&self, stream: &TcpStream, id: &str) -> io::Result<()> {
        loop {
            {
                let mut taken = self.taken.lock().unwrap();
                if taken.total() < self.slots {
                    taken.running += 1;
                    return Ok(());
                }
            }
            sleep(QUEUE_POLL);
            stream.set_nonblocking(true)?;
            let peeked = stream.peek(&mut [0]);
            stream.set_nonblocking(false)?;
            match peeked {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(1) => {}
                _ => {
                    self.record.add("left the queue", id, &self.id);
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
            }
        }
    }

    fn answer(&self, mut stream: &TcpStream, request: &Message, id: &str) -> io::Result<()> {
        let load = format!("{},0,{}", self.taken.lock().unwrap().total(), self.slots);
        let stamp = format!("{}.{id}", self.id);
        let headers = [
            ("X-Filbertsail-Attempt-Id", id),
            ("X-Filbertsail-Server-Stamp", &stamp),
            ("X-Filbertsail-Server-Load", &load),
            ("X-Filbertsail-Weight-Versions", "1"),
        ];
        if let Kind::Plain { work } = self.kind {
            sleep(work);
            return http::respond(stream, 200, &headers, b"done");
        }
        let counts = request.header("x-filbertsail-token-counts").and_then(|it| it.split_once(','));
        let tokens: u64 = counts.and_then(|(_, output)| output.parse().ok()).unwrap_or(0);
        let events = tokens / TOKENS_PER_EVENT;
        let mut head = "HTTP/1.1 200 -\r\n".to_owned();
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes())?;
        let last = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        for number in last + 1..=events {
            sleep(EVENT_INTERVAL);
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        stream.write_all(b"0\r\n\r\n")
    }
}
