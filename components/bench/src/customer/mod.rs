//! Customers: send scheduled requests through the load balancer and record every outcome.

mod response;

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
    defect::Defect,
    journal::{Attempt, Call, Journal, Kind, Outcome},
};

/// Client timeout of a request; above the gateway's own, so that the gateway responds first.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(70);
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 3;
/// Interval between checks for a ready gateway.
const GATEWAY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time that a request waits for a ready gateway.
const GATEWAY_WAIT_LIMIT: Duration = Duration::from_secs(10);
/// Maximum number of tokens of a completion.
const MAX_TOKENS: u32 = 400;

/// Services that customers call.
#[derive(Clone, Debug)]
pub struct Targets {
    /// Name of the model service.
    pub model: String,
    /// Name of the application service.
    pub application: String,
    /// Path of idempotent application calls.
    pub idempotent_path: String,
    /// Bearer token.
    pub token: String,
    /// Deadline that customers send with each request, if any.
    pub deadline: Option<Duration>,
}

struct Inner {
    targets: Targets,
    balancer: Balancer,
    client: Client,
    journal: Journal,
    defect: Option<Defect>,
    /// Backend servers that [`Defect::DoubleSend`] calls directly.
    services: Vec<service::Service>,
    previous_answer: Mutex<Option<Outcome>>,
    stop_begun: CancellationToken,
}

/// Customers of one run, cheap to clone.
#[derive(Clone)]
pub struct Customers(Arc<Inner>);

impl Customers {
    /// New customers; [`Defect::CutOnStop`] interrupts requests when `stop_begun` is cancelled.
    #[must_use]
    pub fn new(
        targets: Targets,
        balancer: Balancer,
        journal: Journal,
        defect: Option<Defect>,
        services: Vec<service::Service>,
        stop_begun: CancellationToken,
    ) -> Self {
        let client = Client::default();
        let previous_answer = Mutex::default();
        Self(Arc::new(Inner {
            targets,
            balancer,
            client,
            journal,
            defect,
            services,
            previous_answer,
            stop_begun,
        }))
    }

    /// Sends each request at its scheduled time and waits for all outcomes.
    pub async fn run(&self, arrivals: Vec<Arrival>) {
        let start = tokio::time::Instant::now();
        let load_started_at = Boot.now();
        self.0.journal.write().load_started_at = load_started_at;
        let mut calls = JoinSet::new();
        for arrival in arrivals {
            tokio::time::sleep_until(start + arrival.offset).await;
            let customers = self.clone();
            let scheduled_at = load_started_at.after(arrival.offset);
            calls.spawn(async move { customers.call(arrival, scheduled_at).await });
        }
        while calls.join_next().await.is_some() {}
    }

    async fn call(&self, arrival: Arrival, scheduled_at: Instant) {
        let id = format!("c-{}", arrival.number);
        let mut attempts = Vec::new();
        while attempts.len() < MAX_ATTEMPTS {
            let attempt = self.attempt(&id, arrival.kind).await;
            // A customer with a deadline does not retry.
            let has_deadline = self.0.targets.deadline.is_some();
            let retry = !has_deadline && may_retry(arrival.kind, &attempt.outcome);
            attempts.push(attempt);
            if !retry {
                break;
            }
            sleep(RETRY_DELAY).await;
        }
        let ended_at = attempts.last().map_or(scheduled_at, |last| last.ended_at);
        let call = Call { id, kind: arrival.kind, scheduled_at, ended_at, attempts };
        self.0.journal.write().calls.push(call);
    }

    async fn attempt(&self, id: &str, kind: Kind) -> Attempt {
        let wait_started_at = Boot.now();
        loop {
            let Some(gateway) = self.0.balancer.pick() else {
                if Boot.now().since(wait_started_at) > GATEWAY_WAIT_LIMIT {
                    let outcome = Outcome::NoResponse("no gateway became ready".to_owned());
                    let gateway = String::new();
                    return Attempt {
                        gateway,
                        sent_at: wait_started_at,
                        ended_at: Boot.now(),
                        outcome,
                    };
                }
                sleep(GATEWAY_POLL_INTERVAL).await;
                continue;
            };
            let sent_at = Boot.now();
            // Nothing was sent over a refused connection, so another gateway can be tried.
            let Some(outcome) = self.send(&gateway, id, kind).await else {
                self.0.balancer.mark_unready(&gateway.name);
                continue;
            };
            let outcome = self.inject_defect(id, kind, outcome).await;
            return Attempt { gateway: gateway.name, sent_at, ended_at: Boot.now(), outcome };
        }
    }

    /// Sends one request; returns `None` if the gateway refused the connection.
    async fn send(&self, gateway: &Gateway, id: &str, kind: Kind) -> Option<Outcome> {
        let Ok(request) = self.request(gateway, id, kind) else {
            return Some(Outcome::NoResponse("request could not be built".to_owned()));
        };
        let cuts_on_stop = self.0.defect == Some(Defect::CutOnStop);
        let response = tokio::select! {
            response = self.0.client.send(request, REQUEST_TIMEOUT) => response,
            () = self.0.stop_begun.cancelled(), if cuts_on_stop => {
                Err(Error::Broken("interrupted by the defect cut-on-stop".to_owned()))
            }
        };
        match response {
            Ok(response) => Some(response::parse_outcome(kind, &response)),
            Err(Error::Connect(_)) => None,
            Err(Error::Broken(cause)) => Some(Outcome::NoResponse(cause)),
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

    /// Applies the injected defect to an outcome, if it concerns customers.
    async fn inject_defect(&self, id: &str, kind: Kind, outcome: Outcome) -> Outcome {
        let answered = matches!(outcome, Outcome::Answer { .. });
        match self.0.defect {
            Some(Defect::DoubleSend) if kind.is_non_idempotent() && answered => {
                self.send_duplicate(id).await;
                outcome
            }
            Some(Defect::FalseNotRun) if kind.is_non_idempotent() && answered => Outcome::Refused {
                status: 503,
                verdict: Some(filbertsail_api::fault::Verdict::NotRun),
                code: "broken_part".to_owned(),
            },
            Some(Defect::SwappedAnswer) if answered && !kind.is_model() => {
                let mut previous =
                    self.0.previous_answer.lock().unwrap_or_else(PoisonError::into_inner);
                previous.replace(outcome.clone()).unwrap_or(outcome)
            }
            _ => outcome,
        }
    }

    async fn send_duplicate(&self, id: &str) {
        let Some(service) = self.0.services.first() else { return };
        let request = Request::post(format!("http://{}/orders", service.address))
            .body(Body::full(json!({"id": id}).to_string()));
        if let Ok(request) = request {
            // The records of the stand-in show whether it ran.
            let _ = self.0.client.send(request, REQUEST_TIMEOUT).await;
        }
    }
}

/// Prompt of a customer request; all share the first 64 bytes and so the cache entry for them.
fn prompt(id: &str) -> String {
    format!("You advise customers on their next order. Answer briefly, in plain words. [{id}]")
}

/// Whether a retry is safe; after an unclear outcome, only idempotent and keyed requests are.
fn may_retry(kind: Kind, outcome: &Outcome) -> bool {
    use filbertsail_api::fault::Verdict;
    match outcome {
        Outcome::Answer { .. } => false,
        Outcome::Refused { verdict: Some(Verdict::NotRun), .. } => true,
        Outcome::Refused { verdict: Some(Verdict::Ran), .. } => false,
        Outcome::Refused { .. } | Outcome::NoResponse(_) => kind != Kind::Unkeyed,
    }
}
