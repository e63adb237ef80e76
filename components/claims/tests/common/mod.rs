//! Simulated gateways that share a table service, and a backend server that counts executions.
#![allow(dead_code)]

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use filbertsail_api::table::{Commit, Page, Query, Row, Scan, Transaction};
use filbertsail_claims::{Admission, Answer, Claims, Context, Key, Members};
use filbertsail_clock::{self as clock, Instant};
use filbertsail_errors::Verdict;
use filbertsail_ports::{
    fake, object,
    table::{Error, Table},
};
use tokio::time;

/// Clock that reads the paused time of the runtime.
#[derive(Clone, Copy, Debug)]
pub struct PausedClock(pub time::Instant);

impl clock::Source for PausedClock {
    fn now(&self) -> Instant {
        Instant::from_micros(u64::try_from(self.0.elapsed().as_micros()).expect("short test"))
    }
}

/// Table client of one gateway; it fails after the gateway crashed.
#[derive(Clone, Debug)]
pub struct TableClient {
    table: fake::Table,
    faults: Faults,
    alive: Arc<AtomicBool>,
}

/// Faults for the next transactions in order; `None` injects none.
pub type Faults = Arc<Mutex<VecDeque<Option<fake::Fault>>>>;

impl TableClient {
    fn check(&self) -> Result<(), Error> {
        let alive = self.alive.load(Ordering::SeqCst);
        if alive { Ok(()) } else { Err(Error::Unavailable("crashed".to_owned())) }
    }
}

impl Table for TableClient {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.check()?;
        if let Some(fault) = self.faults.lock().expect("lock").pop_front().flatten() {
            self.table.inject(fault);
        }
        self.table.transact(transaction).await
    }

    async fn read(&self, query: Query) -> Result<Vec<Row>, Error> {
        self.check()?;
        self.table.read(query).await
    }

    async fn scan(&self, scan: Scan) -> Result<Page, Error> {
        self.check()?;
        self.table.scan(scan).await
    }
}

/// In-memory object store.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    pub rows: Arc<Mutex<HashMap<String, Bytes>>>,
    pub down: Arc<AtomicBool>,
}

impl object::Store for Objects {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), object::Error> {
        if self.down.load(Ordering::SeqCst) {
            return Err(object::Error::Unavailable("down".to_owned()));
        }
        self.rows.lock().expect("lock").insert(key.to_owned(), body);
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Bytes, object::Error> {
        self.rows.lock().expect("lock").get(key).cloned().ok_or(object::Error::NotFound)
    }

    async fn delete(&self, key: &str) -> Result<(), object::Error> {
        self.rows.lock().expect("lock").remove(key);
        Ok(())
    }
}

/// Incarnations of the live gateways.
#[derive(Clone, Debug, Default)]
pub struct LiveGateways(Arc<Mutex<HashMap<String, u64>>>);

impl Members for LiveGateways {
    fn is_live(&self, name: &str, incarnation: u64) -> bool {
        self.0.lock().expect("lock").get(name) == Some(&incarnation)
    }
}

type Handle = Claims<TableClient, Objects, LiveGateways, PausedClock>;

/// Running gateway.
pub struct Gateway {
    pub claims: Handle,
    alive: Arc<AtomicBool>,
    incarnation: u64,
}

/// What the backend server does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backend {
    /// Executes it and responds.
    Responds,
    /// Provably does not execute it.
    Rejects,
    /// Executes it, and the response is lost.
    LosesResponse,
    /// Does not execute it, without proof.
    LosesRequest,
}

/// What the caller receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    Answer(String),
    Verdict(Verdict),
    Mismatch,
    Pending,
}

/// Gateways and the services that they share.
pub struct Cluster {
    pub table: fake::Table,
    pub faults: Faults,
    pub objects: Objects,
    pub clock: PausedClock,
    pub live: LiveGateways,
    pub gateways: Vec<Gateway>,
    pub runs: Arc<Mutex<HashMap<usize, usize>>>,
}

pub const DIGEST: &str = "digest";

pub fn key(number: usize) -> Key {
    Key::new("kauppa-app", "kitchen", &number.to_string())
}

impl Cluster {
    pub fn new(gateways: usize) -> Self {
        let mut cluster = Self {
            table: fake::Table::default(),
            faults: Faults::default(),
            objects: Objects::default(),
            clock: PausedClock(time::Instant::now()),
            live: LiveGateways::default(),
            gateways: Vec::new(),
            runs: Arc::default(),
        };
        for index in 0..gateways {
            let gateway = cluster.start_gateway(index, 1);
            cluster.gateways.push(gateway);
        }
        cluster
    }

    fn start_gateway(&self, index: usize, incarnation: u64) -> Gateway {
        let owner = format!("gateway-{index}");
        let alive = Arc::new(AtomicBool::new(true));
        self.live.0.lock().expect("lock").insert(owner.clone(), incarnation);
        let claims = Claims::start(Context {
            owner,
            incarnation,
            table: TableClient {
                table: self.table.clone(),
                faults: self.faults.clone(),
                alive: alive.clone(),
            },
            objects: self.objects.clone(),
            members: self.live.clone(),
            clock: self.clock,
        });
        Gateway { claims, alive, incarnation }
    }

    /// Crashes and restarts a gateway; its requests in flight are lost.
    pub fn crash(&mut self, index: usize) {
        let old = &self.gateways[index];
        old.alive.store(false, Ordering::SeqCst);
        let incarnation = old.incarnation + 1;
        self.gateways[index] = self.start_gateway(index, incarnation);
    }

    /// Queues a fault, or none, for the next transaction.
    pub fn queue_fault(&self, fault: Option<fake::Fault>) {
        self.faults.lock().expect("lock").push_back(fault);
    }

    pub fn runs(&self, number: usize) -> usize {
        self.runs.lock().expect("lock").get(&number).copied().unwrap_or(0)
    }

    /// Sends one request to one gateway; `None` if the gateway crashes meanwhile.
    pub fn request(
        &self,
        gateway: usize,
        number: usize,
        backend: Backend,
        wait: Duration,
    ) -> impl Future<Output = Option<Received>> + use<> {
        let claims = self.gateways[gateway].claims.clone();
        let alive = self.gateways[gateway].alive.clone();
        let (clock, runs) = (self.clock, self.runs.clone());
        async move {
            let deadline = clock::Source::now(&clock).after(wait);
            let admission = claims.acquire(&key(number), DIGEST, deadline).await;
            let ticket = match admission {
                Err(_) => return Some(Received::Verdict(Verdict::NotRun)),
                Ok(Admission::Answer(answer)) => return Some(received(&answer)),
                Ok(Admission::Mismatch) => return Some(Received::Mismatch),
                Ok(Admission::Pending) => return Some(Received::Pending),
                Ok(Admission::OwnerGone) => return Some(Received::Verdict(Verdict::MayHaveRun)),
                Ok(Admission::Run(ticket)) => ticket,
            };
            // A crashed gateway sends no request to the backend server.
            if !alive.load(Ordering::SeqCst) {
                return None;
            }
            if matches!(backend, Backend::Responds | Backend::LosesResponse) {
                *runs.lock().expect("lock").entry(number).or_default() += 1;
            }
            time::sleep(Duration::from_millis(30)).await;
            let verdict = match backend {
                Backend::Responds => {
                    let body = Bytes::from(format!("answer {number}"));
                    ticket.store_response(200, Vec::new(), body.clone()).await;
                    return Some(Received::Answer(format!("answer {number}")));
                }
                Backend::Rejects => {
                    ticket.release().await;
                    Verdict::NotRun
                }
                Backend::LosesResponse | Backend::LosesRequest => {
                    let verdict = Verdict::MayHaveRun;
                    let (code, message) = ("broken".to_owned(), String::new());
                    ticket.store_failure(Answer::Failed { verdict, code, message }).await;
                    verdict
                }
            };
            alive.load(Ordering::SeqCst).then_some(Received::Verdict(verdict))
        }
    }
}

fn received(answer: &Answer) -> Received {
    match answer {
        Answer::Whole { body, .. } => {
            let body = (0..body.len())
                .step_by(2)
                .map(|at| u8::from_str_radix(&body[at..at + 2], 16).expect("hex"))
                .collect();
            Received::Answer(String::from_utf8(body).expect("text"))
        }
        Answer::Stored { object, .. } => Received::Answer(object.clone()),
        Answer::Failed { verdict, .. } => Received::Verdict(*verdict),
    }
}
