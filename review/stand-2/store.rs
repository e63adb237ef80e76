//! Stand-in of the platform's metadata store: rows, transactions with conditions, and feeds.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Message, Stream},
    json::{Json, base64, quote},
};

type Address = (String, String, String);

/// Time of a call, as the settings state it.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64 and version; removed rows have no value.
    rows: BTreeMap<Address, (Option<String>, u64)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Rows>, Condvar)>,
    start: Instant,
}

impl Store {
    pub fn new() -> Self {
        let rows = Rows { version: 1_000, ..Rows::default() };
        Self { state: Arc::new((Mutex::new(rows), Condvar::new())), start: Instant::now() }
    }

    fn now_ms(&self) -> u64 {
        1_000_000 + self.start.elapsed().as_millis() as u64
    }

    /// Writes or removes a row, as the operator or a worker does.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let address = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(address, (value.map(|text| base64(text.as_bytes())), version));
        changed.notify_all();
    }

    /// Serves on a free port of `ip`; returns the address.
    pub fn listen(&self, ip: &str) -> io::Result<SocketAddr> {
        let store = self.clone();
        http::serve(ip, move |stream| store.serve(stream))
    }

    fn serve(&self, mut stream: Stream) {
        while let Ok(request) = stream.read_message() {
            if stream.is_silent() {
                return stream.drop_input();
            }
            thread::sleep(CALL_TIME);
            let (status, body) = self.answer(&request);
            if stream.is_silent() {
                return stream.drop_input();
            }
            let kind = [("Content-Type", "application/json".to_owned())];
            if stream.respond(status, &kind, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        match request.path() {
            "/-/rows-tx" => self.transact(&request.text()),
            "/-/rows-get" => self.read(request),
            "/-/rows-feed" => self.feed(request),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let address = |entry: &Json| (entry.text("table"), entry.text("part"), entry.text("key"));
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().unwrap();
        let mut present = Vec::new();
        let mut holds = true;
        for check in body.list("expected") {
            let address = address(check);
            let row = rows.rows.get(&address).filter(|(value, _)| value.is_some());
            let expected = check.number("row_version").unwrap_or(0.0) as u64;
            holds &= row.map_or(0, |(_, version)| *version) == expected;
            if let Some((value, version)) = row {
                present.push(encode(&address, value.as_deref(), *version));
            }
        }
        if !holds {
            return (412, self.page(&present, false, rows.version));
        }
        rows.version += 1;
        let version = rows.version;
        for write in body.list("writes") {
            rows.rows.insert(address(write), (Some(write.text("value")), version));
        }
        for delete in body.list("deletes") {
            let address = address(delete);
            if rows.rows.get(&address).is_some_and(|(value, _)| value.is_some()) {
                rows.rows.insert(address, (None, version));
            }
        }
        changed.notify_all();
        (200, format!("{{\"row_version\":{version},\"now_ms\":{}}}", self.now_ms()))
    }

    fn read(&self, request: &Message) -> (u16, String) {
        let part = request.query("part").unwrap_or_default();
        let table = request.query("table").unwrap_or_default();
        let from = request.query("from").unwrap_or_default();
        let to = request.query("to").unwrap_or_default();
        let limit = request.query("limit").and_then(|limit| limit.parse().ok()).unwrap_or(500);
        let rows = self.state.0.lock().unwrap();
        let (mut found, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (address, (value, version)) in &rows.rows {
            let fits = address.0 == table
                && address.1 == part
                && address.2 >= from
                && (to.is_empty() || address.2 < to);
            let Some(value) = value.as_ref().filter(|_| fits) else { continue };
            if found.len() >= 500.min(limit)
                || (bytes + value.len() > 1_000_000 && !found.is_empty())
            {
                has_more = true;
                break;
            }
            bytes += value.len();
            found.push(encode(address, Some(value), *version));
        }
        (200, self.page(&found, has_more, rows.version))
    }

    fn feed(&self, request: &Message) -> (u16, String) {
        let table = request.query("table").unwrap_or_default();
        let after: u64 = request.query("after").and_then(|after| after.parse().ok()).unwrap_or(0);
        let wait = request.query("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let (rows, changed) = &*self.state;
        let mut rows = rows.lock().unwrap();
        loop {
            let mut found: Vec<(u64, String)> = Vec::new();
            for (address, (value, version)) in &rows.rows {
                if address.0 == table && *version > after {
                    found.push((*version, encode(address, value.as_deref(), *version)));
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                found.sort();
                let found: Vec<String> = found.into_iter().map(|(_, row)| row).collect();
                return (200, self.page(&found, false, rows.version));
            }
            rows = changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn page(&self, rows: &[String], has_more: bool, version: u64) -> String {
        let now_ms = self.now_ms();
        let rows = rows.join(",");
        format!(
            "{{\"rows\":[{rows}],\"has_more\":{has_more},\"row_version\":{version},\"now_ms\":{now_ms}}}"
        )
    }
}

fn encode(address: &Address, value: Option<&str>, version: u64) -> String {
    let (table, part, key) = address;
    let state = match value {
        Some(value) => format!("\"value\":{}", quote(value)),
        None => "\"removed\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"key\":{},{state},\"row_version\":{version}}}",
        quote(table),
        quote(part),
        quote(key)
    )
}
