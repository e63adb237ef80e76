//! Trainers: post rounds ahead, fetch batches, simulate training and record the batches.

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
    defect::Defect,
    journal::{Batch, Journal, Round},
    measure::SAMPLE_PROMPT_PREFIX,
};

/// Time for which one fetch waits for a complete batch.
const FETCH_WAIT: Duration = Duration::from_secs(2);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Trainer options.
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
    /// Maximum number of tokens per sample.
    pub max_tokens: u32,
    /// Staleness bound in weight versions.
    pub max_staleness: u64,
    /// Duration of one training step.
    pub step_duration: Duration,
    /// Number of rounds posted ahead of the current step.
    pub rounds_ahead: u64,
    /// Address of the scorer; samples are not scored if absent.
    pub scorer: Option<SocketAddr>,
    /// Defect to inject.
    pub defect: Option<Defect>,
}

/// Running trainer.
#[derive(Clone, Debug)]
pub struct Trainer {
    /// Options.
    pub options: Options,
    /// Load balancer in front of the gateways.
    pub balancer: Balancer,
    /// Journal of the run.
    pub journal: Journal,
    /// Newest weight version.
    pub version: watch::Receiver<u64>,
}

/// Common prefix of the prompts of one round.
#[must_use]
pub fn prompt_prefix(trainer: &str, step: u64) -> String {
    format!("{SAMPLE_PROMPT_PREFIX}{trainer}, step {step}, ")
}

impl Trainer {
    /// Trains until `stop`; posted rounds are fetched afterwards unless `abandon` is cancelled.
    pub async fn run(self, stop: CancellationToken, abandon: CancellationToken) {
        tokio::select! {
            () = self.run_steps(&stop) => {}
            () = abandon.cancelled() => {}
        }
    }

    async fn run_steps(&self, stop: &CancellationToken) {
        let Options { name, token, .. } = &self.options;
        let mut client = Client::new(Http::default(), name, token, State::default());
        let mut rounds_posted = 0;
        let mut step = 0;
        let mut load_ended = false;
        loop {
            // Waiting for a post to be accepted counts as idle time, as waiting for a batch does.
            let wanted_at = Boot.now();
            while rounds_posted <= step + self.options.rounds_ahead && !stop.is_cancelled() {
                self.post(&client, rounds_posted).await;
                rounds_posted += 1;
            }
            if step == rounds_posted {
                return;
            }
            let fetch = self.fetch(&mut client, step, wanted_at);
            tokio::pin!(fetch);
            let arrived_in_load = tokio::select! {
                () = fetch.as_mut() => true,
                () = stop.cancelled() => false,
            };
            // Step 0 has no round posted ahead, and time after the load does not count.
            if step > 0 && !load_ended {
                self.journal.write().trainer_wait_s += Boot.now().since(wanted_at).as_secs_f64();
            }
            if arrived_in_load {
                sleep(self.options.step_duration).await;
                if step > 0 {
                    self.journal.write().trainer_step_s += self.options.step_duration.as_secs_f64();
                }
            } else {
                load_ended = true;
                fetch.await;
            }
            step += 1;
        }
    }

    async fn post(&self, client: &Client, step: u64) {
        let round = self.round(step);
        let posted_at = Boot.now();
        self.send(client, &round).await;
        let Post { trainer, group_size, staleness_bound: max_staleness, .. } = round;
        let round = Round {
            trainer,
            step,
            groups: self.options.groups,
            group_size,
            max_staleness,
            posted_at,
        };
        self.journal.write().rounds.push(round);
    }

    fn round(&self, step: u64) -> Post {
        let Options { name, groups, group_size, max_tokens, max_staleness, .. } = &self.options;
        let head = prompt_prefix(name, step);
        Post {
            trainer: name.clone(),
            step,
            prompts: (0..*groups)
                .map(|group| format!("{head}group {group}: compare blends."))
                .collect(),
            group_size: *group_size,
            max_tokens: *max_tokens,
            staleness_bound: *max_staleness,
            deadline_ms: self.ms_until_needed(),
            scorer: self.options.scorer.map(|scorer| scorer.to_string()),
        }
    }

    /// Posts a round until a gateway accepts it.
    async fn send(&self, client: &Client, round: &Post) {
        loop {
            if let Some(gateway) = self.balancer.pick() {
                match client.post(gateway.callers, round).await {
                    Ok(_) => return,
                    Err(error) => {
                        let (name, step) = (&round.trainer, round.step);
                        log::info!(
                            "posting round {name}/{step} through {} failed, retrying: {error}",
                            gateway.name
                        );
                    }
                }
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Milliseconds until the trainer needs the batch of a round posted now.
    fn ms_until_needed(&self) -> u64 {
        let ahead = u32::try_from(self.options.rounds_ahead).unwrap_or(u32::MAX);
        u64::try_from((self.options.step_duration * ahead).as_millis()).unwrap_or(u64::MAX)
    }

    async fn fetch(&self, client: &mut Client, step: u64, wanted_at: Instant) {
        loop {
            let version = *self.version.borrow();
            let Some(gateway) = self.balancer.pick() else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            match client.fetch(gateway.callers, step, version, FETCH_WAIT).await {
                Ok(Fetched::Batch(batch)) => {
                    self.record_batch(*batch, step, self.recorded_version(version), wanted_at);
                    // A lost acknowledgement costs the service memory only.
                    let _ = client.acknowledge(gateway.callers, step).await;
                    return;
                }
                Ok(Fetched::Progress(_)) => {}
                // The holder that accepted the round during a table outage is gone; post it again.
                Err(Error::Refused { detail, .. }) if detail.code == "unknown_round" => {
                    self.send(client, &self.round(step)).await;
                }
                Err(error) => {
                    let name = &self.options.name;
                    log::info!(
                        "fetching batch {name}/{step} through {} failed, retrying: {error}",
                        gateway.name
                    );
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Trainer version to record for a fetch that stated `version`; higher under `StaleSample`.
    fn recorded_version(&self, version: u64) -> u64 {
        if self.options.defect == Some(Defect::StaleSample) {
            return version + self.options.max_staleness + 1;
        }
        version
    }

    fn record_batch(
        &self,
        answer: Answer,
        step: u64,
        trainer_version: u64,
        wanted_at: filbertsail_clock::Instant,
    ) {
        let mut samples: Vec<_> =
            answer.groups.into_iter().flat_map(|group| group.samples).collect();
        match self.options.defect {
            Some(Defect::WrongLabel) => {
                samples.iter_mut().flat_map(|sample| sample.labels.first_mut()).for_each(|label| {
                    label.version += 1;
                });
            }
            Some(Defect::DoubleDelivery) => samples.extend(samples.first().cloned()),
            _ => {}
        }
        let trainer = self.options.name.clone();
        let batch =
            Batch { trainer, step, trainer_version, wanted_at, received_at: Boot.now(), samples };
        self.journal.write().batches.push(batch);
    }
}

/// Publishes new weights every `interval` until `stop`.
pub async fn publish_weights(
    store: weight::Store,
    service: String,
    version: watch::Sender<u64>,
    interval: Duration,
    stop: CancellationToken,
) {
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(interval) => {}
        }
        let next = *version.borrow() + 1;
        store.publish(&service, next, 1 << 30);
        version.send_replace(next);
    }
}
