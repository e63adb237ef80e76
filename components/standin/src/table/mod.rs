//! Table service: conditional transactions over rows, with a rate limit.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use filbertsail_api::table::{
    Check, Commit, Conflict, Expect, Page, Query, Refusal, Row, Scan, Transaction,
};
use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_http::Body;
use http::{Method, Request, Response, StatusCode};
use tokio_util::sync::CancellationToken;

use crate::{
    fault,
    server::{self, Closed, Handler, Place, json, parse, text},
};

/// Rates of the table service.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Transactions per second.
    pub writes_per_s: f64,
    /// Reads and scans per second.
    pub reads_per_s: f64,
    /// Time that each call takes.
    pub latency: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { writes_per_s: 400.0, reads_per_s: 2_000.0, latency: Duration::from_millis(3) }
    }
}

/// Token bucket.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    rate_per_s: f64,
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    pub(crate) fn new(rate_per_s: f64, now: Instant) -> Self {
        Self { rate_per_s, tokens: rate_per_s, filled_at: now }
    }

    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let gained = now.since(self.filled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + gained).min(self.rate_per_s);
        self.filled_at = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Committed transaction, as recorded by the table itself.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Time of the commit.
    pub at: Instant,
    /// Revision of the written rows.
    pub revision: u64,
    /// Keys and new values.
    pub writes: Vec<(String, Option<serde_json::Value>)>,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<String, Row>,
    // Rows as they were before the latest transaction, for stale reads.
    old: BTreeMap<String, Option<Row>>,
    revision: u64,
    log: Vec<Entry>,
    writes: Bucket,
    reads: Bucket,
}

/// Running table service.
#[derive(Clone, Debug)]
pub struct Table {
    /// Address.
    pub address: SocketAddr,
    /// Faults.
    pub faults: fault::Handle,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Debug)]
struct Server {
    state: Arc<Mutex<State>>,
    latency: Duration,
}

/// Starts a table service.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    options: Options,
    place: Place,
    stop: CancellationToken,
) -> eyre::Result<Table> {
    let now = Boot.now();
    let state = Arc::new(Mutex::new(State {
        rows: BTreeMap::new(),
        old: BTreeMap::new(),
        revision: 0,
        log: Vec::new(),
        writes: Bucket::new(options.writes_per_s, now),
        reads: Bucket::new(options.reads_per_s, now),
    }));
    let faults = fault::Handle::new(1);
    let handler = Server { state: state.clone(), latency: options.latency };
    let address = server::start(address, place, faults.clone(), handler, stop)?;
    Ok(Table { address, faults, state })
}

impl Table {
    /// Commits so far, in order.
    #[must_use]
    pub fn log(&self) -> Vec<Entry> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).log.clone()
    }

    /// Row as it stands.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).rows.get(key).cloned()
    }
}

fn holds(check: &Check, row: Option<&Row>) -> bool {
    match (&check.expect, row) {
        (Expect::Absent, row) => row.is_none(),
        (Expect::Revision { revision }, row) => row.is_some_and(|row| row.revision == *revision),
        (Expect::Field { name, equals }, row) => {
            row.is_some_and(|row| row.value.get(name) == Some(equals))
        }
    }
}

impl State {
    fn transact(&mut self, transaction: Transaction, now: Instant) -> Result<Commit, Refusal> {
        let conflicts: Vec<_> = transaction
            .checks
            .iter()
            .filter(|check| !holds(check, self.rows.get(&check.key)))
            .map(|check| Conflict {
                key: check.key.clone(),
                row: self.rows.get(&check.key).cloned(),
            })
            .collect();
        if !conflicts.is_empty() {
            return Err(Refusal { conflicts });
        }
        self.revision += 1;
        let revision = self.revision;
        let mut writes = Vec::new();
        for write in transaction.writes {
            let row = write.value.clone().map(|value| Row {
                key: write.key.clone(),
                revision,
                token: transaction.token.clone(),
                value,
            });
            let before = match row {
                Some(row) => self.rows.insert(write.key.clone(), row),
                None => self.rows.remove(&write.key),
            };
            self.old.insert(write.key.clone(), before);
            writes.push((write.key, write.value));
        }
        self.log.push(Entry { at: now, revision, writes });
        Ok(Commit { revision })
    }

    fn read(&self, query: &Query, stale: bool) -> Page {
        let row = |key: &String| match self.old.get(key) {
            Some(old) if stale => old.clone(),
            _ => self.rows.get(key).cloned(),
        };
        Page { rows: query.keys.iter().filter_map(row).collect() }
    }

    fn scan(&self, scan: &Scan) -> Page {
        let rows = self
            .rows
            .range(scan.prefix.clone()..)
            .take_while(|(key, _)| key.starts_with(&scan.prefix))
            .filter(|(key, _)| scan.after.as_ref().is_none_or(|after| *key > after))
            .take(scan.limit as usize)
            .map(|(_, row)| row.clone())
            .collect();
        Page { rows }
    }
}

impl Server {
    fn answer(&self, path: &str, body: &Bytes, fault: Option<fault::Kind>) -> Response<Body> {
        let now = Boot.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let write = path == "/v1/transact";
        let allowed = if write { state.writes.take(now) } else { state.reads.take(now) };
        if !allowed {
            return text(StatusCode::TOO_MANY_REQUESTS, "rate limit");
        }
        let answer = match path {
            "/v1/transact" => {
                parse(body).map(|transaction| match state.transact(transaction, now) {
                    Ok(commit) => json(StatusCode::OK, &commit),
                    Err(refusal) => json(StatusCode::CONFLICT, &refusal),
                })
            }
            "/v1/read" => parse(body).map(|query| {
                json(StatusCode::OK, &state.read(&query, fault == Some(fault::Kind::Stale)))
            }),
            "/v1/scan" => parse(body).map(|scan| json(StatusCode::OK, &state.scan(&scan))),
            _ => Ok(text(StatusCode::NOT_FOUND, "no such path")),
        };
        answer.unwrap_or_else(|bad| bad)
    }
}

impl Handler for Server {
    async fn handle(
        &self,
        request: Request<Bytes>,
        fault: Option<fault::Kind>,
    ) -> Result<Response<Body>, Closed> {
        tokio::time::sleep(self.latency).await;
        if request.method() != Method::POST {
            return Ok(text(StatusCode::METHOD_NOT_ALLOWED, "use POST"));
        }
        Ok(self.answer(request.uri().path(), request.body(), fault))
    }
}
