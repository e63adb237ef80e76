//! Worker of a plain service, which may leave without a report that it drains.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::sleep,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Request, Response},
    json::quote,
    record::Record,
    vm::PORTAL_SERVICE,
};

/// Requests that run at once.
const SLOTS: usize = 6;

/// State in an entry.
#[derive(Clone, Copy)]
pub enum State {
    Ready,
    Draining,
}

/// Worker; clones share its state.
#[derive(Clone)]
pub struct Portal {
    pub id: String,
    zone: String,
    address: SocketAddr,
    born_ms: u64,
    is_leaving: Arc<AtomicBool>,
    beats: Arc<AtomicU64>,
    /// Identifiers of the requests that it ran.
    runs: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Portal {
    /// Starts the worker. Its entries are written by the case.
    pub fn start(id: &str, zone: &str, address: SocketAddr, record: &Record) -> io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).map_err(io::Error::other)?;
        let portal = Self {
            id: id.to_owned(),
            zone: zone.to_owned(),
            address,
            born_ms: born.as_millis() as u64,
            is_leaving: Arc::default(),
            beats: Arc::default(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let server = portal.clone();
        http::serve(TcpListener::bind(address)?, move |request, stream| {
            server.handle(&request, stream)
        });
        Ok(portal)
    }

    /// From now on, all answers say that the worker leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Whether it ran the request `id`.
    pub fn has_run(&self, id: &str) -> bool {
        self.lock().iter().any(|run| run == id)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Next entry in the registry.
    pub fn entry(&self, state: State) -> String {
        let state = match state {
            State::Ready => "ready",
            State::Draining => "draining",
        };
        let sequence = self.beats.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":{SLOTS},\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            quote(PORTAL_SERVICE),
            self.address,
            quote(&self.zone),
            self.born_ms
        )
    }

    /// Runs a request, which takes the milliseconds that the last part of its path says.
    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let is_other =
            request.header("x-filbertsail-expect-instance").is_some_and(|it| it != self.id);
        if is_other {
            let response = Response::json(421, "{}".to_owned());
            response.with("X-Filbertsail-Instance-Id", &self.id).send(stream)?;
            return Ok(true);
        }
        let Some(id) = request.header("x-filbertsail-attempt-id") else {
            Response::json(400, "{}".to_owned()).with("X-Filbertsail-Not-Run", 1).send(stream)?;
            return Ok(true);
        };
        self.record.line(format!("{} runs {id}", self.id));
        self.lock().push(id.to_owned());
        let work_ms =
            request.path.rsplit('/').next().and_then(|work| work.parse().ok()).unwrap_or(25);
        sleep(Duration::from_millis(work_ms));
        let mut response = Response::json(200, format!("{{\"answer\":{}}}", quote(id)))
            .with("X-Filbertsail-Attempt-Id", id)
            .with("X-Filbertsail-Server-Stamp", format!("{}.{id}", self.id))
            .with("X-Filbertsail-Server-Load", format!("1,0,{SLOTS}"));
        let is_leaving = self.is_leaving.load(Ordering::SeqCst);
        if is_leaving {
            response = response.with("Server-Leaving", 1);
        }
        self.record.line(format!("{} answers {id}, leaving: {is_leaving}", self.id));
        response.send(stream)?;
        Ok(true)
    }
}
