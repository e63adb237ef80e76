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
    server::{self, Closed, Handler, Location, json, parse_json, text},
};

/// Rate limits and latency of the table service.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum transactions per second.
    pub writes_per_s: f64,
    /// Maximum reads and scans per second.
    pub reads_per_s: f64,
    /// Duration of each call.
    pub latency: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { writes_per_s: 400.0, reads_per_s: 2_000.0, latency: Duration::from_millis(3) }
    }
}

/// Token bucket with a capacity of one second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    pub(crate) fn new(rate_per_s: f64, now: Instant) -> Self {
        Self { rate_per_s, tokens: rate_per_s, refilled_at: now }
    }

    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + refill).min(self.rate_per_s);
        self.refilled_at = now;
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}

/// Committed transaction in the log of the table service.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Time of the commit.
    pub committed_at: Instant,
    /// Revision of the rows written.
    pub revision: u64,
    /// Keys with their new values; `None` for a deletion.
    pub writes: Vec<(String, Option<serde_json::Value>)>,
}

#[derive(Debug)]
struct State {
    rows: BTreeMap<String, Row>,
    /// Previous version of each row written, for stale reads.
    previous_rows: BTreeMap<String, Option<Row>>,
    revision: u64,
    log: Vec<Entry>,
    write_limit: Bucket,
    read_limit: Bucket,
}

/// Handle of a running table service.
#[derive(Clone, Debug)]
pub struct Table {
    /// Listen address.
    pub address: SocketAddr,
    /// Fault injector.
    pub faults: fault::Injector,
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Debug)]
struct Server {
    state: Arc<Mutex<State>>,
    latency: Duration,
}

/// Starts a table service with the rates and latency of `options`.
///
/// # Errors
/// Fails if the address cannot be bound.
pub fn start(
    address: SocketAddr,
    options: Options,
    location: Location,
    stop: CancellationToken,
) -> eyre::Result<Table> {
    let now = Boot.now();
    let state = Arc::new(Mutex::new(State {
        rows: BTreeMap::new(),
        previous_rows: BTreeMap::new(),
        revision: 0,
        log: Vec::new(),
        write_limit: Bucket::new(options.writes_per_s, now),
        read_limit: Bucket::new(options.reads_per_s, now),
    }));
    let faults = fault::Injector::new(1);
    let handler = Server { state: state.clone(), latency: options.latency };
    let address = server::start(address, location, faults.clone(), handler, stop)?;
    Ok(Table { address, faults, state })
}

impl Table {
    /// Transactions committed so far, in order.
    #[must_use]
    pub fn commit_log(&self) -> Vec<Entry> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).log.clone()
    }

    /// Current row of `key`.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Row> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).rows.get(key).cloned()
    }
}

fn is_satisfied(check: &Check, row: Option<&Row>) -> bool {
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
            .filter(|check| !is_satisfied(check, self.rows.get(&check.key)))
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
            let previous = match row {
                Some(row) => self.rows.insert(write.key.clone(), row),
                None => self.rows.remove(&write.key),
            };
            self.previous_rows.insert(write.key.clone(), previous);
            writes.push((write.key, write.value));
        }
        self.log.push(Entry { committed_at: now, revision, writes });
        Ok(Commit { revision })
    }

    fn read(&self, query: &Query, stale: bool) -> Page {
        let row = |key: &String| match self.previous_rows.get(key) {
            Some(previous) if stale => previous.clone(),
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
    fn respond(&self, path: &str, body: &Bytes, fault: Option<fault::Kind>) -> Response<Body> {
        let now = Boot.now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_write = path == "/v1/transact";
        let allowed =
            if is_write { state.write_limit.try_take(now) } else { state.read_limit.try_take(now) };
        if !allowed {
            return text(StatusCode::TOO_MANY_REQUESTS, "rate limit");
        }
        let response = match path {
            "/v1/transact" => {
                parse_json(body).map(|transaction| match state.transact(transaction, now) {
                    Ok(commit) => json(StatusCode::OK, &commit),
                    Err(refusal) => json(StatusCode::CONFLICT, &refusal),
                })
            }
            "/v1/read" => parse_json(body).map(|query| {
                json(StatusCode::OK, &state.read(&query, fault == Some(fault::Kind::Stale)))
            }),
            "/v1/scan" => parse_json(body).map(|scan| json(StatusCode::OK, &state.scan(&scan))),
            _ => Ok(text(StatusCode::NOT_FOUND, "no such path")),
        };
        response.unwrap_or_else(|rejection| rejection)
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
        Ok(self.respond(request.uri().path(), request.body(), fault))
    }
}
