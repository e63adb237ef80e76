//! Trainers: post rounds ahead, fetch batches, train, and note what they got.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use filbertsail_api::trainer::{Batch as Answer, Round as Post};
use filbertsail_clock::{Boot, Source};
use filbertsail_http::{Body, client::Client};
use filbertsail_standin::weight;
use http::{Method, Request, StatusCode};
use tokio::{sync::watch, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    balance::Balancer,
    breaks::Break,
    journal::{Batch, Journal, Round},
    measure::SAMPLE_MARK,
};

/// Time limit of one call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Time that one fetch waits for a whole batch.
const WAIT: Duration = Duration::from_secs(2);
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Properties of a trainer.
#[derive(Clone, Debug)]
pub struct Options {
    /// Trainer name.
    pub name: String,
    /// Bearer token.
    pub token: String,
    /// Prompts per round.
    pub groups: u32,
    /// Samples per prompt.
    pub group_size: u32,
    /// Largest number of tokens per sample.
    pub max_tokens: u32,
    /// Staleness bound.
    pub bound: u64,
    /// Time of one training step.
    pub train: Duration,
    /// Rounds posted ahead of the step in training.
    pub ahead: u64,
    /// Address of the scorer, if samples are scored.
    pub scorer: Option<SocketAddr>,
    /// Broken part.
    pub broken: Option<Break>,
}

/// Running trainer.
#[derive(Clone, Debug)]
pub struct Trainer {
    /// Properties.
    pub options: Options,
    /// Way to the gateways.
    pub balancer: Balancer,
    /// Journal.
    pub journal: Journal,
    /// Newest weight version.
    pub version: watch::Receiver<u64>,
}

/// Start of the prompts of one round.
#[must_use]
pub fn prompt_head(trainer: &str, step: u64) -> String {
    format!("{SAMPLE_MARK}{trainer}, step {step}, ")
}

impl Trainer {
    /// Trains until `stop`; rounds that were posted are still fetched, unless `give_up` comes first.
    pub async fn run(self, stop: CancellationToken, give_up: CancellationToken) {
        tokio::select! {
            () = self.steps(&stop) => {}
            () = give_up.cancelled() => {}
        }
    }

    async fn steps(&self, stop: &CancellationToken) {
        let client = Client::default();
        let mut posted = 0;
        let mut step = 0;
        loop {
            while posted <= step + self.options.ahead && !stop.is_cancelled() {
                self.post(&client, posted).await;
                posted += 1;
            }
            if step == posted {
                return;
            }
            let wanted = Boot.now();
            self.fetch(&client, step, wanted).await;
            let waited = Boot.now().since(wanted);
            sleep(self.options.train).await;
            // The time after the end of the run, without new rounds, is no measure of idleness.
            if !stop.is_cancelled() && step > 0 {
                let mut pages = self.journal.write();
                pages.waited_s += waited.as_secs_f64();
                pages.trained_s += self.options.train.as_secs_f64();
            }
            step += 1;
        }
    }

    async fn call(
        &self,
        client: &Client,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Option<(StatusCode, Bytes)> {
        let gateway = self.balancer.pick()?;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", gateway.callers))
            .header("content-type", "application/json")
            .header("authorization", format!("Bearer {}", self.options.token))
            .body(Body::full(body))
            .ok()?;
        let response = client.send(request, WAIT + TIMEOUT).await.ok()?;
        Some((response.status(), response.into_body()))
    }

    async fn post(&self, client: &Client, step: u64) {
        let Options { name, groups, group_size, max_tokens, bound, .. } = &self.options;
        let head = prompt_head(name, step);
        let round = Post {
            trainer: name.clone(),
            step,
            prompts: (0..*groups)
                .map(|group| format!("{head}group {group}: compare blends."))
                .collect(),
            group_size: *group_size,
            max_tokens: *max_tokens,
            staleness_bound: *bound,
            deadline_ms: 60_000,
            scorer: self.options.scorer.map(|scorer| scorer.to_string()),
        };
        let body = serde_json::to_vec(&round).unwrap_or_default();
        let at = Boot.now();
        loop {
            let answer = self.call(client, Method::POST, "/v1/rounds", body.clone()).await;
            if answer.is_some_and(|(status, _)| status.is_success()) {
                break;
            }
            sleep(RETRY_PAUSE).await;
        }
        let round = Round {
            trainer: name.clone(),
            step,
            groups: *groups,
            group_size: *group_size,
            bound: *bound,
            at,
        };
        self.journal.write().rounds.push(round);
    }

    async fn fetch(&self, client: &Client, step: u64, wanted: filbertsail_clock::Instant) {
        let name = &self.options.name;
        loop {
            let version = *self.version.borrow();
            let wait = WAIT.as_millis();
            let path = format!("/v1/rounds/{name}/{step}/batch?version={version}&wait_ms={wait}");
            if let Some((StatusCode::OK, body)) =
                self.call(client, Method::GET, &path, Vec::new()).await
                && let Ok(answer) = serde_json::from_slice::<Answer>(&body)
            {
                self.consume(answer, step, self.true_version(version), wanted);
                let path = format!("/v1/rounds/{name}/{step}/ack");
                // A lost acknowledgement costs the service only memory.
                let _ = self.call(client, Method::POST, &path, Vec::new()).await;
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Version of the trainer when it stated `version`; the broken part understates it.
    fn true_version(&self, version: u64) -> u64 {
        if self.options.broken == Some(Break::StaleSample) {
            return version + self.options.bound + 1;
        }
        version
    }

    fn consume(&self, answer: Answer, step: u64, version: u64, wanted: filbertsail_clock::Instant) {
        let mut samples: Vec<_> =
            answer.groups.into_iter().flat_map(|group| group.samples).collect();
        match self.options.broken {
            Some(Break::WrongLabel) => {
                samples.iter_mut().flat_map(|sample| sample.labels.first_mut()).for_each(|label| {
                    label.version += 1;
                });
            }
            Some(Break::DoubleDelivery) => samples.extend(samples.first().cloned()),
            _ => {}
        }
        let trainer = self.options.name.clone();
        let batch = Batch { trainer, step, version, wanted, at: Boot.now(), samples };
        self.journal.write().batches.push(batch);
    }
}

/// Publishes new weights every `period` until `stop`.
pub async fn publish(
    store: weight::Store,
    service: String,
    version: watch::Sender<u64>,
    period: Duration,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(period) => {}
        }
        let next = *version.borrow() + 1;
        store.publish(&service, next, 1 << 30);
        version.send_replace(next);
    }
}
