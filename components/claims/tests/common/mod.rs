//! Gateways that share a table service, and a backend that counts what ran.
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
use filbertsail_claims::{Answer, Begin, Claims, Key, Members, Setup};
use filbertsail_clock::{self as clock, Instant};
use filbertsail_errors::Verdict;
use filbertsail_ports::{
    fake, object,
    table::{Error, Table},
};
use tokio::time;

/// Clock that follows the paused time of the runtime.
#[derive(Clone, Copy, Debug)]
pub struct Paused(pub time::Instant);

impl clock::Source for Paused {
    fn now(&self) -> Instant {
        Instant::from_micros(u64::try_from(self.0.elapsed().as_micros()).expect("short test"))
    }
}

/// Table as one gateway reaches it, until the gateway crashes.
#[derive(Clone, Debug)]
pub struct Reached {
    table: fake::Table,
    plan: Plan,
    alive: Arc<AtomicBool>,
}

/// Faults of the next transactions in order; `None` lets one pass.
pub type Plan = Arc<Mutex<VecDeque<Option<fake::Fault>>>>;

impl Reached {
    fn check(&self) -> Result<(), Error> {
        let alive = self.alive.load(Ordering::SeqCst);
        if alive { Ok(()) } else { Err(Error::Unavailable("crashed".to_owned())) }
    }
}

impl Table for Reached {
    async fn transact(&self, transaction: Transaction) -> Result<Commit, Error> {
        self.check()?;
        if let Some(fault) = self.plan.lock().expect("lock").pop_front().flatten() {
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

/// Object store in memory.
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

/// Gateways that are live.
#[derive(Clone, Debug, Default)]
pub struct Live(Arc<Mutex<HashMap<String, u64>>>);

impl Members for Live {
    fn is_live(&self, name: &str, incarnation: u64) -> bool {
        self.0.lock().expect("lock").get(name) == Some(&incarnation)
    }
}

type Handle = Claims<Reached, Objects, Live, Paused>;

/// Running gateway.
pub struct Gateway {
    pub claims: Handle,
    alive: Arc<AtomicBool>,
    incarnation: u64,
}

/// What a request does at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Backend {
    /// Runs and answers.
    Answers,
    /// Provably does not run.
    Refuses,
    /// Runs, and the answer is lost.
    LosesAnswer,
    /// Is lost before it runs, without a proof.
    LosesRequest,
}

/// What the caller learns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    Answer(String),
    Verdict(Verdict),
    Mismatch,
    Pending,
}

/// All that the gateways share.
pub struct World {
    pub table: fake::Table,
    pub plan: Plan,
    pub objects: Objects,
    pub clock: Paused,
    pub live: Live,
    pub gateways: Vec<Gateway>,
    pub runs: Arc<Mutex<HashMap<usize, usize>>>,
}

pub const DIGEST: &str = "digest";

pub fn key(number: usize) -> Key {
    Key::new("kauppa-app", "kitchen", &number.to_string())
}

impl World {
    pub fn new(gateways: usize) -> Self {
        let mut world = Self {
            table: fake::Table::default(),
            plan: Plan::default(),
            objects: Objects::default(),
            clock: Paused(time::Instant::now()),
            live: Live::default(),
            gateways: Vec::new(),
            runs: Arc::default(),
        };
        for index in 0..gateways {
            let gateway = world.gateway(index, 1);
            world.gateways.push(gateway);
        }
        world
    }

    fn gateway(&self, index: usize, incarnation: u64) -> Gateway {
        let owner = format!("gateway-{index}");
        let alive = Arc::new(AtomicBool::new(true));
        self.live.0.lock().expect("lock").insert(owner.clone(), incarnation);
        let claims = Claims::start(Setup {
            owner,
            incarnation,
            table: Reached {
                table: self.table.clone(),
                plan: self.plan.clone(),
                alive: alive.clone(),
            },
            objects: self.objects.clone(),
            members: self.live.clone(),
            clock: self.clock,
        });
        Gateway { claims, alive, incarnation }
    }

    /// Kills a gateway and starts it again; what it had under way is lost.
    pub fn crash(&mut self, index: usize) {
        let old = &self.gateways[index];
        old.alive.store(false, Ordering::SeqCst);
        let incarnation = old.incarnation + 1;
        self.gateways[index] = self.gateway(index, incarnation);
    }

    /// Adds a fault of a coming transaction.
    pub fn plan(&self, fault: Option<fake::Fault>) {
        self.plan.lock().expect("lock").push_back(fault);
    }

    pub fn runs(&self, number: usize) -> usize {
        self.runs.lock().expect("lock").get(&number).copied().unwrap_or(0)
    }

    /// One request at one gateway; `None` if the gateway crashes meanwhile.
    pub fn request(
        &self,
        gateway: usize,
        number: usize,
        backend: Backend,
        wait: Duration,
    ) -> impl Future<Output = Option<Told>> + use<> {
        let claims = self.gateways[gateway].claims.clone();
        let alive = self.gateways[gateway].alive.clone();
        let (clock, runs) = (self.clock, self.runs.clone());
        async move {
            let deadline = clock::Source::now(&clock).after(wait);
            let begin = claims.begin(&key(number), DIGEST, deadline).await;
            let ticket = match begin {
                Err(_) => return Some(Told::Verdict(Verdict::NotRun)),
                Ok(Begin::Answer(answer)) => return Some(told(&answer)),
                Ok(Begin::Mismatch) => return Some(Told::Mismatch),
                Ok(Begin::Pending) => return Some(Told::Pending),
                Ok(Begin::Gone) => return Some(Told::Verdict(Verdict::MayHaveRun)),
                Ok(Begin::Run(ticket)) => ticket,
            };
            // A crashed gateway sends nothing.
            if !alive.load(Ordering::SeqCst) {
                return None;
            }
            if matches!(backend, Backend::Answers | Backend::LosesAnswer) {
                *runs.lock().expect("lock").entry(number).or_default() += 1;
            }
            time::sleep(Duration::from_millis(30)).await;
            let verdict = match backend {
                Backend::Answers => {
                    let body = Bytes::from(format!("answer {number}"));
                    ticket.answer(200, Vec::new(), body.clone()).await;
                    return Some(Told::Answer(format!("answer {number}")));
                }
                Backend::Refuses => {
                    ticket.release().await;
                    Verdict::NotRun
                }
                Backend::LosesAnswer | Backend::LosesRequest => {
                    let verdict = Verdict::MayHaveRun;
                    let (code, message) = ("broken".to_owned(), String::new());
                    ticket.failed(Answer::Failed { verdict, code, message }).await;
                    verdict
                }
            };
            alive.load(Ordering::SeqCst).then_some(Told::Verdict(verdict))
        }
    }
}

fn told(answer: &Answer) -> Told {
    match answer {
        Answer::Whole { body, .. } => {
            let body = (0..body.len())
                .step_by(2)
                .map(|at| u8::from_str_radix(&body[at..at + 2], 16).expect("hex"))
                .collect();
            Told::Answer(String::from_utf8(body).expect("text"))
        }
        Answer::Stored { object, .. } => Told::Answer(object.clone()),
        Answer::Failed { verdict, .. } => Told::Verdict(*verdict),
    }
}
