//! The platform's metadata store: rows, transactions and the feed of changes.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Request, Response},
    json::{Value, encode_base64, quote},
};

/// Time that a transaction takes (`transaction_ms`), and any other answer.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Rows in one answer.
const PAGE_ROWS: usize = 500;
/// Time for which changes are kept (`history_s`).
const HISTORY: Duration = Duration::from_secs(20);

/// Table, part and key.
type Address = (String, String, String);

/// Change of a row; one without a value was deleted. Values are kept in base64, as on the wire.
#[derive(Clone)]
struct Change {
    address: Address,
    value: Option<String>,
    version: u64,
    at: Instant,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<Address, (String, u64)>,
    changes: Vec<Change>,
    /// Version up to which changes have been dropped.
    dropped: u64,
    version: u64,
}

/// Store; clones share the rows.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    start: Instant,
}

impl Store {
    /// Starts the store on `address`.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self { state: Arc::default(), start: Instant::now() };
        let server = store.clone();
        http::serve(TcpListener::bind(address)?, move |request, stream| {
            server.handle(&request, stream)?;
            Ok(true)
        });
        Ok(store)
    }

    /// Writes a row of the tables that the system does not write.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let address = (table.to_owned(), String::new(), key.to_owned());
        let mut state = self.lock();
        state.version += 1;
        state.write(address, encode_base64(value.as_bytes()));
        drop(state);
        self.state.1.notify_all();
    }

    /// Deletes such a row.
    pub fn delete(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.version += 1;
        state.delete(&(table.to_owned(), String::new(), key.to_owned()));
        drop(state);
        self.state.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let response = match request.path.as_str() {
            "/-/rows-tx" => self.transact(request),
            "/-/rows-get" => self.read(request),
            "/-/rows-feed" => self.feed(request),
            _ => Response::json(404, "{}".to_owned()),
        };
        response.send(stream)
    }

    fn transact(&self, request: &Request) -> Response {
        sleep(TRANSACTION_TIME);
        let text = String::from_utf8_lossy(&request.body);
        let Some(body) = Value::parse(&text) else { return Response::json(400, "{}".to_owned()) };
        let address = |entry: &Value| -> Address {
            let part = |name| entry.get(name).text().to_owned();
            (part("table"), part("part"), part("key"))
        };
        let (expected, writes) = (body.get("expected").list(), body.get("writes").list());
        let deletes = body.get("deletes").list();
        let entries = || expected.iter().chain(writes).chain(deletes);
        let parts: Vec<&str> = entries().map(|entry| entry.get("part").text()).collect();
        if entries().count() > 100
            || text.len() > 1_000_000
            || parts.windows(2).any(|it| it[0] != it[1])
        {
            return Response::json(400, "{}".to_owned());
        }
        let mut state = self.lock();
        let version = |state: &State, entry: &Value| {
            state.rows.get(&address(entry)).map_or(0, |(_, version)| *version)
        };
        if expected.iter().any(|it| version(&state, it) != it.get("row_version").number()) {
            let rows = expected.iter().filter_map(|entry| {
                let address = address(entry);
                let (value, version) = state.rows.get(&address)?;
                Some(encode_row(&address, Some(value), *version))
            });
            return self.page(412, &rows.collect::<Vec<_>>(), false, state.version);
        }
        state.version += 1;
        for entry in writes {
            state.write(address(entry), entry.get("value").text().to_owned());
        }
        for entry in deletes {
            state.delete(&address(entry));
        }
        let body = format!("{{\"row_version\":{},\"now_ms\":{}}}", state.version, self.now_ms());
        drop(state);
        self.state.1.notify_all();
        Response::json(200, body)
    }

    fn read(&self, request: &Request) -> Response {
        sleep(ANSWER_TIME);
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, to) = (request.parameter("from"), request.parameter("to"));
        let limit: usize = request.parameter("limit").parse().unwrap_or(PAGE_ROWS);
        let limit = limit.min(PAGE_ROWS);
        let state = self.lock();
        let rows = state.rows.iter().filter(|((row_table, row_part, key), _)| {
            (row_table, row_part) == (&table, &part) && *key >= from && (to.is_empty() || *key < to)
        });
        let rows: Vec<String> = rows
            .take(limit + 1)
            .map(|(address, (value, version))| encode_row(address, Some(value), *version))
            .collect();
        let (mut bytes, mut count) = (0, 0);
        while count < rows.len().min(limit) && (count == 0 || bytes + rows[count].len() < 1_000_000)
        {
            bytes += rows[count].len();
            count += 1;
        }
        self.page(200, &rows[..count], rows.len() > count, state.version)
    }

    fn feed(&self, request: &Request) -> Response {
        sleep(ANSWER_TIME);
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait_ms = request.parameter("wait_ms").parse().unwrap_or(0).min(30_000);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        loop {
            if after < state.dropped {
                return Response::json(410, "{}".to_owned());
            }
            let is_new = |change: &&Change| change.version > after && change.address.0 == table;
            let rows: Vec<String> = state
                .changes
                .iter()
                .filter(is_new)
                .map(|it| encode_row(&it.address, it.value.as_deref(), it.version))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.page(200, &rows, false, state.version);
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }

    fn page(&self, status: u16, rows: &[String], has_more: bool, version: u64) -> Response {
        let body = format!(
            "{{\"rows\":[{}],\"has_more\":{has_more},\"row_version\":{version},\"now_ms\":{}}}",
            rows.join(","),
            self.now_ms()
        );
        Response::json(status, body)
    }
}

impl State {
    fn write(&mut self, address: Address, value: String) {
        self.rows.insert(address.clone(), (value.clone(), self.version));
        self.record(address, Some(value));
    }

    fn delete(&mut self, address: &Address) {
        if self.rows.remove(address).is_some() {
            self.record(address.clone(), None);
        }
    }

    fn record(&mut self, address: Address, value: Option<String>) {
        let now = Instant::now();
        let kept = self.changes.iter().position(|it| now - it.at < HISTORY);
        for change in self.changes.drain(..kept.unwrap_or(self.changes.len())) {
            self.dropped = change.version;
        }
        self.changes.push(Change { address, value, version: self.version, at: now });
    }
}

fn encode_row((table, part, key): &Address, value: Option<&str>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{value},\"row_version\":{version}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}
