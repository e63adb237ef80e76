//! Trainers: post rounds ahead, fetch batches, train, and note what they got.

use std::{net::SocketAddr, time::Duration};

use filbertsail_api::trainer::{Batch as Answer, Round as Post};
use filbertsail_clock::{Boot, Instant, Source};
use filbertsail_http::client::Client as Http;
use filbertsail_rounds::client::{Client, Error, Fetched, State};
use filbertsail_standin::weight;
use tokio::{sync::watch, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    balance::Balancer,
    breaks::Break,
    journal::{Batch, Journal, Round},
    measure::SAMPLE_MARK,
};

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
        let Options { name, token, .. } = &self.options;
        let mut client = Client::new(Http::default(), name, token, State::default());
        let mut posted = 0;
        let mut step = 0;
        let mut ended = false;
        loop {
            // A round that cannot be posted holds the trainer back as a missing batch does.
            let wanted = Boot.now();
            while posted <= step + self.options.ahead && !stop.is_cancelled() {
                self.post(&client, posted).await;
                posted += 1;
            }
            if step == posted {
                return;
            }
            let fetch = self.fetch(&mut client, step, wanted);
            tokio::pin!(fetch);
            let in_load = tokio::select! {
                () = fetch.as_mut() => true,
                () = stop.cancelled() => false,
            };
            // The first step has no round posted ahead; time after the load does not count.
            if step > 0 && !ended {
                self.journal.write().waited_s += Boot.now().since(wanted).as_secs_f64();
            }
            if in_load {
                sleep(self.options.train).await;
                if step > 0 {
                    self.journal.write().trained_s += self.options.train.as_secs_f64();
                }
            } else {
                ended = true;
                fetch.await;
            }
            step += 1;
        }
    }

    async fn post(&self, client: &Client, step: u64) {
        let round = self.round(step);
        let at = Boot.now();
        self.send(client, &round).await;
        let Post { trainer, group_size, staleness_bound: bound, .. } = round;
        let round = Round { trainer, step, groups: self.options.groups, group_size, bound, at };
        self.journal.write().rounds.push(round);
    }

    fn round(&self, step: u64) -> Post {
        let Options { name, groups, group_size, max_tokens, bound, .. } = &self.options;
        let head = prompt_head(name, step);
        Post {
            trainer: name.clone(),
            step,
            prompts: (0..*groups)
                .map(|group| format!("{head}group {group}: compare blends."))
                .collect(),
            group_size: *group_size,
            max_tokens: *max_tokens,
            staleness_bound: *bound,
            deadline_ms: self.time_to_need(),
            scorer: self.options.scorer.map(|scorer| scorer.to_string()),
        }
    }

    /// Posts a round until a gateway takes it.
    async fn send(&self, client: &Client, round: &Post) {
        loop {
            if let Some(gateway) = self.balancer.pick() {
                match client.post(gateway.callers, round).await {
                    Ok(_) => return,
                    Err(error) => {
                        let (name, step) = (&round.trainer, round.step);
                        log::info!("post of {name}/{step} at {}: {error}", gateway.name);
                    }
                }
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// Milliseconds until the batch of a round posted now is needed.
    fn time_to_need(&self) -> u64 {
        let ahead = u32::try_from(self.options.ahead).unwrap_or(u32::MAX);
        u64::try_from((self.options.train * ahead).as_millis()).unwrap_or(u64::MAX)
    }

    async fn fetch(&self, client: &mut Client, step: u64, wanted: Instant) {
        loop {
            let version = *self.version.borrow();
            let Some(gateway) = self.balancer.pick() else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match client.fetch(gateway.callers, step, version, WAIT).await {
                Ok(Fetched::Batch(batch)) => {
                    self.consume(*batch, step, self.true_version(version), wanted);
                    // A lost acknowledgement costs the service only memory.
                    let _ = client.acknowledge(gateway.callers, step).await;
                    return;
                }
                Ok(Fetched::Progress(_)) => {}
                // The holder that took the round during a table outage is gone.
                Err(Error::Refused { detail, .. }) if detail.code == "unknown_round" => {
                    self.send(client, &self.round(step)).await;
                }
                Err(error) => {
                    let name = &self.options.name;
                    log::info!("fetch of {name}/{step} at {}: {error}", gateway.name);
                    sleep(RETRY_PAUSE).await;
                }
            }
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
