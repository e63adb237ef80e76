//! Stand-in of a worker: a plain service, or a model engine that streams events.
//!
//! The length of an output and the time of a plain request stand in the headers `X-Events` and
//! `X-Work-Ms`, which callers set and the system forwards unchanged.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Stream},
    record::Record,
    store::Store,
};

/// Status report interval, as the settings state it.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub model: Option<&'static str>,
    pub slots: usize,
    pub queue: usize,
    /// Time between two events.
    pub event_time: Duration,
    pub kv_tokens: u64,
}

#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub arrived: Instant,
    pub began: Option<Instant>,
    pub ended: Option<Instant>,
    pub how: &'static str,
}

struct State {
    running: usize,
    waiting: usize,
    is_down: bool,
    is_registered: bool,
    runs: Vec<Run>,
    sequence: u64,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub kind: Kind,
    state: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    record: Record,
    born_ms: u64,
}

impl Worker {
    pub fn start(id: &str, kind: Kind, store: &Store, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        listener.set_nonblocking(true)?;
        let state = State {
            running: 0,
            waiting: 0,
            is_down: false,
            is_registered: true,
            runs: Vec::new(),
            sequence: 0,
        };
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            kind,
            state: Arc::new((Mutex::new(state), Condvar::new())),
            store: store.clone(),
            record: record.clone(),
            born_ms: unix.map_or(0, |since| since.as_millis() as u64),
        };
        worker.beat();
        let beating = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        let serving = worker.clone();
        thread::spawn(move || {
            while !serving.is_down() {
                match listener.accept() {
                    Ok((socket, _)) => {
                        let _ = socket.set_nonblocking(false);
                        let worker = serving.clone();
                        thread::spawn(move || worker.serve(Stream::new(socket)));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(worker)
    }

    fn beat(&self) {
        let mut state = self.state.0.lock().unwrap();
        if !state.is_registered {
            return;
        }
        state.sequence += 1;
        let models = match self.kind.model {
            Some(model) => format!("[{{\"name\":\"{model}\",\"version\":1,\"adapters\":[]}}]"),
            None => "[]".to_owned(),
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{},\"born\":{},\"stage\":\"both\",\
             \"models\":{models}}}",
            self.kind.service, self.address, self.kind.slots, state.sequence, self.born_ms
        );
        // Written under the lock, so that no heartbeat follows the removal of the entry.
        self.store.put("servers", &self.id, Some(&entry));
    }

    /// Removes the entry of a worker that leaves without having reported `draining`.
    pub fn remove_entry(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.is_registered = false;
        self.store.put("servers", &self.id, None);
        self.record.line(&format!("worker {} entry removed, acknowledged by the store", self.id));
    }

    /// Ends the process: its connections close, new ones are refused.
    pub fn exit(&self) {
        self.state.0.lock().unwrap().is_down = true;
        self.state.1.notify_all();
        self.record.line(&format!("worker {} exits", self.id));
    }

    /// Ends the process without notice; its entry lapses after three intervals of silence.
    pub fn crash(&self) {
        self.state.0.lock().unwrap().is_registered = false;
        self.exit();
        let worker = self.clone();
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            worker.store.put("servers", &worker.id, None);
            worker.record.line(&format!("worker {} entry lapsed", worker.id));
        });
    }

    pub fn is_down(&self) -> bool {
        self.state.0.lock().unwrap().is_down
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.0.lock().unwrap().runs.clone()
    }

    pub fn running(&self) -> usize {
        self.state.0.lock().unwrap().running
    }

    fn serve(&self, mut stream: Stream) {
        let _ = stream.socket.set_read_timeout(Some(Duration::from_millis(100)));
        loop {
            // Waits for a request without giving up a connection that is idle.
            let mut byte = [0; 1];
            match stream.socket.peek(&mut byte) {
                Ok(0) => return,
                Ok(_) => {}
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    if self.is_down() {
                        return;
                    }
                    continue;
                }
                Err(_) => return,
            }
            let _ = stream.socket.set_read_timeout(Some(Duration::from_secs(10)));
            let Ok(request) = stream.read_message() else { return };
            if stream.is_silent() {
                return stream.drop_input();
            }
            let _ = stream.socket.set_read_timeout(Some(Duration::from_millis(100)));
            if self.is_down() || self.answer(&mut stream, &request).is_err() {
                return;
            }
            if stream.is_silent() {
                return stream.drop_input();
            }
        }
    }

    fn load(&self) -> String {
        let state = self.state.0.lock().unwrap();
        format!("{},{},{}", state.running, state.waiting, self.kind.slots)
    }

    fn answer(&self, stream: &mut Stream, request: &Message) -> io::Result<()> {
        let expected = request.header("x-filbertsail-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let instance = ("X-Filbertsail-Instance-Id", self.id.clone());
            return stream.respond(421, &[instance], b"");
        }
        if request.path() == "/-/report" {
            let (running, waiting) = {
                let state = self.state.0.lock().unwrap();
                (state.running, state.waiting)
            };
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"{}\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"waiting\":{waiting},\"running\":{running},\
                 \"kv_cache_used\":0,\"kv_cache_total\":{},\"handles\":0,\"born\":{}}}",
                self.kind.model.unwrap_or(""),
                self.kind.kv_tokens,
                self.born_ms
            );
            return stream.respond(
                200,
                &[("Content-Type", "application/json".to_owned())],
                body.as_bytes(),
            );
        }
        let Some(id) = request.header("x-filbertsail-attempt-id").map(str::to_owned) else {
            return stream.respond(400, &[("X-Filbertsail-Not-Run", "1".to_owned())], b"");
        };
        let index = {
            let mut state = self.state.0.lock().unwrap();
            if state.waiting >= self.kind.queue && state.running >= self.kind.slots {
                drop(state);
                let headers = [
                    ("X-Filbertsail-Not-Run", "1".to_owned()),
                    ("X-Filbertsail-Attempt-Id", id),
                    ("X-Filbertsail-Server-Load", self.load()),
                ];
                return stream.respond(503, &headers, b"");
            }
            let run = Run {
                id: id.clone(),
                arrived: Instant::now(),
                began: None,
                ended: None,
                how: "open",
            };
            state.runs.push(run);
            state.waiting += 1;
            state.runs.len() - 1
        };
        self.record.line(&format!("worker {} got {id}", self.id));
        let has_slot = self.wait_for_slot(stream, index);
        let result =
            if has_slot { self.run(stream, request, &id) } else { Ok("left in the queue") };
        let mut state = self.state.0.lock().unwrap();
        if has_slot {
            state.running -= 1;
        }
        let how = *result.as_ref().unwrap_or(&"cut");
        (state.runs[index].ended, state.runs[index].how) = (Some(Instant::now()), how);
        drop(state);
        self.state.1.notify_all();
        self.record.line(&format!("worker {} ended {id}: {how}", self.id));
        match result {
            Ok("complete") => Ok(()),
            Ok(_) => Err(io::ErrorKind::ConnectionAborted.into()),
            Err(error) => Err(error),
        }
    }

    fn wait_for_slot(&self, stream: &Stream, index: usize) -> bool {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        loop {
            if state.is_down {
                state.waiting -= 1;
                return false;
            }
            if state.running < self.kind.slots {
                state.waiting -= 1;
                state.running += 1;
                state.runs[index].began = Some(Instant::now());
                return true;
            }
            state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
            if stream.is_closed() {
                state.waiting -= 1;
                return false;
            }
        }
    }

    /// Works on a request; returns how it ended.
    fn run(&self, stream: &mut Stream, request: &Message, id: &str) -> io::Result<&'static str> {
        let stamp = format!("{}.{id}", self.id);
        let mut headers = vec![
            ("X-Filbertsail-Attempt-Id", id.to_owned()),
            ("X-Filbertsail-Server-Stamp", stamp),
            ("X-Filbertsail-Server-Load", self.load()),
        ];
        let Some(events) = request.header("x-events").and_then(|events| events.parse::<u64>().ok())
        else {
            let work = request.header("x-work-ms").and_then(|ms| ms.parse().ok()).unwrap_or(25);
            if !self.work(stream, Duration::from_millis(work)) {
                return Ok("cut");
            }
            let body = format!("answer to {id}");
            stream.respond(200, &headers, body.as_bytes())?;
            return Ok("complete");
        };
        headers.push(("X-Filbertsail-Weight-Versions", "1".to_owned()));
        headers.push(("Content-Type", "text/event-stream".to_owned()));
        headers.push(("Transfer-Encoding", "chunked".to_owned()));
        let mut head = "HTTP/1.1 200 OK\r\n".to_owned();
        for (name, value) in &headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let last = request.header("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        // Reading the prompt takes some milliseconds.
        if !self.work(stream, Duration::from_millis(10)) {
            return Ok("cut");
        }
        send(stream, head.as_bytes())?;
        for event in last + 1..=events {
            if !self.work(stream, self.kind.event_time) {
                return Ok("cut");
            }
            let text = format!("id: {event}\ndata: {id}.{event}\n\n");
            send(stream, format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        send(stream, b"0\r\n\r\n")?;
        Ok("complete")
    }

    /// Works for a time; false if the process ends or the channel closes meanwhile.
    fn work(&self, stream: &Stream, time: Duration) -> bool {
        let end = Instant::now() + time;
        loop {
            if self.is_down() || stream.is_closed() {
                return false;
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(Duration::from_millis(20)));
        }
    }
}

/// Sends bytes, which are lost if the channel has gone silent.
fn send(stream: &mut Stream, bytes: &[u8]) -> io::Result<()> {
    if stream.is_silent() { Ok(()) } else { stream.write(bytes) }
}
