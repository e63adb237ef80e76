//! Model engine: registers itself, streams the events of items, and answers reports and orders.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread::{self, sleep},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Response},
    json::{Value, quote},
    record::Record,
    store::Store,
    vm::{MODEL, SERVICE},
};

/// Requests that run at once, and that wait for a slot.
pub const SLOTS: usize = 16;
const QUEUE: usize = 48;
/// Time between two entries in the registry (`heartbeat_ms`).
const BEAT_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time that a change of version takes.
const LOAD_TIME: Duration = Duration::from_millis(900);
/// Time between two events of a run.
const EVENT_INTERVAL: Duration = Duration::from_millis(40);
/// Time between two checks for a free slot.
const SLOT_CHECK: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    version: u64,
    accepted_orders: u64,
    is_busy: bool,
    beats: u64,
}

/// When an engine finds out that the caller of a run has left.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// Before each event.
    Looks,
    /// When an event can't be sent.
    LooksLate,
}

/// Run of an item, from its first event on.
#[derive(Clone)]
pub struct Run {
    pub item: String,
    pub engine: String,
    /// Time of the first event since the start of the record.
    pub began_ms: u64,
}

/// Engine; clones share its state.
#[derive(Clone)]
pub struct Engine {
    id: String,
    zone: String,
    /// Address under which it registers itself.
    address: SocketAddr,
    manner: Manner,
    runs: Arc<Mutex<Vec<Run>>>,
    born_ms: u64,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Engine {
    /// Starts the engine and its entries in the registry.
    pub fn start(
        id: &str,
        zone: &str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
    ) -> io::Result<Self> {
        Self::start_behind(id, zone, address, address, Manner::Looks, store, record)
    }

    /// Starts an engine that listens on one address and is reached under another.
    pub fn start_behind(
        id: &str,
        zone: &str,
        listen: SocketAddr,
        address: SocketAddr,
        manner: Manner,
        store: &Store,
        record: &Record,
    ) -> io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
        let engine = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address,
            manner,
            runs: Arc::default(),
            born_ms: born.as_millis() as u64,
            state: Arc::new(Mutex::new(State { version: 1, ..State::default() })),
            record: record.clone(),
        };
        let server = engine.clone();
        http::serve(TcpListener::bind(listen)?, move |request, stream| {
            server.handle(&request, stream)
        });
        let (beating, store) = (engine.clone(), store.clone());
        thread::spawn(move || {
            loop {
                store.put("servers", &beating.id, &beating.entry());
                sleep(BEAT_INTERVAL);
            }
        });
        Ok(engine)
    }

    /// Runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// Whether the run of a caller goes on.
    fn goes_on(&self, stream: &TcpStream) -> bool {
        self.manner == Manner::LooksLate || !is_closed(stream)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn models(&self, state: &State) -> String {
        let (model, version) = (quote(MODEL), state.version);
        format!("[{{\"name\":{model},\"version\":{version},\"adapters\":[]}}]")
    }

    fn entry(&self) -> String {
        let mut state = self.lock();
        state.beats += 1;
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":{},\
             \"sequence\":{},\"born\":{}}}",
            quote(SERVICE),
            self.address,
            quote(&self.zone),
            self.models(&state),
            state.beats,
            self.born_ms
        )
    }

    /// Handles a request; returns whether the connection stays open.
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let is_other =
            request.header("x-filbertsail-expect-instance").is_some_and(|it| it != self.id);
        if is_other {
            let response = Response::json(421, "{}".to_owned());
            response.with("X-Filbertsail-Instance-Id", &self.id).send(stream)?;
            return Ok(true);
        }
        match request.path.as_str() {
            "/-/report" => Response::json(200, self.report()).send(stream)?,
            "/-/order" => self.order(request).send(stream)?,
            _ => return self.run(request, stream),
        }
        Ok(true)
    }

    fn report(&self) -> String {
        let state = self.lock();
        format!(
            "{{\"stage\":\"both\",\"models\":{},\"busy\":{},\"sequence\":{},\"waiting\":{},\
             \"running\":{},\"kv_cache_used\":0,\"kv_cache_total\":107252,\"handles\":0,\"born\":{}}}",
            self.models(&state),
            state.is_busy,
            state.accepted_orders,
            state.waiting,
            state.running,
            self.born_ms
        )
    }

    fn order(&self, request: &Request) -> Response {
        let text = String::from_utf8_lossy(&request.body);
        let body = Value::parse(&text).unwrap_or(Value::Null);
        self.record.line(format!("{} order {text}", self.id));
        let status = {
            let mut state = self.lock();
            let (expected, version) = (body.get("expected"), body.get("version").number());
            if body.get("holder").text().is_empty() || body.get("model").text() != MODEL {
                400
            } else if version == state.version {
                200
            } else if state.is_busy
                || (*expected != Value::Null && expected.number() != state.accepted_orders)
            {
                409
            } else {
                state.is_busy = true;
                state.accepted_orders += 1;
                let engine = self.clone();
                thread::spawn(move || {
                    sleep(LOAD_TIME);
                    let mut state = engine.lock();
                    (state.version, state.is_busy) = (version, false);
                });
                202
            }
        };
        Response::json(status, "{}".to_owned())
    }

    /// Runs an item from the event after `Last-Event-Id` on.
    fn run(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let Some(item) = request.header("x-filbertsail-attempt-id") else {
            Response::json(400, "{}".to_owned()).with("X-Filbertsail-Not-Run", 1).send(stream)?;
            return Ok(true);
        };
        if !self.take_slot() {
            let response = Response::json(503, "{}".to_owned()).with("X-Filbertsail-Not-Run", 1);
            response.with("X-Filbertsail-Attempt-Id", item).send(stream)?;
            return Ok(true);
        }
        let result = self.stream_events(item, request, stream);
        self.lock().running -= 1;
        result.map(|()| true)
    }

    /// Waits for a slot; returns whether there was room to wait.
    fn take_slot(&self) -> bool {
        let mut state = self.lock();
        if state.running >= SLOTS && state.waiting >= QUEUE {
            return false;
        }
        state.waiting += 1;
        while state.running >= SLOTS {
            drop(state);
            sleep(SLOT_CHECK);
            state = self.lock();
        }
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn stream_events(
        &self,
        item: &str,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<()> {
        let last = request.header("last-event-id").and_then(|last| last.parse().ok());
        let events = event_count(request);
        let (version, running, waiting) = {
            let state = self.lock();
            (state.version, state.running, state.waiting)
        };
        let began_ms = self.record.now_ms();
        self.record.line(format!("{} runs {item} after event {}", self.id, last.unwrap_or(0)));
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Filbertsail-Attempt-Id: {item}\r\n\
             X-Filbertsail-Server-Stamp: {}.{began_ms}\r\nX-Filbertsail-Weight-Versions: {version}\r\n\
             X-Filbertsail-Server-Load: {running},{waiting},{SLOTS}\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let mut result = stream.write_all(head.as_bytes());
        for event in last.unwrap_or(0) + 1..=events {
            sleep(EVENT_INTERVAL);
            if result.is_err() || !self.goes_on(stream) {
                break;
            }
            if event == last.unwrap_or(0) + 1 {
                let (item, engine) = (item.to_owned(), self.id.clone());
                let run = Run { item, engine, began_ms: self.record.now_ms() };
                self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).push(run);
            }
            let text = format!("id: {event}\ndata: {item}.{event}\n\n");
            result = stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        }
        let is_whole = result.is_ok() && !is_closed(stream);
        if is_whole {
            result = stream.write_all(b"0\r\n\r\n");
        }
        self.record.line(format!("{} ends {item}, whole: {is_whole}", self.id));
        result.and(if is_whole { Ok(()) } else { Err(io::Error::other("the caller has left")) })
    }
}

/// Number of events of an item: one for each 61 output tokens.
fn event_count(request: &Request) -> u64 {
    let counts = request.header("x-filbertsail-token-counts").unwrap_or_default();
    let output: u64 = counts.split(',').nth(1).and_then(|it| it.trim().parse().ok()).unwrap_or(0);
    output / 61
}

/// Whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_open = match peeked {
        Ok(count) => count > 0,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).is_err() || !is_open
}
