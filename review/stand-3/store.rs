//! Stand-in of the platform's store: rows, conditional transactions and feeds.

use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    http,
    json::{Json, base64, object},
};

/// Time of a transaction and of a read.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Limits of one read.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// Table, part and key.
type Key = (String, String, String);

#[derive(Default)]
struct State {
    /// Values in base64 with the version of the row.
    rows: BTreeMap<Key, (String, u64)>,
    /// Changes, oldest first; without a value if the row was deleted.
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

pub struct Store {
    started: Instant,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    /// Serves a new store at `address`.
    pub fn start(address: SocketAddr) -> io::Result<Arc<Self>> {
        let store = Arc::new(Self {
            started: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        http::serve(address, Arc::clone(&store), |store, stream| store.serve(&stream))?;
        Ok(store)
    }

    /// Writes a row of the operator or of a worker.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let key = (table.to_owned(), String::new(), key.to_owned());
        state.write(key, Some(base64(value.to_string().as_bytes())));
        self.changed.notify_all();
    }

    /// Deletes a row of a worker.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        state.write((table.to_owned(), String::new(), key.to_owned()), None);
        self.changed.notify_all();
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = http::read_message(&mut reader)? {
            let (path, query) = request.first.1.split_once('?').unwrap_or((&request.first.1, ""));
            let query = parse_query(query);
            sleep(CALL_TIME);
            let (status, body) = match path {
                "/-/rows-tx" => self.transact(&Json::parse(&request.body)),
                "/-/rows-get" => (200, self.range(&query)),
                "/-/rows-feed" => (200, self.feed(&query)),
                _ => (404, Json::Null),
            };
            let headers = [("Content-Type", "application/json")];
            http::respond(stream, status, &headers, body.to_string().as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, rows: Vec<Json>, has_more: bool, version: u64) -> Json {
        object([
            ("rows", rows.into()),
            ("has_more", has_more.into()),
            ("row_version", version.into()),
            ("now_ms", (self.started.elapsed().as_millis() as u64).into()),
        ])
    }

    fn transact(&self, body: &Json) -> (u16, Json) {
        let key = |entry: &Json| -> Key {
            let text = |name| entry.get(name).text().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.state.lock().unwrap();
        let expected = body.get("expected").list();
        let version = |state: &State, key: &Key| state.rows.get(key).map_or(0, |row| row.1);
        if expected.iter().any(|it| version(&state, &key(it)) != it.get("row_version").number()) {
            let present = expected.iter().map(&key).filter_map(|key| {
                state.rows.get(&key).map(|(value, version)| row(&key, Some(value), *version))
            });
            let present = present.collect();
            return (412, self.answer(present, false, state.version));
        }
        let (writes, deletes) = (body.get("writes").list(), body.get("deletes").list());
        if !writes.is_empty() || !deletes.is_empty() {
            state.version += 1;
            for write in writes {
                state.write(key(write), Some(write.get("value").text().to_owned()));
            }
            for delete in deletes {
                state.write(key(delete), None);
            }
            self.changed.notify_all();
        }
        (200, self.answer(Vec::new(), false, state.version))
    }

    fn range(&self, query: &BTreeMap<String, String>) -> Json {
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = get("limit").parse().unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let (table, part, to) = (get("table"), get("part"), get("to"));
        let state = self.state.lock().unwrap();
        let from: Key = (table.clone(), part.clone(), get("from"));
        let (mut rows, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (value, version)) in state.rows.range(from..) {
            if key.0 != table || key.1 != part || (!to.is_empty() && key.2 >= to) {
                break;
            }
            if rows.len() >= limit || (!rows.is_empty() && bytes + value.len() > PAGE_BYTES) {
                has_more = true;
                break;
            }
            bytes += value.len();
            rows.push(row(key, Some(value), *version));
        }
        self.answer(rows, has_more, state.version)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> Json {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (table, after) = (query.get("table").cloned().unwrap_or_default(), number("after"));
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        let mut state = self.state.lock().unwrap();
        loop {
            let mut newest: BTreeMap<&Key, (u64, Option<&String>)> = BTreeMap::new();
            let start = state.changes.partition_point(|change| change.0 <= after);
            for (version, key, value) in &state.changes[start..] {
                if key.0 == table {
                    newest.insert(key, (*version, value.as_ref()));
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if !newest.is_empty() || left.is_zero() {
                let mut rows: Vec<_> = newest.into_iter().collect();
                rows.sort_by_key(|(_, (version, _))| *version);
                let rows = rows.into_iter().map(|(key, (version, value))| row(key, value, version));
                return self.answer(rows.collect(), false, state.version);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn write(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => self.rows.insert(key.clone(), (value.clone(), self.version)),
            None => self.rows.remove(&key),
        };
        self.changes.push((self.version, key, value));
    }
}

fn row(key: &Key, value: Option<&String>, version: u64) -> Json {
    let content = match value {
        Some(value) => ("value", value.clone().into()),
        None => ("removed", true.into()),
    };
    object([
        ("table", key.0.clone().into()),
        ("part", key.1.clone().into()),
        ("key", key.2.clone().into()),
        ("row_version", version.into()),
        content,
    ])
}

fn parse_query(query: &str) -> BTreeMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), percent_decode(value))).collect()
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let digits = (byte == b'%').then(|| std::str::from_utf8(after.get(..2)?).ok()).flatten();
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &after[2..];
            }
            None => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
