//! Customers: send the planned requests through the load balancer and note every outcome.

mod answer;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_errors::DEADLINE_HEADER;
use filbertsail_http::{
    Body,
    client::{Client, Error},
};
use filbertsail_standin::service;
use http::Request;
use serde_json::json;
use tokio::{task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    arrival::Arrival,
    balance::{Balancer, Gateway},
    breaks::Break,
    journal::{Attempt, Call, Journal, Kind, Outcome},
};

/// Time limit of a request at the caller; above the gateway's own, so that the gateway answers.
const TIMEOUT: Duration = Duration::from_secs(70);
/// Pause before a repeat.
const REPEAT_PAUSE: Duration = Duration::from_millis(300);
/// Most attempts.
const MAX_ATTEMPTS: usize = 3;
/// Pause while no gateway is ready.
const NO_GATEWAY_PAUSE: Duration = Duration::from_millis(100);
/// Time for which a request waits for a ready gateway.
const NO_GATEWAY_LIMIT: Duration = Duration::from_secs(10);
/// Largest number of tokens of a completion.
const MAX_TOKENS: u32 = 400;

/// What customers call.
#[derive(Clone, Debug)]
pub struct Targets {
    /// Model service.
    pub model: String,
    /// Application service.
    pub application: String,
    /// Path of idempotent calls.
    pub idempotent_path: String,
    /// Bearer token.
    pub token: String,
    /// Time allowed per request, if customers state one.
    pub deadline: Option<Duration>,
}

struct Inner {
    targets: Targets,
    balancer: Balancer,
    client: Client,
    journal: Journal,
    broken: Option<Break>,
    /// Backend servers that the double sender calls directly.
    services: Vec<service::Service>,
    last_answer: Mutex<Option<Outcome>>,
    cut: CancellationToken,
}

/// Customers of one run, cheap to clone.
#[derive(Clone)]
pub struct Customers(Arc<Inner>);

impl Customers {
    /// Customers that write to `journal`; `cut` is for the broken part that cuts requests.
    #[must_use]
    pub fn new(
        targets: Targets,
        balancer: Balancer,
        journal: Journal,
        broken: Option<Break>,
        services: Vec<service::Service>,
        cut: CancellationToken,
    ) -> Self {
        let client = Client::default();
        let last_answer = Mutex::default();
        Self(Arc::new(Inner {
            targets,
            balancer,
            client,
            journal,
            broken,
            services,
            last_answer,
            cut,
        }))
    }

    /// Sends each request at its time and waits for all outcomes.
    pub async fn run(&self, arrivals: Vec<Arrival>) {
        let start = tokio::time::Instant::now();
        let start_at = Boot.now();
        self.0.journal.write().load_from = start_at;
        let mut calls = JoinSet::new();
        for arrival in arrivals {
            tokio::time::sleep_until(start + arrival.due).await;
            let customers = self.clone();
            let due = start_at.after(arrival.due);
            calls.spawn(async move { customers.call(arrival, due).await });
        }
        while calls.join_next().await.is_some() {}
    }

    async fn call(&self, arrival: Arrival, due: Instant) {
        let id = format!("c-{}", arrival.number);
        let mut attempts = Vec::new();
        while attempts.len() < MAX_ATTEMPTS {
            let attempt = self.attempt(&id, arrival.kind).await;
            // A customer that states a deadline does not try again after it.
            let late = self.0.targets.deadline.is_some();
            let repeat = !late && may_repeat(arrival.kind, &attempt.outcome);
            attempts.push(attempt);
            if !repeat {
                break;
            }
            sleep(REPEAT_PAUSE).await;
        }
        let end = attempts.last().map_or(due, |last| last.to);
        let call = Call { id, kind: arrival.kind, due, end, attempts };
        self.0.journal.write().calls.push(call);
    }

    async fn attempt(&self, id: &str, kind: Kind) -> Attempt {
        let begun = Boot.now();
        loop {
            let Some(gateway) = self.0.balancer.pick() else {
                if Boot.now().since(begun) > NO_GATEWAY_LIMIT {
                    let outcome = Outcome::Broken("no gateway ready".to_owned());
                    let gateway = String::new();
                    return Attempt { gateway, from: begun, to: Boot.now(), outcome };
                }
                sleep(NO_GATEWAY_PAUSE).await;
                continue;
            };
            let from = Boot.now();
            // Nothing was sent over a refused connection, so that the balancer tries another.
            let Some(outcome) = self.send(&gateway, id, kind).await else {
                self.0.balancer.suspect(&gateway.name);
                continue;
            };
            let outcome = self.spoil(id, kind, outcome).await;
            return Attempt { gateway: gateway.name, from, to: Boot.now(), outcome };
        }
    }

    /// Outcome of one request; `None` if the gateway refused the connection.
    async fn send(&self, gateway: &Gateway, id: &str, kind: Kind) -> Option<Outcome> {
        let Ok(request) = self.request(gateway, id, kind) else {
            return Some(Outcome::Broken("bad request".to_owned()));
        };
        let cut = self.0.broken == Some(Break::CutOnStop);
        let response = tokio::select! {
            response = self.0.client.send(request, TIMEOUT) => response,
            () = self.0.cut.cancelled(), if cut => {
                Err(Error::Broken("cut by the broken part".to_owned()))
            }
        };
        match response {
            Ok(response) => Some(answer::read(kind, &response)),
            Err(Error::Connect(_)) => None,
            Err(Error::Broken(cause)) => Some(Outcome::Broken(cause)),
        }
    }

    fn request(
        &self,
        gateway: &Gateway,
        id: &str,
        kind: Kind,
    ) -> Result<Request<Body>, http::Error> {
        let targets = &self.0.targets;
        let path = match kind {
            Kind::Completion | Kind::Stream => "/v1/completions".to_owned(),
            Kind::Quote => format!("/s/{}{}/new", targets.application, targets.idempotent_path),
            Kind::Keyed | Kind::Unkeyed => format!("/s/{}/orders", targets.application),
        };
        let body = if kind.is_model() {
            json!({"model": targets.model, "prompt": prompt(id), "max_tokens": MAX_TOKENS,
                "stream": kind == Kind::Stream})
        } else {
            json!({"id": id})
        };
        let mut request = Request::post(format!("http://{}{path}", gateway.callers))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", targets.token));
        if let Some(deadline) = targets.deadline {
            request = request.header(DEADLINE_HEADER, deadline.as_millis().to_string());
        }
        if kind == Kind::Keyed {
            request = request.header("idempotency-key", id);
        }
        request.body(Body::full(body.to_string()))
    }

    /// Applies the broken part, if it is one of the customers' shim.
    async fn spoil(&self, id: &str, kind: Kind, outcome: Outcome) -> Outcome {
        let answered = matches!(outcome, Outcome::Answer { .. });
        match self.0.broken {
            Some(Break::DoubleSend) if kind.runs_once() && answered => {
                self.send_again(id).await;
                outcome
            }
            Some(Break::FalseNotRun) if kind.runs_once() && answered => Outcome::Refused {
                status: 503,
                verdict: Some(filbertsail_api::fault::Verdict::NotRun),
                code: "broken_part".to_owned(),
            },
            Some(Break::SwappedAnswer) if answered && !kind.is_model() => {
                let mut last = self.0.last_answer.lock().unwrap_or_else(PoisonError::into_inner);
                last.replace(outcome.clone()).unwrap_or(outcome)
            }
            _ => outcome,
        }
    }

    async fn send_again(&self, id: &str) {
        let Some(service) = self.0.services.first() else { return };
        let request = Request::post(format!("http://{}/orders", service.address))
            .body(Body::full(json!({"id": id}).to_string()));
        if let Ok(request) = request {
            // The stand-in's record shows whether it ran.
            let _ = self.0.client.send(request, TIMEOUT).await;
        }
    }
}

/// Prompt of a customer request; the first 64 bytes are shared, so that their cache entry is too.
fn prompt(id: &str) -> String {
    format!("You advise customers on their next order. Answer briefly, in plain words. [{id}]")
}

/// What a careful caller repeats: with a key anything unclear, without one only what did not run.
fn may_repeat(kind: Kind, outcome: &Outcome) -> bool {
    use filbertsail_api::fault::Verdict;
    match outcome {
        Outcome::Answer { .. } => false,
        Outcome::Refused { verdict: Some(Verdict::NotRun), .. } => true,
        Outcome::Refused { verdict: Some(Verdict::Ran), .. } => false,
        Outcome::Refused { .. } | Outcome::Broken(_) => kind != Kind::Unkeyed,
    }
}
